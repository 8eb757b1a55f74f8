//! A TCP socket that records how much of the latest message was written, and whether the peer has responded to it.
//!
//! The server may have executed a request only if the request was handed to the kernel completely.

use socket2::SockRef;
use std::cell::{Cell, Ref, RefCell};
use std::future::poll_fn;
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

/// Maximum number of bytes that are received at once. hyper enlarges its read buffer, for as long as the connection lasts,
/// when a read fills all of its 8 KiB.
pub const MAX_READ_BYTES: usize = 4 * 1024;
/// Size of the buffer for data that is discarded after a half-close, in bytes.
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

/// A TCP socket that tracks the progress of the latest message and the response to it.
pub struct Socket {
    /// `None` once the socket is aborted.
    stream: RefCell<Option<TcpStream>>,
    write_progress: Cell<WriteProgress>,
    /// Whether the peer has sent anything since [`Socket::expect_response`].
    is_responding: Cell<bool>,
    /// Whether the peer has sent anything while the latest message was not written completely.
    responded_early: Cell<bool>,
}

impl Socket {
    /// Wraps a stream, and disables Nagle's algorithm on it, because messages are small and written in one go.
    pub fn new(stream: TcpStream) -> Rc<Self> {
        let _ = stream.set_nodelay(true);
        Rc::new(Socket {
            stream: RefCell::new(Some(stream)),
            write_progress: Cell::new(WriteProgress::None),
            is_responding: Cell::new(false),
            responded_early: Cell::new(false),
        })
    }

    /// How much of the latest message has been written.
    pub fn write_progress(&self) -> WriteProgress {
        self.write_progress.get()
    }

    /// Marks the beginning of the next message, of which nothing is written yet.
    pub(super) fn begin_message(&self) {
        self.write_progress.set(WriteProgress::None);
    }

    /// Whether the peer has sent anything since [`Socket::expect_response`].
    pub(super) fn is_responding(&self) -> bool {
        self.is_responding.get()
    }

    /// Marks that no response has begun yet.
    pub(super) fn expect_response(&self) {
        self.is_responding.set(false);
    }

    /// Whether the peer has sent anything while the latest message was not written completely, since
    /// [`Socket::reset_responded_early`].
    pub(super) fn responded_early(&self) -> bool {
        self.responded_early.get()
    }

    /// Resets [`Socket::responded_early`] to `false`.
    pub(super) fn reset_responded_early(&self) {
        self.responded_early.set(false);
    }

    /// Whether closing the connection resets it. The kernel then discards what it has not sent yet; otherwise it goes on
    /// sending that after the close, for minutes if the peer cannot be reached, even if the process has ended.
    pub(super) fn reset_on_close(&self, reset: bool) {
        if let Ok(stream) = self.stream() {
            let _ = SockRef::from(&*stream).set_linger(reset.then_some(Duration::ZERO));
        }
    }

    /// Makes the kernel end the connection, and discard what it has not sent, once the peer has not acknowledged data for
    /// `timeout`; by default it tries on for minutes.
    ///
    /// # Errors
    /// The socket was aborted, or the kernel does not support the timeout.
    pub(super) fn set_unacknowledged_timeout(&self, timeout: Option<Duration>) -> io::Result<()> {
        SockRef::from(&*self.stream()?).set_tcp_user_timeout(timeout)
    }

    /// Closes the connection at once, even before its owner is dropped: a server must not receive the next attempt of a
    /// request while the connection of this one still looks open.
    pub fn abort(&self) {
        self.stream.take();
    }

    /// The stream.
    ///
    /// # Errors
    /// The socket was aborted.
    fn stream(&self) -> io::Result<Ref<'_, TcpStream>> {
        let stream = Ref::filter_map(self.stream.borrow(), Option::as_ref);
        stream.map_err(|_| io::ErrorKind::ConnectionAborted.into())
    }

    /// Reads what has arrived.
    fn poll_try_read(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        let stream = self.stream()?;
        loop {
            ready!(stream.poll_read_ready(cx))?;
            match stream.try_read(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Shuts down the sending side.
    fn shut_down_write(&self) -> io::Result<()> {
        SockRef::from(&*self.stream()?).shutdown(Shutdown::Write)
    }

    /// A lingering close: shuts down the sending side, and discards received data until the peer has closed the
    /// connection, `max_time` has passed or `max_bytes` have been received. Closing a socket with unread data would
    /// reset the connection, and the peer could lose the response.
    pub async fn lingering_close(&self, max_time: Duration, max_bytes: usize) {
        let _ = self.shut_down_write();
        let discard = async {
            let mut left = max_bytes;
            let mut buffer = vec![0; DISCARD_BUFFER];
            while left > 0 {
                match poll_fn(|cx| self.poll_try_read(cx, &mut buffer)).await {
                    Ok(count) if count > 0 => left = left.saturating_sub(count),
                    _ => break,
                }
            }
        };
        let _ = timeout(max_time, discard).await;
    }

    /// Whether the connection is open and has no unread data. Asks the kernel, since the runtime may not have been
    /// notified yet.
    pub fn is_idle(&self) -> bool {
        let Ok(stream) = self.stream() else { return false };
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*stream).peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Receives into the unfilled part of `buffer`, [`MAX_READ_BYTES`] at most. Returns the number of bytes; 0 at the end
    /// of the stream.
    pub fn poll_receive(&self, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<usize>> {
        let max = buffer.remaining().min(MAX_READ_BYTES);
        let count = ready!(self.poll_try_read(cx, buffer.initialize_unfilled_to(max)))?;
        self.received(buffer, count);
        Poll::Ready(Ok(count))
    }

    /// Writes as much as the kernel accepts now. For a short message behind which the connection closes.
    pub fn try_write(&self, bytes: &[u8]) {
        if let Ok(stream) = self.stream() {
            let _ = stream.try_write(bytes);
        }
    }

    /// Accounts for `count` bytes that were read into the unfilled part of `buffer`, and advances it.
    fn received(&self, buffer: &mut ReadBuf<'_>, count: usize) {
        self.is_responding.set(true);
        self.responded_early
            .set(self.responded_early.get() || self.write_progress.get() != WriteProgress::Complete);
        buffer.advance(count);
    }
}

/// Adapts a shared [`Socket`] to the I/O traits, for use by hyper.
pub struct SocketIo(pub Rc<Socket>);

impl AsyncRead for SocketIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.0.poll_receive(cx, buffer).map_ok(|_| ())
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
        let stream = self.0.stream()?;
        loop {
            ready!(stream.poll_write_ready(cx))?;
            match stream.try_write_vectored(slices) {
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

    /// hyper flushes once its buffer is empty, and buffers a request whose body is ready completely before it writes
    /// any of it. A flush after a write therefore means that the last byte has been written.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.0.write_progress.get() == WriteProgress::Partial {
            self.0.write_progress.set(WriteProgress::Complete);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.0.shut_down_write())
    }
}
