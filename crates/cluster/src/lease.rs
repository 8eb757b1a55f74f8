//! Leases of shards, granted by a majority of voters.
//!
//! A voter grants a shard to one holder at a time and promises by its own clock not to grant it to another for
//! [`LeaseSettings::promise_duration`]. The holder counts a shorter time by its own clock from the moment of its request, so
//! it has stopped before any voter may grant the shard to another. Clocks need not agree and may drift apart by
//! [`LeaseSettings::clock_drift`]. Any two majorities share a voter, so a shard never has two holders, whatever the network
//! does. Each new holder has a higher fencing token; a receiver ignores messages with a lower token than it has seen.
//!
//! Voters keep no state across a restart: a voter that starts grants nothing until its earlier promises have expired.
//!
//! Source: Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache consistency", 1989.

mod holder;
#[cfg(test)]
mod tests;
mod voter;

pub use holder::{LeaseChange, LeaseHolder};
pub use voter::Voter;

use crate::{Micros, Shard};
use serde::{Deserialize, Serialize};

/// The largest clock drift that a lease allows for; a larger one counts as this.
const MAX_CLOCK_DRIFT: f64 = 0.5;

/// The duration of leases and the drift of clocks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseSettings {
    /// How long a lease lasts after its request, by the holder's clock.
    pub duration: Micros,
    /// How much too fast or too slow a clock may run, as a ratio of true time. At most 0.5.
    pub clock_drift: f64,
}

impl LeaseSettings {
    /// How long a voter keeps a promise, by its own clock: longer than the holder's lease by as much as two clocks can drift
    /// apart.
    pub fn promise_duration(&self) -> Micros {
        let drift = self.clock_drift.clamp(0.0, MAX_CLOCK_DRIFT);
        (self.duration as f64 * (1.0 + drift) / (1.0 - drift)).ceil() as Micros + 1
    }
}

/// Identifies a holder: a random number drawn at each start of its process.
pub type HolderId = u64;

/// Increases with each new holder of a shard, so that messages of earlier holders can be recognized.
pub type FencingToken = u64;

/// A shard and the fencing token of its lease. The order of the fields is the format on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShardLease {
    /// The shard.
    pub shard: Shard,
    /// The fencing token.
    pub token: FencingToken,
}

/// A holder's request for leases, sent to each voter. The order of the fields is the format on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The requesting holder.
    pub holder: HolderId,
    /// Time of the request, by the holder's clock; the reply repeats it.
    pub requested_at: Micros,
    /// The shards, each with the token that its lease would have.
    pub leases: Vec<ShardLease>,
}

/// The decision of a voter about one shard. The order of the variants is the format on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Vote {
    /// The shard is granted for the duration of a lease.
    Granted,
    /// The shard is promised to another holder.
    HeldByOther {
        /// The token of the other holder.
        token: FencingToken,
        /// How long the promise still lasts, in microseconds.
        remaining: Micros,
    },
    /// A token at least as high has been granted before.
    TokenTooLow {
        /// The highest token granted: a new one must exceed it.
        granted: FencingToken,
    },
    /// The voter has started recently and grants nothing yet.
    Starting,
}

/// The vote on one requested lease. The order of the fields is the format on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShardVote {
    /// The shard.
    pub shard: Shard,
    /// The token in the request.
    pub token: FencingToken,
    /// The voter's decision.
    pub vote: Vote,
}

/// The reply of a voter to a request. The order of the fields is the format on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VoteReply {
    /// The requesting holder.
    pub holder: HolderId,
    /// Time of the request, by the holder's clock.
    pub requested_at: Micros,
    /// One vote for each shard of the request, except those that do not exist.
    pub votes: Vec<ShardVote>,
}
