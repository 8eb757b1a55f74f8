//! A TCP socket that records how much of the latest message was written, and whether the peer has answered it.
//!
//! Whether a request was handed to the kernel completely decides whether the server may have run it.

use super::read_ahead::ReadAhead;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Reads in a row before other tasks get their turn.
const MAX_READS_PER_POLL: usize = 8;
/// Buffer for one read ahead, in bytes.
const READ_AHEAD_BUFFER: usize = 4 * 1024;
/// Buffer for data that is discarded after a half-close, in bytes.
const DISCARD_BUFFER: usize = 8 * 1024;

/// How much of the latest message has been handed to the kernel.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum WriteProgress {
    /// No byte.
    None,
    /// Some bytes.
    Partial,
    /// All bytes.
    Complete,
}

/// A socket that knows how far the latest message was written.
pub struct Socket {
    stream: TcpStream,
    write_progress: Cell<WriteProgress>,
    /// Whether the peer has sent anything since the latest message was begun.
    is_answering: Cell<bool>,
    /// Whether any of it came before the message was written completely.
    answered_early: Cell<bool>,
    /// The first bytes received since [`Socket::record_up_to`], at most `record_limit`.
    recorded: RefCell<Vec<u8>>,
    record_limit: Cell<usize>,
    read_ahead: RefCell<ReadAhead>,
}

impl Socket {
    /// Wraps a stream. Nagle's algorithm is switched off, because messages are small and written in one go.
    pub fn new(stream: TcpStream) -> Rc<Self> {
        let _ = stream.set_nodelay(true);
        Rc::new(Socket {
            stream,
            write_progress: Cell::new(WriteProgress::None),
            is_answering: Cell::new(false),
            answered_early: Cell::new(false),
            recorded: RefCell::default(),
            record_limit: Cell::new(0),
            read_ahead: RefCell::default(),
        })
    }

    /// How much of the latest message was written.
    pub fn write_progress(&self) -> WriteProgress {
        self.write_progress.get()
    }

    /// The next message begins: nothing of it is written.
    pub(super) fn begin_message(&self) {
        self.write_progress.set(WriteProgress::None);
    }

    /// Whether the peer has sent anything since [`Socket::expect_answer`].
    pub(super) fn is_answering(&self) -> bool {
        self.is_answering.get()
    }

    /// Waits for the beginning of an answer from now on.
    pub(super) fn expect_answer(&self) {
        self.is_answering.set(false);
    }

    /// Whether the peer sent something before the message was written completely.
    pub(super) fn answered_early(&self) -> bool {
        self.answered_early.get()
    }

    /// Forgets what [`Socket::answered_early`] says.
    pub(super) fn reset_answered_early(&self) {
        self.answered_early.set(false);
    }

    /// Closes the connection at once, even while its owner is still to be dropped: a server must never see the next
    /// attempt of a request while this one still looks open.
    pub fn abort(&self) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Both);
    }

    /// Records what comes in from now on, up to `most` bytes; nothing for 0.
    pub fn record_up_to(&self, most: usize) {
        self.recorded.borrow_mut().clear();
        self.record_limit.set(most);
    }

    /// Whether anything has been recorded so far.
    pub fn has_recorded(&self) -> bool {
        !self.recorded.borrow().is_empty()
    }

    /// Takes what was recorded, and stops recording.
    pub fn take_recorded(&self) -> Vec<u8> {
        self.record_limit.set(0);
        self.recorded.take()
    }

    /// A lingering close: closes the sending side, and discards what comes in until the peer has closed, `time` is over
    /// or `most` bytes have come. Closing with unread data would reset the connection, and the peer could lose the
    /// answer.
    pub async fn lingering_close(&self, time: Duration, most: usize) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
        let discard = async {
            let mut left = most;
            let mut buffer = vec![0; DISCARD_BUFFER];
            while left > 0 && self.stream.readable().await.is_ok() {
                match self.stream.try_read(&mut buffer) {
                    Ok(count) if count > 0 => left = left.saturating_sub(count),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    _ => break,
                }
            }
        };
        let _ = timeout(time, discard).await;
    }

    /// Ready once the peer has closed its side or reset the connection, whatever is unread before that, or sends without
    /// end. Reads ahead, and keeps what it finds for the next reader.
    pub fn poll_closed(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut read_ahead = self.read_ahead.borrow_mut();
        let mut buffer = [0; READ_AHEAD_BUFFER];
        for _ in 0..MAX_READS_PER_POLL {
            if read_ahead.is_finished() {
                return Poll::Ready(());
            }
            if let Err(error) = ready!(self.stream.poll_read_ready(cx)) {
                read_ahead.set_end(Err(error));
                continue;
            }
            match self.stream.try_read(&mut buffer) {
                Ok(0) => read_ahead.set_end(Ok(())),
                Ok(count) => read_ahead.push(&buffer[..count]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => read_ahead.set_end(Err(error)),
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Whether more was read ahead than was kept: what is read from here on has a hole.
    pub fn is_overrun(&self) -> bool {
        self.read_ahead.borrow().is_overrun()
    }

    /// Whether the connection is open and has nothing to read. Asks the kernel, since the runtime may not have noticed
    /// yet.
    pub fn is_idle(&self) -> bool {
        if !self.read_ahead.borrow().is_empty() {
            return false;
        }
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Takes in `count` bytes that were read into the unfilled part of `buffer`.
    fn received(&self, buffer: &mut ReadBuf<'_>, count: usize) {
        self.is_answering.set(true);
        self.answered_early
            .set(self.answered_early.get() || self.write_progress.get() != WriteProgress::Complete);
        let mut recorded = self.recorded.borrow_mut();
        let capacity = self.record_limit.get().saturating_sub(recorded.len());
        recorded.extend_from_slice(&buffer.initialize_unfilled()[..count.min(capacity)]);
        buffer.advance(count);
    }
}

/// The side of the socket that hyper reads and writes.
pub struct SocketIo(pub Rc<Socket>);

impl AsyncRead for SocketIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = &self.0;
        let mut read_ahead = socket.read_ahead.borrow_mut();
        if let Some(count) = read_ahead.take(buffer) {
            socket.received(buffer, count);
            return Poll::Ready(Ok(()));
        }
        if let Some(end) = read_ahead.end() {
            return Poll::Ready(end);
        }
        loop {
            ready!(socket.stream.poll_read_ready(cx))?;
            match socket.stream.try_read(buffer.initialize_unfilled()) {
                Ok(count) => {
                    socket.received(buffer, count);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for SocketIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match self.0.stream.try_write_vectored(slices) {
                Ok(count) => {
                    if count > 0 {
                        self.0.write_progress.set(WriteProgress::Partial);
                    }
                    return Poll::Ready(Ok(count));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// hyper flushes once its buffer is empty, and buffers a request with a ready body completely before it writes any
    /// of it: a flush after a write means that the last byte is out.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.0.write_progress.get() == WriteProgress::Partial {
            self.0.write_progress.set(WriteProgress::Complete);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}
