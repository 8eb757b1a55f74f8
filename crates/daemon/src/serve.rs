//! Starts the parts of a limiter, moves them to new addresses on SIGHUP, and ends them on SIGTERM.

use crate::config::{read_file, Addresses, Setup};
use crate::fronts::gate::Gate;
use crate::fronts::grpc::{self, Grpc};
use crate::fronts::http::Clients;
use crate::group::{self, Group};
use crate::host::{Host, Peers};
use crate::inbox::{Inbox, News};
use crate::log::log;
use crate::membership::discovery::Discovery;
use crate::membership::update::listed;
use crate::operator::Operator;
use crate::peers::authoriser::Authorisers;
use crate::peers::judging::Judging;
use crate::peers::keeper::{self, Keeper};
use crate::peers::keepers::Keepers;
use crate::peers::servers::Servers;
use liftrouter_catalog::Update;
use liftrouter_discovery::Delivery;
use liftrouter_keeper::Pacer;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::Notify;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

/// After SIGTERM new connections go on coming for up to 0.4 s; they are accepted for at least this long, and
/// for as long as anything is open.
const ACCEPT_ON: Duration = Duration::from_millis(600);
/// SIGKILL comes this long after SIGTERM at the earliest, and the longest deadline later, of which no more than
/// so much counts.
const KILLED: (Duration, Duration) = (Duration::from_millis(700), Duration::from_secs(3));
/// What is not answered this long before that is answered then, since nobody answers after it.
const LAST_CALL: Duration = Duration::from_millis(300);
/// And the process ends so long before: answers have been read, and connections have been closed.
const ENDED: Duration = Duration::from_millis(50);
/// How long the first list of discovery is waited for before clients are let in with the one at hand. What
/// discovery had told before this process began counts as told to it: a server that drains since may stand in the
/// list at hand as in service. Nine in ten that are restarted are to be ready within 10 s.
const FIRST_LIST: Duration = Duration::from_millis(8_500);
/// Descriptors kept for the listener, the runtime, discovery and whatever is being accepted.
const RESERVE: usize = 24;
const SOCKETS_DEFAULT: usize = 1_024;
/// An odd number whose multiples differ in all their bits.
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;
const MEMORY_MB_DEFAULT: f64 = 32.0;
/// Share of the memory limit that the bodies of open requests may take. As much again may come back in
/// answers, and each connection has a buffer of some kilobytes.
const BODY_SHARE: f64 = 0.125;

/// Runs a limiter until it is told to end.
pub fn run(setup: Setup, operator: Operator) -> Result<(), String> {
    // A limiter that panicked no longer knows what it owes: it ends, and is started anew.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        report(info);
        std::process::exit(101);
    }));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start the runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, serve(setup, operator))
}

/// Takes the addresses of discovery and counter from the file anew at each SIGHUP. The environment tells what
/// held at the start, so the file holds before it here. Signals that come meanwhile are not lost: they count
/// as one more.
async fn reload(mut hangup: Signal, path: String, list: Rc<Discovery>, keepers: Rc<Keepers>) {
    while hangup.recv().await.is_some() {
        let Addresses { discovery, counter } = match read_file(&path) {
            Ok(addresses) => addresses,
            // Better the old addresses than none, and better either than to end.
            Err(fault) => {
                log("liftrouter", format_args!("SIGHUP: all stays as it is: {fault}"));
                continue;
            }
        };
        log("liftrouter", format_args!("SIGHUP: discovery {discovery:?}, counter {counter:?}"));
        if let Some(address) = discovery {
            list.move_to(address);
        }
        if let Some(address) = counter {
            keepers.move_first(address);
        }
    }
}

/// Not all lists came in time. Until here no server was known, so whoever came all the same was refused at once.
fn go_on_without(list: &Discovery, inbox: &Inbox, known: Option<Update>) {
    if list.has_list() {
        let missing = list.upstreams().filter(|upstream| upstream.revision().is_none());
        missing.for_each(|upstream| upstream.log("no list came: going on without it"));
        return;
    }
    match known.filter(|_| list.trusts_known_list()) {
        Some(known) => {
            log("discovery", "no list came: going by the one in the configuration");
            let servers = known.instances.iter().map(listed).collect();
            inbox.push(News::Listed { whole: true, servers, version: None });
        }
        None => log("discovery", "no list came: all is refused until one does"),
    }
}

async fn serve(
    Setup { path, listen, discovery, settings, config }: Setup,
    operator: Operator,
) -> Result<(), String> {
    let handle = |kind, name: &str| signal(kind).map_err(|e| format!("cannot handle {name}: {e}"));
    // Both first: a signal that finds no handler ends the program.
    let mut terminated = handle(SignalKind::terminate(), "SIGTERM")?;
    let hangup = handle(SignalKind::hangup(), "SIGHUP")?;
    let listener = TcpListener::bind(listen).await.map_err(|e| format!("cannot listen on {listen}: {e}"))?;
    let bound = listener.local_addr().map_err(|e| e.to_string())?;
    operator.check(&settings)?;
    let name = grpc::instance_name();
    let grpc_listener = match &operator.grpc {
        None => None,
        Some(grpc) => {
            let (limits, mapping) = (grpc.limits.clone(), grpc.mapping(&settings)?);
            let listener = TcpListener::bind(limits.listen).await;
            let listener =
                listener.map_err(|e| format!("cannot listen on {} for gRPC: {e}", limits.listen))?;
            Some((listener, limits, mapping))
        }
    };

    let inbox = Inbox::new();
    let group = match &operator.members {
        None => None,
        Some(setup) => {
            let asked = setup.ask.as_deref().map(group::listen).transpose()?;
            Some((Group::open(setup, inbox.clone()).await?, asked, setup.probe))
        }
    };

    // Each request may hold two sockets, one to its client and one to a server.
    let sockets = config.limits.sockets.unwrap_or(SOCKETS_DEFAULT);
    let grpc_sockets = grpc_listener.as_ref().map_or(0, |(_, limits, _)| limits.connections + 1)
        + operator.authorisers.iter().map(|a| a.connections).sum::<usize>();
    let others = operator.keeper.as_ref().map_or(0, |k| k.others.len());
    let keeper_sockets = keeper::CALLS * (1 + others);
    let budget = sockets.saturating_sub(RESERVE + keeper_sockets + grpc_sockets).max(2);
    let longest = settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
    // The seed is 16 hex digits; any other text is as good a seed, and none is one too.
    let seed = u64::from_str_radix(&config.seed, 16)
        .unwrap_or_else(|_| config.seed.bytes().fold(0, |seed: u64, b| seed.wrapping_mul(31) ^ u64::from(b)));
    let servers = Rc::new(Servers::new(&settings, budget / 2));
    let mut all = vec![Keeper::new(config.counter, &settings)];
    let mut pacer = None;
    if let Some(judged) = &operator.keeper {
        all.extend(judged.others.iter().map(|at| Keeper::new(Some(*at), &settings)));
        let part = (seed >> 11) as f64 / (1u64 << 53) as f64;
        pacer = judged.pace(settings.peers).map(|pace| Pacer::new(pace, part, 0.0));
    }
    let keepers = Keepers::new(all, pacer);
    let delivery = if settings.discovery_on_request { Delivery::OnRequest } else { Delivery::Pushed };
    // Limiters that were given one seed must not retry in step.
    let retry_seed = seed ^ u64::from(settings.me).wrapping_mul(SEED_STEP);
    let list = Rc::new(match operator.relays {
        Some(relays) => {
            let regions = relays.regions.into_iter().map(|region| (region.name, region.addresses));
            Discovery::by_regions(regions, &relays.subscription, retry_seed)
        }
        None => Discovery::new(discovery, delivery),
    });
    let peers = Peers { servers: servers.clone(), keepers: keepers.clone() };
    let mut host = Host::new(settings.clone(), seed, inbox.clone(), peers);
    let memory = config.limits.memory_mb.filter(|mb| *mb > 0.0).unwrap_or(MEMORY_MB_DEFAULT);
    let bodies = (memory * BODY_SHARE * 1024.0 * 1024.0) as usize;
    let authorisers = Authorisers::new(operator.authorisers, name.clone());
    if let Some(judged) = operator.keeper {
        let terms = (judged.terms, judged.order);
        spawn_local(Judging::new(keepers.clone(), inbox.clone(), terms, &settings, seed).run());
        host = host.watch_pauses();
    }
    let gate = Gate::new(inbox.clone(), settings, bodies, authorisers);
    let clients = Clients::new(gate.clone(), budget - budget / 2);

    spawn_local(host.run());
    let group = group.map(|(group, asked, probe)| {
        spawn_local(group.clone().run());
        if let Some(listener) = asked {
            spawn_local(group.clone().answer(listener));
        }
        if let Some(every) = probe {
            spawn_local(group.clone().probe(servers.clone(), every));
        }
        group
    });
    spawn_local(async move { servers.sweep().await });
    // Told when the first list is there, if one has to be waited for.
    let adopted: Rc<Notify> = Rc::default();
    let from_file = operator.inventory.is_some();
    if let Some(source) = operator.inventory {
        // The file alone counts: what discovery knew before, or would tell now, could contradict it.
        spawn_local(source.follow(inbox.clone(), adopted.clone()));
    } else {
        spawn_local(list.clone().watch(inbox.clone(), retry_seed));
    }
    spawn_local(reload(hangup, path, list.clone(), keepers));
    let accepting = spawn_local({
        let clients = clients.clone();
        async move { clients.accept(listener).await }
    });
    let mut grpc = None;
    if let Some((listener, limits, mapping)) = grpc_listener {
        let front = Grpc::new(gate.clone(), limits, mapping, name);
        if let Ok(address) = listener.local_addr() {
            log("liftrouter", format_args!("gRPC on {address}"));
        }
        let accepting = spawn_local({
            let front = front.clone();
            async move { front.accept(listener).await }
        });
        grpc = Some((front, accepting));
    }
    log("liftrouter", format_args!("listening on {bound}"));
    spawn_local({
        let (clients, grpc) = (clients.clone(), grpc.as_ref().map(|(front, _)| front.clone()));
        let inbox = inbox.clone();
        async move {
            if from_file {
                adopted.notified().await;
            } else if timeout(FIRST_LIST, list.heard()).await.is_err() {
                go_on_without(&list, &inbox, config.known);
            }
            clients.set_ready();
            if let Some(front) = grpc {
                front.set_ready();
            }
        }
    });

    terminated.recv().await;
    let killed =
        Instant::now() + KILLED.0 + Duration::from_secs_f64(longest.max(0.0).min(KILLED.1.as_secs_f64()));
    log("liftrouter", format_args!("SIGTERM: finishing {} requests", inbox.owed()));
    gate.end_at(killed - LAST_CALL);
    clients.drain();
    if let Some((front, _)) = &grpc {
        front.drain();
    }
    if let Some(group) = &group {
        group.leave();
    }
    spawn_local({
        let inbox = inbox.clone();
        async move {
            sleep_until(killed - LAST_CALL).await;
            inbox.push(News::LastCall);
        }
    });
    tokio::time::sleep(ACCEPT_ON).await;
    // Connections that are left then carry no request, or one that has not come whole.
    let all_closed = async {
        clients.all_closed().await;
        if let Some((front, _)) = &grpc {
            front.all_closed().await;
        }
    };
    let _ = timeout_at(killed - ENDED, all_closed).await;
    accepting.abort();
    if let Some((_, accepting)) = &grpc {
        accepting.abort();
    }
    match inbox.owed() {
        0 => Ok(()),
        left => Err(format!("{left} requests were left open")),
    }
}
