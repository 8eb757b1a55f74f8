//! The servers of a subscription as a subscriber holds them.

use crate::{ApplyError, Digest, Instance, Update};
use std::collections::BTreeMap;

/// The servers that a subscriber follows, as the relays last sent them.
///
/// The messages of one watch come in order, and each watch begins after the revision at hand; whether one was
/// lost all the same, the digests show it.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    revision: Option<u64>,
    instances: BTreeMap<String, Instance>,
    digest: Digest,
}

/// One difference that an update made.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The server is new, or something about it is.
    Listed(Instance),
    /// The server is gone; this is what was known of it.
    Removed(Instance),
}

impl Replica {
    /// A replica that holds nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// The revision at hand, to ask for what came after it.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// The servers that are not terminated, by identity.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }

    /// A server that is not terminated.
    pub fn instance(&self, id: &str) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// The digest of these servers.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Lets the next whole list be taken whatever its revision, since the root counts anew.
    pub fn forget_revision(&mut self) {
        self.revision = None;
    }

    /// Applies an update and returns what it changed.
    ///
    /// The digest of an update of which some entries could not be read is not checked: it cannot match.
    ///
    /// # Errors
    /// The update does not fit the servers at hand, which stay as they are.
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
        // Where an update names a server twice, the last entry counts.
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
