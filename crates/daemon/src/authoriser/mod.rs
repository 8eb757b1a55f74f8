//! Authorisers: services that are asked about a request before the module is.
//!
//! A question is asked once. It is asked again only if it surely was not seen: refused, above a GOAWAY's last
//! id, or never written. What goes wrong leaves the limiter unsure, and the class says what that means.

use crate::count::Count;
use crate::http2::{Local, Metered};
use crate::log;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http2::{self, SendRequest};
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE, TE};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use liftrouter_authz::messages::envoy::service::auth::v3::{CheckRequest, CheckResponse};
use liftrouter_authz::{
    frame, verdict, Breaker, BreakerPolicy, FrameLimits, FrameMeter, Leave, Message, Unary, Verdict,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{timeout, timeout_at, Instant};

/// The limiters that a question came through, by name, separated by commas.
pub const VIA: HeaderName = HeaderName::from_static("liftrouter-via");
const GRPC_STATUS: &str = "grpc-status";
const GRPC_ENCODING: &str = "grpc-encoding";
const GRPC_TIMEOUT: HeaderName = HeaderName::from_static("grpc-timeout");
/// How long a connection may take to come up.
const CONNECT: Duration = Duration::from_millis(250);
/// A connection on which nothing came for so long after a PING is gone.
const PING: (Duration, Duration) = (Duration::from_secs(10), Duration::from_secs(2));
const WINDOW: u32 = 256 * 1024;
const FRAME: u32 = 16 * 1024;
/// Frames that an authoriser may send without a call's part, and resets.
const FRAMES: FrameLimits = FrameLimits { resets: 2_000.0, control: 2_000.0 };

/// What becomes of a request whose authoriser gave no answer to go by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenUnsure {
    /// It goes on.
    Pass,
    /// It is refused.
    Refuse,
}

/// An authoriser as the operator names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Asked {
    pub name: String,
    pub address: SocketAddr,
    pub connections: usize,
    /// Questions that may be open at once.
    pub questions: usize,
    /// The longest that an answer is waited for.
    pub timeout: Duration,
    /// Bytes of an answer.
    pub message: usize,
    pub breaker: BreakerPolicy,
    pub classes: HashMap<String, WhenUnsure>,
}

/// What was found out about a request.
pub enum Finding {
    Said(Verdict),
    /// Nothing to go by; the seconds after which asking may help, 0 if that is not known.
    Unsure(WhenUnsure, f64),
}

/// All authorisers, by the classes that they are asked about.
pub struct Authorisers {
    list: Vec<Rc<Authoriser>>,
    /// Name of this limiter, for questions that come back to it.
    name: String,
}

impl Authorisers {
    pub fn new(asked: Vec<Asked>, name: String) -> Authorisers {
        let list = asked.into_iter().map(|asked| Rc::new(Authoriser::new(asked))).collect();
        Authorisers { list, name }
    }

    /// The one that a class names, and what its silence means.
    pub fn of(&self, class: &str) -> Option<(&Rc<Authoriser>, WhenUnsure)> {
        self.list.iter().find_map(|a| Some((a, *a.asked.classes.get(class)?)))
    }

    /// Asks about a request that has come through these limiters already.
    pub async fn ask(
        &self,
        (authoriser, unsure): (&Rc<Authoriser>, WhenUnsure),
        question: &CheckRequest,
        via: &[String],
        due: Instant,
    ) -> Finding {
        let mut names: Vec<&str> = via.iter().map(String::as_str).collect();
        names.push(&self.name);
        match authoriser.ask(question, &names.join(","), due).await {
            Ok(verdict) => Finding::Said(verdict),
            Err(wait) => Finding::Unsure(unsure, wait),
        }
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// A connection that questions may go over.
struct Line {
    number: u64,
    sender: Sender,
    open: Rc<Cell<usize>>,
    heard: Rc<Cell<Instant>>,
}

pub struct Authoriser {
    asked: Asked,
    breaker: RefCell<Breaker>,
    born: Instant,
    open: Cell<usize>,
    lines: RefCell<Vec<Line>>,
    connecting: Cell<usize>,
    changed: Notify,
    next: Cell<u64>,
}

/// Why a question has no answer.
enum Fault {
    /// Surely not seen, for this stream was refused: it may be asked again.
    Refused,
    /// Surely not seen, for the connection takes nothing more: it may be asked again over another.
    NotSeen,
    /// It may have been seen.
    Broken(String),
}

impl Authoriser {
    fn new(asked: Asked) -> Authoriser {
        Authoriser {
            breaker: RefCell::new(Breaker::new(asked.breaker)),
            asked,
            born: Instant::now(),
            open: Cell::new(0),
            lines: RefCell::default(),
            connecting: Cell::new(0),
            changed: Notify::new(),
            next: Cell::new(0),
        }
    }

    fn now(&self) -> f64 {
        self.born.elapsed().as_secs_f64()
    }

    /// The answer, or after how many seconds asking may help.
    async fn ask(self: &Rc<Self>, question: &CheckRequest, via: &str, due: Instant) -> Result<Verdict, f64> {
        if self.open.get() >= self.asked.questions {
            // Busy with others, not down: nothing is held against it.
            return Err(0.0);
        }
        let leave = self.breaker.borrow_mut().leave(self.now())?;
        let _open = Count::new(&self.open);
        let mut trial = Trial { of: self, leave: Some(leave) };
        let until = due.min(Instant::now() + self.asked.timeout);
        let asked = timeout_at(until, self.question(question, via, until)).await;
        let fault = match asked {
            Ok(Ok(verdict)) => {
                trial.ended(true);
                return Ok(verdict);
            }
            Ok(Err(fault)) => fault,
            // The request's own time was shorter than an answer may take: no fault of the authoriser's.
            Err(_) if until == due => return Err(0.0),
            Err(_) => "no answer in time".to_string(),
        };
        trial.ended(false);
        if !self.breaker.borrow().is_closed() {
            log("authoriser", format_args!("{}: left alone for a while: {fault}", self.asked.name));
        }
        Err(0.0)
    }

    /// Asks, and once more if the first question surely was not seen.
    async fn question(
        self: &Rc<Self>,
        question: &CheckRequest,
        via: &str,
        until: Instant,
    ) -> Result<Verdict, String> {
        let body = frame(question);
        for _ in 0..2 {
            let (number, sender, open, heard) = self.line().await;
            let _open = Count::new(open);
            let silent = Silent { of: self, number, heard, since: Instant::now(), armed: Cell::new(true) };
            let answer = self.exchange(sender, message(&self.asked, body.clone(), via, until)).await;
            silent.armed.set(false);
            match answer {
                Ok(answer) => return verdict(answer),
                Err(Fault::Refused) => {}
                Err(Fault::NotSeen) => self.drop_line(number),
                Err(Fault::Broken(what)) => return Err(what),
            }
        }
        Err("refused twice, unseen".into())
    }

    /// The connection with the fewest open questions; waits for one where there is none.
    async fn line(self: &Rc<Self>) -> (u64, Sender, Rc<Cell<usize>>, Rc<Cell<Instant>>) {
        loop {
            let changed = self.changed.notified();
            {
                let mut lines = self.lines.borrow_mut();
                lines.retain(|line| !line.sender.is_closed());
                let there = lines.len() + self.connecting.get();
                let least = lines.iter().min_by_key(|line| line.open.get());
                // A further one is opened only where all that are there have something to do.
                if there < self.asked.connections && least.is_none_or(|line| line.open.get() > 0) {
                    self.connecting.set(self.connecting.get() + 1);
                    tokio::task::spawn_local(self.clone().connect());
                }
                if let Some(line) = least {
                    return (line.number, line.sender.clone(), line.open.clone(), line.heard.clone());
                }
            }
            changed.await;
        }
    }

    async fn connect(self: Rc<Self>) {
        let connect = async {
            let stream = TcpStream::connect(self.asked.address).await.ok()?;
            let _ = stream.set_nodelay(true);
            let socket = Metered::new(stream, FrameMeter::client(FRAMES, 0.0));
            let heard = socket.heard();
            let mut http = http2::Builder::new(Local);
            http.timer(TokioTimer::new())
                .initial_stream_window_size((self.asked.message as u32).saturating_add(FRAME))
                .initial_connection_window_size(WINDOW)
                .max_frame_size(FRAME)
                .max_concurrent_reset_streams(self.asked.questions)
                .keep_alive_interval(PING.0)
                .keep_alive_timeout(PING.1);
            let (sender, connection) = http.handshake(TokioIo::new(socket)).await.ok()?;
            Some((sender, heard, connection))
        };
        let connected = timeout(CONNECT, connect).await.ok().flatten();
        self.connecting.set(self.connecting.get() - 1);
        let Some((sender, heard, connection)) = connected else {
            // Those who wait try anew, and not in a loop without rest.
            tokio::time::sleep(Duration::from_millis(20)).await;
            return self.changed.notify_waiters();
        };
        let number = self.next.replace(self.next.get() + 1);
        self.lines.borrow_mut().push(Line { number, sender, open: Rc::default(), heard });
        self.changed.notify_waiters();
        // What ends it is told to each of its questions.
        let _ = connection.await;
        self.drop_line(number);
    }

    /// Nothing more is asked over this connection; what is open on it goes on.
    fn drop_line(&self, number: u64) {
        self.lines.borrow_mut().retain(|line| line.number != number);
    }

    async fn exchange(
        &self,
        mut sender: Sender,
        request: Request<Full<Bytes>>,
    ) -> Result<CheckResponse, Fault> {
        let response = sender.try_send_request(request).await;
        let response = response.map_err(|mut e| match e.take_message() {
            Some(_) => Fault::NotSeen,
            None => fault(e.error()),
        })?;
        self.read(response).await
    }

    /// Reads exactly one message and a status of OK, or finds out what is wrong.
    async fn read(&self, response: Response<hyper::body::Incoming>) -> Result<CheckResponse, Fault> {
        let broken = |what: String| Err(Fault::Broken(what));
        let (head, mut body) = response.into_parts();
        if head.status != StatusCode::OK {
            return broken(format!("HTTP status {}, expected 200", head.status.as_u16()));
        }
        let kind = head.headers.get(CONTENT_TYPE).map_or(&b""[..], HeaderValue::as_bytes);
        if !kind.starts_with(b"application/grpc") {
            let found = String::from_utf8_lossy(kind);
            return broken(format!("content-type {found:?}, expected application/grpc"));
        }
        if head.headers.get(GRPC_ENCODING).is_some_and(|v| v != "identity") {
            return broken("a compressed answer, and none was offered to be".into());
        }
        // A status in the head is the whole answer.
        if head.headers.contains_key(GRPC_STATUS) {
            status(&head.headers)?;
        }
        let mut unary = Unary::new(self.asked.message);
        let mut trailers = None;
        while let Some(piece) = body.frame().await {
            let piece = piece.map_err(|e| fault(&e))?;
            match piece.into_data() {
                Ok(data) => unary.push(&data).map_err(|wrong| Fault::Broken(wrong.to_string()))?,
                Err(piece) => trailers = piece.into_trailers().ok(),
            }
        }
        status(trailers.as_ref().unwrap_or(&head.headers))?;
        let message = unary.finish().map_err(|wrong| Fault::Broken(wrong.to_string()))?;
        CheckResponse::decode(message).map_err(|e| Fault::Broken(format!("the answer is malformed: {e}")))
    }
}

fn status(headers: &HeaderMap) -> Result<(), Fault> {
    match headers.get(GRPC_STATUS).map(HeaderValue::as_bytes) {
        Some(b"0") => Ok(()),
        Some(other) => {
            Err(Fault::Broken(format!("grpc-status {}, expected 0", String::from_utf8_lossy(other))))
        }
        None => Err(Fault::Broken("no grpc-status, expected 0".into())),
    }
}

/// Whether an error proves that the question was not seen: RFC 9113, 8.7.
fn fault(error: &hyper::Error) -> Fault {
    let http2 = error.source().and_then(|source| source.downcast_ref::<h2::Error>());
    match http2 {
        // Of a peer's GOAWAY only those streams hear that lie above its last id.
        Some(e) if e.is_remote() && e.is_go_away() => Fault::NotSeen,
        Some(e) if e.is_remote() && e.reason() == Some(h2::Reason::REFUSED_STREAM) => Fault::Refused,
        Some(e) => Fault::Broken(e.to_string()),
        None => Fault::Broken(error.to_string()),
    }
}

fn message(asked: &Asked, body: Bytes, via: &str, until: Instant) -> Request<Full<Bytes>> {
    let left = until.saturating_duration_since(Instant::now()).as_micros().min(99_999_999);
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = hyper::Method::POST;
    let uri = format!("http://{}/envoy.service.auth.v3.Authorization/Check", asked.address);
    // An address and a fixed path are always a URI.
    *request.uri_mut() = uri.parse().unwrap_or_default();
    let headers = request.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/grpc"));
    headers.insert(TE, HeaderValue::from_static("trailers"));
    for (name, value) in [(GRPC_TIMEOUT, format!("{left}u")), (VIA, via.to_string())] {
        if let Ok(value) = HeaderValue::try_from(value) {
            headers.insert(name, value);
        }
    }
    request
}

/// Leave to ask, given back even if the client leaves.
struct Trial<'a> {
    of: &'a Authoriser,
    leave: Option<Leave>,
}

impl Trial<'_> {
    fn ended(&mut self, good: bool) {
        if let Some(leave) = self.leave.take() {
            self.of.breaker.borrow_mut().ended(self.of.now(), leave, Some(good));
        }
    }
}

impl Drop for Trial<'_> {
    fn drop(&mut self) {
        if let Some(leave) = self.leave.take() {
            self.of.breaker.borrow_mut().ended(self.of.now(), leave, None);
        }
    }
}

/// Gives a connection up on which nothing has come since a question that was given up.
struct Silent<'a> {
    of: &'a Authoriser,
    number: u64,
    heard: Rc<Cell<Instant>>,
    since: Instant,
    armed: Cell<bool>,
}

impl Drop for Silent<'_> {
    fn drop(&mut self) {
        if self.armed.get() && self.heard.get() < self.since && self.since.elapsed() >= self.of.asked.timeout
        {
            self.of.drop_line(self.number);
        }
    }
}
