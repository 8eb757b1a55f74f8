//! A bounded history of recent changes, by service.

use crate::Instance;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// The number of changes that a log remembers by default; more than a day's changes at 27,000 a day.
pub const HISTORY_CHANGES: usize = 32_768;

/// The number of remembered steps that skipped revisions.
const MAX_JUMPS: usize = 4_096;

/// Recent changes by service, complete for a service from its floor on.
#[derive(Clone, Debug)]
pub(crate) struct History {
    limit: usize,
    /// The oldest revision after which the changes of any service are complete.
    floor: u64,
    services: BTreeMap<String, ServiceHistory>,
    /// The service of each change, oldest first.
    order: VecDeque<Arc<str>>,
    /// The steps that skipped revisions, oldest first.
    jumps: VecDeque<Jump>,
}

/// The recent changes of one service.
#[derive(Clone, Debug, Default)]
struct ServiceHistory {
    /// The oldest revision after which `changes` is complete.
    floor: u64,
    name: Arc<str>,
    changes: VecDeque<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    revision: u64,
    instance: Arc<Instance>,
}

/// A step from one revision to another that skipped those in between.
#[derive(Clone, Copy, Debug)]
struct Jump {
    from: u64,
    to: u64,
}

impl History {
    pub(crate) fn new(limit: usize) -> Self {
        History { limit, floor: 0, services: BTreeMap::new(), order: VecDeque::new(), jumps: VecDeque::new() }
    }

    /// Drops all changes; the history starts at this revision.
    pub(crate) fn restart(&mut self, revision: u64) {
        *self = History { floor: revision, ..History::new(self.limit) };
    }

    /// The number of changes of all services.
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    /// Records a step from one revision to a later one.
    pub(crate) fn advance(&mut self, from: u64, to: u64) {
        if to - from <= 1 {
            return;
        }
        self.jumps.push_back(Jump { from, to });
        if self.jumps.len() > MAX_JUMPS {
            let oldest = self.jumps.pop_front().map_or(0, |jump| jump.to);
            self.floor = self.floor.max(oldest);
        }
    }

    /// Records the state that a server of a service has since a revision.
    pub(crate) fn record(&mut self, service: &str, revision: u64, instance: Arc<Instance>) {
        let history = self.service_mut(service);
        history.changes.push_back(Entry { revision, instance });
        let name = history.name.clone();
        self.order.push_back(name);
        while self.order.len() > self.limit {
            self.forget_oldest();
        }
    }

    /// Marks the list of a service as incorrect up to this revision: subscribers that hold this one or an earlier one
    /// get a whole list.
    pub(crate) fn invalidate(&mut self, service: &str, revision: u64) {
        let history = self.service_mut(service);
        history.floor = history.floor.max(revision + 1);
    }

    fn service_mut(&mut self, service: &str) -> &mut ServiceHistory {
        if !self.services.contains_key(service) {
            let history = ServiceHistory { name: service.into(), ..ServiceHistory::default() };
            self.services.insert(service.to_owned(), history);
        }
        self.services.get_mut(service).expect("the service was just inserted")
    }

    fn forget_oldest(&mut self) {
        let Some(name) = self.order.pop_front() else { return };
        let Some(history) = self.services.get_mut(&*name) else { return };
        if let Some(entry) = history.changes.pop_front() {
            history.floor = history.floor.max(entry.revision);
        }
    }

    /// Drops services that have neither servers nor changes. The floor of all services is raised to theirs.
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

    /// Whether the history of all services may be complete after a revision. The floors of the services are
    /// checked by [`History::service_reaches_back`].
    pub(crate) fn reaches_back(&self, after: u64) -> bool {
        let skipped = self.jumps.iter().rev().any(|jump| jump.from < after && after < jump.to);
        after >= self.floor && !skipped
    }

    /// Whether the changes of a service are complete after a revision.
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

    /// The names of all services in the history.
    pub(crate) fn service_names(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }
}
