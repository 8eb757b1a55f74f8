//! One attempt of a request at one server.

use super::answer;
use super::connection::{ExchangeError, HttpConnection};
use super::headers::{CORRELATION_ID, IDEMPOTENCY_KEY, INVENTORY, TIME_LEFT};
use super::servers::Servers;
use super::socket::{Socket, WriteProgress};
use crate::events::{AttemptResult, EventQueue, ForwardedRequest, HostEvent};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, Uri};
use liftrouter_decision::{EndpointId, Outcome, RequestId};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use tokio::time::{timeout_at, Instant};

/// A running attempt: where it goes, and what it takes to abort it.
pub struct Attempt {
    address: Option<SocketAddr>,
    endpoint_list_version: Option<u64>,
    socket: RefCell<Option<Rc<Socket>>>,
    is_reported: Cell<bool>,
}

impl Attempt {
    /// An attempt at this address, if the server takes new work, chosen by this version of the endpoint list.
    pub fn new(address: Option<SocketAddr>, endpoint_list_version: Option<u64>) -> Self {
        let (socket, is_reported) = (RefCell::default(), Cell::new(false));
        Attempt { address, endpoint_list_version, socket, is_reported }
    }

    /// Closes its connection.
    pub fn abort(&self) {
        if let Some(socket) = self.socket.borrow().as_ref() {
            socket.abort();
        }
    }

    /// Lets go of the connection, which is closed when it is dropped, or kept for other attempts.
    fn release(&self) {
        self.socket.borrow_mut().take();
    }

    /// Whether its result is in the event queue: nothing can change it any more.
    pub fn is_reported(&self) -> bool {
        self.is_reported.get()
    }

    /// Whether its request may have reached the server completely, while its result is not reported.
    pub fn sent(&self) -> bool {
        self.socket.borrow().as_ref().is_some_and(|socket| socket.write_progress() == WriteProgress::Complete)
    }
}

/// The time limits of an attempt.
#[derive(Clone, Copy)]
pub struct Limits {
    /// When the request has to be written completely.
    pub write_by: Instant,
    /// When the answer has to be complete.
    pub give_up: Instant,
}

/// A connection that may be kept, and the address that it leads to.
type Kept = Option<(SocketAddr, HttpConnection)>;

fn failed(outcome: Outcome) -> (AttemptResult, Kept) {
    (AttemptResult::of(outcome), None)
}

impl Servers {
    /// Runs an attempt and reports its result; a connection that can be used again is kept.
    pub async fn attempt(
        self: Rc<Self>,
        events: Rc<EventQueue>,
        (id, number): (RequestId, u32),
        endpoint: EndpointId,
        (forward, attempt): (Rc<ForwardedRequest>, Rc<Attempt>),
        limits: Limits,
    ) {
        let (result, kept) = self.run(&endpoint, &forward, &attempt, limits).await;
        // This closes the socket of a failed attempt: the next attempt may start.
        attempt.release();
        attempt.is_reported.set(true);
        events.push(HostEvent::AttemptEnded { id, attempt: number, result });
        if let Some((address, connection)) = kept {
            self.keep(&endpoint, address, connection).await;
        }
    }

    /// Runs an attempt within its limits.
    async fn run(
        &self,
        endpoint: &EndpointId,
        forward: &ForwardedRequest,
        attempt: &Attempt,
        Limits { write_by, give_up }: Limits,
    ) -> (AttemptResult, Kept) {
        let mut sending = pin!(self.send(endpoint, forward, attempt, give_up));
        let mut result = timeout_at(write_by, sending.as_mut()).await;
        if result.is_err() && attempt.sent() {
            result = timeout_at(give_up, sending).await;
        }
        match result {
            Ok(ended) => ended,
            // Not written completely in time, it never ran. Too late for its key, that says nothing of the server.
            Err(_) if !attempt.sent() && write_by < give_up => failed(Outcome::NotSent),
            Err(_) if !attempt.sent() => failed(Outcome::ConnectFailed),
            Err(_) => failed(Outcome::Timeout),
        }
    }

    async fn send(
        &self,
        endpoint: &EndpointId,
        forward: &ForwardedRequest,
        attempt: &Attempt,
        give_up: Instant,
    ) -> (AttemptResult, Kept) {
        loop {
            let Some(address) = attempt.address.filter(|at| self.address(endpoint) == Some(*at)) else {
                return failed(Outcome::ConnectFailed);
            };
            let idle = self.take_idle(endpoint);
            let reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None if !self.reserve_socket() => return failed(Outcome::NotSent),
                None => match self.connect(address).await {
                    Some(connection) => connection,
                    None => return failed(Outcome::ConnectFailed),
                },
            };
            // Connecting took a while: a server that began to drain meanwhile receives nothing new.
            if self.address(endpoint) != Some(address) {
                return failed(Outcome::ConnectFailed);
            }
            *attempt.socket.borrow_mut() = Some(connection.socket().clone());
            let request = request_to(address, forward, attempt.endpoint_list_version, give_up);
            let result = connection.exchange(request).await;
            let unsent = connection.socket().write_progress() == WriteProgress::None;
            return match result {
                Ok(answer) => (answer::interpret(answer, self.max_units), Some((address, connection))),
                // A reused connection that broke before a byte was written says nothing of the server.
                Err(ExchangeError::NotSent) if reused && unsent => {
                    attempt.release();
                    continue;
                }
                Err(ExchangeError::NotSent) => failed(Outcome::ConnectFailed),
                Err(ExchangeError::Broken) => failed(Outcome::Reset),
                Err(ExchangeError::TooLarge) => failed(Outcome::Error),
            };
        }
    }
}

/// A request as a server gets it.
fn request_to(
    address: SocketAddr,
    forward: &ForwardedRequest,
    endpoint_list_version: Option<u64>,
    give_up: Instant,
) -> Request<Full<Bytes>> {
    let microseconds_left = give_up.saturating_duration_since(Instant::now()).as_micros();
    let mut request = Request::new(Full::new(forward.body.clone()));
    *request.method_mut() = forward.method.clone();
    *request.uri_mut() = Uri::from(forward.target.clone());
    let headers = request.headers_mut();
    headers.clone_from(&forward.headers);
    let mut insert = |name, value: Option<HeaderValue>| value.map(|value| headers.insert(name, value));
    insert(HOST, HeaderValue::try_from(address.to_string()).ok());
    insert(CORRELATION_ID, Some(forward.correlation_id.clone()));
    insert(IDEMPOTENCY_KEY, forward.idempotency_key.clone());
    insert(TIME_LEFT, HeaderValue::try_from(format!("{microseconds_left}u")).ok());
    insert(INVENTORY, endpoint_list_version.map(HeaderValue::from));
    request
}
