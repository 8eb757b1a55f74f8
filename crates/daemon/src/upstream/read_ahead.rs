//! A buffer for bytes that are read before hyper requests them.

use bytes::BytesMut;
use std::io;
use tokio::io::ReadBuf;

/// Maximum number of buffered bytes. A peer that waits for a response does not send more than this after its request.
const MAX_BUFFERED: usize = 32 * 1024;
/// Number of bytes read ahead after which the peer is treated as disconnected, because it keeps sending without waiting
/// for a response.
const MAX_READ: usize = 1024 * 1024;

/// A read-ahead buffer. Reading ahead detects the end of a stream while data before that end is still unread.
#[derive(Default)]
pub(super) struct ReadAhead {
    buffered: BytesMut,
    /// Number of bytes read ahead since the buffer was last empty, including dropped ones.
    total: usize,
    /// How the stream ended after the buffered bytes, if it did.
    end: Option<io::Result<()>>,
}

impl ReadAhead {
    /// Adds bytes to the buffer, and drops those that exceed its capacity.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.total += bytes.len();
        let capacity = MAX_BUFFERED.saturating_sub(self.buffered.len());
        self.buffered.extend_from_slice(&bytes[..bytes.len().min(capacity)]);
    }

    /// Records that the stream has ended.
    pub(super) fn set_end(&mut self, end: io::Result<()>) {
        self.end = Some(end);
    }

    /// How the stream ended after the buffered bytes, if it did.
    pub(super) fn end(&self) -> Option<io::Result<()>> {
        let end = self.end.as_ref()?;
        Some(end.as_ref().map_or_else(|error| Err(error.kind().into()), |()| Ok(())))
    }

    /// Whether to stop reading ahead: the stream has ended, or the peer has sent too much.
    pub(super) fn is_finished(&self) -> bool {
        self.end.is_some() || self.total > MAX_READ
    }

    /// Whether bytes were dropped, so that the data that follows has a gap.
    pub(super) fn is_overrun(&self) -> bool {
        self.total > MAX_BUFFERED
    }

    /// Whether no bytes are buffered and no end of the stream is recorded.
    pub(super) fn is_empty(&self) -> bool {
        self.buffered.is_empty() && self.end.is_none()
    }

    /// Moves buffered bytes to the unfilled part of `buffer` without advancing it, and returns their number; `None` if
    /// nothing is buffered.
    pub(super) fn take(&mut self, buffer: &mut ReadBuf<'_>) -> Option<usize> {
        if self.buffered.is_empty() {
            return None;
        }
        let count = self.buffered.len().min(buffer.remaining());
        buffer.initialize_unfilled()[..count].copy_from_slice(&self.buffered.split_to(count));
        if self.buffered.is_empty() {
            self.total = 0;
        }
        Some(count)
    }
}
