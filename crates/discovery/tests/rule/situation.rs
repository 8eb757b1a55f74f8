//! A simple model of a limiter's knowledge of discovery and of its retry limits.

use liftrouter_discovery::{CallFailure, CallId, Event};
use std::time::Duration;

/// A watch without a heartbeat for this long has timed out.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The longest backoff after the first failure, and after any failure; jitter reduces a backoff to half at most.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_millis(1_500);
/// The longest `Retry-After` that is respected.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// The capacity of the call budget, and the calls that it regains per second.
const BUDGET_CAPACITY: f64 = 4.0;
const BUDGET_RATE: f64 = 0.8;

/// A pending call.
#[derive(Debug)]
pub struct PendingCall {
    pub id: CallId,
    pub started_at: Duration,
    pub answered: bool,
}

/// A failed call.
#[derive(Debug)]
pub struct Failure {
    pub at: Duration,
    pub retry_after: Option<Duration>,
    /// The longest backoff after the failure.
    pub backoff: Duration,
}

/// The past events that still affect the follower's decisions.
#[derive(Debug, Default)]
pub struct Situation {
    pub last_confirmed_at: Option<Duration>,
    /// The times of the moves since the last heartbeat.
    pub moves_since: Vec<Duration>,
    pub watch_open: bool,
    pub pending_calls: Vec<PendingCall>,
    /// The failed calls since the last heartbeat or move.
    pub failures: Vec<Failure>,
    /// The start times of all calls; a move does not reset the budget.
    pub starts: Vec<Duration>,
    /// The start of the latest call since the last move.
    pub last_started: Option<Duration>,
}

impl Situation {
    /// Records an event.
    pub fn record(&mut self, at: Duration, event: Event) {
        match event {
            Event::CallStarted(id) => {
                self.pending_calls.push(PendingCall { id, started_at: at, answered: false });
                self.starts.push(at);
                self.last_started = Some(at);
            }
            Event::CallAnswered(id) => {
                self.pending_calls
                    .iter_mut()
                    .filter(|call| call.id == id)
                    .for_each(|call| call.answered = true);
            }
            Event::CallFailed(id, failure) => {
                self.pending_calls.retain(|call| call.id != id);
                self.record_failure(at, failure);
            }
            Event::WatchOpened | Event::Heartbeat => {
                self.last_confirmed_at = Some(at);
                self.moves_since.clear();
                self.watch_open = true;
                self.pending_calls.clear();
                self.failures.clear();
            }
            Event::WatchClosed => self.watch_open = false,
            Event::Moved => {
                self.moves_since.push(at);
                self.watch_open = false;
                self.pending_calls.clear();
                self.failures.clear();
                self.last_started = None;
            }
        }
    }

    fn record_failure(&mut self, at: Duration, failure: CallFailure) {
        let retry_after = match failure {
            CallFailure::Refused { retry_after } => retry_after.map(|delay| delay.min(MAX_RETRY_AFTER)),
            CallFailure::Failed => None,
        };
        let last_backoff = self.failures.last().map(|failure| failure.backoff);
        let backoff = last_backoff.map_or(INITIAL_BACKOFF, |backoff| (backoff * 2).min(MAX_BACKOFF));
        self.failures.push(Failure { at, retry_after, backoff });
    }

    /// When the open watch times out; zero if there is none.
    pub fn watch_times_out_at(&self) -> Duration {
        let confirmed_at = self.last_confirmed_at.filter(|_| self.watch_open);
        confirmed_at.map_or(Duration::ZERO, |at| at + HEARTBEAT_TIMEOUT)
    }

    /// The earliest time at which backoff and `Retry-After` allow a call.
    pub fn earliest_retry(&self) -> Duration {
        let earliest =
            |failure: &Failure| failure.at + failure.retry_after.unwrap_or_default().max(failure.backoff / 2);
        self.failures.iter().map(earliest).max().unwrap_or_default()
    }

    /// The latest time to which backoff and `Retry-After` may delay a call.
    pub fn latest_retry(&self) -> Duration {
        let latest =
            |failure: &Failure| failure.at + failure.retry_after.unwrap_or_default() + failure.backoff;
        self.failures.iter().map(latest).max().unwrap_or_default()
    }

    /// The earliest time at which one more call keeps every time window within the budget.
    pub fn earliest_in_budget(&self) -> Duration {
        let earliest = |(position, from): (usize, &Duration)| {
            let calls_with_next = (self.starts.len() - position + 1) as f64;
            *from + Duration::from_secs_f64((calls_with_next - BUDGET_CAPACITY).max(0.0) / BUDGET_RATE)
        };
        self.starts.iter().enumerate().map(earliest).max().unwrap_or_default()
    }
}
