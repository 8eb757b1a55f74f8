//! The cluster of limiters: which members are alive, and which of them owns which shard of the shared work.
//!
//! The crate does no I/O. Time and datagrams go in, datagrams and notifications come out, and [`ClusterMember::wake_at`] says
//! when to call again. Three parts do not know one another: [`gossip`] detects live members, [`lease`] grants shards by a
//! majority of voters with a fencing token, [`sharding`] assigns shards to members. [`ClusterMember`] combines them, and
//! [`message`] is what members send. See `docs/design/members.md`.
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
