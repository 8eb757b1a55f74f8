//! Cluster membership of limiters: which members are alive, and which member owns each shard of the shared work.
//!
//! The crate does no I/O: the caller passes in the time and received datagrams and gets back datagrams to send and
//! notifications. [`ClusterMember::wake_at`] is the time of the next call. Three modules are independent of each other:
//! [`gossip`] detects live members, [`lease`] grants shards by a majority of voters with a fencing token, [`sharding`] assigns
//! shards to members. [`ClusterMember`] combines them, and [`message`] defines the datagrams. See `docs/design/members.md`.
#![warn(missing_docs)]

pub mod gossip;
mod interface;
pub mod lease;
mod member;
pub mod message;
mod settings;
pub mod sharding;
mod status;

pub use interface::{Action, Event, Notification};
pub use member::ClusterMember;
pub use message::{MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES};
pub use settings::{Settings, SettingsError};
pub use status::{LocalStatus, MemberStatus};

/// Microseconds of the monotonic clock of one process. Values of different processes cannot be compared.
pub type Micros = u64;

/// The number of a shard, from 0.
pub type Shard = u16;
