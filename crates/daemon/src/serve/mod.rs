//! Starts the parts of a limiter, moves them to new addresses on SIGHUP, and ends them on SIGTERM.

mod fronts;
mod list;
mod shutdown;

use crate::authoriser::Authorisers;
use crate::cluster::{self, Group};
use crate::config::{read_file, Addresses, Setup};
use crate::counter::client::{self, CounterClient};
use crate::counter::pool::CounterPool;
use crate::counter::validation::CounterValidation;
use crate::discovery::calls::Discovery;
use crate::events::EventQueue;
use crate::host::{Clients, Host};
use crate::listeners::gate::Gate;
use crate::listeners::grpc;
use crate::log::log;
use crate::operator::{Judged, Operator};
use crate::upstream::servers::Servers;
use fronts::{Fronts, Listeners};
use liftrouter_counter::Pacer;
use liftrouter_decision::Settings;
use list::ServerList;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UnixListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};

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

async fn serve(
    Setup { path, listen, discovery, settings, config }: Setup,
    mut operator: Operator,
) -> Result<(), String> {
    let handle = |kind, name: &str| signal(kind).map_err(|e| format!("cannot handle {name}: {e}"));
    // Both first: a signal that finds no handler ends the program.
    let mut terminated = handle(SignalKind::terminate(), "SIGTERM")?;
    let hangup = handle(SignalKind::hangup(), "SIGHUP")?;
    let listeners = Listeners::bind(listen, &operator, &settings).await?;
    let events = EventQueue::new();
    let members = match &operator.members {
        Some(setup) => Some(Membership::open(setup, events.clone()).await?),
        None => None,
    };

    let seed = seed_of(&config.seed);
    // Limiters that were given one seed must not retry in step.
    let retry_seed = seed ^ u64::from(settings.instance_index).wrapping_mul(SEED_STEP);
    let sockets = SocketBudget::new(config.limits.sockets, &operator, &listeners);
    let servers = Rc::new(Servers::new(&settings, sockets.servers));
    let keepers = keepers(config.counter, operator.keeper.as_ref(), &settings, seed);
    let mut list = ServerList::new(&mut operator, discovery, &settings, retry_seed);
    let clients = Clients { servers: servers.clone(), counters: keepers.clone() };
    let mut host = Host::new(settings.clone(), seed, events.clone(), clients);
    let name = grpc::instance_name();
    let authorisers = Authorisers::new(operator.authorisers, name.clone());
    if let Some(judged) = operator.keeper {
        let (keepers, events) = (keepers.clone(), events.clone());
        let validation =
            CounterValidation::new(keepers, events, &judged.terms, judged.order, &settings, seed);
        spawn_local(validation.run());
        host = host.watch_pauses();
    }
    let longest_deadline = settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
    let memory_mb = config.limits.memory_mb.filter(|mb| *mb > 0.0).unwrap_or(MEMORY_MB_DEFAULT);
    let body_bytes = (memory_mb * BODY_SHARE * 1024.0 * 1024.0) as usize;
    let gate = Gate::new(events.clone(), settings, body_bytes, authorisers);

    spawn_local(host.run());
    let group = members.map(|members| members.start(&servers));
    spawn_local(async move { servers.sweep().await });
    list.follow(&events, retry_seed);
    spawn_local(reload(hangup, path, list.discovery().clone(), keepers));
    let fronts = Fronts::start(listeners, &gate, sockets.clients, name);
    spawn_local({
        let (fronts, events) = (fronts.clone(), events.clone());
        async move {
            list.first(&events, config.known).await;
            fronts.set_ready();
        }
    });

    terminated.recv().await;
    shutdown::shut_down(&fronts, &gate, group.as_deref(), &events, longest_deadline).await
}

/// The seed is 16 hex digits; any other text is as good a seed, and none is one too.
fn seed_of(text: &str) -> u64 {
    u64::from_str_radix(text, 16)
        .unwrap_or_else(|_| text.bytes().fold(0, |seed: u64, b| seed.wrapping_mul(31) ^ u64::from(b)))
}

/// How many sockets clients and servers may take, each.
struct SocketBudget {
    clients: usize,
    servers: usize,
}

impl SocketBudget {
    fn new(sockets: Option<usize>, operator: &Operator, listeners: &Listeners) -> Self {
        let authorisers = operator.authorisers.iter().map(|a| a.connections).sum::<usize>();
        let other_keepers = operator.keeper.as_ref().map_or(0, |k| k.others.len());
        let keepers = client::MAX_CONCURRENT_CALLS * (1 + other_keepers);
        let taken = RESERVE + keepers + listeners.grpc_sockets() + authorisers;
        // Each request may hold two sockets, one to its client and one to a server.
        let left = sockets.unwrap_or(SOCKETS_DEFAULT).saturating_sub(taken).max(2);
        SocketBudget { clients: left - left / 2, servers: left / 2 }
    }
}

/// The keeper that the configuration names, and those that the operator has put behind it.
fn keepers(
    counter: Option<SocketAddr>,
    judged: Option<&Judged>,
    settings: &Settings,
    seed: u64,
) -> Rc<CounterPool> {
    let mut all = vec![CounterClient::new(counter, settings)];
    let mut pacer = None;
    if let Some(judged) = judged {
        all.extend(judged.others.iter().map(|at| CounterClient::new(Some(*at), settings)));
        let part = (seed >> 11) as f64 / (1u64 << 53) as f64;
        pacer = judged.pace(settings.instance_count).map(|pace| Pacer::new(pace, part, 0.0));
    }
    CounterPool::new(all, pacer)
}

/// This limiter as a member, before it runs.
struct Membership {
    group: Rc<Group>,
    /// Where it is asked who is there.
    asked: Option<UnixListener>,
    /// How often each node is probed, where they are.
    probe: Option<Duration>,
}

impl Membership {
    async fn open(setup: &cluster::Setup, events: Rc<EventQueue>) -> Result<Self, String> {
        let asked = setup.ask.as_deref().map(cluster::listen).transpose()?;
        Ok(Membership { group: Group::open(setup, events).await?, asked, probe: setup.probe })
    }

    fn start(self, servers: &Rc<Servers>) -> Rc<Group> {
        let Membership { group, asked, probe } = self;
        spawn_local(group.clone().run());
        if let Some(listener) = asked {
            spawn_local(group.clone().answer(listener));
        }
        if let Some(every) = probe {
            spawn_local(group.clone().probe(servers.clone(), every));
        }
        group
    }
}

/// Takes the addresses of discovery and counter from the file anew at each SIGHUP. The environment tells what
/// held at the start, so the file holds before it here. Signals that come meanwhile are not lost: they count
/// as one more.
async fn reload(mut hangup: Signal, path: String, list: Rc<Discovery>, keepers: Rc<CounterPool>) {
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
            keepers.set_first_address(address);
        }
    }
}
