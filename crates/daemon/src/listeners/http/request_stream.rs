//! The byte stream of one client, cut at the end of each request.
//!
//! hyper may read past the end of a request, and removes `Content-Length` from a head that has `Transfer-Encoding` too.
//! This stream passes on no byte behind a head before hyper has said how long its body is, and none behind the body
//! before the request is answered. So each head is found and checked by exactly its own bytes, in whatever pieces and
//! behind whatever other requests they were received. What is held back is charged to the memory budget.

use super::framing::{contains_empty_line, parse_head, Framing, EMPTY_LINE_OVERLAP};
use super::rejection::RequestError;
use crate::memory::{MemoryBudget, MemoryReservation, ReservedBuffer};
use crate::upstream::socket::{Socket, WriteProgress, MAX_READ_BYTES};
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll, Waker};
use tokio::io::ReadBuf;

/// The maximum size of a request head, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The size of hyper's read buffer. It grows for a larger head, and stays as large while the connection lasts.
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// What an open request may keep of its head, as a multiple of its size: hyper's buffer, and copies of some fields.
const HEAD_MEMORY_FACTOR: usize = 2;
/// Maximum number of bytes that are kept of what is sent behind an open request. A client that waits for its answer
/// does not send more.
const MAX_READ_AHEAD: usize = 32 * 1024;
/// Number of bytes behind an open request after which the client is treated as disconnected, because it keeps sending
/// without waiting for an answer.
const MAX_SENT_AHEAD: usize = 1024 * 1024;

/// The reply to a head for which there is no memory.
const HEAD_REJECTION: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// What the next bytes of the stream belong to.
#[derive(Clone, Copy, PartialEq)]
enum Position {
    /// A head that is not complete; none of it has been passed on.
    Head,
    /// A complete head, of which this many bytes have not been passed on.
    CompleteHead { left: usize },
    /// Behind a head, before [`RequestStream::begin_body`].
    BehindHead,
    /// A body of which this many bytes have not been passed on.
    Body { left: u64 },
    /// Behind a body, before [`RequestStream::end_request`].
    BehindBody,
    /// No request begins behind this point: the head is malformed or too large, or only hyper can find the end of the
    /// body. The connection ends with this request.
    LastRequest,
}

struct State {
    position: Position,
    /// Bytes that were received and not passed on.
    received: ReservedBuffer,
    /// The memory that hyper's read buffer takes beyond its usual size.
    read_buffer: MemoryReservation,
    /// How the stream ended behind the received bytes, if it did.
    end: Option<io::Result<()>>,
    /// The number of received bytes in which no end of the head was found.
    searched: usize,
    /// The size of the head that was found last.
    head_size: usize,
    /// The framing of that head.
    framing: Framing,
    /// The number of bytes that were received behind the open request.
    sent_ahead: usize,
    /// Whether some of these were dropped, so that what follows has a gap.
    has_gap: bool,
    /// Wakes the reader once the next bytes may be passed on.
    reader: Option<Waker>,
    /// Whether other connections get a turn before the next head: a client may send requests that are answered at once
    /// as fast as they are read.
    yields: bool,
    /// Whether the request whose head was passed on last is not answered yet.
    is_open: bool,
}

/// The requests of one client as a byte stream.
pub(super) struct RequestStream {
    socket: Rc<Socket>,
    memory: Arc<MemoryBudget>,
    state: RefCell<State>,
}

impl RequestStream {
    pub(super) fn new(socket: Rc<Socket>, memory: Arc<MemoryBudget>) -> Rc<Self> {
        let state = State {
            position: Position::Head,
            received: ReservedBuffer::new(memory.reservation(), 0),
            read_buffer: memory.reservation(),
            end: None,
            searched: 0,
            head_size: 0,
            framing: Ok(()),
            sent_ahead: 0,
            has_gap: false,
            reader: None,
            yields: false,
            is_open: false,
        };
        Rc::new(RequestStream { socket, memory, state: RefCell::new(state) })
    }

    /// Whether a part of a head was received, but not all of it.
    pub(super) fn has_partial_head(&self) -> bool {
        let state = self.state.borrow();
        state.position == Position::Head && !state.received.is_empty()
    }

    /// Whether the stream has ended because a head could not be kept.
    pub(super) fn is_out_of_memory(&self) -> bool {
        matches!(&self.state.borrow().end, Some(Err(error)) if error.kind() == io::ErrorKind::OutOfMemory)
    }

    /// Whether the connection has to close after the open request.
    pub(super) fn is_last_request(&self) -> bool {
        let state = self.state.borrow();
        state.position == Position::LastRequest || state.has_gap
    }

    /// Passes on the body of the request that hyper has read the head of. `size` is the size of the body, or `None` if it
    /// is chunked: another parser could find a different end of such a body, so nothing behind it is read as a request.
    /// Returns the memory that the request takes for its head.
    ///
    /// # Errors
    /// The head frames its body in more than one way or in one that is not supported, or there is no memory for it.
    pub(super) fn begin_body(&self, size: Option<u64>) -> Result<MemoryReservation, RequestError> {
        let mut state = self.state.borrow_mut();
        if state.position != Position::BehindHead {
            // hyper has found the end of a head where this stream has found none.
            state.position = Position::LastRequest;
            return Err(RequestError::AmbiguousLength);
        }
        state.is_open = true;
        state.position = match size {
            Some(left) if state.framing.is_ok() => Position::Body { left },
            _ => Position::LastRequest,
        };
        // Behind a request without a body there is nothing to read before its end.
        if state.position != (Position::Body { left: 0 }) {
            state.wake_reader();
        }
        state.framing?;
        let head_bytes = state.head_size * HEAD_MEMORY_FACTOR;
        if state.head_size > READ_BUFFER_BYTES {
            state.read_buffer.grow_to(head_bytes)?;
        }
        let mut memory = self.memory.reservation();
        memory.grow_to(head_bytes)?;
        Ok(memory)
    }

    /// Passes on the next head, once the rest of the body has been passed on. Called when the reply is known.
    pub(super) fn end_request(&self) {
        let mut state = self.state.borrow_mut();
        state.is_open = false;
        state.sent_ahead = 0;
        state.yields = !state.received.is_empty();
        if matches!(state.position, Position::BehindBody | Position::Body { left: 0 }) {
            state.position = Position::Head;
        }
        state.wake_reader();
    }

    pub(super) fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut state = self.state.borrow_mut();
        loop {
            match state.position {
                Position::Head => {
                    if std::mem::take(&mut state.yields) {
                        cx.waker().wake_by_ref();
                        return Poll::Pending;
                    }
                    if state.find_head_end() {
                        continue;
                    }
                    let mut bytes = [0; MAX_READ_BYTES];
                    let count = ready!(self.poll_receive(&mut state, cx, &mut ReadBuf::new(&mut bytes)))?;
                    if count == 0 {
                        return Poll::Ready(Ok(()));
                    }
                    if state.received.push(&bytes[..count]).is_err() {
                        self.reject_head();
                        state.end = Some(Err(io::ErrorKind::OutOfMemory.into()));
                    }
                }
                Position::CompleteHead { left: 0 } => state.position = Position::BehindHead,
                Position::CompleteHead { left } => {
                    let count = state.pass_on(left, buffer);
                    state.position = Position::CompleteHead { left: left - count };
                    return Poll::Ready(Ok(()));
                }
                Position::BehindHead | Position::BehindBody => {
                    state.reader = Some(cx.waker().clone());
                    return Poll::Pending;
                }
                Position::Body { left: 0 } if state.is_open => state.position = Position::BehindBody,
                Position::Body { left: 0 } => state.position = Position::Head,
                Position::Body { left } => {
                    let max = usize::try_from(left).unwrap_or(usize::MAX);
                    let count = ready!(self.poll_pass_on(&mut state, cx, max, buffer))?;
                    state.position = Position::Body { left: left - count as u64 };
                    return Poll::Ready(Ok(()));
                }
                Position::LastRequest => {
                    ready!(self.poll_pass_on(&mut state, cx, usize::MAX, buffer))?;
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }

    /// Ready once the client has closed its side or reset the connection, even if bytes before that are unread, or once
    /// it has sent too much behind the open request. Keeps these bytes for the next request.
    ///
    /// Reads all that has been received in one turn, so that a request whose client has left is not forwarded meanwhile.
    /// hyper does not detect the end of the stream behind bytes that it has not read.
    pub(super) fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.state.borrow_mut();
        let mut bytes = [0; MAX_READ_BYTES];
        while state.end.is_none() && state.sent_ahead <= MAX_SENT_AHEAD {
            let mut buffer = ReadBuf::new(&mut bytes);
            match ready!(self.socket.poll_receive(cx, &mut buffer)) {
                Ok(0) => state.end = Some(Ok(())),
                Ok(count) => state.read_ahead(&bytes[..count]),
                Err(error) => state.end = Some(Err(error)),
            }
        }
        Poll::Ready(())
    }

    /// Answers a head that cannot be kept. hyper does not do so, since it has no part of that head: it closes.
    fn reject_head(&self) {
        // The reply before may have been written in part only.
        if self.socket.write_progress() != WriteProgress::Partial {
            self.socket.try_write(HEAD_REJECTION);
        }
    }

    /// Receives bytes from the socket, or how the stream ended. Returns their number; 0 at the end of the stream.
    fn poll_receive(
        &self,
        state: &mut State,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<usize>> {
        match &state.end {
            None => self.socket.poll_receive(cx, buffer),
            Some(Ok(())) => Poll::Ready(Ok(0)),
            Some(Err(error)) => Poll::Ready(Err(error.kind().into())),
        }
    }

    /// Passes on up to `max` bytes, first those that were received before. Returns their number.
    fn poll_pass_on(
        &self,
        state: &mut State,
        cx: &mut Context<'_>,
        max: usize,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<usize>> {
        if !state.received.is_empty() {
            return Poll::Ready(Ok(state.pass_on(max, buffer)));
        }
        let max = max.min(buffer.remaining());
        let mut limited = ReadBuf::new(buffer.initialize_unfilled_to(max));
        let count = ready!(self.poll_receive(state, cx, &mut limited))?;
        buffer.advance(count);
        Poll::Ready(Ok(count))
    }
}

impl State {
    /// Searches the received bytes for the end of the head. Returns whether the position has changed.
    fn find_head_end(&mut self) -> bool {
        let is_searched = self.searched == self.received.len();
        if is_searched {
            return false;
        }
        // The first bytes are parsed even if they end no head, so that an error in them is found at once.
        let received = self.received.as_ref();
        let new = &received[self.searched.saturating_sub(EMPTY_LINE_OVERLAP)..];
        let is_candidate = self.searched == 0 || contains_empty_line(new);
        let parsed = if is_candidate { parse_head(received) } else { Ok(None) };
        self.searched = self.received.len();
        self.position = match parsed {
            Ok(Some((size, framing))) => {
                self.framing = framing;
                self.head_size = size;
                self.searched = 0;
                Position::CompleteHead { left: size }
            }
            Ok(None) if self.received.len() < MAX_HEAD_BYTES => return false,
            // hyper finds the same error, or that the head is too large, and answers it.
            Ok(None) | Err(_) => Position::LastRequest,
        };
        true
    }

    /// Moves up to `max` received bytes to the buffer. Returns their number.
    fn pass_on(&mut self, max: usize, buffer: &mut ReadBuf<'_>) -> usize {
        let count = max.min(buffer.remaining()).min(self.received.len());
        buffer.put_slice(&self.received.as_ref()[..count]);
        self.received.consume(count);
        count
    }

    /// Keeps bytes that were received behind the open request, as far as the limits allow.
    fn read_ahead(&mut self, bytes: &[u8]) {
        self.sent_ahead += bytes.len();
        // Nothing behind the last request is read as another.
        let is_needed = !self.has_gap && self.position != Position::LastRequest;
        if is_needed {
            let fits = self.received.len() + bytes.len() <= MAX_READ_AHEAD;
            self.has_gap = !fits || self.received.push(bytes).is_err();
        }
    }

    fn wake_reader(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}
