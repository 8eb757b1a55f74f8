//! The schedule of calls to discovery.

use crate::backoff::Backoff;
use crate::{CallFailure, Delivery, Event};
use std::time::Duration;

/// Identifies a call; assigned by the caller.
pub type CallId = u64;

/// A watch without a heartbeat for this long has failed: discovery sends at least an empty line every 2 s.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The heartbeat timeout of a watch on a relay. A relay whose upstream falls silent switches to another after 2.5 s
/// plus the time of a call; its subscribers should not leave it meanwhile.
pub const HEARTBEAT_TIMEOUT_RELAYED: Duration = Duration::from_secs(4);
/// How long to wait for the response head of a pushed watch; the agent normally answers at once.
pub const CALL_TIMEOUT_PUSHED: Duration = Duration::from_millis(800);
/// How long to wait for the response head on request. The service answers or refuses within 2 s, and does not stop its
/// work when a caller gives up.
pub const CALL_TIMEOUT_ON_REQUEST: Duration = Duration::from_millis(2_500);

/// Pushed: the interval between the starts of calls while no pending call has its response head.
const PUSHED_INTERVAL: Duration = Duration::from_millis(200);
/// Pushed: the interval while a pending call has its response head.
const PUSHED_INTERVAL_ANSWERED: Duration = Duration::from_millis(500);
/// Pushed: the maximum number of pending calls, which bounds the open file descriptors.
const MAX_PUSHED_CALLS: usize = 10;

/// On request: a second call may start this long before the list expires, while the first is still pending. That leaves
/// time for a full wait in the service's queue.
const OVERLAP_BEFORE_EXPIRY: Duration = Duration::from_millis(2_500);
/// On request: the first call must have been pending for this long before a second one starts.
const OVERLAP_AFTER_START: Duration = Duration::from_secs(1);

/// A pending call.
#[derive(Clone, Copy, Debug)]
struct Call {
    id: CallId,
    started_at: Duration,
    answered: bool,
}

/// Decides when the next call is due.
#[derive(Debug)]
pub(crate) struct Schedule {
    delivery: Delivery,
    backoff: Backoff,
    pending: Vec<Call>,
    last_started: Option<Duration>,
    /// The time of the latest heartbeat of the followed watch; none without a watch.
    last_heartbeat: Option<Duration>,
}

impl Schedule {
    pub fn new(delivery: Delivery, seed: u64) -> Self {
        Schedule {
            delivery,
            backoff: Backoff::new(seed),
            pending: Vec::new(),
            last_started: None,
            last_heartbeat: None,
        }
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
                self.pending.push(Call { id, started_at: now, answered: false });
                self.last_started = Some(now);
                self.backoff.call_started(now);
            }
            Event::CallAnswered(id) => {
                for call in self.pending.iter_mut().filter(|call| call.id == id) {
                    call.answered = true;
                }
            }
            Event::CallFailed(id, failure) => {
                self.pending.retain(|call| call.id != id);
                let retry_after = match failure {
                    // The next call goes to another relay, to which this relay's `Retry-After` does not apply.
                    CallFailure::Refused { retry_after } if self.delivery != Delivery::Relayed => retry_after,
                    CallFailure::Refused { .. } | CallFailure::Failed => None,
                };
                self.backoff.call_failed(now, retry_after);
            }
            Event::WatchOpened | Event::Heartbeat => {
                self.pending.clear();
                self.last_heartbeat = Some(now);
                self.backoff.succeeded();
            }
            Event::WatchClosed => self.last_heartbeat = None,
            Event::Moved => {
                self.pending.clear();
                self.last_heartbeat = None;
                self.last_started = None;
                // Refusals of the old service do not apply to the new one. The budget limits the limiter itself and
                // stays.
                self.backoff.succeeded();
            }
        }
    }

    pub fn next_call(&self, expires_at: Option<Duration>) -> Option<Duration> {
        let watch_fails_at = self.last_heartbeat.map_or(Duration::ZERO, |at| at + self.heartbeat_timeout());
        match self.delivery {
            Delivery::Pushed => self.next_pushed_call(watch_fails_at),
            Delivery::OnRequest | Delivery::Relayed => self.next_requested_call(watch_fails_at, expires_at),
        }
    }

    fn next_pushed_call(&self, watch_fails_at: Duration) -> Option<Duration> {
        if self.pending.len() >= MAX_PUSHED_CALLS {
            return None;
        }
        let answered = self.pending.iter().any(|call| call.answered);
        let interval = if answered { PUSHED_INTERVAL_ANSWERED } else { PUSHED_INTERVAL };
        let interval_ends_at = self.last_started.map_or(Duration::ZERO, |at| at + interval);
        Some(watch_fails_at.max(interval_ends_at))
    }

    fn next_requested_call(
        &self,
        watch_fails_at: Duration,
        expires_at: Option<Duration>,
    ) -> Option<Duration> {
        let due = watch_fails_at.max(self.backoff.not_before());
        match (self.pending.as_slice(), expires_at) {
            ([], _) => Some(due),
            ([first], Some(expires_at)) => {
                let overlap_from = expires_at.saturating_sub(OVERLAP_BEFORE_EXPIRY);
                let at = due.max(overlap_from).max(first.started_at + OVERLAP_AFTER_START);
                // After expiry a second call would not help: if the first is delayed by a full queue, so is the second.
                (at < expires_at).then_some(at)
            }
            _ => None,
        }
    }
}
