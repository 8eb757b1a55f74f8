//! The timers of a limiter and their encoding as the token that the host returns when one expires.
//!
//! Timers are never cancelled: one for a request that has ended has no effect.

use crate::interface::RequestId;

/// Number of timer kinds; a token is `request * KIND_COUNT + kind`.
const KIND_COUNT: u64 = 4;
const TICK: u64 = 0;
const REQUEST_DEADLINE: u64 = 1;
const SLOW_ATTEMPT: u64 = 2;
const AUTHORIZATION_EXPIRY: u64 = 3;

/// What a timer is for.
#[derive(Clone, Copy)]
pub enum Timer {
    /// The periodic tick.
    Tick,
    /// A request without a response is about to reach its deadline.
    RequestDeadline(RequestId),
    /// An attempt of a request is slow.
    SlowAttempt(RequestId),
    /// The deadline of an authorization has passed.
    AuthorizationExpiry(RequestId),
}

impl Timer {
    /// Encodes this timer as a token.
    pub fn token(self) -> u64 {
        match self {
            Timer::Tick => TICK,
            Timer::RequestDeadline(id) => id * KIND_COUNT + REQUEST_DEADLINE,
            Timer::SlowAttempt(id) => id * KIND_COUNT + SLOW_ATTEMPT,
            Timer::AuthorizationExpiry(id) => id * KIND_COUNT + AUTHORIZATION_EXPIRY,
        }
    }

    /// Decodes a token.
    pub fn from_token(token: u64) -> Self {
        let id = token / KIND_COUNT;
        match token % KIND_COUNT {
            TICK => Timer::Tick,
            REQUEST_DEADLINE => Timer::RequestDeadline(id),
            AUTHORIZATION_EXPIRY => Timer::AuthorizationExpiry(id),
            _ => Timer::SlowAttempt(id),
        }
    }
}
