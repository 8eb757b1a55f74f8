//! A caller without backoff, for comparison with the follower.

use crate::support::Policy;
use liftrouter_discovery::{CallId, Event, EXPIRY, HEARTBEAT_TIMEOUT};
use std::time::Duration;

/// The interval between the calls of an [`EagerCaller`].
const EAGER_INTERVAL: Duration = Duration::from_millis(200);
/// The maximum number of its pending calls.
const MAX_EAGER_CALLS: usize = 10;
/// How long it waits for a response.
const EAGER_TIMEOUT: Duration = Duration::from_millis(800);

/// Calls at a fixed interval with several calls pending, no backoff, no budget and a short timeout.
#[derive(Debug, Default)]
pub struct EagerCaller {
    calls: Vec<CallId>,
    last_started: Option<Duration>,
    last_confirmed_at: Option<Duration>,
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
                self.last_confirmed_at = Some(now);
                self.watching = true;
            }
            Event::WatchClosed | Event::Moved => self.watching = false,
            Event::CallAnswered(_) => {}
        }
    }

    fn next_call(&self) -> Option<Duration> {
        let watch_times_out_at =
            self.last_confirmed_at.filter(|_| self.watching).map(|at| at + HEARTBEAT_TIMEOUT);
        let interval_ends_at = self.last_started.map(|at| at + EAGER_INTERVAL);
        let due = watch_times_out_at.max(interval_ends_at).unwrap_or_default();
        (self.calls.len() < MAX_EAGER_CALLS).then_some(due)
    }

    fn call_timeout(&self) -> Duration {
        EAGER_TIMEOUT
    }

    fn expires_at(&self) -> Option<Duration> {
        self.last_confirmed_at.map(|at| at + EXPIRY)
    }
}
