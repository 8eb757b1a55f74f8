//! Datagrams between members: a byte for the kind, then gossip or a message in the postcard encoding.
//!
//! Postcard is positional: reordering variants or fields changes the wire format, renaming them does not.

use crate::gossip::GossipError;
use crate::lease::{FencingToken, HolderId, LeaseRequest, ShardLease, VoteReply};
use crate::Shard;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The largest datagram that is sent or accepted, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The largest payload of a [`Message::HolderMessage`], in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 1_200;
/// The most shards in one message: both the message and its reply must fit into a datagram.
pub(crate) const MAX_SHARDS_PER_MESSAGE: usize = 60;

const KIND_GOSSIP: u8 = 1;
const KIND_MESSAGE: u8 = 2;

/// A message between members, other than gossip.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A holder requests leases from a voter.
    LeaseRequest(LeaseRequest),
    /// A voter replies to a lease request.
    VoteReply(VoteReply),
    /// A holder tells each voter that it releases leases.
    Release {
        /// The holder.
        holder: HolderId,
        /// The leases that it releases.
        leases: Vec<ShardLease>,
    },
    /// A former holder tells the member that shards are now assigned to that they are free.
    ShardsFree(Vec<Shard>),
    /// The holder of a shard sends a payload to all members.
    HolderMessage {
        /// The shard.
        shard: Shard,
        /// The fencing token of its lease.
        token: FencingToken,
        /// The bytes to deliver.
        payload: Vec<u8>,
    },
}

/// A datagram that was received.
#[derive(Clone, Debug, PartialEq)]
pub enum Datagram<'a> {
    /// Gossip, encoded.
    Gossip(&'a [u8]),
    /// Any other message.
    Message(Message),
}

/// Why a datagram was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// It is longer than [`MAX_DATAGRAM_BYTES`].
    #[error("{found} bytes, expected {MAX_DATAGRAM_BYTES} at most")]
    TooLong {
        /// Its length, in bytes.
        found: usize,
    },
    /// It has no content.
    #[error("the datagram is empty")]
    Empty,
    /// Its first byte is not a known kind.
    #[error("unknown kind {found}, expected {KIND_GOSSIP} or {KIND_MESSAGE}")]
    UnknownKind {
        /// The first byte.
        found: u8,
    },
    /// Its message cannot be decoded.
    #[error("undecodable message: {0}")]
    Message(postcard::Error),
    /// Its gossip was rejected.
    #[error(transparent)]
    Gossip(#[from] GossipError),
}

impl Message {
    /// Encodes the message as a datagram; `None` if that fails.
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_extend(self, vec![KIND_MESSAGE]).ok()
    }
}

/// Turns encoded gossip into a datagram: the byte for the kind goes in front.
pub(crate) fn encode_gossip(mut gossip: Vec<u8>) -> Vec<u8> {
    gossip.insert(0, KIND_GOSSIP);
    gossip
}

/// Decodes a datagram.
///
/// # Errors
/// The datagram is too long, of an unknown kind, or its message cannot be decoded. Gossip is not decoded here.
pub fn decode(bytes: &[u8]) -> Result<Datagram<'_>, DatagramError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::TooLong { found: bytes.len() });
    }
    match bytes.split_first() {
        Some((&KIND_GOSSIP, gossip)) => Ok(Datagram::Gossip(gossip)),
        Some((&KIND_MESSAGE, message)) => {
            postcard::from_bytes(message).map(Datagram::Message).map_err(DatagramError::Message)
        }
        Some((kind, _)) => Err(DatagramError::UnknownKind { found: *kind }),
        None => Err(DatagramError::Empty),
    }
}
