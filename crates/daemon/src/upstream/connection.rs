//! One outgoing HTTP/1.1 connection, driven by its owner: no background task, no pool, no retries.
//!
//! Dropping an [`HttpConnection`] closes its socket at once, and nothing is ever sent twice.

use super::socket::{Socket, SocketIo, WriteProgress};
use crate::count_guard::CountGuard;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::{Request, Response};
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

/// Most bytes of a body, in either direction.
pub const MAX_BODY: usize = 64 * 1024;
/// Most bytes of an answer's head, and of what hyper buffers of its body.
const MAX_BUFFER: usize = 32 * 1024;
/// Time from the first byte of an answer to its last; one packet that the kernel loses and sends again fits. Servers
/// write answers in one go: one that stops midway never ends, and would use up all the time of its request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a connection is idle before it is used again: bytes that come late behind an answer and belong to none
/// must not be read as the answer to the next request.
const REUSE_DELAY: Duration = Duration::from_millis(20);
/// Time that a connection has to become ready for the next request after an answer before it is closed.
const READY_TIMEOUT: Duration = Duration::from_millis(100);

/// Why there is no usable answer.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// The connection was not established, or broke before the last byte of the request was written.
    #[error("the request was not sent completely")]
    NotSent,
    /// It broke, ended or brought invalid HTTP after that.
    #[error("the connection broke before the answer was complete")]
    Broken,
    /// The answer's body is larger than [`MAX_BODY`].
    #[error("the answer's body exceeds {MAX_BODY} bytes")]
    TooLarge,
}

/// The hyper connection that reads and writes the socket.
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

    /// Polls the connection beside what is waited for. It may end in the very poll that brought the answer, so its end
    /// alone is no failure: the wanted future decides.
    async fn drive<F: Future>(&mut self, wanted: F) -> F::Output {
        let mut wanted = pin!(wanted);
        poll_fn(|cx| {
            self.poll(cx);
            wanted.as_mut().poll(cx)
        })
        .await
    }
}

/// A connection and the requests on it, one after the other.
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
    socket: Rc<Socket>,
    _counted: CountGuard<Rc<Cell<usize>>>,
    /// When it was last used.
    pub last_used: Instant,
}

impl HttpConnection {
    /// Connects; `open_sockets` counts the socket for as long as it lives. The caller bounds the time.
    ///
    /// # Errors
    /// The error of the socket.
    pub async fn connect(address: SocketAddr, open_sockets: &Rc<Cell<usize>>) -> io::Result<HttpConnection> {
        let counted = CountGuard::new(open_sockets.clone());
        let socket = Socket::new(TcpStream::connect(address).await?);
        let mut http = http1::Builder::new();
        http.max_buf_size(MAX_BUFFER);
        let handshake = http.handshake(TokioIo::new(SocketIo(socket.clone())));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let driver = Driver { connection: Box::pin(connection), has_ended: false };
        Ok(HttpConnection { sender, driver, socket, _counted: counted, last_used: Instant::now() })
    }

    /// The socket.
    pub fn socket(&self) -> &Rc<Socket> {
        &self.socket
    }

    /// Whether it can be used for requests, now or once it has rested. Bytes behind the last answer are no answer to
    /// anything: with them the connection is of no further use.
    pub fn is_usable(&self) -> bool {
        !self.driver.has_ended && self.sender.is_ready() && self.socket.is_idle()
    }

    /// Whether it has been idle long enough to be used again.
    pub fn is_past_reuse_delay(&self) -> bool {
        self.last_used.elapsed() >= REUSE_DELAY
    }

    /// Sends a request and returns the head of the answer; its body comes through [`HttpConnection::drive`].
    ///
    /// # Errors
    /// [`ExchangeError::NotSent`] or [`ExchangeError::Broken`].
    pub async fn send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        self.socket.begin_message();
        let response = self.sender.send_request(request);
        let result = self.driver.drive(response).await;
        result.map_err(|_| match self.socket.write_progress() {
            WriteProgress::Complete => ExchangeError::Broken,
            WriteProgress::None | WriteProgress::Partial => ExchangeError::NotSent,
        })
    }

    /// Sends a request and waits for the complete answer, which may take its time to begin, but not to end.
    ///
    /// A server begins a request when its last byte has come. What it sends before that is an answer to something else:
    /// a second answer to the request before, or noise.
    ///
    /// # Errors
    /// Each [`ExchangeError`].
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let socket = self.socket.clone();
        if !socket.is_idle() {
            socket.begin_message();
            return Err(ExchangeError::NotSent);
        }
        socket.reset_answered_early();
        let result = self.answer_in_time(request).await;
        match socket.write_progress() {
            WriteProgress::Complete if socket.answered_early() => Err(ExchangeError::Broken),
            WriteProgress::None | WriteProgress::Partial => Err(ExchangeError::NotSent),
            WriteProgress::Complete => result,
        }
    }

    async fn answer_in_time(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let socket = self.socket.clone();
        socket.expect_answer();
        // An informational answer means that the final one is still to begin.
        let informational = Arc::new(AtomicBool::new(false));
        let mark = informational.clone();
        hyper::ext::on_informational(&mut request, move |_| mark.store(true, Ordering::Relaxed));
        let mut answer = pin!(self.complete_answer(request));
        let has_begun = || {
            if informational.swap(false, Ordering::Relaxed) {
                socket.expect_answer();
            }
            socket.is_answering()
        };
        loop {
            // The answer is polled first, and reading it is what sets the mark: no wake-up is missed.
            let begun = poll_fn(|_| if has_begun() { Poll::Ready(()) } else { Poll::Pending });
            tokio::select! {
                biased;
                complete = answer.as_mut() => return complete,
                () = begun => {}
            }
            match timeout(ANSWER_TIMEOUT, answer.as_mut()).await {
                Ok(complete) => return complete,
                Err(_) if informational.load(Ordering::Relaxed) => {}
                Err(_) => return Err(ExchangeError::Broken),
            }
        }
    }

    async fn complete_answer(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let (head, body) = self.send_request(request).await?.into_parts();
        // A body that is announced as too large need not be read first.
        if body.size_hint().lower() > MAX_BODY as u64 {
            return Err(ExchangeError::TooLarge);
        }
        let body = self.drive(Limited::new(body, MAX_BODY).collect()).await;
        match body {
            Ok(body) => Ok(Response::from_parts(head, body.to_bytes())),
            Err(error) if error.is::<LengthLimitError>() => Err(ExchangeError::TooLarge),
            Err(_) => Err(ExchangeError::Broken),
        }
    }

    /// Waits for something that comes through this connection, and keeps the connection going meanwhile.
    pub async fn drive<F: Future>(&mut self, wanted: F) -> F::Output {
        self.driver.drive(wanted).await
    }

    /// Waits until the connection can take the next request; `false` if it has to be closed.
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
