//! The framing of a watch: JSON objects in any layout, with empty lines between.
//!
//! The decoder does no I/O. It only finds where each object ends; the caller decodes the fields.

#[cfg(test)]
mod tests;

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// A sign that the other side of a watch is alive. Part of a message is not one, since the rest may never arrive.
#[derive(Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A complete object.
    Message(Bytes),
    /// An empty line between two objects: nothing has changed.
    EmptyLine,
}

/// A malformed stream, from which no further event can be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FramingError {
    /// A message is not a JSON object.
    #[error("a message begins with {found:?}, expected an object")]
    NotAnObject {
        /// The first character of the message.
        found: char,
    },
    /// An object is longer than the limit.
    #[error("a message is over {max_length} bytes long")]
    TooLong {
        /// The limit in bytes.
        max_length: usize,
    },
}

/// An incremental decoder of a watch's byte stream.
pub struct WatchDecoder {
    /// Received bytes that have not been returned in an event.
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer that belong to an incomplete object; zero between two objects.
    scanned: usize,
    /// Nesting depth of open objects and arrays.
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// The current line contains an object, so its end is not an empty line.
    line_has_object: bool,
    max_length: usize,
}

impl WatchDecoder {
    /// Creates a decoder of objects of up to `max_length` bytes.
    pub fn new(max_length: usize) -> Self {
        WatchDecoder {
            buffer: BytesMut::new(),
            scanned: 0,
            depth: 0,
            in_string: false,
            escaped: false,
            line_has_object: false,
            max_length,
        }
    }

    /// Appends the next chunk of the stream.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// The next complete event; none if more of the stream is needed.
    ///
    /// # Errors
    /// The stream is malformed.
    pub fn next_event(&mut self) -> Result<Option<WatchEvent>, FramingError> {
        while self.depth == 0 && !self.buffer.is_empty() {
            match self.buffer[0] {
                b'\n' => {
                    self.buffer.advance(1);
                    if !std::mem::take(&mut self.line_has_object) {
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
            self.line_has_object = true;
            return Ok(Some(WatchEvent::Message(message)));
        }
        if self.buffer.len() > self.max_length {
            return Err(FramingError::TooLong { max_length: self.max_length });
        }
        Ok(None)
    }

    /// Scans one byte of an object. Mismatched brackets (`{]`) are not detected here but when the fields are decoded.
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
