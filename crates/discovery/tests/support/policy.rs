//! The decision when to call, as the simulation sees it.

use liftrouter_discovery::{Event, Follower};
use std::time::Duration;

/// Decides when a limiter calls.
pub trait Policy {
    /// Takes in what happened.
    fn handle(&mut self, now: Duration, event: Event);
    /// When the next call is due.
    fn next_call(&self) -> Option<Duration>;
    /// After what time a call is given up.
    fn call_timeout(&self) -> Duration;
    /// When the list at hand expires.
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
