//! The byte stream of one client, cut at the end of each request.
//!
//! hyper may read past the end of a request, and removes `Content-Length` from a head that has `Transfer-Encoding` too.
//! This stream passes on no byte behind a head before hyper has said how long its body is, and none behind the body
//! before that body has been read. So each head is found and checked by exactly its own bytes, in whatever pieces and
//! behind whatever other requests they were received.

use super::rejection::RequestError;
use crate::upstream::socket::{Socket, SocketIo};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The maximum size of a request head, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The maximum number of headers that hyper accepts in a request.
const MAX_HEADERS: usize = 100;
/// The number of bytes that are received at once while a head is incomplete.
const RECEIVE_BYTES: usize = 4 * 1024;
/// The longest end of a head is `\n\r\n`: a search goes on this many bytes before the bytes that are new.
const HEAD_END_OVERLAP: usize = 2;
const CHUNKED: &str = "chunked";

/// How the head of a request frames its body.
type Framing = Result<(), RequestError>;

/// What the next bytes of the stream belong to.
#[derive(Clone, Copy)]
enum Position {
    /// A head that is not complete; none of it has been passed on.
    Head,
    /// A complete head, of which this many bytes have not been passed on.
    CompleteHead { left: usize },
    /// Behind a head, before [`RequestStream::begin_body`].
    BehindHead,
    /// A body of which this many bytes have not been passed on.
    Body { left: u64 },
    /// No request begins behind this point: the head is malformed or too large, or only hyper can find the end of the
    /// body. The connection ends with this request.
    LastRequest,
}

struct State {
    position: Position,
    /// Bytes that were received and not passed on.
    received: Vec<u8>,
    /// The number of received bytes in which no end of the head was found.
    searched: usize,
    /// The framing of the head that was passed on last.
    framing: Framing,
    /// Wakes the reader once the size of the body is known.
    reader: Option<Waker>,
}

/// The requests of one client as a byte stream.
pub(super) struct RequestStream {
    socket: Rc<Socket>,
    state: RefCell<State>,
}

impl RequestStream {
    pub(super) fn new(socket: Rc<Socket>) -> Rc<Self> {
        let state = State {
            position: Position::Head,
            received: Vec::new(),
            searched: 0,
            framing: Ok(()),
            reader: None,
        };
        Rc::new(RequestStream { socket, state: RefCell::new(state) })
    }

    /// Whether a part of a head was received, but not all of it.
    pub(super) fn has_partial_head(&self) -> bool {
        let state = self.state.borrow();
        matches!(state.position, Position::Head) && !state.received.is_empty()
    }

    /// Passes on the body of the request that hyper has read the head of, and then the next head. `size` is the size of
    /// the body, or `None` if it is chunked: another parser could find a different end of such a body, so nothing
    /// behind it is read as a request.
    ///
    /// # Errors
    /// The head frames its body in more than one way, or in one that is not supported.
    pub(super) fn begin_body(&self, size: Option<u64>) -> Framing {
        let mut state = self.state.borrow_mut();
        let Position::BehindHead = state.position else {
            // hyper has found the end of a head where this stream has found none.
            state.position = Position::LastRequest;
            return Err(RequestError::AmbiguousLength);
        };
        state.position = match size {
            Some(left) if state.framing.is_ok() => Position::Body { left },
            _ => Position::LastRequest,
        };
        if let Some(reader) = state.reader.take() {
            reader.wake();
        }
        state.framing
    }

    fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut state = self.state.borrow_mut();
        loop {
            match state.position {
                Position::Head => {
                    if state.find_head_end() {
                        continue;
                    }
                    let mut bytes = [0; RECEIVE_BYTES];
                    let count = ready!(self.socket.poll_receive(cx, &mut ReadBuf::new(&mut bytes)))?;
                    if count == 0 {
                        return Poll::Ready(Ok(()));
                    }
                    state.received.extend_from_slice(&bytes[..count]);
                }
                Position::CompleteHead { left: 0 } => state.position = Position::BehindHead,
                Position::CompleteHead { left } => {
                    let count = state.pass_on(left, buffer);
                    state.position = Position::CompleteHead { left: left - count };
                    return Poll::Ready(Ok(()));
                }
                Position::BehindHead => {
                    state.reader = Some(cx.waker().clone());
                    return Poll::Pending;
                }
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
        let count = ready!(self.socket.poll_receive(cx, &mut limited))?;
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
        let new = &self.received[self.searched.saturating_sub(HEAD_END_OVERLAP)..];
        let is_candidate = self.searched == 0 || contains_empty_line(new);
        let parsed = if is_candidate { parse_head(&self.received) } else { Ok(None) };
        self.searched = self.received.len();
        self.position = match parsed {
            Ok(Some((size, framing))) => {
                self.framing = framing;
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
        buffer.put_slice(&self.received[..count]);
        self.received.drain(..count);
        if self.received.is_empty() {
            self.received = Vec::new();
        }
        count
    }
}

fn contains_empty_line(bytes: &[u8]) -> bool {
    bytes.windows(2).any(|end| end == b"\n\n") || bytes.windows(3).any(|end| end == b"\n\r\n")
}

/// The size of the head that the bytes begin with, and how it frames the body; `None` if it is incomplete.
fn parse_head(bytes: &[u8]) -> Result<Option<(usize, Framing)>, httparse::Error> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    Ok(match head.parse(bytes)? {
        httparse::Status::Complete(size) => Some((size, check_framing(head.headers))),
        httparse::Status::Partial => None,
    })
}

/// Checks that a body is framed in one way that hyper and the servers understand alike.
fn check_framing(headers: &[httparse::Header<'_>]) -> Framing {
    let mut encodings =
        headers.iter().filter(|header| header.name.eq_ignore_ascii_case(TRANSFER_ENCODING.as_str()));
    let Some(encoding) = encodings.next() else { return Ok(()) };
    if headers.iter().any(|header| header.name.eq_ignore_ascii_case(CONTENT_LENGTH.as_str())) {
        return Err(RequestError::AmbiguousLength);
    }
    let is_chunked = encoding.value.trim_ascii().eq_ignore_ascii_case(CHUNKED.as_bytes());
    if !is_chunked || encodings.next().is_some() {
        return Err(RequestError::UnsupportedTransferEncoding);
    }
    Ok(())
}

/// Adapts a shared [`RequestStream`] and its socket to the I/O traits, for use by hyper.
pub(super) struct RequestIo {
    requests: Rc<RequestStream>,
    replies: SocketIo,
}

impl RequestIo {
    pub(super) fn new(requests: Rc<RequestStream>) -> Self {
        let replies = SocketIo(requests.socket.clone());
        RequestIo { requests, replies }
    }
}

impl AsyncRead for RequestIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.requests.poll_read(cx, buffer)
    }
}

impl AsyncWrite for RequestIo {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.replies).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.replies).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.replies).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.replies).poll_shutdown(cx)
    }
}
