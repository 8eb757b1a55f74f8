//! The root of the tree: the current servers in plain maps, and the digest of each service at every revision.

use super::server::Server;
use super::{Micros, SECOND};
use liftrouter_catalog::{Digest, Instance, Lifecycle, Update};
use std::collections::{BTreeMap, BTreeSet, HashMap};

pub const SERVERS_PER_SERVICE: usize = 55;
const FIRST_REVISION: u64 = 1_000;
const STARTED_AT_MS: f64 = 1.7e12;

/// A revision that changed a service.
#[derive(Clone, Copy)]
pub struct Revision {
    pub number: u64,
    pub at: Micros,
    /// The digest of the service after the change.
    pub digest: Digest,
}

pub struct Source {
    pub server: Server,
    revision: u64,
    lists: BTreeMap<String, BTreeMap<String, Instance>>,
    revisions: HashMap<String, Vec<Revision>>,
    services: usize,
    servers_created: usize,
}

pub fn service_name(number: usize) -> String {
    format!("service-{number:04}")
}

impl Source {
    pub fn new(services: usize, history: usize) -> Self {
        let mut source = Source {
            server: Server::with_history(history),
            revision: FIRST_REVISION,
            lists: BTreeMap::new(),
            revisions: HashMap::new(),
            services,
            servers_created: 0,
        };
        for number in 0..services {
            for _ in 0..SERVERS_PER_SERVICE {
                let instance = source.new_instance(service_name(number));
                source.insert_instance(instance);
            }
            source.record_revision(&service_name(number), 0);
        }
        let instances = source.lists.values().flat_map(|list| list.values().cloned()).collect();
        let whole = Update { revision: FIRST_REVISION, reset: true, instances, ..Update::default() };
        source.server.log.apply(whole).expect("the first list is applied");
        source
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn new_instance(&mut self, service: String) -> Instance {
        self.servers_created += 1;
        let number = self.servers_created as u32;
        let [_, high, middle, low] = number.to_be_bytes();
        Instance {
            instance_id: format!("i-{number:08x}"),
            host_port: ([10, high, middle, low], 8080).into(),
            service,
            zone: format!("region-{}-zone-{}", number % 2, number % 7),
            machine_type: "c5.4xlarge".into(),
            cell: Some(i64::from(number % 9)),
            lifecycle: Lifecycle::InService,
            weight: Some(1.0),
            started_at_ms: Some(STARTED_AT_MS + f64::from(number)),
        }
    }

    fn insert_instance(&mut self, instance: Instance) {
        let list = self.lists.entry(instance.service.clone()).or_default();
        list.insert(instance.instance_id.clone(), instance);
    }

    fn record_revision(&mut self, service: &str, at: Micros) {
        let digest = Digest::of(self.lists.get(service).into_iter().flat_map(BTreeMap::values));
        let revision = Revision { number: self.revision, at, digest };
        self.revisions.entry(service.to_owned()).or_default().push(revision);
    }

    /// Changes a random server and returns the affected services.
    pub fn change(&mut self, now: Micros, random: &mut fastrand::Rng) -> BTreeSet<String> {
        let service = service_name(random.usize(0..self.services));
        let Some(list) = self.lists.get(&service).filter(|list| !list.is_empty()) else {
            return BTreeSet::new();
        };
        let chosen = list.values().nth(random.usize(0..list.len())).expect("the index is in range").clone();
        let changed = self.random_change(chosen, random);
        self.revision += 1;
        let mut services = BTreeSet::from([service.clone()]);
        for instance in &changed {
            self.lists.get_mut(&service).expect("the service is listed").remove(&instance.instance_id);
            services.insert(instance.service.clone());
            if !instance.is_terminated() {
                self.insert_instance(instance.clone());
            }
        }
        for service in &services {
            self.record_revision(service, now);
        }
        let update = Update { revision: self.revision, instances: changed, ..Update::default() };
        let applied = self.server.log.apply(update).expect("the update fits the log");
        assert_eq!(applied.services, services);
        services
    }

    fn random_change(&mut self, chosen: Instance, random: &mut fastrand::Rng) -> Vec<Instance> {
        match random.u8(0..20) {
            0..8 => {
                let weight = Some(chosen.weight.unwrap_or(1.0) + 0.125);
                vec![Instance { weight, ..chosen }]
            }
            8..13 => {
                let lifecycle = match chosen.lifecycle {
                    Lifecycle::InService => Lifecycle::Terminating,
                    _ => Lifecycle::InService,
                };
                vec![Instance { lifecycle, ..chosen }]
            }
            13..19 => {
                let replacement = self.new_instance(chosen.service.clone());
                vec![chosen.terminated(), replacement]
            }
            _ => {
                let service = service_name(random.usize(0..self.services));
                let weight = Some(chosen.weight.unwrap_or(1.0) + 0.125);
                vec![Instance { service, weight, ..chosen }]
            }
        }
    }

    /// The current servers of a service.
    pub fn service(&self, service: &str) -> impl Iterator<Item = &Instance> {
        self.lists.get(service).into_iter().flat_map(BTreeMap::values)
    }

    /// The changes of a service after a revision.
    pub fn revisions_after(&self, service: &str, revision: u64) -> &[Revision] {
        let Some(revisions) = self.revisions.get(service) else { return &[] };
        let first = revisions.partition_point(|change| change.number <= revision);
        &revisions[first..]
    }

    /// The digest of a service as of a revision.
    pub fn digest_at(&self, service: &str, revision: u64) -> Digest {
        let Some(revisions) = self.revisions.get(service) else { return Digest::default() };
        let after = revisions.partition_point(|change| change.number <= revision);
        after.checked_sub(1).map_or(Digest::default(), |last| revisions[last].digest)
    }

    /// The interval between changes at a rate.
    pub fn change_interval(per_second: f64) -> Micros {
        (SECOND as f64 / per_second) as Micros
    }
}
