//! Discrete-event simulation of a relay tree. Change logs and replicas run the production code of the catalog over a
//! simulated network with delays, losses and faults, and a checker compares every replica with the source.

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

/// The interval between heartbeats of the source.
pub const HEARTBEAT: Micros = 2 * SECOND;

/// Every nth heartbeat of the source is sent as a message with a digest.
pub const HEARTBEATS_PER_DIGEST: u64 = 2;

/// The silence after which a child connects to the next upstream.
pub const HEARTBEAT_TIMEOUT: Micros = 2_500 * MILLISECOND;

/// The time since the last confirmation of its list after which a replica reports itself stale.
pub const STALE_AFTER: Micros = 4_500 * MILLISECOND;

/// The longest time that a replica may miss a change, or hold an incorrect list, without reporting itself stale.
pub const MAX_REVISION_AGE: Micros = 8 * SECOND;
