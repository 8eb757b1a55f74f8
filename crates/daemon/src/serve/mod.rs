//! Starts the parts of a limiter, moves them to new addresses on SIGHUP, and ends them on SIGTERM.

mod cluster_node;
mod endpoint_list;
mod error;
mod listeners;
mod resources;
mod shutdown;

pub use error::ServeError;

use crate::authoriser::Authorisers;
use crate::config::{read_file, Addresses, Setup};
use crate::counter::client::CounterClient;
use crate::counter::pool::CounterPool;
use crate::counter::validation::CounterValidation;
use crate::discovery::client::DiscoveryClient;
use crate::events::EventQueue;
use crate::host::{Clients, Host};
use crate::listeners::admission::Admission;
use crate::listeners::grpc;
use crate::log::log;
use crate::operator::{CounterSettings, Operator};
use crate::startup::{handle_signal, runtime};
use crate::upstream::servers::Servers;
use cluster_node::ClusterNode;
use endpoint_list::EndpointList;
use liftrouter_catalog::Update;
use liftrouter_counter::Pacer;
use liftrouter_decision::Settings;
use listeners::{BoundListeners, Listeners};
use resources::{body_budget, parse_seed, retry_seed, SocketBudget};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::signal::unix::{Signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};

/// Exit code after a panic, as the standard library has it.
const PANIC_EXIT_CODE: i32 = 101;

/// Runs a limiter until SIGTERM.
///
/// # Errors
/// It cannot start: an address, a signal handler or the operator's file cannot be used. Or requests were left open
/// at the end.
pub fn run(setup: Setup, operator: Operator) -> Result<(), ServeError> {
    // A limiter that panicked no longer knows which requests it owes an answer: it ends, and is started anew.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        report(info);
        std::process::exit(PANIC_EXIT_CODE);
    }));
    let runtime = runtime()?;
    LocalSet::new().block_on(&runtime, serve(setup, operator))
}

async fn serve(
    Setup { path, listen, discovery, settings, config }: Setup,
    mut operator: Operator,
) -> Result<(), ServeError> {
    // Both first: a signal that finds no handler ends the program.
    let mut terminated = handle_signal(SignalKind::terminate(), "SIGTERM")?;
    let hangup = handle_signal(SignalKind::hangup(), "SIGHUP")?;
    let bound = BoundListeners::bind(listen, &operator, &settings).await?;
    let events = EventQueue::new();
    let cluster_node = match &operator.cluster {
        Some(setup) => Some(ClusterNode::open(setup, events.clone()).await?),
        None => None,
    };

    let seed = parse_seed(&config.seed);
    let retry_seed = retry_seed(seed, settings.instance_index);
    let sockets = SocketBudget::new(&config.limits, &operator, &bound);
    let servers = Rc::new(Servers::new(&settings, sockets.servers));
    let counters = counter_pool(config.counter, operator.counter.as_ref(), &settings, seed);
    let mut list = EndpointList::new(&mut operator, discovery, &settings, retry_seed);
    let clients = Clients { servers: servers.clone(), counters: counters.clone() };
    let mut host = Host::new(settings.clone(), seed, events.clone(), clients);
    let name = grpc::instance_name();
    let authorisers = Authorisers::new(operator.authorisers, name.clone());
    if let Some(CounterSettings { validation, failover, .. }) = operator.counter {
        let (counters, events) = (counters.clone(), events.clone());
        let validation = CounterValidation::new(counters, events, &validation, failover, &settings, seed);
        spawn_local(validation.run());
        host = host.watch_pauses();
    }
    let longest_deadline = longest_deadline(&settings);
    let admission = Admission::new(events.clone(), settings, body_budget(&config.limits), authorisers);

    spawn_local(host.run());
    let cluster = cluster_node.map(|node| node.start(&servers));
    spawn_local(async move { servers.sweep().await });
    list.follow(&events, retry_seed);
    spawn_local(reload(hangup, path, list.discovery().clone(), counters));
    let listeners = Listeners::start(bound, &admission, sockets.clients, name);
    spawn_local(admit_when_listed(list, listeners.clone(), events.clone(), config.known));

    terminated.recv().await;
    shutdown::shut_down(&listeners, &admission, cluster.as_deref(), &events, longest_deadline).await
}

/// The longest deadline of a class, in seconds; 0 without classes.
fn longest_deadline(settings: &Settings) -> f64 {
    settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max)
}

/// Admits requests once the first endpoint list has come.
async fn admit_when_listed(
    list: EndpointList,
    listeners: Rc<Listeners>,
    events: Rc<EventQueue>,
    known: Option<Update>,
) {
    list.wait_for_first(&events, known).await;
    listeners.set_ready();
}

/// The counter service that the configuration names, and those that the operator has put behind it.
fn counter_pool(
    first: Option<SocketAddr>,
    operator: Option<&CounterSettings>,
    settings: &Settings,
    seed: u64,
) -> Rc<CounterPool> {
    let mut clients = vec![CounterClient::new(first, settings)];
    let mut pacer = None;
    if let Some(operator) = operator {
        let fallbacks = operator.fallbacks.iter();
        clients.extend(fallbacks.map(|address| CounterClient::new(Some(*address), settings)));
        pacer = operator.pace(settings.instance_count).map(|pace| Pacer::new(pace, unit_interval(seed), 0.0));
    }
    CounterPool::new(clients, pacer)
}

/// A number from 0 up to 1 that has the first 53 bits of the seed, as many as a `f64` holds.
fn unit_interval(seed: u64) -> f64 {
    (seed >> 11) as f64 / (1u64 << 53) as f64
}

/// Takes the addresses of discovery and counter from the file anew at each SIGHUP. The environment says what
/// held at the start, so the file has precedence here. Signals that come meanwhile are not lost: they count
/// as one more.
async fn reload(
    mut hangup: Signal,
    path: String,
    discovery_client: Rc<DiscoveryClient>,
    counters: Rc<CounterPool>,
) {
    while hangup.recv().await.is_some() {
        let Addresses { discovery, counter } = match read_file(&path) {
            Ok(addresses) => addresses,
            // Better the old addresses than none, and better either than to end.
            Err(error) => {
                log("liftrouter", format_args!("SIGHUP: all stays as it is: {error}"));
                continue;
            }
        };
        log("liftrouter", format_args!("SIGHUP: discovery {discovery:?}, counter {counter:?}"));
        if let Some(address) = discovery {
            discovery_client.set_address(address);
        }
        if let Some(address) = counter {
            counters.set_first_address(address);
        }
    }
}
