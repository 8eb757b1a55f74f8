//! When to call discovery.

use crate::backoff::Backoff;
use crate::{CallFailure, Delivery, Event};
use std::time::Duration;

/// Number of a call, given by the caller.
pub type CallId = u64;

/// A watch without a heartbeat for this long is broken: an empty line comes every 2 s.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The same for a watch on a relay: one whose own upstream falls silent finds another within 2.5 s and a call, and its
/// subscribers need not leave it meanwhile.
pub const HEARTBEAT_TIMEOUT_RELAYED: Duration = Duration::from_secs(4);
/// How long a pushed watch may take to open, up to the head of its answer: the agent answers at once.
pub const CALL_TIMEOUT_PUSHED: Duration = Duration::from_millis(800);
/// The same on request: the service answers or refuses within 2 s, and works on also where the caller has gone.
pub const CALL_TIMEOUT_ON_REQUEST: Duration = Duration::from_millis(2_500);

/// Pushed: calls begin this long after one another while none has its response head, and where one has.
const PUSHED_INTERVAL: Duration = Duration::from_millis(200);
const PUSHED_INTERVAL_ANSWERED: Duration = Duration::from_millis(500);
/// Pushed: the most calls at once, which bounds the descriptors.
const MAX_PUSHED_CALLS: usize = 10;

/// On request: a second call goes out beside the first one so long before the list expires, and not before the
/// first one has been out for so long. That leaves time for a complete wait in the service's queue.
const OVERLAP_BEFORE_EXPIRY: Duration = Duration::from_millis(2_500);
const OVERLAP_AFTER_START: Duration = Duration::from_secs(1);

/// A call that is out.
#[derive(Clone, Copy, Debug)]
struct Call {
    id: CallId,
    started_at: Duration,
    answered: bool,
}

#[derive(Debug)]
pub(crate) struct Schedule {
    delivery: Delivery,
    backoff: Backoff,
    calls: Vec<Call>,
    last_started: Option<Duration>,
    /// The latest heartbeat of the watch that is followed, if there is one.
    watch: Option<Duration>,
}

impl Schedule {
    pub fn new(delivery: Delivery, seed: u64) -> Self {
        Schedule { delivery, backoff: Backoff::new(seed), calls: Vec::new(), last_started: None, watch: None }
    }

    pub fn call_timeout(&self) -> Duration {
        match self.delivery {
            Delivery::Pushed => CALL_TIMEOUT_PUSHED,
            Delivery::OnRequest | Delivery::Relayed => CALL_TIMEOUT_ON_REQUEST,
        }
    }

    pub fn heartbeat_timeout(&self) -> Duration {
        match self.delivery {
            Delivery::Pushed | Delivery::OnRequest => HEARTBEAT_TIMEOUT,
            Delivery::Relayed => HEARTBEAT_TIMEOUT_RELAYED,
        }
    }

    pub fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::CallStarted(id) => {
                self.calls.push(Call { id, started_at: now, answered: false });
                self.last_started = Some(now);
                self.backoff.call_started(now);
            }
            Event::CallAnswered(id) => {
                for call in self.calls.iter_mut().filter(|call| call.id == id) {
                    call.answered = true;
                }
            }
            Event::CallFailed(id, failure) => {
                self.calls.retain(|call| call.id != id);
                let retry_after = match failure {
                    // What one relay advises does not hold for the next one.
                    CallFailure::Refused { retry_after } if self.delivery != Delivery::Relayed => retry_after,
                    CallFailure::Refused { .. } | CallFailure::Failed => None,
                };
                self.backoff.call_failed(now, retry_after);
            }
            Event::WatchOpened | Event::Heartbeat => {
                self.calls.clear();
                self.watch = Some(now);
                self.backoff.succeeded();
            }
            Event::WatchClosed => self.watch = None,
            Event::Moved => {
                self.calls.clear();
                self.watch = None;
                self.last_started = None;
                // Refusals of the old service do not hold for the new one; the budget is the limiter's own.
                self.backoff.succeeded();
            }
        }
    }

    pub fn next_call(&self, expires_at: Option<Duration>) -> Option<Duration> {
        let wanted = self.watch.map_or(Duration::ZERO, |alive_at| alive_at + self.heartbeat_timeout());
        match self.delivery {
            Delivery::Pushed => self.next_pushed_call(wanted),
            Delivery::OnRequest | Delivery::Relayed => self.next_requested_call(wanted, expires_at),
        }
    }

    fn next_pushed_call(&self, wanted: Duration) -> Option<Duration> {
        if self.calls.len() >= MAX_PUSHED_CALLS {
            return None;
        }
        let answered = self.calls.iter().any(|call| call.answered);
        let interval = if answered { PUSHED_INTERVAL_ANSWERED } else { PUSHED_INTERVAL };
        let paced = self.last_started.map_or(Duration::ZERO, |at| at + interval);
        Some(wanted.max(paced))
    }

    fn next_requested_call(&self, wanted: Duration, expires_at: Option<Duration>) -> Option<Duration> {
        let due = wanted.max(self.backoff.not_before());
        match (self.calls.as_slice(), expires_at) {
            ([], _) => Some(due),
            ([only], Some(expires_at)) => {
                let overlap = expires_at.saturating_sub(OVERLAP_BEFORE_EXPIRY);
                let at = due.max(overlap).max(only.started_at + OVERLAP_AFTER_START);
                // Once the list has expired, a second call hastens nothing that a full queue would not delay.
                (at < expires_at).then_some(at)
            }
            _ => None,
        }
    }
}
