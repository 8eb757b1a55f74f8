//! Bytes that were read while nobody asked for them.

use bytes::BytesMut;
use std::io;
use tokio::io::ReadBuf;

/// Most bytes that are kept: a peer that waits for an answer writes no more behind its request.
const MAX_KEPT: usize = 16 * 1024;
/// Bytes after which the peer counts as gone, because it sends without end.
const MAX_READ: usize = 1024 * 1024;

/// A read-ahead buffer. Reading ahead detects the end of a stream behind data that nobody has asked for yet.
#[derive(Default)]
pub(super) struct ReadAhead {
    kept: BytesMut,
    /// Bytes read ahead since the buffer was last empty, those that were not kept among them.
    total: usize,
    /// How the stream ended behind the kept bytes, if it did.
    end: Option<io::Result<()>>,
}

impl ReadAhead {
    /// Adds bytes, and drops those beyond what is kept.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.total += bytes.len();
        let capacity = MAX_KEPT.saturating_sub(self.kept.len());
        self.kept.extend_from_slice(&bytes[..bytes.len().min(capacity)]);
    }

    /// Records that the stream has ended.
    pub(super) fn set_end(&mut self, end: io::Result<()>) {
        self.end = Some(end);
    }

    /// How the stream ended behind the kept bytes, if it did.
    pub(super) fn end(&self) -> Option<io::Result<()>> {
        let end = self.end.as_ref()?;
        Some(end.as_ref().map_or_else(|error| Err(error.kind().into()), |()| Ok(())))
    }

    /// Whether there is nothing more to read ahead: the stream has ended, or the peer sends without end.
    pub(super) fn is_finished(&self) -> bool {
        self.end.is_some() || self.total > MAX_READ
    }

    /// Whether bytes were dropped, so that what is read from here on has a hole.
    pub(super) fn is_overrun(&self) -> bool {
        self.total > MAX_KEPT
    }

    /// Whether neither bytes nor an end were read ahead.
    pub(super) fn is_empty(&self) -> bool {
        self.kept.is_empty() && self.end.is_none()
    }

    /// Copies kept bytes into the unfilled part of `buffer` without advancing it, and returns how many; none if nothing
    /// is kept.
    pub(super) fn take(&mut self, buffer: &mut ReadBuf<'_>) -> Option<usize> {
        if self.kept.is_empty() {
            return None;
        }
        let count = self.kept.len().min(buffer.remaining());
        buffer.initialize_unfilled()[..count].copy_from_slice(&self.kept.split_to(count));
        if self.kept.is_empty() {
            self.total = 0;
        }
        Some(count)
    }
}
