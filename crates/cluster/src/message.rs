//! Datagrams between members: a byte for the kind, then gossip or a message in the postcard encoding.
//!
//! Postcard is positional: the order of variants and fields is the format, their names are not.

use crate::gossip::GossipError;
use crate::lease::{FencingToken, HolderId, LeaseRequest, ShardLease, VoteReply};
use crate::Shard;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The largest datagram that is sent or accepted, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The largest payload of a [`Message::HolderMessage`], in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 1_200;
/// Shards of one message: its reply fits into a datagram, too.
pub(crate) const SHARDS_PER_MESSAGE: usize = 60;

const KIND_GOSSIP: u8 = 1;
const KIND_MESSAGE: u8 = 2;

/// What members send beside gossip.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A holder requests leases from a voter.
    LeaseRequest(LeaseRequest),
    /// A voter replies.
    VoteReply(VoteReply),
    /// A holder releases leases, to each voter.
    Release {
        /// The holder.
        holder: HolderId,
        /// Its former leases.
        leases: Vec<ShardLease>,
    },
    /// Shards were released, to the member that they are assigned to.
    ShardsFree(Vec<Shard>),
    /// The holder of a shard sends something to all members.
    HolderMessage {
        /// The shard.
        shard: Shard,
        /// The fencing token of its lease.
        token: FencingToken,
        /// The content.
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

/// A datagram that no member has sent, or that is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// It is longer than [`MAX_DATAGRAM_BYTES`].
    #[error("{found} bytes, expected {MAX_DATAGRAM_BYTES} at most")]
    TooLong {
        /// Its length, in bytes.
        found: usize,
    },
    /// It has no content.
    #[error("it is empty")]
    Empty,
    /// Its first byte is no known kind.
    #[error("it begins with {found}, expected {KIND_GOSSIP} or {KIND_MESSAGE}")]
    UnknownKind {
        /// The first byte.
        found: u8,
    },
    /// It is no message.
    #[error("no word of a member: {0}")]
    Message(postcard::Error),
    /// Its gossip is not accepted.
    #[error(transparent)]
    Gossip(#[from] GossipError),
}

impl Message {
    /// The datagram with this message; `None` if it cannot be encoded.
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_extend(self, vec![KIND_MESSAGE]).ok()
    }
}

/// The datagram with this gossip.
pub(crate) fn encode_gossip(mut gossip: Vec<u8>) -> Vec<u8> {
    gossip.insert(0, KIND_GOSSIP);
    gossip
}

/// Decodes a datagram.
///
/// # Errors
/// The datagram is too long, of no known kind, or no message. Gossip is not decoded here.
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
