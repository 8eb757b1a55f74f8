//! Length-prefixed messages of gRPC: a compressed flag of one byte, a length of four bytes, the message.
//!
//! A peer may send a truncated, overlong or repeated message, so the prefix is checked as soon as it is complete,
//! and a stream that must hold one message is rejected as soon as a byte follows it.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::fmt;

/// Length in bytes of the prefix of each message.
pub const PREFIX_LEN: usize = 5;

/// Why a stream does not hold the messages that it should.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The compressed flag is set, but no compression was negotiated.
    Compressed,
    /// The compressed flag is neither 0 nor 1.
    Flag(u8),
    /// The announced length is above the limit.
    TooLarge {
        /// The length in the prefix.
        found: usize,
        /// The limit.
        max: usize,
    },
    /// The stream ended within a message.
    Truncated,
    /// Bytes follow the one message that was expected.
    MultipleMessages,
    /// The stream ended before any message.
    NoMessage,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Compressed => f.write_str("the message is compressed, expected none to be"),
            FrameError::Flag(found) => write!(f, "the message's first byte is {found}, expected 0"),
            FrameError::TooLarge { found, max } => {
                write!(f, "the message announces {found} bytes, expected {max} at most")
            }
            FrameError::Truncated => f.write_str("the stream ended within a message"),
            FrameError::MultipleMessages => f.write_str("a second message, expected one"),
            FrameError::NoMessage => f.write_str("the stream ended without a message"),
        }
    }
}

/// Encodes a message with its prefix. The message must be shorter than 4 GiB.
pub fn frame(message: &impl prost::Message) -> Bytes {
    let length = message.encoded_len();
    let mut buffer = BytesMut::with_capacity(PREFIX_LEN + length);
    buffer.put_u8(0);
    buffer.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
    // Encoding fails only if the buffer is full, and this one grows.
    let _ = message.encode(&mut buffer);
    buffer.freeze()
}

/// Decodes the messages of a stream.
#[derive(Debug)]
pub struct MessageDecoder {
    buffer: BytesMut,
    max: usize,
}

impl MessageDecoder {
    /// A decoder that rejects messages longer than `max` bytes.
    pub fn new(max: usize) -> MessageDecoder {
        MessageDecoder { buffer: BytesMut::new(), max }
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next message, if all of it has been received.
    ///
    /// # Errors
    /// If the prefix is invalid; the rest of the stream cannot be read then.
    pub fn next_message(&mut self) -> Result<Option<Bytes>, FrameError> {
        let Some(flag) = self.buffer.first().copied() else { return Ok(None) };
        match flag {
            0 => {}
            1 => return Err(FrameError::Compressed),
            other => return Err(FrameError::Flag(other)),
        }
        let Some(mut prefix) = self.buffer.get(1..PREFIX_LEN) else { return Ok(None) };
        let found = prefix.get_u32() as usize;
        if found > self.max {
            return Err(FrameError::TooLarge { found, max: self.max });
        }
        if self.buffer.len() < PREFIX_LEN + found {
            return Ok(None);
        }
        self.buffer.advance(PREFIX_LEN);
        Ok(Some(self.buffer.split_to(found).freeze()))
    }

    /// Whether all received bytes have been decoded.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Decodes a stream that must hold exactly one message.
#[derive(Debug)]
pub struct UnaryDecoder {
    decoder: MessageDecoder,
    message: Option<Bytes>,
}

impl UnaryDecoder {
    /// A decoder that rejects a message longer than `max` bytes.
    pub fn new(max: usize) -> UnaryDecoder {
        UnaryDecoder { decoder: MessageDecoder::new(max), message: None }
    }

    /// Adds received bytes.
    ///
    /// # Errors
    /// As soon as the stream cannot be exactly one message any more.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), FrameError> {
        if self.message.is_some() && !bytes.is_empty() {
            return Err(FrameError::MultipleMessages);
        }
        self.decoder.push(bytes);
        if self.message.is_none() {
            self.message = self.decoder.next_message()?;
        }
        if self.message.is_some() && !self.decoder.is_empty() {
            return Err(FrameError::MultipleMessages);
        }
        Ok(())
    }

    /// The message; called at the end of the stream.
    ///
    /// # Errors
    /// If the message is missing or truncated.
    pub fn finish(self) -> Result<Bytes, FrameError> {
        let is_empty = self.decoder.is_empty();
        self.message.ok_or(if is_empty { FrameError::NoMessage } else { FrameError::Truncated })
    }
}
