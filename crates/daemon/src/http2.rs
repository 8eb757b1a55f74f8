//! Shared by HTTP/2 clients and servers: a hyper executor for the current thread, and a TCP stream whose incoming
//! frames are rate-limited.

use hyper::rt::Executor;
use liftrouter_authz::FrameMeter;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A hyper executor that runs every task on the current thread, so that tasks need not be `Send`.
#[derive(Clone, Copy)]
pub struct LocalExecutor;

impl<F: Future + 'static> Executor<F> for LocalExecutor {
    fn execute(&self, task: F) {
        // The task ends by itself when its stream closes, so the join handle is not needed.
        drop(tokio::task::spawn_local(async move {
            task.await;
        }));
    }
}

/// A TCP stream that fails with an error once its peer exceeds the frame rates that a [`FrameMeter`] allows.
pub struct MeteredStream {
    stream: TcpStream,
    meter: FrameMeter,
    /// Origin of the times, in seconds, that are passed to the meter.
    opened_at: Instant,
    last_read: Rc<Cell<Instant>>,
}

impl MeteredStream {
    /// Wraps a stream and meters the frames that it receives from now on.
    pub fn new(stream: TcpStream, meter: FrameMeter) -> MeteredStream {
        let now = Instant::now();
        MeteredStream { stream, meter, opened_at: now, last_read: Rc::new(Cell::new(now)) }
    }

    /// A shared cell that holds the time of the most recent read.
    pub fn last_read(&self) -> Rc<Cell<Instant>> {
        self.last_read.clone()
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let now = Instant::now();
        self.last_read.set(now);
        let seconds = now.saturating_duration_since(self.opened_at).as_secs_f64();
        let read = self.meter.read(&buffer.filled()[before..], seconds);
        Poll::Ready(read.map_err(|error| io::Error::other(error.to_string())))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
