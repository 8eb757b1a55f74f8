//! What HTTP/2 clients and servers share: an executor of this thread, and a socket whose frames are metered.

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

/// Runs the tasks that hyper starts on this thread.
#[derive(Clone, Copy)]
pub struct LocalExecutor;

impl<F: Future + 'static> Executor<F> for LocalExecutor {
    fn execute(&self, task: F) {
        // The handle is not needed: the task ends with its stream.
        drop(tokio::task::spawn_local(async move {
            task.await;
        }));
    }
}

/// A socket that ends with an error when its peer exceeds the frame rates of a meter.
pub struct MeteredStream {
    stream: TcpStream,
    meter: FrameMeter,
    /// Times of the meter are seconds from here.
    opened_at: Instant,
    last_read: Rc<Cell<Instant>>,
}

impl MeteredStream {
    /// Meters a socket from now on.
    pub fn new(stream: TcpStream, meter: FrameMeter) -> MeteredStream {
        let now = Instant::now();
        MeteredStream { stream, meter, opened_at: now, last_read: Rc::new(Cell::new(now)) }
    }

    /// When anything last came, kept up to date.
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
        Poll::Ready(read.map_err(|flood| io::Error::other(flood.to_string())))
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
