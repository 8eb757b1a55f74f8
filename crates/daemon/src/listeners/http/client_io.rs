//! The I/O of hyper on a client's connection: reads whole requests, and limits the time that a reply waits for its client.

use super::request_stream::RequestStream;
use crate::upstream::socket::{Socket, SocketIo};
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, Sleep};

/// A connection is closed if its client takes nothing of a reply for this long: it would otherwise hold the reply and a
/// descriptor for as long as it likes.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Adapts a [`RequestStream`] and its socket to the I/O traits.
pub(super) struct ClientIo {
    requests: Rc<RequestStream>,
    replies: SocketIo,
    /// Expires when the client has taken nothing for [`WRITE_TIMEOUT`]; `None` while nothing waits to be written.
    write_timeout: Option<Pin<Box<Sleep>>>,
}

impl ClientIo {
    pub(super) fn new(requests: Rc<RequestStream>, socket: Rc<Socket>) -> Self {
        ClientIo { requests, replies: SocketIo(socket), write_timeout: None }
    }
}

impl AsyncRead for ClientIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.requests.poll_read(cx, buffer)
    }
}

impl AsyncWrite for ClientIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(written) = Pin::new(&mut self.replies).poll_write_vectored(cx, slices) {
            self.write_timeout = None;
            return Poll::Ready(written);
        }
        let write_timeout = self.write_timeout.get_or_insert_with(|| Box::pin(sleep(WRITE_TIMEOUT)));
        write_timeout.as_mut().poll(cx).map(|()| Err(io::ErrorKind::TimedOut.into()))
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
