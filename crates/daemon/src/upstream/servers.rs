//! The servers: where each listens, the connections kept to it, and one attempt or probe at a time on each.

use super::connection::{Failure, Link, Socket, Written};
use crate::events::{AttemptResult, EventQueue, ForwardedRequest, HostEvent};
use crate::number::read_number;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, HOST};
use hyper::{Request, Response, StatusCode, Uri};
use liftrouter_decision::{EndpointId, EndpointState, LoadReport, Outcome, RequestId, Settings};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};

pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
/// The version of the list that the server was chosen from, where the list is a file.
const INVENTORY: HeaderName = HeaderName::from_static("x-inventory");
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
const SETTLED: HeaderName = HeaderName::from_static("x-settled");
const BACKEND_LOAD: HeaderName = HeaderName::from_static("x-backend-load");

/// Headers that are the limiter's own: no authoriser sets or removes them.
pub const OWN: [HeaderName; 11] = [
    CORRELATION_ID,
    IDEMPOTENCY_KEY,
    TIME_LEFT,
    INVENTORY,
    UNPROCESSED,
    SETTLED,
    BACKEND_LOAD,
    HeaderName::from_static("x-metering"),
    HeaderName::from_static("x-contract"),
    HeaderName::from_static("x-repeat"),
    crate::authoriser::VIA,
];

/// A kept connection is closed after this share of the time after which the server closes it: a request that
/// crosses the server's close would end as a reset, of which nobody knows whether it ran.
const IDLE_SHARE: f64 = 0.5;
const IDLE_DEFAULT: f64 = 10.0;
/// How long connecting and probing may take where the settings do not say.
const CONNECT_DEFAULT: f64 = 0.25;
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// No server has a load above this, whatever its unit.
const MOST_LOAD: f64 = 1e6;
const SWEEP: Duration = Duration::from_millis(500);

/// What is known of a server, beside what the module keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub address: SocketAddr,
    pub state: EndpointState,
}

struct Server {
    place: Place,
    /// Kept connections, the most recently used last.
    idle: Vec<Link>,
}

/// A running attempt: where it goes, and what it takes to end it at once.
pub struct Attempt {
    address: Option<SocketAddr>,
    version: Option<u64>,
    socket: RefCell<Option<Rc<Socket>>>,
    /// Its end has been reported: news of it lie in the events.
    reported: Cell<bool>,
}

impl Attempt {
    /// One to this address, if the server takes work, chosen by this version of the list.
    pub fn new(address: Option<SocketAddr>, version: Option<u64>) -> Self {
        Attempt { address, version, socket: RefCell::default(), reported: Cell::new(false) }
    }

    /// Closes the connection it is on.
    pub fn abort(&self) {
        if let Some(socket) = self.socket.borrow().as_ref() {
            socket.abort();
        }
    }

    /// Lets go of the connection: closed with the link that is dropped, or kept for others.
    fn release(&self) {
        self.socket.borrow_mut().take();
    }

    /// Whether how it ended is known, though not yet to everybody: nothing can be changed about it.
    pub fn is_reported(&self) -> bool {
        self.reported.get()
    }

    /// Whether its request may have reached the server whole, while its end is not reported.
    pub fn sent(&self) -> bool {
        self.socket.borrow().as_ref().is_some_and(|s| s.written() == Written::Whole)
    }
}

/// Until when an attempt may be written whole, and until when its answer is waited for.
pub struct Limits {
    pub write_by: Instant,
    pub give_up: Instant,
}

pub struct Servers {
    table: RefCell<HashMap<EndpointId, Server>>,
    connect: Duration,
    idle: Duration,
    /// Sockets to servers now, and at most.
    open: Rc<Cell<usize>>,
    budget: usize,
    /// The most units that a request can count.
    max_units: f64,
}

impl Servers {
    pub fn new(settings: &Settings, budget: usize) -> Self {
        let or = |value: f64, default| if value > 0.0 && value.is_finite() { value } else { default };
        Servers {
            table: RefCell::default(),
            connect: Duration::from_secs_f64(or(settings.connect_timeout, CONNECT_DEFAULT)),
            idle: Duration::from_secs_f64(IDLE_SHARE * or(settings.idle_timeout, IDLE_DEFAULT)),
            open: Rc::default(),
            budget,
            max_units: or(settings.max_request_units, f64::MAX),
        }
    }

    /// Takes in the state and address of a server. What is kept to another address, or to one that takes no
    /// more work, is closed.
    pub fn place(&self, id: &EndpointId, place: Place) {
        if place.state == EndpointState::Removed {
            return self.remove(id);
        }
        let mut table = self.table.borrow_mut();
        match table.get_mut(id) {
            Some(server) => {
                if server.place.address != place.address || place.state != EndpointState::InService {
                    server.idle.clear();
                }
                server.place = place;
            }
            None => {
                table.insert(id.clone(), Server { place, idle: Vec::new() });
            }
        }
    }

    /// Forgets a server and closes what is kept to it.
    pub fn remove(&self, id: &EndpointId) {
        self.table.borrow_mut().remove(id);
    }

    /// All servers that are known, with where each listens and whether it takes work.
    pub fn places(&self) -> Vec<(EndpointId, Place)> {
        self.table.borrow().iter().map(|(id, server)| (id.clone(), server.place)).collect()
    }

    pub fn ids(&self) -> Vec<EndpointId> {
        self.table.borrow().keys().cloned().collect()
    }

    /// Where a server takes new work now.
    pub fn address(&self, id: &EndpointId) -> Option<SocketAddr> {
        let table = self.table.borrow();
        table.get(id).filter(|s| s.place.state == EndpointState::InService).map(|s| s.place.address)
    }

    /// The kept connection that was used last and has rested, past those that are no longer good.
    fn reuse(&self, id: &EndpointId) -> Option<Link> {
        let mut table = self.table.borrow_mut();
        let idle = &mut table.get_mut(id)?.idle;
        let rested = || idle.iter().rposition(Link::rested).map(|n| idle.remove(n));
        std::iter::from_fn(rested).find(|link| link.usable() && link.used.elapsed() < self.idle)
    }

    fn keep(&self, id: &EndpointId, address: SocketAddr, link: Link) {
        if let Some(server) = self.table.borrow_mut().get_mut(id) {
            if server.place.address == address && server.place.state == EndpointState::InService {
                server.idle.push(link);
            }
        }
    }

    /// Makes room for one more socket: the connection that was idle longest gives way.
    fn room(&self) -> bool {
        if self.open.get() < self.budget {
            return true;
        }
        let mut table = self.table.borrow_mut();
        let oldest = table.values_mut().filter(|s| !s.idle.is_empty()).min_by_key(|s| s.idle[0].used);
        oldest.map(|server| server.idle.remove(0)).is_some()
    }

    async fn connect(&self, address: SocketAddr) -> Option<Link> {
        timeout(self.connect, Link::connect(address, &self.open)).await.ok()?.ok()
    }

    /// Closes what was idle too long or has been closed by its server.
    pub async fn sweep(&self) {
        loop {
            tokio::time::sleep(SWEEP).await;
            for server in self.table.borrow_mut().values_mut() {
                server.idle.retain(|link| link.used.elapsed() < self.idle && link.usable());
            }
        }
    }

    /// Runs one attempt and reports its end; a connection that can serve again is kept.
    pub async fn attempt(
        self: Rc<Self>,
        events: Rc<EventQueue>,
        (id, n): (RequestId, u32),
        server: EndpointId,
        (forward, attempt): (Rc<ForwardedRequest>, Rc<Attempt>),
        Limits { give_up, write_by }: Limits,
    ) {
        let (ended, kept) = {
            let mut run = pin!(self.send(&server, &forward, &attempt, give_up));
            let mut result = timeout_at(write_by, run.as_mut()).await;
            if result.is_err() && attempt.sent() {
                result = timeout_at(give_up, run).await;
            }
            match result {
                Ok(ended) => ended,
                // Not written whole by then, it never ran. Too late for its key, that says nothing of the server.
                Err(_) if !attempt.sent() && write_by < give_up => {
                    (AttemptResult::of(Outcome::NotSent), None)
                }
                Err(_) if !attempt.sent() => (AttemptResult::of(Outcome::ConnectFailed), None),
                Err(_) => (AttemptResult::of(Outcome::Timeout), None),
            }
        };
        // With this the socket of a failed attempt is closed: the next attempt may start.
        attempt.release();
        attempt.reported.set(true);
        events.push(HostEvent::AttemptEnded { id, attempt: n, result: ended });
        if let Some((address, mut link)) = kept {
            if link.settle().await {
                self.keep(&server, address, link);
            }
        }
    }

    async fn send(
        &self,
        id: &EndpointId,
        forward: &ForwardedRequest,
        attempt: &Attempt,
        give_up: Instant,
    ) -> (AttemptResult, Option<(SocketAddr, Link)>) {
        let failed = |outcome| (AttemptResult::of(outcome), None);
        loop {
            let Some(address) = attempt.address.filter(|a| self.address(id) == Some(*a)) else {
                return failed(Outcome::ConnectFailed);
            };
            let (mut link, kept) = match self.reuse(id) {
                Some(link) => (link, true),
                None if !self.room() => return failed(Outcome::NotSent),
                None => match self.connect(address).await {
                    Some(link) => (link, false),
                    None => return failed(Outcome::ConnectFailed),
                },
            };
            // Connecting took a while: a server that was told to drain meanwhile gets nothing new.
            if self.address(id) != Some(address) {
                return failed(Outcome::ConnectFailed);
            }
            *attempt.socket.borrow_mut() = Some(link.socket().clone());
            let result = link.exchange(message(forward, address, attempt.version, give_up)).await;
            let unsent = link.socket().written() == Written::Nothing;
            return match result {
                Ok(answer) => (judge(answer, self.max_units), Some((address, link))),
                // A kept connection that broke before a byte was written says nothing of the server.
                Err(Failure::NotSent) if kept && unsent => {
                    attempt.release();
                    continue;
                }
                Err(Failure::NotSent) => failed(Outcome::ConnectFailed),
                Err(Failure::Broken) => failed(Outcome::Reset),
                Err(Failure::TooLarge) => failed(Outcome::Error),
            };
        }
    }

    /// Asks a server for its load; the events gets it, and whoever waits.
    pub async fn probe(self: Rc<Self>, events: Rc<EventQueue>, id: EndpointId) -> (Outcome, LoadReport) {
        let probe = async {
            let address = self.address(&id)?;
            let mut link = match self.reuse(&id) {
                Some(link) => link,
                None if !self.room() => return None,
                None => self.connect(address).await?,
            };
            self.address(&id).filter(|now| *now == address)?;
            let request = Request::get("/metrics/load").header(HOST, address.to_string());
            let answer = link.exchange(request.body(Full::default()).ok()?).await.ok()?;
            Some((answer, address, link))
        };
        let (outcome, report, kept) = match timeout(PROBE_TIMEOUT, probe).await {
            Ok(Some((answer, address, link))) => {
                let outcome =
                    if answer.status() == StatusCode::OK { Outcome::Ok } else { Outcome::Overloaded };
                let mut report = load_report(answer.headers());
                if let Ok(text) = std::str::from_utf8(answer.body()) {
                    read_load(text.trim(), &mut report);
                }
                (outcome, report, Some((address, link)))
            }
            Ok(None) => (Outcome::ConnectFailed, LoadReport::default(), None),
            Err(_) => (Outcome::Timeout, LoadReport::default(), None),
        };
        events.push(HostEvent::HealthChecked(id.clone(), outcome, report));
        if let Some((address, mut link)) = kept {
            if link.settle().await {
                self.keep(&id, address, link);
            }
        }
        (outcome, report)
    }
}

/// A request as a server gets it.
fn message(
    forward: &ForwardedRequest,
    address: SocketAddr,
    version: Option<u64>,
    give_up: Instant,
) -> Request<Full<Bytes>> {
    let left = give_up.saturating_duration_since(Instant::now()).as_micros();
    let mut request = Request::new(Full::new(forward.body.clone()));
    *request.method_mut() = forward.method.clone();
    *request.uri_mut() = Uri::from(forward.target.clone());
    let headers = request.headers_mut();
    headers.clone_from(&forward.headers);
    let mut insert = |name, value: Option<HeaderValue>| value.map(|value| headers.insert(name, value));
    insert(HOST, HeaderValue::try_from(address.to_string()).ok());
    insert(CORRELATION_ID, Some(forward.correlation_id.clone()));
    insert(IDEMPOTENCY_KEY, forward.idempotency_key.clone());
    insert(TIME_LEFT, HeaderValue::try_from(format!("{left}u")).ok());
    insert(INVENTORY, version.map(HeaderValue::from));
    request
}

/// What a whole answer means.
fn judge(answer: Response<Bytes>, max_units: f64) -> AttemptResult {
    let headers = answer.headers();
    let unprocessed = headers.get(UNPROCESSED).is_some_and(|v| v == "1");
    let outcome = match answer.status() {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => Outcome::Overloaded,
        _ => Outcome::Error,
    };
    // More than a request can count is no figure: taken from a bucket, it would stop a customer for good.
    let units = headers.get(SETTLED).and_then(|v| read_number(v.to_str().ok()?.trim()));
    let units = units.filter(|u| *u > 0.0 && *u <= max_units);
    let report = load_report(headers);
    AttemptResult { outcome, units, report, answer: (outcome == Outcome::Ok).then_some(answer) }
}

fn load_report(headers: &HeaderMap) -> LoadReport {
    let mut report = LoadReport::default();
    if let Some(text) = headers.get(BACKEND_LOAD).and_then(|v| v.to_str().ok()) {
        read_load(text, &mut report);
    }
    report
}

/// Reads `name=value` pairs; what cannot be read, or can be no load, is left out.
fn read_load(text: &str, report: &mut LoadReport) {
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        if let Some(value) = read_number(value.trim()).filter(|v| *v <= MOST_LOAD) {
            report.set(name.trim(), value);
        }
    }
}
