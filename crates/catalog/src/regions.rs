//! Merges the lists of several regions, each of which has its own root.

use crate::{ApplyError, Change, Instance, Replica, Update};

/// The index of a region in a [`RegionLists`]; regions with a lower index take precedence.
pub type RegionIndex = usize;

/// The replicas of all regions, merged into one list.
///
/// Each region numbers its own revisions, so that regions continue to work while they cannot reach one another. An
/// unreachable region keeps the servers that it listed last. A server should belong to one region only; if two regions
/// list the same identity, the entry of the region with the lower index wins.
#[derive(Clone, Debug)]
pub struct RegionLists {
    replicas: Vec<Replica>,
}

impl RegionLists {
    /// Creates empty lists for a number of regions.
    pub fn new(regions: usize) -> Self {
        RegionLists { replicas: vec![Replica::new(); regions] }
    }

    /// The revision of a region's list, from which a watch resumes; none before the first list.
    pub fn revision(&self, region: RegionIndex) -> Option<u64> {
        self.replicas[region].revision()
    }

    /// Accepts the next whole list of a region whatever its revision, for a root that has restarted its numbering.
    pub fn forget_revision(&mut self, region: RegionIndex) {
        self.replicas[region].forget_revision();
    }

    /// The servers of one region, without terminated ones and before merging.
    pub fn instances_of(&self, region: RegionIndex) -> impl Iterator<Item = &Instance> {
        self.replicas[region].instances()
    }

    /// The servers of all regions, without terminated ones, each identity once.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        (0..self.replicas.len()).flat_map(move |region| {
            self.instances_of(region)
                .filter(move |instance| !self.is_listed_by_earlier_region(region, instance))
        })
    }

    /// Whether a region with a lower index lists the same identity.
    fn is_listed_by_earlier_region(&self, region: RegionIndex, instance: &Instance) -> bool {
        self.replicas[..region].iter().any(|earlier| earlier.instance(&instance.instance_id).is_some())
    }

    /// Applies an update of one region; returns the resulting changes to the merged list.
    ///
    /// # Errors
    /// The update does not fit the current list of the region, which stays unchanged.
    pub fn apply(&mut self, region: RegionIndex, update: &Update) -> Result<Vec<Change>, ApplyError> {
        let changes = self.replicas[region].apply(update)?;
        Ok(changes.into_iter().filter_map(|change| self.merged_change(region, change)).collect())
    }

    /// Translates a change in one region to the merged list; none if a region with a lower index lists the identity.
    fn merged_change(&self, region: RegionIndex, change: Change) -> Option<Change> {
        let (Change::Listed(instance) | Change::Removed(instance)) = &change;
        if self.is_listed_by_earlier_region(region, instance) {
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
