//! A caller without backoff, for comparison.

use crate::support::Policy;
use liftrouter_discovery::{CallId, Event, EXPIRY, HEARTBEAT_TIMEOUT};
use std::time::Duration;

/// Interval of the calls of an [`EagerCaller`].
const EAGER_INTERVAL: Duration = Duration::from_millis(200);
/// Its most calls at once.
const EAGER_CALLS: usize = 10;
/// How long it waits for a call.
const EAGER_TIMEOUT: Duration = Duration::from_millis(800);

/// For comparison: calls at a fixed interval, several at once, without backoff or budget, and gives up early.
#[derive(Debug, Default)]
pub struct EagerCaller {
    calls: Vec<CallId>,
    last_started: Option<Duration>,
    alive_at: Option<Duration>,
    watching: bool,
}

impl Policy for EagerCaller {
    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::CallStarted(id) => {
                self.calls.push(id);
                self.last_started = Some(now);
            }
            Event::CallFailed(id, _) => self.calls.retain(|call| *call != id),
            Event::WatchOpened | Event::Heartbeat => {
                self.calls.clear();
                self.alive_at = Some(now);
                self.watching = true;
            }
            Event::WatchClosed | Event::Moved => self.watching = false,
            Event::CallAnswered(_) => {}
        }
    }

    fn next_call(&self) -> Option<Duration> {
        let silent_at = self.alive_at.filter(|_| self.watching).map(|at| at + HEARTBEAT_TIMEOUT);
        let paced = self.last_started.map(|at| at + EAGER_INTERVAL);
        let due = silent_at.max(paced).unwrap_or_default();
        (self.calls.len() < EAGER_CALLS).then_some(due)
    }

    fn call_timeout(&self) -> Duration {
        EAGER_TIMEOUT
    }

    fn expires_at(&self) -> Option<Duration> {
        self.alive_at.map(|at| at + EXPIRY)
    }
}
