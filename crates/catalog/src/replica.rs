//! A subscriber's copy of the servers of its subscription.

use crate::{ApplyError, Digest, Instance, Update};
use std::collections::BTreeMap;

/// The servers of a subscription, as last received from a relay.
///
/// The messages of one watch arrive in order, and each watch starts after the current revision. Digests detect
/// messages that were lost nevertheless.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    revision: Option<u64>,
    instances: BTreeMap<String, Instance>,
    digest: Digest,
}

/// The effect of an update on one server.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The server was added or its description changed; this is its new description.
    Listed(Instance),
    /// The server was removed; this is its last description.
    Removed(Instance),
}

impl Replica {
    /// Creates an empty replica.
    pub fn new() -> Self {
        Self::default()
    }

    /// The revision of the current list, from which a watch resumes; none before the first list.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// The servers, without terminated ones, ordered by identity.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }

    /// Finds a server by its identity; terminated servers are not held.
    pub fn instance(&self, id: &str) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// The digest of the servers in this replica.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Accepts the next whole list whatever its revision, for a root that has restarted its numbering.
    pub fn forget_revision(&mut self) {
        self.revision = None;
    }

    /// Applies an update and returns the resulting changes.
    ///
    /// The digest is not checked if some entries of the update could not be read, because it cannot match then.
    ///
    /// # Errors
    /// The update does not fit the current list, which stays unchanged.
    pub fn apply(&mut self, update: &Update) -> Result<Vec<Change>, ApplyError> {
        self.check_revision(update)?;
        let changes = self.difference(update);
        let digest = self.digest_after(&changes);
        check_digest(update, digest)?;
        for change in &changes {
            self.commit(change);
        }
        self.digest = digest;
        self.revision = Some(update.revision);
        Ok(changes)
    }

    fn check_revision(&self, update: &Update) -> Result<(), ApplyError> {
        match self.revision {
            None if !update.reset => Err(ApplyError::NoList { got: update.revision }),
            Some(held) if update.revision < held => Err(ApplyError::Older { held, got: update.revision }),
            _ => Ok(()),
        }
    }

    fn difference(&self, update: &Update) -> Vec<Change> {
        // If an update names a server twice, the last entry wins.
        let named: BTreeMap<&str, &Instance> =
            update.instances.iter().map(|instance| (instance.instance_id.as_str(), instance)).collect();
        let mut changes = Vec::new();
        if update.reset {
            let missing = self.instances.iter().filter(|(id, _)| !named.contains_key(id.as_str()));
            changes.extend(missing.map(|(_, held)| Change::Removed(held.clone())));
        }
        for (id, instance) in named {
            match self.instances.get(id) {
                Some(held) if instance.is_terminated() => changes.push(Change::Removed(held.clone())),
                Some(held) if held == instance => {}
                None if instance.is_terminated() => {}
                _ => changes.push(Change::Listed(instance.clone())),
            }
        }
        changes
    }

    fn digest_after(&self, changes: &[Change]) -> Digest {
        let mut digest = self.digest;
        for change in changes {
            let (Change::Listed(instance) | Change::Removed(instance)) = change;
            if let Some(held) = self.instances.get(&instance.instance_id) {
                digest.remove(held);
            }
            if let Change::Listed(instance) = change {
                digest.add(instance);
            }
        }
        digest
    }

    fn commit(&mut self, change: &Change) {
        match change {
            Change::Listed(instance) => {
                self.instances.insert(instance.instance_id.clone(), instance.clone());
            }
            Change::Removed(instance) => {
                self.instances.remove(&instance.instance_id);
            }
        }
    }
}

fn check_digest(update: &Update, computed: Digest) -> Result<(), ApplyError> {
    match update.digest {
        Some(expected) if expected != computed && update.unreadable.is_empty() => {
            Err(ApplyError::DigestMismatch { revision: update.revision, expected, computed })
        }
        _ => Ok(()),
    }
}
