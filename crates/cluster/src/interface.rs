//! The events that a member handles, and the actions and notifications that result.

use crate::gossip::MemberIdentity;
use crate::lease::FencingToken;
use crate::message::DatagramError;
use crate::Shard;
use std::net::SocketAddr;

/// An event that a member handles.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A datagram from an address.
    Datagram(SocketAddr, &'a [u8]),
    /// A timer is due: see [`crate::ClusterMember::wake_at`]. Waking earlier has no effect.
    Wake,
    /// The process shuts down: the member releases its leases and tells the other members. Later events have no effect.
    Leave,
}

/// An action for the caller to carry out. The order of actions matters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram to an address.
    Send(SocketAddr, Vec<u8>),
    /// Report a change.
    Notify(Notification),
}

/// A change in the cluster, reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notification {
    /// A process has joined.
    MemberUp(MemberIdentity),
    /// A process has left or failed.
    MemberDown(MemberIdentity),
    /// Other members had declared this process failed; it has rejoined.
    Rejoined,
    /// Two live processes have the same name.
    NameConflict {
        /// The name of both.
        name: String,
        /// The `instance` of each process, the lower first.
        instances: [u64; 2],
    },
    /// This member now holds the lease of the shard, with this fencing token.
    LeaseAcquired(Shard, FencingToken),
    /// This member no longer holds the lease that had this fencing token.
    LeaseLost(Shard, FencingToken),
    /// The holder of a shard has sent a payload to all members. Messages with a lower token than the highest seen for the
    /// shard are dropped.
    HolderMessage {
        /// The shard.
        shard: Shard,
        /// The fencing token of the sender.
        token: FencingToken,
        /// The bytes that the holder sent.
        payload: Vec<u8>,
    },
    /// A datagram was rejected.
    InvalidDatagram {
        /// The address that it came from.
        from: SocketAddr,
        /// Why it was rejected.
        error: DatagramError,
    },
}
