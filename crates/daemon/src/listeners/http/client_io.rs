//! The I/O of hyper on a client's connection: reads whole requests, and writes replies.

use super::request_stream::RequestStream;
use crate::upstream::socket::{Socket, SocketIo};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Adapts a [`RequestStream`] and its socket to the I/O traits.
pub(super) struct ClientIo {
    requests: Rc<RequestStream>,
    replies: SocketIo,
}

impl ClientIo {
    pub(super) fn new(requests: Rc<RequestStream>, socket: Rc<Socket>) -> Self {
        ClientIo { requests, replies: SocketIo(socket) }
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
