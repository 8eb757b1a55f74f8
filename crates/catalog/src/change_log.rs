//! The list of servers held by a relay, and a history of its changes.

use crate::difference::Difference;
use crate::history::{History, HISTORY_CHANGES};
use crate::{ApplyError, Digest, Instance, Subscription, Update};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// The current servers by service, and a bounded history of their changes.
#[derive(Clone, Debug)]
pub struct ChangeLog {
    revision: Option<u64>,
    by_id: HashMap<String, Arc<Instance>>,
    services: BTreeMap<String, ServiceEntries>,
    digest: Digest,
    history: History,
}

/// The servers of one service.
#[derive(Clone, Debug, Default)]
struct ServiceEntries {
    instances: BTreeMap<String, Arc<Instance>>,
    digest: Digest,
}

/// What an update changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// The revision of the list after the update.
    pub revision: u64,
    /// The services whose servers changed, and whose subscribers must be notified.
    pub services: BTreeSet<String>,
    /// The number of servers that changed.
    pub changed: usize,
}

impl ChangeLog {
    /// Creates an empty log that remembers up to [`HISTORY_CHANGES`] changes.
    pub fn new() -> Self {
        Self::with_history(HISTORY_CHANGES)
    }

    /// Creates an empty log that remembers up to `limit` changes.
    pub fn with_history(limit: usize) -> Self {
        ChangeLog {
            revision: None,
            by_id: HashMap::new(),
            services: BTreeMap::new(),
            digest: Digest::default(),
            history: History::new(limit),
        }
    }

    /// The revision of the current list, from which a watch on the upstream resumes; none before the first list.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// The number of changes in the history.
    pub fn history_len(&self) -> usize {
        self.history.len()
    }

    /// The number of services in the history, at most the number of its changes plus the services of the list.
    pub fn history_services(&self) -> usize {
        self.history.service_names().count()
    }

    /// The servers of a subscription, without terminated ones.
    pub fn instances<'a>(
        &'a self,
        subscription: &'a Subscription,
    ) -> impl Iterator<Item = &'a Arc<Instance>> {
        self.subscribed(subscription).flat_map(|service| service.instances.values())
    }

    /// The digest of the servers of a subscription.
    pub fn digest(&self, subscription: &Subscription) -> Digest {
        if *subscription == Subscription::All {
            return self.digest;
        }
        let mut digest = Digest::default();
        for service in self.subscribed(subscription) {
            digest.merge(service.digest);
        }
        digest
    }

    /// Accepts the next whole list whatever its revision, for a root that has restarted its numbering. The history
    /// is dropped with that list, so that a subscriber with an earlier revision gets a whole list.
    pub fn forget_revision(&mut self) {
        self.revision = None;
    }

    /// Applies an update from the upstream. A whole list is reduced to its differences from the current one.
    ///
    /// The digest is not checked if some entries of the update could not be read, because it cannot match then.
    ///
    /// # Errors
    /// The update does not fit the current list, which stays unchanged.
    pub fn apply(&mut self, update: Update) -> Result<Applied, ApplyError> {
        self.check_revision(&update)?;
        let revision = update.revision;
        let (expected, readable) = (update.digest, update.unreadable.is_empty());
        let differences = self.differences(update);
        let computed = self.digest_after(&differences);
        match expected {
            Some(expected) if expected != computed && readable => {
                return Err(ApplyError::DigestMismatch { revision, expected, computed });
            }
            _ => {}
        }
        Ok(self.commit(revision, differences))
    }

    fn check_revision(&self, update: &Update) -> Result<(), ApplyError> {
        match self.revision {
            None if !update.reset => Err(ApplyError::NoList { got: update.revision }),
            Some(held) if update.revision < held => Err(ApplyError::Older { held, got: update.revision }),
            _ => Ok(()),
        }
    }

    fn differences(&self, update: Update) -> Vec<Difference> {
        let reset = update.reset;
        // If an update names a server twice, the last entry wins.
        let named: BTreeMap<String, Instance> =
            update.instances.into_iter().map(|instance| (instance.instance_id.clone(), instance)).collect();
        let mut differences = Vec::new();
        if reset {
            let missing = self.by_id.iter().filter(|(id, _)| !named.contains_key(*id));
            differences.extend(missing.map(|(_, held)| Difference::new(Some(held.clone()), None)));
        }
        for (id, instance) in named {
            let before = self.by_id.get(&id).cloned();
            let after = Some(instance).filter(|instance| !instance.is_terminated());
            if before.as_deref() != after.as_ref() {
                differences.push(Difference::new(before, after.map(Arc::new)));
            }
        }
        differences
    }

    fn digest_after(&self, differences: &[Difference]) -> Digest {
        let mut digest = self.digest;
        for difference in differences {
            digest.unmerge(difference.removed);
            digest.merge(difference.added);
        }
        digest
    }

    fn commit(&mut self, revision: u64, differences: Vec<Difference>) -> Applied {
        let held = self.revision.replace(revision);
        match held {
            Some(held) => self.history.advance(held, revision),
            None => self.history.restart(revision),
        }
        let mut applied = Applied { revision, changed: differences.len(), ..Applied::default() };
        for difference in differences {
            self.replace(&difference);
            if held.is_some() {
                self.record(revision, &difference);
            }
            applied.services.extend(difference.services().map(str::to_owned));
        }
        if held == Some(revision) {
            // The list of this revision was corrected: subscribers with this revision may hold the incorrect one.
            for service in &applied.services {
                self.history.invalidate(service, revision);
            }
        }
        let services = &self.services;
        self.history.forget_services(|name| services.contains_key(name));
        applied
    }

    fn replace(&mut self, difference: &Difference) {
        if let Some(before) = &difference.before {
            self.remove(before, difference.removed);
        }
        if let Some(after) = &difference.after {
            self.insert(after.clone(), difference.added);
        }
    }

    fn remove(&mut self, instance: &Instance, digest: Digest) {
        self.by_id.remove(&instance.instance_id);
        self.digest.unmerge(digest);
        let Some(service) = self.services.get_mut(&instance.service) else { return };
        service.instances.remove(&instance.instance_id);
        service.digest.unmerge(digest);
        if service.instances.is_empty() {
            self.services.remove(&instance.service);
        }
    }

    fn insert(&mut self, instance: Arc<Instance>, digest: Digest) {
        self.digest.merge(digest);
        let service = self.services.entry(instance.service.clone()).or_default();
        service.digest.merge(digest);
        service.instances.insert(instance.instance_id.clone(), instance.clone());
        self.by_id.insert(instance.instance_id.clone(), instance);
    }

    fn record(&mut self, revision: u64, difference: &Difference) {
        let after_service = difference.after.as_ref().map(|after| after.service.as_str());
        if let Some(before) = &difference.before {
            // For subscribers of the previous service, a server that moved to another service is removed.
            if after_service != Some(before.service.as_str()) {
                self.history.record(&before.service, revision, Arc::new(before.terminated()));
            }
        }
        if let Some(after) = &difference.after {
            self.history.record(&after.service, revision, after.clone());
        }
    }

    /// The update that brings a subscriber from the revision `after` to the current one; none before the first list.
    ///
    /// It is the whole list if there is no `after` or the history does not reach back to it. The update has no digest;
    /// the caller adds one if the subscriber should verify its list.
    pub fn since(&self, subscription: &Subscription, after: Option<u64>) -> Option<Update> {
        let revision = self.revision?;
        let (reset, instances) = match after.filter(|after| self.reaches_back(subscription, *after)) {
            Some(after) => (false, self.changed_since(subscription, after)),
            None => (true, self.instances(subscription).map(|instance| Instance::clone(instance)).collect()),
        };
        Some(Update { revision, reset, instances, ..Update::default() })
    }

    /// A message without changes by which a subscriber verifies its digest; none before the first list.
    pub fn digest_message(&self, subscription: &Subscription) -> Option<Update> {
        let digest = Some(self.digest(subscription));
        Some(Update { revision: self.revision?, digest, ..Update::default() })
    }

    fn reaches_back(&self, subscription: &Subscription, after: u64) -> bool {
        self.revision.is_some_and(|revision| after <= revision)
            && self.history.reaches_back(after)
            && self
                .known_services(subscription)
                .iter()
                .all(|service| self.history.service_reaches_back(service, after))
    }

    fn changed_since(&self, subscription: &Subscription, after: u64) -> Vec<Instance> {
        let mut last = BTreeMap::new();
        for service in self.known_services(subscription) {
            for instance in self.history.changes(service, after) {
                last.insert(instance.instance_id.as_str(), instance);
            }
        }
        let current = |id: &str| self.by_id.get(id).filter(|held| subscription.includes(&held.service));
        last.into_iter()
            .map(|(id, recorded)| {
                current(id).map_or_else(|| recorded.terminated(), |held| Instance::clone(held))
            })
            .collect()
    }

    /// The services of a subscription that may have changes in the history.
    fn known_services<'a>(&'a self, subscription: &'a Subscription) -> Vec<&'a str> {
        match subscription {
            Subscription::All => self.history.service_names().collect(),
            Subscription::Services(names) => names.iter().map(String::as_str).collect(),
        }
    }

    fn subscribed<'a>(
        &'a self,
        subscription: &'a Subscription,
    ) -> Box<dyn Iterator<Item = &'a ServiceEntries> + 'a> {
        match subscription {
            Subscription::All => Box::new(self.services.values()),
            Subscription::Services(names) => {
                Box::new(names.iter().filter_map(|name| self.services.get(name)))
            }
        }
    }
}

impl Default for ChangeLog {
    fn default() -> Self {
        Self::new()
    }
}
