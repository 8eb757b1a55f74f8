//! A single attempt to have a request served by one server.

use super::answer;
use super::connection::{ExchangeError, HttpConnection};
use super::headers::{CORRELATION_ID, IDEMPOTENCY_KEY, INVENTORY, TIME_LEFT};
use super::servers::{ServerProcess, Servers};
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
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// The kernel may notice by this much too late that a timeout for unacknowledged data has passed: it checks when it sends
/// the data again, for the first time after 0.2 s.
const KERNEL_TIMEOUT_DELAY: Duration = Duration::from_millis(300);

/// The state of a running attempt, shared between its task and the host, which may abort it.
pub struct Attempt {
    process: Option<ServerProcess>,
    inventory_version: Option<u64>,
    socket: RefCell<Option<Rc<Socket>>>,
    is_reported: Cell<bool>,
    /// Whether nothing of the request can reach the server after the write deadline.
    arrives_in_time: Cell<bool>,
}

impl Attempt {
    /// Creates an attempt at this process of a server, which is `None` if the server accepts no new requests.
    /// `inventory_version` is the version of the inventory file that the server was chosen from.
    pub fn new(process: Option<ServerProcess>, inventory_version: Option<u64>) -> Self {
        let (is_reported, arrives_in_time) = (Cell::new(false), Cell::new(false));
        Attempt { process, inventory_version, socket: RefCell::default(), is_reported, arrives_in_time }
    }

    /// Closes the attempt's connection.
    pub fn abort(&self) {
        if let Some(socket) = self.socket.borrow().as_ref() {
            socket.abort();
        }
    }

    /// Drops this handle to the socket. The connection's owner then closes the connection or returns it to the pool.
    fn release(&self) {
        self.socket.borrow_mut().take();
    }

    /// Whether the attempt's result has been pushed to the event queue and is therefore final.
    pub fn is_reported(&self) -> bool {
        self.is_reported.get()
    }

    /// Whether the request was written completely, so that the server may have received it. `false` again once the
    /// result is reported.
    pub fn is_sent(&self) -> bool {
        self.socket.borrow().as_ref().is_some_and(|socket| socket.write_progress() == WriteProgress::Complete)
    }
}

/// The deadlines of an attempt.
#[derive(Clone, Copy)]
pub struct AttemptDeadlines {
    /// When the request has to have reached the server completely. It is earlier than the response deadline only if it is
    /// given by the deduplication window.
    pub write_deadline: Instant,
    /// When the response has to be complete.
    pub response_deadline: Instant,
}

impl AttemptDeadlines {
    /// Whether the request must not reach the server after the write deadline.
    fn has_window(&self) -> bool {
        self.write_deadline < self.response_deadline
    }
}

/// An attempt to run: what is sent to which server, and until when.
pub struct AttemptParameters {
    /// The request's id.
    pub id: RequestId,
    /// The attempt's number within its request, from 0.
    pub number: u32,
    /// The server that the attempt is made at.
    pub endpoint: EndpointId,
    /// The request to forward.
    pub forward: Rc<ForwardedRequest>,
    /// The state that is shared with the host.
    pub attempt: Rc<Attempt>,
    /// The deadlines.
    pub deadlines: AttemptDeadlines,
}

/// A connection that may be reused, with the process that it leads to.
type Reusable = Option<(ServerProcess, HttpConnection)>;

/// The end of an attempt without a response; its connection is not reused.
fn failed(outcome: Outcome) -> (AttemptResult, Reusable) {
    (AttemptResult::without_response(outcome), None)
}

impl Servers {
    /// Runs an attempt, reports its result, and returns a reusable connection to the pool.
    pub async fn run_attempt(self: Rc<Self>, events: Rc<EventQueue>, parameters: AttemptParameters) {
        let AttemptParameters { id, number, endpoint, attempt, .. } = &parameters;
        let (result, reusable) = self.send_within(&parameters).await;
        // Closes the socket of a failed attempt before its result is reported, since the next attempt may start then.
        attempt.release();
        attempt.is_reported.set(true);
        events.push(HostEvent::AttemptEnded { id: *id, attempt: *number, result });
        if let Some((process, connection)) = reusable {
            self.return_connection(endpoint, process, connection).await;
        }
    }

    /// Sends a request and waits for its response, within the attempt's deadlines.
    async fn send_within(&self, parameters: &AttemptParameters) -> (AttemptResult, Reusable) {
        let AttemptParameters { attempt, deadlines, .. } = parameters;
        let mut sending = pin!(self.send(parameters));
        let mut result = timeout_at(deadlines.write_deadline, sending.as_mut()).await;
        if result.is_err() && attempt.is_sent() && attempt.arrives_in_time.get() {
            result = timeout_at(deadlines.response_deadline, sending).await;
        }
        match result {
            Ok(ended) => ended,
            // A request that was not written completely never ran. If only the write deadline has passed, which is
            // given by the deduplication window, the server is not at fault.
            Err(_) if !attempt.is_sent() && deadlines.has_window() => failed(Outcome::NotSent),
            Err(_) if !attempt.is_sent() => failed(Outcome::ConnectFailed),
            Err(_) => failed(Outcome::Timeout),
        }
    }

    /// Sends a request over an idle or new connection and waits for its response. Sends it again only if a reused
    /// connection broke before any byte was written.
    async fn send(&self, parameters: &AttemptParameters) -> (AttemptResult, Reusable) {
        let AttemptParameters { endpoint, forward, attempt, deadlines, .. } = parameters;
        loop {
            let Some(process) = attempt.process.filter(|process| self.process(endpoint) == Some(*process))
            else {
                return failed(Outcome::ConnectFailed);
            };
            let address = process.address;
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
            // The server may have begun to drain while the connection was made; it must not receive anything new then. Or
            // it may have restarted, so that the connection leads to another process.
            if self.process(endpoint) != Some(process) {
                return failed(Outcome::ConnectFailed);
            }
            *attempt.socket.borrow_mut() = Some(connection.socket().clone());
            attempt.arrives_in_time.set(discard_in_time(connection.socket(), *deadlines));
            let response_deadline = deadlines.response_deadline;
            let request = upstream_request(address, forward, attempt.inventory_version, response_deadline);
            let result = connection.exchange(request, &self.memory).await;
            if deadlines.has_window() {
                let _ = connection.socket().set_unacknowledged_timeout(None);
            }
            let unsent = connection.socket().write_progress() == WriteProgress::None;
            return match result {
                Ok(response) => (answer::interpret(response, self.max_units), Some((process, connection))),
                // The server may have closed an idle connection at any time; this is no failure of the server.
                Err(ExchangeError::NotSent) if reused && unsent => {
                    attempt.release();
                    continue;
                }
                Err(ExchangeError::NotSent) => failed(Outcome::ConnectFailed),
                Err(ExchangeError::Broken) => failed(Outcome::Reset),
                Err(ExchangeError::TooLarge) => failed(Outcome::Error),
                // The request may have run, and the server is not at fault.
                Err(ExchangeError::OutOfMemory(_)) => failed(Outcome::Cancelled),
            };
        }
    }
}

/// Ensures that nothing of a request reaches the server after its write deadline, although the kernel has accepted it.
/// Returns `false` if only closing the connection does so, since the kernel would notice the deadline too late.
fn discard_in_time(socket: &Socket, deadlines: AttemptDeadlines) -> bool {
    if !deadlines.has_window() {
        return true;
    }
    let time_left = deadlines.write_deadline.saturating_duration_since(Instant::now());
    let timeout = time_left.saturating_sub(KERNEL_TIMEOUT_DELAY);
    timeout.as_millis() > 0 && socket.set_unacknowledged_timeout(Some(timeout)).is_ok()
}

/// Builds the HTTP request that is sent to a server.
fn upstream_request(
    address: SocketAddr,
    forward: &ForwardedRequest,
    inventory_version: Option<u64>,
    response_deadline: Instant,
) -> Request<Full<Bytes>> {
    let microseconds_left = response_deadline.saturating_duration_since(Instant::now()).as_micros();
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
    insert(INVENTORY, inventory_version.map(HeaderValue::from));
    request
}
