//! One list out of the lists of several regions, each of which has a root of its own.

use crate::{ApplyError, Change, Instance, Replica, Update};

/// The position of a region among those that are followed.
pub type RegionIndex = usize;

/// The replicas of all regions, seen as one list.
///
/// Each region counts its own revisions, so that all of them go on while they cannot reach one another; a region
/// that cannot be reached keeps the servers that it listed last. A server belongs to one region. Where two of them list
/// the same identity all the same, the entry of the region that comes first is seen.
#[derive(Clone, Debug)]
pub struct RegionLists {
    replicas: Vec<Replica>,
}

impl RegionLists {
    /// So many regions, of which nothing is known yet.
    pub fn new(regions: usize) -> Self {
        RegionLists { replicas: vec![Replica::new(); regions] }
    }

    /// The revision of a region, to ask it for what came after.
    pub fn revision(&self, region: RegionIndex) -> Option<u64> {
        self.replicas[region].revision()
    }

    /// Lets the next whole list of a region be taken whatever its revision, since its root counts anew.
    pub fn forget_revision(&mut self, region: RegionIndex) {
        self.replicas[region].forget_revision();
    }

    /// The servers of one region that are not terminated.
    pub fn instances_of(&self, region: RegionIndex) -> impl Iterator<Item = &Instance> {
        self.replicas[region].instances()
    }

    /// The servers of all regions that are not terminated.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        (0..self.replicas.len()).flat_map(move |region| {
            self.instances_of(region).filter(move |instance| !self.is_listed_before(region, instance))
        })
    }

    /// Whether a region that comes before this one lists the same identity.
    fn is_listed_before(&self, region: RegionIndex, instance: &Instance) -> bool {
        self.replicas[..region].iter().any(|earlier| earlier.instance(&instance.instance_id).is_some())
    }

    /// Applies the update of one region; returns what it changed in the merged list.
    ///
    /// # Errors
    /// The update does not fit what is held of the region, which stays as it is.
    pub fn apply(&mut self, region: RegionIndex, update: &Update) -> Result<Vec<Change>, ApplyError> {
        let changes = self.replicas[region].apply(update)?;
        Ok(changes.into_iter().filter_map(|change| self.seen_change(region, change)).collect())
    }

    /// What a change in one region is to those who see all; nothing where an earlier region lists the same identity.
    fn seen_change(&self, region: RegionIndex, change: Change) -> Option<Change> {
        let (Change::Listed(instance) | Change::Removed(instance)) = &change;
        if self.is_listed_before(region, instance) {
            return None;
        }
        match change {
            Change::Removed(removed) => {
                let mut later = self.replicas[region + 1..].iter();
                let listed = later.find_map(|replica| replica.instance(&removed.instance_id)).cloned();
                Some(listed.map_or(Change::Removed(removed), Change::Listed))
            }
            Change::Listed(_) => Some(change),
        }
    }
}
