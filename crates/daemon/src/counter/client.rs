//! One keeper of counts (the counter service): adds to a named number and reads it, on a few kept connections.

use crate::count::Count;
use crate::log;
use crate::upstream::connection::{Failure, Link};
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use liftrouter_decision::{Outcome, Settings};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Calls out at once, each on a connection of its own; the counter holds 32 of a limiter. Answers on one
/// connection come in order, however late: a call of its own can never read another's.
pub const CALLS: usize = 8;
/// Kept connections are closed after this time, well before the counter does it (about 10 s or less).
const IDLE: Duration = Duration::from_secs(4);
/// Pause after a failed connect, doubled with each further one. Short: the module itself calls sparsely
/// while the counter is down, and its calls are what finds it back.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(25), Duration::from_millis(200));
const TIMEOUT_DEFAULT: f64 = 0.05;
/// Names are forgotten after this many milliseconds at the latest, and live one at least.
const LIFE_MS: (f64, f64) = (1.0, 60_000.0);

pub struct CounterClient {
    address: Cell<Option<SocketAddr>>,
    timeout: Duration,
    idle: RefCell<Vec<Link>>,
    open: Rc<Cell<usize>>,
    /// Calls that wait for their answer.
    out: Rc<Cell<usize>>,
    /// Failed connects in a row, and until when no other is tried.
    failed: Cell<u32>,
    quiet_until: Cell<Option<Instant>>,
    /// Answers so far that were none.
    faults: Cell<u64>,
}

/// One of the calls that may be out at a keeper, for as long as it is held.
pub struct Place {
    pub address: SocketAddr,
    _out: Count<Rc<Cell<usize>>>,
}

impl CounterClient {
    pub fn new(address: Option<SocketAddr>, settings: &Settings) -> Self {
        let limit = settings.counter_timeout;
        let limit = if limit > 0.0 && limit.is_finite() { limit } else { TIMEOUT_DEFAULT };
        CounterClient {
            address: Cell::new(address),
            timeout: Duration::from_secs_f64(limit),
            idle: RefCell::default(),
            open: Rc::default(),
            out: Rc::default(),
            failed: Cell::new(0),
            quiet_until: Cell::new(None),
            faults: Cell::new(0),
        }
    }

    /// From now on calls go to another address. Those that are out end where they are; what is kept to the old
    /// address is closed, since it will close there and a call that crosses that is lost. Whether it is another one.
    pub fn move_to(&self, address: SocketAddr) -> bool {
        let moved = self.address.replace(Some(address)) != Some(address);
        if moved {
            self.idle.borrow_mut().clear();
            self.failed.set(0);
            self.quiet_until.set(None);
        }
        moved
    }

    /// Where it stands, if that is known.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address.get()
    }

    /// A place among the calls that may be out, or why there is none; nothing is added then.
    pub fn place(&self) -> Result<Place, Outcome> {
        let address = self.address.get().ok_or(Outcome::ConnectFailed)?;
        if self.quiet_until.get().is_some_and(|until| Instant::now() < until) {
            return Err(Outcome::ConnectFailed);
        }
        if self.out.get() >= CALLS {
            return Err(Outcome::Overloaded);
        }
        Ok(Place { address, _out: Count::new(self.out.clone()) })
    }

    /// Makes a call and waits for its end.
    pub async fn ask(&self, name: &str, add: f64, lives: f64) -> (Outcome, f64) {
        let place = match self.place() {
            Ok(place) => place,
            Err(outcome) => return (outcome, 0.0),
        };
        let (outcome, total, link) = self.run(place.address, name, add, lives).await;
        let address = place.address;
        drop(place);
        self.keep(address, link).await;
        (outcome, total)
    }

    /// Keeps a link for further calls, if it can take them.
    pub async fn keep(&self, address: SocketAddr, link: Option<Link>) {
        if let Some(mut link) = link {
            if link.settle().await && self.address.get() == Some(address) {
                self.idle.borrow_mut().push(link);
            }
        }
    }

    /// Makes a call at an address; its link, if it can be kept.
    pub async fn run(
        &self,
        address: SocketAddr,
        name: &str,
        add: f64,
        lives: f64,
    ) -> (Outcome, f64, Option<Link>) {
        let until = Instant::now() + self.timeout;
        let keep_ms = (lives * 1000.0).clamp(LIFE_MS.0, LIFE_MS.1).round();
        let target = format!("/tally/{name}?n={add}&keep_ms={keep_ms}");
        loop {
            // One call may find the counter moved between two tries: kept links lead to where it is now.
            let kept = if self.address.get() == Some(address) { self.reuse() } else { None };
            let reused = kept.is_some();
            let mut link = match kept {
                Some(link) => link,
                None => match timeout_at(until, Link::connect(address, &self.open)).await {
                    Ok(Ok(link)) => {
                        self.failed.set(0);
                        link
                    }
                    Ok(Err(_)) => {
                        // An old address that refuses says nothing of the one that is called now.
                        if self.address.get() == Some(address) {
                            self.back_off();
                        }
                        return (Outcome::ConnectFailed, 0.0, None);
                    }
                    Err(_) => return (Outcome::ConnectFailed, 0.0, None),
                },
            };
            let request = Request::post(&target).header(HOST, address.to_string()).body(Full::default());
            let Ok(request) = request else { return (Outcome::ConnectFailed, 0.0, None) };
            let answer = match timeout_at(until, link.exchange(request)).await {
                Ok(Ok(answer)) => answer,
                Ok(Err(Failure::NotSent)) if reused => continue,
                Ok(Err(Failure::NotSent)) => return (Outcome::ConnectFailed, 0.0, None),
                // It may have been added, or may yet be: to the module that is a call without an answer.
                // The connection goes with the call, so a late answer finds nobody.
                Ok(Err(Failure::Broken | Failure::TooLarge)) | Err(_) => {
                    return (Outcome::Timeout, 0.0, None)
                }
            };
            let total = std::str::from_utf8(answer.body()).ok().and_then(|t| t.trim().parse::<f64>().ok());
            return match (answer.status(), total.filter(|t| t.is_finite())) {
                (StatusCode::OK, Some(total)) => (Outcome::Ok, total, Some(link)),
                (StatusCode::OK, None) => {
                    self.complain(format_args!("an answer to {name} has no total"));
                    (Outcome::Timeout, 0.0, None)
                }
                (status, _) => {
                    if status != StatusCode::SERVICE_UNAVAILABLE {
                        self.complain(format_args!("{status} for {target}"));
                    }
                    (Outcome::Overloaded, 0.0, Some(link))
                }
            };
        }
    }

    fn reuse(&self) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|link| link.used.elapsed() < IDLE);
        std::iter::from_fn(|| idle.iter().rposition(Link::rested).map(|n| idle.remove(n))).find(Link::usable)
    }

    /// Logs the first fault and then ever fewer: a counter that is broken all day must not fill the log.
    fn complain(&self, text: std::fmt::Arguments) {
        let faults = self.faults.replace(self.faults.get() + 1) + 1;
        if faults.is_power_of_two() {
            log("counter", format_args!("{text} (fault {faults})"));
        }
    }

    fn back_off(&self) {
        let pause = BACKOFF.0 * (1 << self.failed.get().min(8));
        self.failed.set(self.failed.get() + 1);
        self.quiet_until.set(Some(Instant::now() + pause.min(BACKOFF.1)));
    }
}
