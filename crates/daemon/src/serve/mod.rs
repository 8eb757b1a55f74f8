//! Runs a limiter: starts its parts, reloads addresses on SIGHUP and shuts down on SIGTERM.

mod cluster_node;
mod endpoint_list;
mod error;
mod listeners;
mod resources;
mod shutdown;

pub use error::ServeError;

use crate::authorizer::Authorizers;
use crate::config::{read_file, ServiceAddresses, Setup};
use crate::counter::client::CounterClient;
use crate::counter::pool::CounterPool;
use crate::counter::validation::CounterValidation;
use crate::discovery::client::DiscoveryClient;
use crate::events::EventQueue;
use crate::host::{Clients, Host};
use crate::listeners::admission::Admission;
use crate::listeners::grpc;
use crate::log::log;
use crate::memory::MemoryBudget;
use crate::operator::{CounterSettings, OperatorConfig};
use crate::startup::{handle_signal, runtime};
use crate::upstream::servers::Servers;
use cluster_node::ClusterNode;
use endpoint_list::EndpointListSource;
use liftrouter_catalog::Update;
use liftrouter_counter::Pacer;
use liftrouter_decision::Settings;
use listeners::{BoundListeners, Listeners};
use resources::{discovery_seed, max_customers, memory_budget, parse_seed, SocketBudget};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::signal::unix::{Signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};

/// Exit code after a panic; the same as the standard library's.
const PANIC_EXIT_CODE: i32 = 101;

/// Runs a limiter until SIGTERM.
///
/// # Errors
/// The limiter cannot start because of an address, a signal handler, the operator's file or its cluster; or requests
/// were left unanswered at the end.
pub fn run(setup: Setup, operator: OperatorConfig) -> Result<(), ServeError> {
    // After a panic in a task the limiter no longer knows which requests are unanswered: it exits, and is restarted.
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default_hook(info);
        std::process::exit(PANIC_EXIT_CODE);
    }));
    let runtime = runtime()?;
    LocalSet::new().block_on(&runtime, serve(setup, operator))
}

async fn serve(
    Setup { path, listen, discovery, settings, config }: Setup,
    mut operator: OperatorConfig,
) -> Result<(), ServeError> {
    // Install both handlers first: without a handler either signal terminates the process.
    let mut terminated = handle_signal(SignalKind::terminate(), "SIGTERM")?;
    let hangup = handle_signal(SignalKind::hangup(), "SIGHUP")?;
    let bound = BoundListeners::bind(listen, &operator, &settings).await?;
    let events = EventQueue::new();
    let cluster_node = match &operator.cluster {
        Some(setup) => Some(ClusterNode::open(setup, events.clone()).await?),
        None => None,
    };

    let seed = parse_seed(&config.seed);
    let discovery_seed = discovery_seed(seed, settings.instance_index);
    let sockets = SocketBudget::new(&config.limits, &operator, &bound);
    let memory = MemoryBudget::new(memory_budget(&config.limits));
    let servers = Rc::new(Servers::new(&settings, sockets.servers, memory.clone()));
    let counters = counter_pool(config.counter, operator.counter.as_ref(), &settings, seed, &memory);
    let mut list = EndpointListSource::new(&mut operator, discovery, &settings, discovery_seed);
    let clients = Clients { servers: servers.clone(), counters: counters.clone() };
    let host = Host::new(settings.clone(), seed, events.clone(), clients);
    let mut host = host.with_max_customers(max_customers(&config.limits, &sockets));
    let name = grpc::instance_name();
    let authorizers = Authorizers::new(operator.authorizers, name.clone());
    if let Some(CounterSettings { validation, failover, .. }) = operator.counter {
        let (counters, events) = (counters.clone(), events.clone());
        let validation = CounterValidation::new(counters, events, &validation, failover, &settings, seed);
        spawn_local(validation.run());
        host = host.with_pause_detection();
    }
    let longest_deadline_s = longest_deadline_s(&settings);
    let admission = Admission::new(events.clone(), settings, memory, authorizers);

    spawn_local(host.run());
    let cluster = cluster_node.map(|node| node.start(&servers));
    spawn_local(async move { servers.close_idle_connections().await });
    list.follow(&events, discovery_seed);
    spawn_local(reload(hangup, path, list.discovery().clone(), counters));
    let listeners = Listeners::start(bound, &admission, &sockets, name);
    spawn_local(set_ready_after_first_list(list, listeners.clone(), events.clone(), config.known_endpoints));

    terminated.recv().await;
    shutdown::shut_down(&listeners, &admission, cluster.as_deref(), &events, longest_deadline_s).await
}

/// The longest deadline of all classes; 0 without classes.
fn longest_deadline_s(settings: &Settings) -> f64 {
    settings.classes.iter().map(|class| class.deadline_s).fold(0.0, f64::max)
}

/// Reports the limiter as ready once the first endpoint list has come, or the wait for it has timed out.
async fn set_ready_after_first_list(
    list: EndpointListSource,
    listeners: Rc<Listeners>,
    events: Rc<EventQueue>,
    known_endpoints: Option<Update>,
) {
    list.wait_for_first(&events, known_endpoints).await;
    listeners.set_ready();
}

/// The pool of the configured counter service and, after it, the fallbacks of the operator's file.
fn counter_pool(
    first: Option<SocketAddr>,
    counter_settings: Option<&CounterSettings>,
    settings: &Settings,
    seed: u64,
    memory: &Arc<MemoryBudget>,
) -> Rc<CounterPool> {
    let client = |address| CounterClient::new(address, settings, memory.clone());
    let mut clients = vec![client(first)];
    let mut pacer = None;
    if let Some(counter_settings) = counter_settings {
        let fallbacks = counter_settings.fallbacks.iter();
        clients.extend(fallbacks.map(|address| client(Some(*address))));
        pacer = counter_settings
            .pacing(settings.instance_count)
            .map(|pacing| Pacer::new(pacing, seed_to_unit_interval(seed), 0.0));
    }
    CounterPool::new(clients, pacer)
}

/// Maps the seed to a number in [0, 1) by its upper 53 bits, the precision of an `f64`.
fn seed_to_unit_interval(seed: u64) -> f64 {
    (seed >> 11) as f64 / (1u64 << 53) as f64
}

/// Reloads the addresses of discovery and the counter from the file on each SIGHUP. The environment cannot change after
/// the start, so the file has precedence here. Signals that arrive during a reload cause one more.
async fn reload(
    mut hangup: Signal,
    path: String,
    discovery_client: Rc<DiscoveryClient>,
    counters: Rc<CounterPool>,
) {
    while hangup.recv().await.is_some() {
        let ServiceAddresses { discovery, counter } = match read_file(&path) {
            Ok(addresses) => addresses,
            // The old addresses are better than none, and an invalid file must not terminate the limiter.
            Err(error) => {
                log("liftrouter", format_args!("SIGHUP: keeping the current addresses: {error}"));
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
