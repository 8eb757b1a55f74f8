//! What a member reports about the cluster and itself.

use crate::gossip::{MemberIdentity, MemberState};
use crate::lease::ShardLease;
use crate::Micros;

/// A process of the cluster, as one member sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    /// The process.
    pub identity: MemberIdentity,
    /// Its state.
    pub state: MemberState,
    /// Since when, by the clock of the member that reports.
    pub since: Micros,
    /// Shards assigned to it. Whether it holds them, only the process itself knows.
    pub assigned_shards: usize,
}

/// What a member knows of itself alone.
#[derive(Clone, Debug, PartialEq)]
pub struct LocalStatus {
    /// The leases held now.
    pub leases: Vec<ShardLease>,
    /// The local health score: see [`crate::gossip::Gossip::health_score`].
    pub health_score: u32,
}
