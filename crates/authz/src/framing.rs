//! Length-prefixed messages: a byte that says whether it is compressed, four bytes of length, the message.
//!
//! Both sides read what the other may have cut, lengthened or doubled, so the prefix is judged as soon as it
//! is there and no byte is kept beyond what it announces.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::fmt;

/// Bytes before each message.
pub const PREFIX_LEN: usize = 5;

/// What is wrong with a sequence of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The first byte says that it is compressed, and no compression was agreed on.
    Compressed,
    /// The first byte is neither 0 nor 1.
    Flag(u8),
    /// The announced length is above the limit.
    TooLarge {
        /// What was announced.
        found: usize,
        /// The limit.
        max: usize,
    },
    /// It ended within a message.
    Truncated,
    /// A second message, or bytes of one, where one is due.
    MultipleMessages,
    /// It ended before any message.
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

/// A message with its prefix; lengths are below 4 GiB.
pub fn frame(message: &impl prost::Message) -> Bytes {
    let length = message.encoded_len();
    let mut buffer = BytesMut::with_capacity(PREFIX_LEN + length);
    buffer.put_u8(0);
    buffer.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
    // Encoding into a buffer that grows cannot fail.
    let _ = message.encode(&mut buffer);
    buffer.freeze()
}

/// Cuts a stream into messages.
#[derive(Debug)]
pub struct MessageDecoder {
    buffer: BytesMut,
    max: usize,
}

impl MessageDecoder {
    /// With the most bytes of one message.
    pub fn new(max: usize) -> MessageDecoder {
        MessageDecoder { buffer: BytesMut::new(), max }
    }

    /// Takes in what came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole message, if it is there.
    ///
    /// # Errors
    /// Its prefix is wrong; nothing after it can be read.
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

    /// Whether no byte is left over.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Reads a stream that is to hold exactly one message.
#[derive(Debug)]
pub struct UnaryDecoder {
    decoder: MessageDecoder,
    message: Option<Bytes>,
}

impl UnaryDecoder {
    /// With the most bytes of the message.
    pub fn new(max: usize) -> UnaryDecoder {
        UnaryDecoder { decoder: MessageDecoder::new(max), message: None }
    }

    /// Takes in what came.
    ///
    /// # Errors
    /// As soon as the stream cannot be right any more.
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

    /// The message, after the stream's end.
    ///
    /// # Errors
    /// It is not whole.
    pub fn finish(self) -> Result<Bytes, FrameError> {
        let nothing = self.decoder.is_empty();
        self.message.ok_or(if nothing { FrameError::NoMessage } else { FrameError::Truncated })
    }
}
