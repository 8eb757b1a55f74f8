//! The clients' side: accepts connections, bounds what each may take, reads requests and writes answers.
//!
//! What is malformed is answered here and reaches neither the module nor a server.

use super::accept::{accept, ACCEPT_PAUSE};
use super::gate::{Gate, Question};
use super::head::{check, Rejected, REPEAT};
use crate::events::{Answer, ForwardedRequest, IncomingRequest, RequestKind};
use crate::upstream::connection::{Socket, Tracked, MAX_BODY};
use crate::upstream::servers::{CORRELATION_ID, IDEMPOTENCY_KEY};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{
    HeaderName, HeaderValue, CONNECTION, CONTENT_TYPE, HOST, RETRY_AFTER, TRANSFER_ENCODING,
};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use liftrouter_authz::messages::envoy::service::auth::v3::attribute_context::{self, HttpRequest};
use liftrouter_authz::messages::envoy::service::auth::v3::{AttributeContext, CheckRequest};
use liftrouter_authz::Denial;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::future::{poll_fn, ready};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{timeout, timeout_at, Instant};

/// An answer is due this much before the client gives up: it has the way back to the client still to go,
/// and its deadline began before its request came in.
const MARGIN: Duration = Duration::from_millis(10);
/// From connect, or from the answer before, the next head must come within this time, and the first request
/// whole, however lively its bytes come. It ends idle connections too: that of a client which never asks
/// again would else stay for good.
const HEAD_TIME: Duration = Duration::from_millis(2_500);
/// And the body of a later request within this time from its head.
const BODY_TIME: Duration = Duration::from_secs(2);
/// After its last answer a connection is read on for so long, and so many bytes, while its client still
/// sends: closing with bytes unread would reset it and destroy the answer.
const LINGER: (Duration, usize) = (Duration::from_millis(500), 256 * 1024);
/// A connection is at rest, and may be closed, after it has been idle for this time: on a new one, the request
/// that it was opened for is most likely on its way.
const AT_REST: Duration = Duration::from_millis(100);
/// The same for one that has never brought a whole request, where others wait for its place: a usual client
/// connects because it has one to send.
const NEVER_ASKED: Duration = Duration::from_millis(30);
/// Connections that never asked may take one in so many places before one that did gives way to them.
const SILENT_PART: usize = 4;
const MAX_HEAD: usize = 16 * 1024;

pub struct Clients {
    gate: Rc<Gate>,
    /// The most connections; the one that is idle longest gives way to a new one.
    budget: usize,
    ready: Cell<bool>,
    draining: Cell<bool>,
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    next: Cell<u64>,
    closed: Notify,
}

/// What is known of a client's connection.
struct Connection {
    busy: Cell<bool>,
    /// A request has come whole and waits for its answer.
    waiting: Cell<bool>,
    /// Whether it has brought a whole head.
    asked: Cell<bool>,
    /// Since when it is busy or idle: at first since it came.
    since: Cell<Instant>,
    /// Its answer says that it closes.
    closing: Cell<bool>,
    /// Its last answer is out: it is only read on.
    lingering: Cell<bool>,
    /// Since when it is asked to give way: one that cannot for long is passed over.
    told: Cell<Option<Instant>>,
    socket: Rc<Socket>,
    /// Asks it to close once no request is open on it.
    close: Notify,
}

impl Connection {
    fn new(socket: Rc<Socket>) -> Rc<Self> {
        Rc::new(Connection {
            busy: Cell::new(false),
            waiting: Cell::new(false),
            asked: Cell::new(false),
            since: Cell::new(Instant::now()),
            closing: Cell::new(false),
            lingering: Cell::new(false),
            told: Cell::new(None),
            socket,
            close: Notify::new(),
        })
    }

    fn at_rest(&self) -> bool {
        !self.busy.get() && self.since.get().elapsed() > AT_REST
    }

    /// Whether its client has written a part of a request.
    fn has_begun(&self) -> bool {
        self.socket.has_recorded()
    }

    /// Whether it may give way to a new one. Those that never asked come first, so that silent connections
    /// crowd out no client.
    fn rank_to_close(&self) -> Option<(bool, Instant)> {
        let stuck = self.told.get().is_some_and(|since| since.elapsed() > AT_REST);
        let silent = !self.asked.get() && !self.busy.get() && self.since.get().elapsed() > NEVER_ASKED;
        (!stuck && (silent || self.at_rest())).then(|| (self.asked.get(), self.since.get()))
    }
}

type Reply = Response<Full<Bytes>>;

impl Clients {
    pub fn new(gate: Rc<Gate>, budget: usize) -> Rc<Self> {
        Rc::new(Clients {
            gate,
            budget,
            ready: Cell::new(false),
            draining: Cell::new(false),
            connections: RefCell::default(),
            next: Cell::new(0),
            closed: Notify::new(),
        })
    }

    /// From now on `GET /up` is answered 200.
    pub fn set_ready(&self) {
        self.ready.set(true);
    }

    /// Accepts connections for as long as it is polled.
    pub async fn accept(self: &Rc<Self>, listener: TcpListener) {
        let full = || {
            let full = self.connections.borrow().len() >= self.budget;
            if full {
                self.close_idlest();
            }
            full
        };
        // Counted from here on: many may be accepted before the first of them has its turn.
        let take = |stream| {
            let socket = Socket::new(stream);
            let number = self.next.replace(self.next.get() + 1);
            let state = Connection::new(socket.clone());
            self.connections.borrow_mut().insert(number, state.clone());
            tokio::task::spawn_local(self.clone().serve(number, socket, state));
        };
        accept(listener, "clients", &self.closed, full, take).await;
    }

    /// Begins the end: answers carry `Connection: close`, idle connections are closed.
    pub fn drain(&self) {
        self.draining.set(true);
        // On those that have not asked yet, a request is most likely on its way; on those where half a one has
        // come, the rest is.
        let connections = self.connections.borrow();
        for connection in connections.values().filter(|c| c.asked.get() && !c.has_begun()) {
            connection.close.notify_one();
        }
    }

    /// Closes connections as they come to rest, until none is left. Half a request has its time to come whole, and
    /// a last answer the time to be read.
    pub async fn all_closed(&self) {
        while !self.connections.borrow().is_empty() {
            let rests = |c: &&Rc<Connection>| c.at_rest() && !c.has_begun() && !c.lingering.get();
            self.connections.borrow().values().filter(rests).for_each(|c| c.close.notify_one());
            let _ = timeout(ACCEPT_PAUSE, self.closed.notified()).await;
        }
    }

    fn close_idlest(&self) {
        let connections = self.connections.borrow();
        let ranked = connections.values().filter_map(|c| Some((c.rank_to_close()?, c)));
        let silent = connections.values().filter(|c| !c.asked.get() && !c.busy.get()).count();
        if let Some(((asked, _), idlest)) = ranked.min_by_key(|(rank, _)| *rank) {
            // Those that never asked are let go in a moment: many of them push out nobody who did.
            if asked && silent * SILENT_PART >= self.budget {
                return;
            }
            idlest.told.set(idlest.told.get().or_else(|| Some(Instant::now())));
            idlest.close.notify_one();
        }
    }

    async fn serve(self: Rc<Self>, number: u64, socket: Rc<Socket>, state: Rc<Connection>) {
        socket.record(MAX_HEAD);
        if self.exchange(&socket, &state).await {
            // Nothing is owed to it any more: it gives way as one that never asked does.
            state.asked.set(false);
            state.lingering.set(true);
            state.told.set(None);
            state.since.set(Instant::now());
            // Asked to close before its last answer was out, it need not close at once now.
            tokio::select! {
                biased;
                () = state.close.notified() => {}
                () = ready(()) => {}
            }
            tokio::select! {
                () = socket.linger(LINGER.0, LINGER.1) => {}
                () = state.close.notified() => {}
            }
        }
        self.connections.borrow_mut().remove(&number);
        self.closed.notify_one();
    }

    /// Serves a connection until it takes no more requests. True if its last answer may meet a client that
    /// still sends.
    async fn exchange(self: &Rc<Self>, socket: &Rc<Socket>, state: &Rc<Connection>) -> bool {
        let service = service_fn(|request| {
            let (clients, socket, state) = (self.clone(), socket.clone(), state.clone());
            async move {
                let first = (!state.asked.replace(true)).then(|| state.since.get());
                let _busy = Busy::new(state.clone());
                let reply = clients.respond(request, &socket, &state, first).await;
                state.closing.set(reply.headers().contains_key(CONNECTION));
                Ok::<_, Infallible>(reply)
            }
        });
        let mut http = http1::Builder::new();
        http.timer(TokioTimer::new()).header_read_timeout(HEAD_TIME);
        http.max_buf_size(MAX_HEAD);
        let mut connection = pin!(http.serve_connection(TokioIo::new(Tracked(socket.clone())), service));
        loop {
            tokio::select! {
                // What it reads next it gets first.
                biased;
                // An error here is the client's: it left, was too slow, or sent what is no HTTP and was told so.
                end = connection.as_mut() => return match end {
                    Ok(()) => state.closing.get(),
                    Err(e) => e.is_parse(),
                },
                // hyper looks for no end behind bytes that it has not taken, so it is looked for here. A client
                // that ends its own sending alone has gone too: nothing tells it from one that closed, and
                // what is sent for one that closed may be a break.
                () = poll_fn(|cx| if state.waiting.get() { socket.poll_gone(cx) } else { Poll::Pending }) => {
                    return false;
                }
                () = state.close.notified() => {
                    // A request that lies unread would be lost with its connection: it is served first.
                    if state.busy.get() || socket.quiet() {
                        if !state.busy.get() && !state.asked.get() {
                            // Half a head would hold hyper's own shutdown up.
                            return false;
                        }
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }

    /// `first` is when the connection came, for the first request on it.
    async fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
        socket: &Socket,
        state: &Connection,
        first: Option<Instant>,
    ) -> Reply {
        let chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let raw = if chunked { socket.recorded() } else { Vec::new() };
        socket.record(0);
        let mut reply = match self.take(request, raw, (state, first)).await {
            Ok(reply) => reply,
            Err(Rejected(status, why)) => {
                // What was not read of the request is not to be taken for the next one.
                let mut reply = plain(status, why);
                if status != StatusCode::OK && status != StatusCode::SERVICE_UNAVAILABLE {
                    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                reply
            }
        };
        socket.record(MAX_HEAD);
        // Behind a chunked body nothing is read as a request, whatever another reader would find there; nor where
        // a part is missing.
        if chunked || socket.overrun() || self.draining.get() {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }

    async fn take(
        &self,
        request: Request<Incoming>,
        raw: Vec<u8>,
        (state, first): (&Connection, Option<Instant>),
    ) -> Result<Reply, Rejected> {
        if request.uri().path() == "/up" {
            return Err(match (request.method(), self.ready.get() && !self.draining.get()) {
                (&Method::GET, true) => Rejected(StatusCode::OK, "up\n"),
                (&Method::GET, false) => Rejected(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
                _ => Rejected(StatusCode::METHOD_NOT_ALLOWED, "only GET\n"),
            });
        }
        let (head, body) = request.into_parts();
        let checked =
            check(&self.gate.settings, (&head.method, head.uri.path(), &head.headers), &body, &raw)?;
        drop(raw);
        let size = body.size_hint();
        if size.lower() > MAX_BODY as u64 {
            return Err(Rejected(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n"));
        }
        // Held until the answer is out: bodies of all requests together stay within the memory limit.
        let size = size.exact().map_or(MAX_BODY, |size| size as usize);
        let _held =
            self.gate.hold(size).ok_or(Rejected(StatusCode::SERVICE_UNAVAILABLE, "too much is open\n"))?;
        let until = first.map_or_else(|| Instant::now() + BODY_TIME, |came| came + HEAD_TIME);
        let body = match timeout_at(until, Limited::new(body, MAX_BODY).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                return Err(Rejected(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n"));
            }
            Ok(Err(_)) => return Err(Rejected(StatusCode::BAD_REQUEST, "the body cannot be read\n")),
            Err(_) => return Err(Rejected(StatusCode::REQUEST_TIMEOUT, "the body came too slowly\n")),
        };
        if self.gate.is_full() {
            return Err(Rejected(StatusCode::SERVICE_UNAVAILABLE, "too many requests are open\n"));
        }
        // The last byte has come: from here on the request is taken and owed one answer.
        let due = Instant::now() + checked.time_left.saturating_sub(MARGIN);
        let due = self.gate.due(due).ok_or(Rejected(StatusCode::SERVICE_UNAVAILABLE, "ending\n"))?;
        let target =
            head.uri.path_and_query().cloned().ok_or(Rejected(StatusCode::NOT_FOUND, "no path\n"))?;
        let _open = self
            .gate
            .open(&checked.correlation_id)
            .ok_or(Rejected(StatusCode::CONFLICT, "a request with this id is open\n"))?;
        let header = |name: HeaderName| head.headers.get(name).cloned();
        let arrival = IncomingRequest {
            customer: checked.customer,
            plan: checked.plan,
            class: checked.class,
            units: checked.units,
            reachable_instances: checked.width,
            is_retry: header(REPEAT).is_some_and(|v| v == "1"),
            kind: RequestKind::Forward(Rc::new(ForwardedRequest {
                method: head.method.clone(),
                target,
                correlation_id: checked.correlation_id,
                idempotency_key: header(IDEMPOTENCY_KEY),
                headers: header(CONTENT_TYPE).map(|kind| (CONTENT_TYPE, kind)).into_iter().collect(),
                body,
                deadline: due,
            })),
        };
        let make = || question(&head, size);
        let asked = Question { make: &make, via: &[], due };
        state.waiting.set(true);
        let (answer, changes) = self.gate.ask(arrival, &asked).await;
        state.waiting.set(false);
        Ok(match answer {
            Answer::Served(answer) => {
                let (head, body) = answer.into_parts();
                let mut reply = Response::new(Full::new(body));
                if let Some(kind) = head.headers.get(CONTENT_TYPE) {
                    reply.headers_mut().insert(CONTENT_TYPE, kind.clone());
                }
                changes.apply_to_answer(reply.headers_mut(), &[RETRY_AFTER]);
                reply
            }
            Answer::Rejected(refusal) => {
                let mut reply = plain(StatusCode::TOO_MANY_REQUESTS, refusal.text());
                if refusal.retry_after > 0.0 {
                    if let Ok(advice) = HeaderValue::try_from(format!("{:.3}", refusal.retry_after)) {
                        reply.headers_mut().insert(RETRY_AFTER, advice);
                    }
                }
                reply
            }
            Answer::Denied(denial) => denied(denial),
            // A request that is forwarded is never permitted.
            Answer::Failed | Answer::Authorized(_) => plain(StatusCode::BAD_GATEWAY, "failed\n"),
        })
    }
}

/// What an authoriser is asked about a request, in the words of `envoy.service.auth.v3`.
fn question(head: &Parts, size: usize) -> CheckRequest {
    let mut headers: HashMap<String, String> = HashMap::new();
    for (name, value) in &head.headers {
        let value = String::from_utf8_lossy(value.as_bytes());
        headers
            .entry(name.as_str().to_string())
            .and_modify(|all| {
                all.push(',');
                all.push_str(&value);
            })
            .or_insert_with(|| value.into_owned());
    }
    let text = |name: &str| headers.get(name).cloned().unwrap_or_default();
    let http = HttpRequest {
        id: text(CORRELATION_ID.as_str()),
        method: head.method.to_string(),
        path: head.uri.path_and_query().map_or_else(String::new, ToString::to_string),
        host: text(HOST.as_str()),
        scheme: "http".into(),
        query: String::new(),
        size: i64::try_from(size).unwrap_or(i64::MAX),
        protocol: "HTTP/1.1".into(),
        headers,
    };
    let request = Some(attribute_context::Request { http: Some(http) });
    CheckRequest { attributes: Some(AttributeContext { request, ..AttributeContext::default() }) }
}

/// A denial as its authoriser wants it, but for what belongs to the connection.
fn denied(denial: Denial) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(denial.body)));
    *reply.status_mut() = StatusCode::from_u16(denial.status).unwrap_or(StatusCode::FORBIDDEN);
    for (name, value) in denial.headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value)) {
            reply.headers_mut().append(name, value);
        }
    }
    reply
}

fn plain(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *reply.status_mut() = status;
    reply
}

/// Marks a connection as busy while a request is open on it.
struct Busy(Rc<Connection>);

impl Busy {
    fn new(connection: Rc<Connection>) -> Self {
        connection.busy.set(true);
        connection.told.set(None);
        Busy(connection)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(false);
        self.0.since.set(Instant::now());
    }
}
