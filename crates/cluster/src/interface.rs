//! What a member handles, and what follows from it.

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
    /// The process shuts down: leases are released and the others are told. No actions follow afterwards.
    Leave,
}

/// An action to carry out, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram to an address.
    Send(SocketAddr, Vec<u8>),
    /// Take note of a change.
    Notify(Notification),
}

/// A change that the caller learns of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notification {
    /// A process has joined.
    MemberUp(MemberIdentity),
    /// A process has left or failed.
    MemberDown(MemberIdentity),
    /// The others declared this process failed: it has rejoined.
    Rejoined,
    /// Two live processes have the same name.
    NameConflict {
        /// The name.
        name: String,
        /// Their instances, the lower first.
        instances: [u64; 2],
    },
    /// The lease of a shard is held here from now on, with this fencing token.
    LeaseAcquired(Shard, FencingToken),
    /// The lease is no longer held here.
    LeaseLost(Shard, FencingToken),
    /// The holder of a shard has sent something to all members. Messages with a lower token than the highest seen are not
    /// delivered.
    HolderMessage {
        /// The shard.
        shard: Shard,
        /// The fencing token of the sender.
        token: FencingToken,
        /// The content.
        payload: Vec<u8>,
    },
    /// A datagram was rejected.
    InvalidDatagram {
        /// Its sender.
        from: SocketAddr,
        /// Why.
        error: DatagramError,
    },
}
