//! A simulated discovery service with one queue, a fixed cost per call, and refusals.

use std::time::Duration;

/// A call that would wait longer than this is refused at once. While the service is down, each call is refused after
/// this time.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// The reply to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reply {
    /// The first message of a watch.
    Answered,
    /// A refusal without `Retry-After`.
    Refused,
}

/// A service that all limiters share.
#[derive(Debug)]
pub struct Service {
    call_cost: Duration,
    down_from: Duration,
    down_until: Duration,
    busy_until: Duration,
}

impl Service {
    /// Creates a service that is down between two times, which are equal if it is never down.
    pub fn new(call_cost: Duration, down_from: Duration, down_until: Duration) -> Self {
        Service { call_cost, down_from, down_until, busy_until: Duration::ZERO }
    }

    /// Accepts or refuses a call; returns the time of the reply and the reply. An accepted call uses the service's time
    /// even if its caller gives up.
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
