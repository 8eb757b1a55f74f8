//! The interface between the simulation and a limiter's call policy.

use liftrouter_discovery::{Event, Follower};
use std::time::Duration;

/// Decides when a limiter calls.
pub trait Policy {
    /// Records an event.
    fn handle(&mut self, now: Duration, event: Event);
    /// When the next call is due.
    fn next_call(&self) -> Option<Duration>;
    /// How long to wait for the response to a call.
    fn call_timeout(&self) -> Duration;
    /// When the current list expires; none if it does not.
    fn expires_at(&self) -> Option<Duration>;
}

impl Policy for Follower {
    fn handle(&mut self, now: Duration, event: Event) {
        Follower::handle(self, now, event);
    }

    fn next_call(&self) -> Option<Duration> {
        Follower::next_call(self)
    }

    fn call_timeout(&self) -> Duration {
        Follower::call_timeout(self)
    }

    fn expires_at(&self) -> Option<Duration> {
        Follower::expires_at(self)
    }
}
