//! The list of servers at its source, and how it changes.

use liftrouter_catalog::{ChangeLog, Instance, Lifecycle, Subscription, Update};
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{SystemTime, UNIX_EPOCH};

/// The loopback address of the first server; the others follow.
const FIRST_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 64, 1, 1);
/// The generation of the first list.
const FIRST_GENERATION: u64 = 1;
/// A server changes again after this time at the earliest, so that no message holds two changes of it in one entry.
const REST_MS: u64 = 3_000;
/// Zones that servers are spread over.
const ZONES: [&str; 3] = ["room-a", "room-b", "room-c"];

/// One server as a digest takes it in.
pub struct ListedServer<'a> {
    /// Its identity.
    pub id: &'a str,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it takes work.
    pub in_service: bool,
}

/// A digest of servers that are not gone, whatever their order.
pub fn list_digest<'a>(servers: impl IntoIterator<Item = ListedServer<'a>>) -> u64 {
    let hash = |server: ListedServer<'_>| {
        let mut hasher = DefaultHasher::new();
        (server.id, server.address, server.in_service).hash(&mut hasher);
        hasher.finish()
    };
    servers.into_iter().map(hash).fold(0, u64::wrapping_add)
}

/// The name of a service.
pub fn service_name(number: usize) -> String {
    format!("service-{number:04}")
}

/// Milliseconds since 1970.
pub fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// The list, changed by a seed.
pub struct ServerList {
    log: ChangeLog,
    services: usize,
    generation: u64,
    instances: Vec<Instance>,
    /// Servers in the order in which they are taken out of service.
    order: Vec<usize>,
    next: usize,
    /// Servers that are out of service, the first to be changed again at the front.
    out_of_service: VecDeque<usize>,
    /// When each server was last changed; 0 for never.
    changed_ms: Vec<u64>,
    changes: u64,
}

impl ServerList {
    /// So many servers in so many services, all in service, on one port.
    pub fn new(servers: usize, services: usize, port: u16, seed: u64) -> Self {
        let instances: Vec<_> = (0..servers).map(|n| instance(n, services.max(1), port)).collect();
        let mut order: Vec<usize> = (0..servers).collect();
        fastrand::Rng::with_seed(seed).shuffle(&mut order);
        let mut list = ServerList {
            log: ChangeLog::new(),
            services: services.max(1),
            generation: FIRST_GENERATION,
            instances: instances.clone(),
            order,
            next: 0,
            out_of_service: VecDeque::new(),
            changed_ms: vec![0; servers],
            changes: 0,
        };
        list.apply(true, instances);
        list
    }

    fn apply(&mut self, reset: bool, instances: Vec<Instance>) {
        let update = Update { revision: self.generation, reset, instances, ..Update::default() };
        // Generations only grow here, and the first list is whole.
        let applied = self.log.apply(update);
        debug_assert!(applied.is_ok(), "the source follows its own list");
    }

    /// The generation now.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Changes so far.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// The digest of the list now.
    pub fn digest(&self) -> u64 {
        self.digest_of(&Subscription::All)
    }

    /// The digest of each service.
    pub fn service_digests(&self) -> Vec<u64> {
        (0..self.services)
            .map(|number| self.digest_of(&Subscription::services([service_name(number)])))
            .collect()
    }

    fn digest_of(&self, subscription: &Subscription) -> u64 {
        list_digest(self.log.instances(subscription).map(|instance| ListedServer {
            id: &instance.instance_id,
            address: instance.host_port,
            in_service: instance.lifecycle == Lifecycle::InService,
        }))
    }

    /// What a child is to be told that holds this generation.
    pub fn since(&self, held: Option<u64>) -> Option<Update> {
        self.log.since(&Subscription::All, held)
    }

    /// Makes one change: a server drains, one that drained ends, or one that ended is replaced. Every second change
    /// is one of a server that is out of service, where one has rested: what a limiter is told of a server that is
    /// gone does not say when that was, so a part of the changes has to be of other kinds at any time.
    pub fn change(&mut self) {
        let now_ms = wall_clock_ms();
        let out_of_service = self.out_of_service.front().copied();
        let is_due = |server: &usize| self.changes % 2 == 1 && self.has_rested(*server, now_ms);
        let server = out_of_service.filter(is_due).unwrap_or_else(|| self.next_in_service(now_ms));
        self.out_of_service.retain(|out| *out != server);
        self.changed_ms[server] = now_ms;
        let instance = &mut self.instances[server];
        instance.lifecycle = match instance.lifecycle {
            Lifecycle::InService => Lifecycle::Terminating,
            Lifecycle::Terminating => Lifecycle::Terminated,
            Lifecycle::Terminated => Lifecycle::InService,
        };
        instance.started_at_ms = Some(now_ms as f64);
        if instance.lifecycle != Lifecycle::InService {
            self.out_of_service.push_back(server);
        }
        let changed = instance.clone();
        self.generation += 1;
        self.changes += 1;
        self.apply(false, vec![changed]);
    }

    fn has_rested(&self, server: usize, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.changed_ms[server]) >= REST_MS
    }

    /// The next server that takes work and has rested; where there is none, the one that changed first.
    fn next_in_service(&mut self, now_ms: u64) -> usize {
        let servers = self.order.len();
        for _ in 0..servers {
            let server = self.order[self.next % servers];
            self.next += 1;
            let in_service = self.instances[server].lifecycle == Lifecycle::InService;
            if in_service && self.has_rested(server, now_ms) {
                return server;
            }
        }
        self.out_of_service.front().copied().unwrap_or(0)
    }
}

fn instance(number: usize, services: usize, port: u16) -> Instance {
    // Ten thousands of servers fit behind the first address.
    let address = Ipv4Addr::from_bits(FIRST_ADDRESS.to_bits() + u32::try_from(number).unwrap_or(0));
    Instance {
        instance_id: format!("server-{number:05}"),
        host_port: SocketAddr::from((address, port)),
        service: service_name(number % services),
        zone: ZONES[number % ZONES.len()].to_owned(),
        machine_type: "std".to_owned(),
        cell: Some(1),
        lifecycle: Lifecycle::InService,
        weight: Some(1.0),
        started_at_ms: None,
    }
}
