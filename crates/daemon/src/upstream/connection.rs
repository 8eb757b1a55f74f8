//! One outgoing HTTP/1.1 connection, driven by whoever holds it: no background task, no pool, no retries.
//!
//! Dropping a [`Link`] closes its socket at once, and nothing is ever sent twice. The socket records whether
//! a request has been handed to the kernel whole, because that decides whether the server may have run it.

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// Bodies hold at most this many bytes, in either direction.
pub const MAX_BODY: usize = 64 * 1024;
/// An answer's head, and what hyper buffers of its body, hold at most this many bytes.
const MAX_BUFFER: usize = 32 * 1024;
/// From its first byte an answer must be whole within this time; one packet lost and sent again by the kernel
/// fits. Servers write answers in one go: one that stops in its midst never ends, and all its request's time
/// would go by with it.
const ANSWER: Duration = Duration::from_millis(250);
/// A link rests for this time before it is used again: what comes late behind an answer and belongs to none
/// must not be read as the answer to the next request.
const REST: Duration = Duration::from_millis(20);
/// How long a connection may take to settle after an answer before it is closed instead of kept.
const SETTLE: Duration = Duration::from_millis(100);

/// Bytes that are read ahead of a message's end and kept, and that may come so in all: nobody who waits for an
/// answer writes as much behind its request.
const AHEAD: (usize, usize) = (16 * 1024, 1024 * 1024);
/// Reads in a row while others wait for their turn.
const READS: usize = 8;

/// How much of the latest request has been handed to the kernel.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Written {
    Nothing,
    Part,
    Whole,
}

/// A socket that knows how far the latest message was written.
pub struct Socket {
    stream: TcpStream,
    written: Cell<Written>,
    /// Something has come since the latest message was begun, and some of it before that was written whole.
    answering: Cell<bool>,
    early: Cell<bool>,
    /// The first bytes that came since [`Socket::record`], so many at most.
    recorded: RefCell<Vec<u8>>,
    record_most: Cell<usize>,
    ahead: RefCell<Ahead>,
}

/// What was read while nobody asked for it.
#[derive(Default)]
struct Ahead {
    bytes: BytesMut,
    /// All that came so since it was last taken.
    in_all: usize,
    /// How the stream ended behind it, if it did.
    end: Option<io::Result<()>>,
}

impl Socket {
    /// Small messages are to go out at once.
    pub fn new(stream: TcpStream) -> Rc<Self> {
        let _ = stream.set_nodelay(true);
        Rc::new(Socket {
            stream,
            written: Cell::new(Written::Nothing),
            answering: Cell::new(false),
            early: Cell::new(false),
            recorded: RefCell::default(),
            record_most: Cell::new(0),
            ahead: RefCell::default(),
        })
    }

    pub fn written(&self) -> Written {
        self.written.get()
    }

    /// Ends the connection at once, also while its owner is still to be dropped: a server must never see the
    /// next attempt of a request while this one still looks open.
    pub fn abort(&self) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Both);
    }

    /// Records anew what comes in, up to so many bytes; none for 0.
    pub fn record(&self, most: usize) {
        self.recorded.borrow_mut().clear();
        self.record_most.set(most);
    }

    /// Whether anything has been recorded so far.
    pub fn has_recorded(&self) -> bool {
        !self.recorded.borrow().is_empty()
    }

    /// What was recorded; from now on nothing is.
    pub fn recorded(&self) -> Vec<u8> {
        self.record_most.set(0);
        self.recorded.take()
    }

    /// Writes no more, and reads on until the peer has closed, or has had so much time or sent so many bytes.
    pub async fn linger(&self, time: Duration, most: usize) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
        let discard = async {
            let mut left = most;
            let mut buffer = vec![0; 8 * 1024];
            while left > 0 && self.stream.readable().await.is_ok() {
                match self.stream.try_read(&mut buffer) {
                    Ok(n) if n > 0 => left = left.saturating_sub(n),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    _ => break,
                }
            }
        };
        let _ = timeout(time, discard).await;
    }

    /// Ready once the peer has ended its side or reset the connection, whatever lies unread before that end:
    /// reads on, and keeps what it finds for whoever reads next. So does one that sends without end.
    pub fn poll_gone(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut ahead = self.ahead.borrow_mut();
        let mut buffer = [0; 4 * 1024];
        for _ in 0..READS {
            if ahead.end.is_some() || ahead.in_all > AHEAD.1 {
                return Poll::Ready(());
            }
            if let Err(e) = ready!(self.stream.poll_read_ready(cx)) {
                ahead.end = Some(Err(e));
                continue;
            }
            match self.stream.try_read(&mut buffer) {
                Ok(0) => ahead.end = Some(Ok(())),
                Ok(n) => {
                    ahead.in_all += n;
                    let room = AHEAD.0.saturating_sub(ahead.bytes.len());
                    ahead.bytes.extend_from_slice(&buffer[..n.min(room)]);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => ahead.end = Some(Err(e)),
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Whether more came ahead than was kept: what is read from here on has a hole.
    pub fn overrun(&self) -> bool {
        self.ahead.borrow().in_all > AHEAD.0
    }

    /// Whether the connection is open and has nothing to read. Asks the kernel, since the runtime may not
    /// have noticed yet.
    pub fn quiet(&self) -> bool {
        let ahead = self.ahead.borrow();
        if !ahead.bytes.is_empty() || ahead.end.is_some() {
            return false;
        }
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// The side of the socket that hyper reads and writes.
pub struct Tracked(pub Rc<Socket>);

impl AsyncRead for Tracked {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let took = |buf: &mut ReadBuf<'_>, n: usize| {
            self.0.answering.set(true);
            self.0.early.set(self.0.early.get() || self.0.written.get() != Written::Whole);
            let mut recorded = self.0.recorded.borrow_mut();
            let room = self.0.record_most.get().saturating_sub(recorded.len());
            recorded.extend_from_slice(&buf.initialize_unfilled()[..n.min(room)]);
            buf.advance(n);
            Poll::Ready(Ok(()))
        };
        let mut ahead = self.0.ahead.borrow_mut();
        if !ahead.bytes.is_empty() {
            let n = ahead.bytes.len().min(buf.remaining());
            buf.initialize_unfilled()[..n].copy_from_slice(&ahead.bytes.split_to(n));
            if ahead.bytes.is_empty() {
                ahead.in_all = 0;
            }
            return took(buf, n);
        }
        if let Some(end) = &ahead.end {
            return Poll::Ready(end.as_ref().map_or_else(|e| Err(e.kind().into()), |()| Ok(())));
        }
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match self.0.stream.try_read(buf.initialize_unfilled()) {
                Ok(n) => return took(buf, n),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for Tracked {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match self.0.stream.try_write_vectored(bufs) {
                Ok(n) => {
                    if n > 0 {
                        self.0.written.set(Written::Part);
                    }
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// hyper flushes once its buffer is empty, and a request with a ready body is buffered whole before any
    /// of it is written: a flush after a write means that the last byte is out.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.0.written.get() == Written::Part {
            self.0.written.set(Written::Whole);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}

/// Why no usable answer came.
#[derive(Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection never came up, or broke before the last byte of the request was written.
    NotSent,
    /// It broke, ended or brought what is no HTTP after that.
    Broken,
    /// The answer's body is larger than bodies may be.
    TooLarge,
}

/// A connection and the requests on it, one after the other.
pub struct Link {
    sender: SendRequest<Full<Bytes>>,
    connection: Pin<Box<Connection<TokioIo<Tracked>, Full<Bytes>>>>,
    socket: Rc<Socket>,
    _counted: Counted,
    ended: bool,
    /// When it was last used.
    pub used: Instant,
}

impl Link {
    /// Connects; `open` counts the socket for as long as it lives. The caller bounds the time.
    pub async fn connect(address: SocketAddr, open: &Rc<Cell<usize>>) -> io::Result<Link> {
        let counted = Counted::new(open);
        let socket = Socket::new(TcpStream::connect(address).await?);
        let mut http = http1::Builder::new();
        http.max_buf_size(MAX_BUFFER);
        let handshake = http.handshake(TokioIo::new(Tracked(socket.clone())));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let connection = Box::pin(connection);
        Ok(Link { sender, connection, socket, _counted: counted, ended: false, used: Instant::now() })
    }

    pub fn socket(&self) -> &Rc<Socket> {
        &self.socket
    }

    /// Whether requests may go out on it, from now on or once it has rested. What came behind the last answer
    /// is no answer to anything: with it the link is of no further use.
    pub fn usable(&self) -> bool {
        !self.ended && self.sender.is_ready() && self.socket.quiet()
    }

    pub fn rested(&self) -> bool {
        self.used.elapsed() >= REST
    }

    /// Sends a request and gives the head of the answer; its body goes on through [`Link::drive`].
    pub async fn open(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Failure> {
        self.socket.written.set(Written::Nothing);
        let response = self.sender.send_request(request);
        let socket = self.socket.clone();
        let sent = drive(&mut self.connection, &mut self.ended, response).await;
        sent.map_err(|_| match socket.written() {
            Written::Whole => Failure::Broken,
            Written::Nothing | Written::Part => Failure::NotSent,
        })
    }

    /// Sends a request and waits for the whole answer, which may take its time to begin, but not to end.
    ///
    /// A server begins a request when its last byte has come. What it says before that is no answer to it, but to
    /// something else: a second answer to the request before, or noise.
    pub async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, Failure> {
        let socket = self.socket.clone();
        if !socket.quiet() {
            socket.written.set(Written::Nothing);
            return Err(Failure::NotSent);
        }
        socket.early.set(false);
        let result = self.answer_in_time(request).await;
        match socket.written() {
            Written::Whole if socket.early.get() => Err(Failure::Broken),
            Written::Nothing | Written::Part => Err(Failure::NotSent),
            Written::Whole => result,
        }
    }

    async fn answer_in_time(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, Failure> {
        let socket = self.socket.clone();
        socket.answering.set(false);
        // An informational answer says that the final one is still to begin.
        let informed = Arc::new(AtomicBool::new(false));
        let inform = informed.clone();
        hyper::ext::on_informational(&mut request, move |_| inform.store(true, Ordering::Relaxed));
        let mut answer = pin!(self.whole_answer(request));
        let begun = || {
            if informed.swap(false, Ordering::Relaxed) {
                socket.answering.set(false);
            }
            socket.answering.get()
        };
        loop {
            // The answer is polled first, and reading it is what sets the mark: no wake-up is missed.
            let begun = poll_fn(|_| if begun() { Poll::Ready(()) } else { Poll::Pending });
            tokio::select! {
                biased;
                whole = answer.as_mut() => return whole,
                () = begun => {}
            }
            let whole = timeout(ANSWER, answer.as_mut()).await;
            match whole {
                Ok(whole) => return whole,
                Err(_) if informed.load(Ordering::Relaxed) => {}
                Err(_) => return Err(Failure::Broken),
            }
        }
    }

    async fn whole_answer(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, Failure> {
        let (head, body) = self.open(request).await?.into_parts();
        // What says that it is too large need not come first.
        if body.size_hint().lower() > MAX_BODY as u64 {
            return Err(Failure::TooLarge);
        }
        let body = self.drive(Limited::new(body, MAX_BODY).collect()).await;
        match body {
            Ok(body) => Ok(Response::from_parts(head, body.to_bytes())),
            Err(e) if e.is::<LengthLimitError>() => Err(Failure::TooLarge),
            Err(_) => Err(Failure::Broken),
        }
    }

    /// Waits for something that comes through this connection, and keeps the connection going meanwhile.
    pub async fn drive<F: Future>(&mut self, wanted: F) -> F::Output {
        drive(&mut self.connection, &mut self.ended, wanted).await
    }

    /// Waits until the connection can take the next request; false if it has to be closed.
    pub async fn settle(&mut self) -> bool {
        let Link { sender, connection, ended, .. } = self;
        let ready = poll_fn(|cx| {
            if !*ended && connection.as_mut().poll(cx).is_ready() {
                *ended = true;
            }
            sender.poll_ready(cx)
        });
        let ready = matches!(timeout(SETTLE, ready).await, Ok(Ok(())));
        self.used = Instant::now();
        ready && !self.ended
    }
}

/// Polls the connection beside what is waited for. It may end in the very poll that brought the answer, so
/// its end alone is no failure: the wanted future tells.
async fn drive<F: Future>(
    connection: &mut Pin<Box<Connection<TokioIo<Tracked>, Full<Bytes>>>>,
    ended: &mut bool,
    wanted: F,
) -> F::Output {
    let mut wanted = pin!(wanted);
    poll_fn(|cx| {
        if !*ended && connection.as_mut().poll(cx).is_ready() {
            *ended = true;
        }
        wanted.as_mut().poll(cx)
    })
    .await
}

/// One of the sockets that are open or being opened, counted for the descriptor budget.
struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Counted(open.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
