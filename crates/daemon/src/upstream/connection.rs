//! An outgoing HTTP/1.1 connection that is driven by its owner, without a background task, a pool or retries.
//!
//! Dropping an [`HttpConnection`] closes its socket at once, and no request is ever sent twice. What the kernel has not
//! sent by then is discarded: a server that cannot be reached for a while must not receive a request that was given up,
//! since it may have been sent to another server meanwhile.

use super::connection_counts::ConnectionCounts;
use super::socket::{Socket, SocketIo, WriteProgress};
use crate::body::{self, BodyError, MAX_BODY_BYTES};
use crate::count_guard::CountGuard;
use crate::memory::{MemoryBudget, OutOfMemory};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{HeaderMap, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// Maximum size of a response head, and of the part of a body that hyper buffers, in bytes.
const MAX_BUFFER: usize = 32 * 1024;
/// Maximum time from the first byte of a response to its last. It leaves room for one lost packet that the kernel
/// retransmits. Servers write a response in one go, so one that stalls midway never completes; without this limit it
/// would use up the whole time of its request.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a connection stays idle before it is reused. Stray bytes that arrive late after a response must not
/// be read as the response to the next request.
const REUSE_DELAY: Duration = Duration::from_millis(20);
/// Time that a connection has after a response to become ready for the next request; it is closed otherwise.
const READY_TIMEOUT: Duration = Duration::from_millis(100);

/// Why a request has no usable response.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// The connection was not established, or broke before the last byte of the request was written.
    #[error("the request was not sent completely")]
    NotSent,
    /// The connection broke, ended or carried invalid HTTP after the request was written.
    #[error("the connection broke before the response was complete")]
    Broken,
    /// The response's body is larger than [`MAX_BODY_BYTES`].
    #[error("the response body exceeds {MAX_BODY_BYTES} bytes")]
    TooLarge,
    /// There is no memory for the response's body.
    #[error("the response: {0}")]
    OutOfMemory(#[from] OutOfMemory),
}

impl From<BodyError> for ExchangeError {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLarge => Self::TooLarge,
            BodyError::OutOfMemory(error) => error.into(),
            BodyError::Unreadable => Self::Broken,
        }
    }
}

/// The hyper connection, which reads and writes the socket whenever it is polled.
struct Driver {
    connection: Pin<Box<Connection<TokioIo<SocketIo>, Full<Bytes>>>>,
    has_ended: bool,
}

impl Driver {
    fn poll(&mut self, cx: &mut std::task::Context<'_>) {
        if !self.has_ended && self.connection.as_mut().poll(cx).is_ready() {
            self.has_ended = true;
        }
    }

    /// Polls the connection along with a future until the future is ready. The connection may end in the same poll that
    /// delivers the response, so its end alone is no failure: only the future's output counts.
    async fn drive<F: Future>(&mut self, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|cx| {
            self.poll(cx);
            future.as_mut().poll(cx)
        })
        .await
    }
}

/// An HTTP/1.1 connection that carries one request at a time.
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
    socket: Rc<Socket>,
    address: SocketAddr,
    counts: Rc<ConnectionCounts>,
    _counted: CountGuard<Rc<Cell<usize>>>,
    /// When the request that is unanswered was begun; `None` if there is none.
    unanswered_since: Option<Instant>,
    /// Whether the server has read all that was written: a server may answer any status but 200 before it has.
    has_read_all: bool,
    /// When the latest request on the connection ended, or when the connection was opened.
    pub last_used: Instant,
}

impl HttpConnection {
    /// Opens a connection, and counts it as open until it is dropped. Has no timeout; the caller sets one.
    ///
    /// # Errors
    /// The connect or the handshake failed.
    pub async fn connect(address: SocketAddr, counts: &Rc<ConnectionCounts>) -> io::Result<HttpConnection> {
        let counted = counts.open_connection();
        let socket = Socket::new(TcpStream::connect(address).await?);
        // Set from the start, so that it holds as well when the process ends or is killed.
        socket.reset_on_close(true);
        let mut http = http1::Builder::new();
        http.max_buf_size(MAX_BUFFER);
        let handshake = http.handshake(TokioIo::new(SocketIo(socket.clone())));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let driver = Driver { connection: Box::pin(connection), has_ended: false };
        let last_used = Instant::now();
        Ok(HttpConnection {
            sender,
            driver,
            socket,
            address,
            counts: counts.clone(),
            _counted: counted,
            unanswered_since: None,
            has_read_all: true,
            last_used,
        })
    }

    /// The connection's socket.
    pub fn socket(&self) -> &Rc<Socket> {
        &self.socket
    }

    /// Whether the connection can carry further requests, at once or after the reuse delay. Unread bytes after the last
    /// response belong to no request, so a connection that has any must not be reused.
    pub fn is_usable(&self) -> bool {
        !self.driver.has_ended && self.sender.is_ready() && self.socket.is_idle()
    }

    /// Whether the connection has been idle long enough to be reused.
    pub fn is_past_reuse_delay(&self) -> bool {
        self.last_used.elapsed() >= REUSE_DELAY
    }

    /// Sends a request and returns the head of the response; the caller reads the body within
    /// [`HttpConnection::drive`].
    ///
    /// # Errors
    /// [`ExchangeError::NotSent`] or [`ExchangeError::Broken`], the latter also if the end of the body is ambiguous.
    pub async fn send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        self.socket.begin_message();
        let response = self.sender.send_request(request);
        let result = self.driver.drive(response).await;
        let response = result.map_err(|_| match self.socket.write_progress() {
            WriteProgress::Complete => ExchangeError::Broken,
            WriteProgress::None | WriteProgress::Partial => ExchangeError::NotSent,
        })?;
        if !is_framed_once(response.headers()) {
            return Err(ExchangeError::Broken);
        }
        Ok(response)
    }

    /// Sends a request and waits for the complete response, whose body is charged to `memory`. The time until the response
    /// begins is not limited, but once begun it has to complete within `RESPONSE_TIMEOUT`.
    ///
    /// A server starts to process a request once it has received the last byte. Anything that it sends earlier, such as
    /// a second response to the previous request, is not a response to this one and makes the exchange fail.
    ///
    /// # Errors
    /// Any [`ExchangeError`].
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        memory: &Arc<MemoryBudget>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let socket = self.socket.clone();
        if !socket.is_idle() {
            socket.begin_message();
            return Err(ExchangeError::NotSent);
        }
        socket.reset_responded_early();
        self.unanswered_since = Some(Instant::now());
        self.has_read_all = false;
        let result = self.receive_response(request, memory).await;
        let result = match socket.write_progress() {
            WriteProgress::Complete if socket.responded_early() => Err(ExchangeError::Broken),
            WriteProgress::None | WriteProgress::Partial => Err(ExchangeError::NotSent),
            WriteProgress::Complete => result,
        };
        if let Ok(response) = &result {
            self.unanswered_since = None;
            self.has_read_all = response.status() == StatusCode::OK;
        }
        result
    }

    /// Sends a request and waits for the response, which has to be complete in time once it has begun.
    async fn receive_response(
        &mut self,
        mut request: Request<Full<Bytes>>,
        memory: &Arc<MemoryBudget>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let socket = self.socket.clone();
        socket.expect_response();
        // After an informational (1xx) response, the final one has not begun yet.
        let informational = Arc::new(AtomicBool::new(false));
        let received = informational.clone();
        hyper::ext::on_informational(&mut request, move |_| received.store(true, Ordering::Relaxed));
        let mut response = pin!(self.complete_response(request, memory));
        let has_begun = || {
            if informational.swap(false, Ordering::Relaxed) {
                socket.expect_response();
            }
            socket.is_responding()
        };
        loop {
            // The response is polled first, and `has_begun` changes only while the response is read, so that no wake-up
            // is missed.
            let begun = poll_fn(|_| if has_begun() { Poll::Ready(()) } else { Poll::Pending });
            tokio::select! {
                biased;
                complete = response.as_mut() => return complete,
                () = begun => {}
            }
            match timeout(RESPONSE_TIMEOUT, response.as_mut()).await {
                Ok(complete) => return complete,
                Err(_) if informational.load(Ordering::Relaxed) => {}
                Err(_) => return Err(ExchangeError::Broken),
            }
        }
    }

    /// Sends a request and reads the complete response.
    async fn complete_response(
        &mut self,
        request: Request<Full<Bytes>>,
        memory: &Arc<MemoryBudget>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let (head, body) = self.send_request(request).await?.into_parts();
        let body = self.drive(body::read(body, memory)).await?;
        Ok(Response::from_parts(head, body))
    }

    /// Waits for a future that depends on this connection, and polls the connection meanwhile.
    pub async fn drive<F: Future>(&mut self, future: F) -> F::Output {
        self.driver.drive(future).await
    }

    /// Waits until the connection is ready for the next request. Returns `false` if it is not ready in time or has
    /// ended, and has to be closed.
    pub async fn wait_until_ready(&mut self) -> bool {
        let HttpConnection { sender, driver, .. } = self;
        let ready = poll_fn(|cx| {
            driver.poll(cx);
            sender.poll_ready(cx)
        });
        let is_ready = matches!(timeout(READY_TIMEOUT, ready).await, Ok(Ok(())));
        self.last_used = Instant::now();
        is_ready && !self.driver.has_ended
    }
}

/// Whether a response has one framing that all parsers understand alike. With another one the body may be a different one
/// from what the server sent, and bytes of it may be taken for the next response.
fn is_framed_once(headers: &HeaderMap) -> bool {
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(encoding) = encodings.next() else { return true };
    let is_chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked") && encodings.next().is_none();
    is_chunked && !headers.contains_key(CONTENT_LENGTH)
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        let written = self.socket.write_progress();
        if let Some(since) = self.unanswered_since.filter(|_| written != WriteProgress::None) {
            self.counts.closed_unanswered(self.address, written, since.elapsed());
        }
        if self.has_read_all {
            self.socket.reset_on_close(false);
        }
    }
}
