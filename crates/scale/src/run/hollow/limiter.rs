//! One hollow limiter.

use super::list_keeper::{ListKeeper, Observed};
use super::{HollowArguments, LagLog};
use crate::run::error::RunError;
use crate::run::messages::LimiterStatus;
use crate::run::settings::settings;
use crate::run::standin::{list_digest, service_name, ListedServer};
use liftrouter::counter::client::CounterClient;
use liftrouter::counter::pool::CounterPool;
use liftrouter::discovery::client::DiscoveryClient;
use liftrouter::discovery::upstream::Upstream;
use liftrouter::events::EventQueue;
use liftrouter::memory::MemoryBudget;
use liftrouter::upstream::servers::Servers;
use liftrouter_catalog::Subscription;
use liftrouter_decision::EndpointState;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{interval_at, Instant, MissedTickBehavior};

/// An odd number whose multiples differ in all their bits.
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;
/// All relays that a limiter follows know the same list.
const ONLY_REGION: usize = 0;
/// How long a counted name lives.
const NAME_LIVES_SECONDS: f64 = 10.0;

/// Whom a limiter asks for its list.
pub enum ListUpstream {
    /// Discovery, for the whole list.
    Discovery(SocketAddr),
    /// Relays, for one service.
    Relays(Vec<SocketAddr>),
}

/// A limiter whose parts end when it is dropped.
pub struct HollowLimiter {
    number: u32,
    /// What it follows, where that is not all.
    service: Option<usize>,
    restarts: u32,
    upstream: Rc<Upstream>,
    servers: Rc<Servers>,
    observed: Rc<Observed>,
    _tasks: JoinSet<()>,
}

impl HollowLimiter {
    /// Starts its parts.
    pub fn start(
        arguments: &HollowArguments,
        number: u32,
        restarts: u32,
        upstream: ListUpstream,
        lags: Rc<LagLog>,
    ) -> Result<Self, RunError> {
        let settings = settings(number, arguments.peers, arguments.delivery)?;
        let seed = arguments.seed ^ u64::from(number + 1).wrapping_mul(SEED_STEP) ^ u64::from(restarts);
        let events = EventQueue::new();
        let (discovery, service) = match upstream {
            ListUpstream::Relays(relays) => {
                let service = number as usize % arguments.services.max(1);
                let subscription = Subscription::services([service_name(service)]);
                (DiscoveryClient::from_relays(relays, &subscription, seed), Some(service))
            }
            ListUpstream::Discovery(address) => {
                (DiscoveryClient::new(address, arguments.delivery.into()), None)
            }
        };
        let discovery = Rc::new(discovery);
        let upstream = discovery.upstream(ONLY_REGION).clone();
        let memory = MemoryBudget::new(usize::MAX);
        let keeper = CounterClient::new(Some(arguments.counter), &settings, memory.clone());
        let keepers = CounterPool::new(vec![keeper], None);
        // No request comes, so no connection to a server is opened.
        let servers = Rc::new(Servers::new(&settings, 0, memory));
        let observed = Rc::new(Observed::new(lags));
        let keeper = ListKeeper::new(
            settings,
            seed,
            events.clone(),
            keepers.clone(),
            servers.clone(),
            observed.clone(),
        );
        let mut tasks = JoinSet::new();
        tasks.spawn_local(discovery.watch(events.clone(), seed));
        tasks.spawn_local(keeper.run());
        if let Some(period) = period(arguments.counter_calls_per_second) {
            tasks.spawn_local(call_counter(events, keepers, number, period, seed));
        }
        Ok(HollowLimiter { number, service, restarts, upstream, servers, observed, _tasks: tasks })
    }

    /// How often it was started anew.
    pub fn restarts(&self) -> u32 {
        self.restarts
    }

    /// Notes how old its list is, unless it says that it is out of date.
    pub fn look_at_age(&self) {
        if let Some(age) = self.upstream.confirmed_ago().filter(|_| !self.upstream.is_expired()) {
            self.observed.note_age(age);
        }
    }

    /// How it stands.
    pub fn status(&self) -> LimiterStatus {
        let places = self.servers.statuses();
        let digest = list_digest(places.iter().map(|(id, place)| ListedServer {
            id,
            address: place.address,
            in_service: place.state == EndpointState::InService,
        }));
        LimiterStatus {
            number: self.number,
            generation: self.upstream.revision(),
            digest,
            service: self.service,
            list_bytes: self.upstream.received_bytes().get(),
            restarts: self.restarts,
            ..self.observed.status()
        }
    }
}

/// The time between calls, if there are any.
fn period(calls_per_second: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(1.0 / calls_per_second).ok().filter(|period| !period.is_zero())
}

/// Calls the counter at an even pace, from a random moment on.
async fn call_counter(
    events: Rc<EventQueue>,
    keepers: Rc<CounterPool>,
    number: u32,
    period: Duration,
    seed: u64,
) {
    let offset = period.mul_f64(fastrand::Rng::with_seed(seed).f64());
    let mut ticks = interval_at(Instant::now() + offset, period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        // Where no call can be made now, the next one will be.
        let _ = keepers.call(&events, format!("hollow-{number}"), 1.0, NAME_LIVES_SECONDS);
    }
}
