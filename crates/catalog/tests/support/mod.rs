//! A tree of relays and its replicas in simulated time: the catalog's own code, over a network with delays, losses
//! and faults, and a checker that compares every replica with the source.

pub mod checker;
pub mod follower;
pub mod measure;
pub mod network;
pub mod queue;
pub mod scenario;
pub mod server;
pub mod source;
pub mod topology;
pub mod world;

/// Microseconds of simulated time.
pub type Micros = u64;

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000 * MILLISECOND;

/// How often the source tells that it lives.
pub const HEARTBEAT: Micros = 2 * SECOND;

/// One in so many heartbeats is a message with a digest.
pub const HEARTBEATS_PER_DIGEST: u64 = 2;

/// A watch that told nothing for so long is replaced.
pub const HEARTBEAT_TIMEOUT: Micros = 2_500 * MILLISECOND;

/// A replica whose list was last confirmed so long ago says that it is stale.
pub const STALE_AFTER: Micros = 4_500 * MILLISECOND;

/// The age of a revision that no replica may act on without saying that it is stale.
pub const MAX_REVISION_AGE: Micros = 8 * SECOND;
