//! The discovery service: one queue, a fixed cost per call, refusals.

use std::time::Duration;

/// A call that would wait longer is refused at once; while the service is down, a call is refused after so long.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// What a call comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reply {
    /// The first message of a watch.
    Answered,
    /// Refused, without advice.
    Refused,
}

/// One service for all limiters.
#[derive(Debug)]
pub struct Service {
    call_cost: Duration,
    down_from: Duration,
    down_until: Duration,
    busy_until: Duration,
}

impl Service {
    /// One that is down between two times; they are the same if it never is.
    pub fn new(call_cost: Duration, down_from: Duration, down_until: Duration) -> Self {
        Service { call_cost, down_from, down_until, busy_until: Duration::ZERO }
    }

    /// Takes a call; when it replies, and what. The work of an accepted call is done whatever its caller does.
    pub fn call(&mut self, now: Duration) -> (Duration, Reply) {
        if (self.down_from..self.down_until).contains(&now) {
            return (now + MAX_WAIT, Reply::Refused);
        }
        let begins_at = self.busy_until.max(now);
        if begins_at.saturating_sub(now) > MAX_WAIT {
            return (now, Reply::Refused);
        }
        self.busy_until = begins_at + self.call_cost;
        (self.busy_until, Reply::Answered)
    }
}
