//! The stream of a watch, cut into what it says: JSON objects in any layout, with empty lines between.
//!
//! Pure: bytes in, signs of life out. Only the outline of an object is read here; what it means is read by
//! whoever gets it.

#[cfg(test)]
mod tests;

use bytes::{Buf, Bytes, BytesMut};

/// What tells that the other side of a watch is alive. Part of a message does not: it may never be finished.
#[derive(Debug, PartialEq, Eq)]
pub enum Sign {
    /// A whole object.
    Message(Bytes),
    /// An empty line between two.
    EmptyLine,
}

/// Cuts a stream that comes in pieces.
pub struct Splitter {
    /// What is not handed out yet. Between two objects, none of it has been looked at.
    buffer: BytesMut,
    /// How much of the buffer belongs to an object that has begun.
    scanned: usize,
    /// Objects and arrays that are open.
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// Something else stands on the line.
    line_used: bool,
    longest: usize,
}

impl Splitter {
    /// Objects may be so long.
    pub fn new(longest: usize) -> Self {
        Splitter {
            buffer: BytesMut::new(),
            scanned: 0,
            depth: 0,
            in_string: false,
            escaped: false,
            line_used: false,
            longest,
        }
    }

    pub fn push(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// The next sign of life that is whole, or why nothing more can be read.
    pub fn next_sign(&mut self) -> Result<Option<Sign>, String> {
        while self.depth == 0 && !self.buffer.is_empty() {
            match self.buffer[0] {
                b'\n' => {
                    self.buffer.advance(1);
                    if !std::mem::take(&mut self.line_used) {
                        return Ok(Some(Sign::EmptyLine));
                    }
                }
                b' ' | b'\t' | b'\r' => self.buffer.advance(1),
                b'{' => (self.depth, self.scanned) = (1, 1),
                other => {
                    let found = char::from(other);
                    return Err(format!("a message begins with {found:?}, expected an object"));
                }
            }
        }
        while self.depth > 0 && self.scanned < self.buffer.len() {
            self.step(self.buffer[self.scanned]);
            self.scanned += 1;
        }
        if self.depth == 0 && self.scanned > 0 {
            let message = self.buffer.split_to(std::mem::take(&mut self.scanned)).freeze();
            self.line_used = true;
            return Ok(Some(Sign::Message(message)));
        }
        if self.buffer.len() > self.longest {
            return Err(format!("a message is over {} bytes long", self.longest));
        }
        Ok(None)
    }

    /// One byte of an object. A bracket that closes another kind is left to the reader of the whole.
    fn step(&mut self, byte: u8) {
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
