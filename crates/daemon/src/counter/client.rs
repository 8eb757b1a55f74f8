//! The client of one counter: adds to a named count and reads its total, on a few kept connections.

use crate::count_guard::CountGuard;
use crate::log;
use crate::upstream::connection::{ExchangeError, HttpConnection};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use liftrouter_decision::{Outcome, Settings};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Concurrent calls, each on a connection of its own; the counter accepts 32 of one limiter. Answers on one connection
/// come in order, however late, so a call with its own connection can never read the answer to another.
pub const MAX_CONCURRENT_CALLS: usize = 8;
/// Idle connections are closed after this time, well before the counter closes them (after about 10 s or less).
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Backoff after a failed connect, doubled with each further one. Short, because the decision module itself calls rarely
/// while the counter is unavailable, and its calls are what detects its return.
const INITIAL_BACKOFF: Duration = Duration::from_millis(25);
/// Upper limit of the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(200);
/// Doublings after which the backoff is at its limit in any case.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// Timeout of a call where the settings have none, in seconds.
const DEFAULT_TIMEOUT: f64 = 0.05;
/// Shortest time for which the counter keeps a count, in milliseconds.
const MIN_TTL_MS: f64 = 1.0;
/// Longest time for which the counter keeps a count, in milliseconds.
const MAX_TTL_MS: f64 = 60_000.0;

/// A client of one counter. Everything runs on one thread, so its state is in cells.
pub struct CounterClient {
    address: Cell<Option<SocketAddr>>,
    timeout: Duration,
    idle: RefCell<Vec<HttpConnection>>,
    open_sockets: Rc<Cell<usize>>,
    calls_in_flight: Rc<Cell<usize>>,
    failed_connects: Cell<u32>,
    /// No connect is tried before this time.
    backoff_until: Cell<Option<Instant>>,
    malformed_answers: Cell<u64>,
}

/// Permission for one call, counted until it is dropped.
pub struct CallPermit {
    /// Where the call goes.
    pub address: SocketAddr,
    _counted: CountGuard<Rc<Cell<usize>>>,
}

/// How a call ended.
pub struct CounterTotal {
    /// The outcome, as the decision module has to know it.
    pub outcome: Outcome,
    /// The total; 0 unless the outcome is [`Outcome::Ok`].
    pub total: f64,
    /// The connection, if it can be kept.
    pub connection: Option<HttpConnection>,
}

impl CounterTotal {
    fn failed(outcome: Outcome) -> Self {
        CounterTotal { outcome, total: 0.0, connection: None }
    }
}

impl CounterClient {
    /// A client of the counter at an address, if it has one yet.
    pub fn new(address: Option<SocketAddr>, settings: &Settings) -> Self {
        let seconds = settings.counter_timeout_s;
        let seconds = if seconds > 0.0 && seconds.is_finite() { seconds } else { DEFAULT_TIMEOUT };
        CounterClient {
            address: Cell::new(address),
            timeout: Duration::from_secs_f64(seconds),
            idle: RefCell::default(),
            open_sockets: Rc::default(),
            calls_in_flight: Rc::default(),
            failed_connects: Cell::new(0),
            backoff_until: Cell::new(None),
            malformed_answers: Cell::new(0),
        }
    }

    /// Sends calls to this address from now on, and returns whether it is another one. Calls in flight end where they
    /// are. Idle connections to the old address are closed: it will close them, and a call that crosses that is lost.
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

    /// Reserves one of the concurrent calls.
    ///
    /// # Errors
    /// The outcome if no call can be made now; then nothing was added.
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

    /// Adds to a count that lives `ttl_s` seconds, and waits for the outcome and the total.
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

    /// Keeps a connection for further calls, if it can take them.
    pub async fn keep(&self, address: SocketAddr, connection: Option<HttpConnection>) {
        if let Some(mut connection) = connection {
            if connection.wait_until_ready().await && self.address.get() == Some(address) {
                self.idle.borrow_mut().push(connection);
            }
        }
    }

    /// Makes a call at an address, within the timeout.
    pub async fn send(&self, address: SocketAddr, key: &str, increment: f64, ttl_s: f64) -> CounterTotal {
        let deadline = Instant::now() + self.timeout;
        let keep_ms = (ttl_s * 1000.0).clamp(MIN_TTL_MS, MAX_TTL_MS).round();
        let target = format!("/tally/{key}?n={increment}&keep_ms={keep_ms}");
        loop {
            // The address may have changed between two tries: idle connections lead to the present one.
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
            return match timeout_at(deadline, connection.exchange(request)).await {
                Ok(Ok(answer)) => self.read_answer(&answer, connection, key, &target),
                Ok(Err(ExchangeError::NotSent)) if reused => continue,
                Ok(Err(ExchangeError::NotSent)) => CounterTotal::failed(Outcome::ConnectFailed),
                // It may have been added, or may still be: to the decision module that is a call without an answer. The
                // connection is closed with the call, so nobody reads a late answer.
                Ok(Err(ExchangeError::Broken | ExchangeError::TooLarge)) | Err(_) => {
                    CounterTotal::failed(Outcome::Timeout)
                }
            };
        }
    }

    async fn connect(&self, address: SocketAddr, deadline: Instant) -> Option<HttpConnection> {
        match timeout_at(deadline, HttpConnection::connect(address, &self.open_sockets)).await {
            Ok(Ok(connection)) => {
                self.failed_connects.set(0);
                Some(connection)
            }
            Ok(Err(_)) => {
                // An old address that refuses says nothing about the present one.
                if self.address.get() == Some(address) {
                    self.back_off();
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
                self.log_malformed(format_args!("an answer to {key} has no total"));
                CounterTotal::failed(Outcome::Timeout)
            }
            (status, _) => {
                if status != StatusCode::SERVICE_UNAVAILABLE {
                    self.log_malformed(format_args!("{status} for {target}"));
                }
                CounterTotal { outcome: Outcome::Overloaded, total: 0.0, connection: Some(connection) }
            }
        }
    }

    fn take_idle(&self) -> Option<HttpConnection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| connection.last_used.elapsed() < IDLE_TIMEOUT);
        let last_rested =
            || idle.iter().rposition(HttpConnection::is_past_reuse_delay).map(|index| idle.remove(index));
        std::iter::from_fn(last_rested).find(HttpConnection::is_usable)
    }

    /// Logs the first malformed answer and then ever fewer: a counter that is broken all day must not fill the log.
    fn log_malformed(&self, text: std::fmt::Arguments) {
        let count = self.malformed_answers.get() + 1;
        self.malformed_answers.set(count);
        if count.is_power_of_two() {
            log("counter", format_args!("{text} (fault {count})"));
        }
    }

    fn back_off(&self) {
        let backoff = INITIAL_BACKOFF * (1 << self.failed_connects.get().min(MAX_BACKOFF_DOUBLINGS));
        self.failed_connects.set(self.failed_connects.get() + 1);
        self.backoff_until.set(Some(Instant::now() + backoff.min(MAX_BACKOFF)));
    }
}
