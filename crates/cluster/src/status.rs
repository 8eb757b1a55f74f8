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
    /// When it was last seen to join or leave, by the clock of the reporting member; if neither was seen, when that member
    /// started.
    pub since: Micros,
    /// Number of shards assigned to it. Only the process itself knows whether it holds their leases.
    pub assigned_shards: usize,
}

/// State of the reporting member that other members do not know.
#[derive(Clone, Debug, PartialEq)]
pub struct LocalStatus {
    /// The leases that it holds now.
    pub leases: Vec<ShardLease>,
    /// The local health score: see [`crate::gossip::Gossip::health_score`].
    pub health_score: u32,
}
