//! The framing of a watch: JSON objects in any layout, with empty lines between.
//!
//! Pure: bytes in, watch events out. Only the outline of an object is read here; its fields are decoded by the caller.

#[cfg(test)]
mod tests;

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// What shows that the other side of a watch is alive. Part of a message does not: it may never be completed.
#[derive(Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A complete object.
    Message(Bytes),
    /// An empty line between two: nothing has changed.
    EmptyLine,
}

/// Why nothing more can be read from a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FramingError {
    /// Something other than an object.
    #[error("a message begins with {found:?}, expected an object")]
    NotAnObject {
        /// The first character.
        found: char,
    },
    /// An object that does not end in time.
    #[error("a message is over {max_length} bytes long")]
    TooLong {
        /// The longest message that is read, in bytes.
        max_length: usize,
    },
}

/// Decodes a stream that comes in pieces.
pub struct WatchDecoder {
    /// What is not handed out yet. Between two objects, none of it has been scanned.
    buffer: BytesMut,
    /// How much of the buffer belongs to an object that has begun.
    scanned: usize,
    /// Objects and arrays that are open.
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// Something else stands on the line.
    line_used: bool,
    max_length: usize,
}

impl WatchDecoder {
    /// A decoder of objects up to this length, in bytes.
    pub fn new(max_length: usize) -> Self {
        WatchDecoder {
            buffer: BytesMut::new(),
            scanned: 0,
            depth: 0,
            in_string: false,
            escaped: false,
            line_used: false,
            max_length,
        }
    }

    /// Takes the next piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// The next complete event; none where more of the stream is needed.
    ///
    /// # Errors
    /// Nothing more can be read from this stream.
    pub fn next_event(&mut self) -> Result<Option<WatchEvent>, FramingError> {
        while self.depth == 0 && !self.buffer.is_empty() {
            match self.buffer[0] {
                b'\n' => {
                    self.buffer.advance(1);
                    if !std::mem::take(&mut self.line_used) {
                        return Ok(Some(WatchEvent::EmptyLine));
                    }
                }
                b' ' | b'\t' | b'\r' => self.buffer.advance(1),
                b'{' => (self.depth, self.scanned) = (1, 1),
                other => return Err(FramingError::NotAnObject { found: char::from(other) }),
            }
        }
        while self.depth > 0 && self.scanned < self.buffer.len() {
            self.scan(self.buffer[self.scanned]);
            self.scanned += 1;
        }
        if self.depth == 0 && self.scanned > 0 {
            let message = self.buffer.split_to(std::mem::take(&mut self.scanned)).freeze();
            self.line_used = true;
            return Ok(Some(WatchEvent::Message(message)));
        }
        if self.buffer.len() > self.max_length {
            return Err(FramingError::TooLong { max_length: self.max_length });
        }
        Ok(None)
    }

    /// Scans one byte of an object. A bracket that closes another kind is left to the decoder of the fields.
    fn scan(&mut self, byte: u8) {
        if self.in_string {
            match byte {
                _ if std::mem::take(&mut self.escaped) => {}
                b'\\' => self.escaped = true,
                b'"' => self.in_string = false,
                _ => {}
            }
            return;
        }
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            _ => {}
        }
    }
}
