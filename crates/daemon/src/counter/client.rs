//! The client of one counter: adds to a count and returns its total, over a small pool of connections.

use crate::count_guard::CountGuard;
use crate::log::{log, Occurrences};
use crate::memory::MemoryBudget;
use crate::upstream::connection::{ExchangeError, HttpConnection};
use crate::upstream::connection_counts::ConnectionCounts;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use liftrouter_decision::{Outcome, Settings};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Maximum number of concurrent calls. Each has its own connection, of which the counter accepts 32 per limiter: a call
/// that shared a connection could read the late answer to an earlier call.
pub const MAX_CONCURRENT_CALLS: usize = 8;
/// Idle connections are closed after this time, well before the counter closes them (after about 10 s or less).
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Backoff after the first failed connect, doubled by each further one. It is short because the decision module makes few
/// calls while the counter is unavailable, and those calls detect its recovery.
const INITIAL_BACKOFF: Duration = Duration::from_millis(25);
/// Upper limit of the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(200);
/// Limits the exponent of the backoff, which reaches [`MAX_BACKOFF`] with fewer doublings.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// Timeout of a call if the settings contain no valid one, in seconds.
const DEFAULT_TIMEOUT_S: f64 = 0.05;
/// Minimum lifetime of a count on the counter, in milliseconds.
const MIN_TTL_MS: f64 = 1.0;
/// Maximum lifetime of a count on the counter, in milliseconds.
const MAX_TTL_MS: f64 = 60_000.0;

/// A client of one counter. It is used on a single thread, so its state is in cells.
pub struct CounterClient {
    address: Cell<Option<SocketAddr>>,
    timeout: Duration,
    idle: RefCell<Vec<HttpConnection>>,
    connections: Rc<ConnectionCounts>,
    calls_in_flight: Rc<Cell<usize>>,
    failed_connects: Cell<u32>,
    /// Time before which calls fail without a connection attempt.
    backoff_until: Cell<Option<Instant>>,
    malformed_answers: Occurrences,
    memory: Arc<MemoryBudget>,
}

/// A slot for one call, released when it is dropped.
pub struct CallPermit {
    /// Address that the call is sent to.
    pub address: SocketAddr,
    _counted: CountGuard<Rc<Cell<usize>>>,
}

/// The result of a call.
pub struct CounterTotal {
    /// The outcome to report to the decision module.
    pub outcome: Outcome,
    /// The total; 0 unless the outcome is [`Outcome::Ok`].
    pub total: f64,
    /// The connection, if it can be reused.
    pub connection: Option<HttpConnection>,
}

impl CounterTotal {
    fn failed(outcome: Outcome) -> Self {
        CounterTotal { outcome, total: 0.0, connection: None }
    }
}

impl CounterClient {
    /// A client of the counter at `address`, or of one whose address is not known yet. Response bodies are charged to
    /// `memory`.
    pub fn new(address: Option<SocketAddr>, settings: &Settings, memory: Arc<MemoryBudget>) -> Self {
        let timeout_s = settings.counter_timeout_s;
        let timeout_s = if timeout_s > 0.0 && timeout_s.is_finite() { timeout_s } else { DEFAULT_TIMEOUT_S };
        CounterClient {
            address: Cell::new(address),
            timeout: Duration::from_secs_f64(timeout_s),
            idle: RefCell::default(),
            connections: ConnectionCounts::new("counter"),
            calls_in_flight: Rc::default(),
            failed_connects: Cell::new(0),
            backoff_until: Cell::new(None),
            malformed_answers: Occurrences::default(),
            memory,
        }
    }

    /// Sets the address of further calls, and returns whether it changed. Calls in flight finish at the old address. Idle
    /// connections to it are closed, because the old counter may close them while a call is being sent, which loses it.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        let changed = self.address.replace(Some(address)) != Some(address);
        if changed {
            self.idle.borrow_mut().clear();
            self.failed_connects.set(0);
            self.backoff_until.set(None);
        }
        changed
    }

    /// The address, if it is known.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address.get()
    }

    /// Reserves a slot for one of the [`MAX_CONCURRENT_CALLS`].
    ///
    /// # Errors
    /// The outcome if no call can be made now; the increment was not applied.
    pub fn reserve_call(&self) -> Result<CallPermit, Outcome> {
        let address = self.address.get().ok_or(Outcome::ConnectFailed)?;
        if self.backoff_until.get().is_some_and(|until| Instant::now() < until) {
            return Err(Outcome::ConnectFailed);
        }
        if self.calls_in_flight.get() >= MAX_CONCURRENT_CALLS {
            return Err(Outcome::Overloaded);
        }
        Ok(CallPermit { address, _counted: CountGuard::new(self.calls_in_flight.clone()) })
    }

    /// Adds to a count with a lifetime of `ttl_s`, and returns the outcome and the total.
    pub async fn add(&self, key: &str, increment: f64, ttl_s: f64) -> (Outcome, f64) {
        let permit = match self.reserve_call() {
            Ok(permit) => permit,
            Err(outcome) => return (outcome, 0.0),
        };
        let CounterTotal { outcome, total, connection } =
            self.send(permit.address, key, increment, ttl_s).await;
        let address = permit.address;
        drop(permit);
        self.keep(address, connection).await;
        (outcome, total)
    }

    /// Returns a connection to the pool if it can be reused.
    pub async fn keep(&self, address: SocketAddr, connection: Option<HttpConnection>) {
        if let Some(mut connection) = connection {
            if connection.wait_until_ready().await && self.address.get() == Some(address) {
                self.idle.borrow_mut().push(connection);
            }
        }
    }

    /// Sends a call to `address`, and waits for its result up to the timeout.
    pub async fn send(&self, address: SocketAddr, key: &str, increment: f64, ttl_s: f64) -> CounterTotal {
        let deadline = Instant::now() + self.timeout;
        let keep_ms = (ttl_s * 1000.0).clamp(MIN_TTL_MS, MAX_TTL_MS).round();
        let target = format!("/tally/{key}?n={increment}&keep_ms={keep_ms}");
        loop {
            // Idle connections lead to the current address, which may have changed since the call was reserved.
            let idle = if self.address.get() == Some(address) { self.take_idle() } else { None };
            let reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => match self.connect(address, deadline).await {
                    Some(connection) => connection,
                    None => return CounterTotal::failed(Outcome::ConnectFailed),
                },
            };
            let request = Request::post(&target).header(HOST, address.to_string()).body(Full::default());
            let Ok(request) = request else { return CounterTotal::failed(Outcome::ConnectFailed) };
            return match timeout_at(deadline, connection.exchange(request, &self.memory)).await {
                Ok(Ok(answer)) => self.read_answer(&answer, connection, key, &target),
                Ok(Err(ExchangeError::NotSent)) if reused => continue,
                Ok(Err(ExchangeError::NotSent)) => CounterTotal::failed(Outcome::ConnectFailed),
                // The increment may have been applied, or may still be, so the outcome is a timeout. The connection is
                // dropped with the call, so that no later call reads a late answer.
                Ok(Err(ExchangeError::Broken | ExchangeError::TooLarge | ExchangeError::OutOfMemory(_)))
                | Err(_) => CounterTotal::failed(Outcome::Timeout),
            };
        }
    }

    async fn connect(&self, address: SocketAddr, deadline: Instant) -> Option<HttpConnection> {
        match timeout_at(deadline, HttpConnection::connect(address, &self.connections)).await {
            Ok(Ok(connection)) => {
                self.failed_connects.set(0);
                Some(connection)
            }
            Ok(Err(_)) => {
                // A failed connect to an old address says nothing about the current one.
                if self.address.get() == Some(address) {
                    self.start_backoff();
                }
                None
            }
            Err(_) => None,
        }
    }

    fn read_answer(
        &self,
        answer: &Response<Bytes>,
        connection: HttpConnection,
        key: &str,
        target: &str,
    ) -> CounterTotal {
        let text = std::str::from_utf8(answer.body()).ok();
        let total = text.and_then(|text| text.trim().parse::<f64>().ok()).filter(|total| total.is_finite());
        match (answer.status(), total) {
            (StatusCode::OK, Some(total)) => {
                CounterTotal { outcome: Outcome::Ok, total, connection: Some(connection) }
            }
            (StatusCode::OK, None) => {
                self.log_malformed(format_args!("the response for {key} contains no total"));
                CounterTotal::failed(Outcome::Timeout)
            }
            (status, _) => {
                if status != StatusCode::SERVICE_UNAVAILABLE {
                    self.log_malformed(format_args!("unexpected status {status} for {target}"));
                }
                CounterTotal { outcome: Outcome::Overloaded, total: 0.0, connection: Some(connection) }
            }
        }
    }

    fn take_idle(&self) -> Option<HttpConnection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| connection.last_used.elapsed() < IDLE_TIMEOUT);
        let take_rested =
            || idle.iter().rposition(HttpConnection::is_past_reuse_delay).map(|index| idle.remove(index));
        std::iter::from_fn(take_rested).find(HttpConnection::is_usable)
    }

    /// Logs some of the malformed answers.
    fn log_malformed(&self, text: std::fmt::Arguments) {
        if let Some(number) = self.malformed_answers.count() {
            log("counter", format_args!("{text} (error {number})"));
        }
    }

    fn start_backoff(&self) {
        let backoff = INITIAL_BACKOFF * (1 << self.failed_connects.get().min(MAX_BACKOFF_DOUBLINGS));
        self.failed_connects.set(self.failed_connects.get() + 1);
        self.backoff_until.set(Some(Instant::now() + backoff.min(MAX_BACKOFF)));
    }
}
