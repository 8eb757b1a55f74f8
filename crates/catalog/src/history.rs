//! The changes of the last revisions, by service and bounded in number.

use crate::Instance;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// How many changes a log remembers by default: more than those of a day at 27,000 a day.
pub const HISTORY_CHANGES: usize = 32_768;

/// How many jumps over revisions are remembered.
const HISTORY_JUMPS: usize = 4_096;

/// What changed, by service. It answers for a service from its floor on.
#[derive(Clone, Debug)]
pub(crate) struct History {
    limit: usize,
    /// Before this revision it answers for no service.
    floor: u64,
    services: BTreeMap<String, ServiceHistory>,
    /// The service of each change, oldest first.
    order: VecDeque<Arc<str>>,
    /// The revisions that were passed over, oldest first.
    jumps: VecDeque<Jump>,
}

/// The changes of one service.
#[derive(Clone, Debug, Default)]
struct ServiceHistory {
    /// Before this revision something is missing.
    floor: u64,
    name: Arc<str>,
    changes: VecDeque<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    revision: u64,
    instance: Arc<Instance>,
}

/// A step that passed over the revisions between two others.
#[derive(Clone, Copy, Debug)]
struct Jump {
    from: u64,
    to: u64,
}

impl History {
    pub(crate) fn new(limit: usize) -> Self {
        History { limit, floor: 0, services: BTreeMap::new(), order: VecDeque::new(), jumps: VecDeque::new() }
    }

    /// Forgets everything; from now on it answers from this revision on.
    pub(crate) fn restart(&mut self, revision: u64) {
        *self = History { floor: revision, ..History::new(self.limit) };
    }

    /// How many changes it holds.
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    /// Notes a step from one revision to a later one.
    pub(crate) fn advance(&mut self, from: u64, to: u64) {
        if to - from <= 1 {
            return;
        }
        self.jumps.push_back(Jump { from, to });
        if self.jumps.len() > HISTORY_JUMPS {
            let oldest = self.jumps.pop_front().map_or(0, |jump| jump.to);
            self.floor = self.floor.max(oldest);
        }
    }

    /// Notes the state of a server that a revision brought for a service.
    pub(crate) fn record(&mut self, service: &str, revision: u64, instance: Arc<Instance>) {
        let history = self.service_mut(service);
        history.changes.push_back(Entry { revision, instance });
        let name = history.name.clone();
        self.order.push_back(name);
        while self.order.len() > self.limit {
            self.forget_oldest();
        }
    }

    /// What is held of a service at this revision was wrong until now: it answers from the next one on.
    pub(crate) fn distrust(&mut self, service: &str, revision: u64) {
        let history = self.service_mut(service);
        history.floor = history.floor.max(revision + 1);
    }

    fn service_mut(&mut self, service: &str) -> &mut ServiceHistory {
        if !self.services.contains_key(service) {
            let history = ServiceHistory { name: service.into(), ..ServiceHistory::default() };
            self.services.insert(service.to_owned(), history);
        }
        self.services.get_mut(service).expect("it was put there")
    }

    fn forget_oldest(&mut self) {
        let Some(name) = self.order.pop_front() else { return };
        let Some(history) = self.services.get_mut(&*name) else { return };
        if let Some(entry) = history.changes.pop_front() {
            history.floor = history.floor.max(entry.revision);
        }
    }

    /// Forgets a service that has neither servers nor changes any more. Its floor lives on in that of all.
    pub(crate) fn forget_services(&mut self, has_servers: impl Fn(&str) -> bool) {
        let mut floor = self.floor;
        self.services.retain(|name, history| {
            let keep = !history.changes.is_empty() || has_servers(name);
            if !keep {
                floor = floor.max(history.floor);
            }
            keep
        });
        self.floor = floor;
    }

    /// Whether nothing is missing after a revision in what it holds of all services.
    pub(crate) fn reaches_back(&self, after: u64) -> bool {
        let passed_over = self.jumps.iter().rev().any(|jump| jump.from < after && after < jump.to);
        after >= self.floor && !passed_over
    }

    /// Whether nothing is missing after a revision in what it holds of a service.
    pub(crate) fn service_reaches_back(&self, service: &str, after: u64) -> bool {
        self.services.get(service).is_none_or(|history| after >= history.floor)
    }

    /// The changes of a service after a revision, oldest first.
    pub(crate) fn changes(&self, service: &str, after: u64) -> impl Iterator<Item = &Arc<Instance>> {
        self.services.get(service).into_iter().flat_map(move |history| {
            let first = history.changes.partition_point(|entry| entry.revision <= after);
            history.changes.range(first..).map(|entry| &entry.instance)
        })
    }

    /// The names of all services that it knows.
    pub(crate) fn service_names(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }
}
