//! Connections whose bytes are counted.

use crate::run::messages::Traffic;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What went over the connections to one address.
#[derive(Debug, Default)]
pub struct Meter(Cell<Traffic>);

impl Meter {
    /// The counts so far.
    pub fn traffic(&self) -> Traffic {
        self.0.get()
    }

    /// Counts something.
    pub fn count(&self, change: impl FnOnce(&mut Traffic)) {
        let mut traffic = self.0.get();
        change(&mut traffic);
        self.0.set(traffic);
    }
}

/// A connection whose bytes are counted.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    meter: Rc<Meter>,
}

impl MeteredStream {
    /// Counts the bytes of a connection from now on.
    pub fn new(stream: TcpStream, meter: Rc<Meter>) -> Self {
        MeteredStream { stream, meter }
    }

    fn written(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(written)) = result {
            self.meter.count(|traffic| traffic.bytes_out += *written as u64);
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        self.meter.count(|traffic| traffic.bytes_in += read as u64);
        result
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.written(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.written(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
