//! The timers of a limiter and their encoding in the one number that the host carries.
//!
//! A host may keep a token over a change of the limiter's state: a timer for a request that is gone has no
//! effect.

use crate::interface::RequestId;

/// Kinds of timers; a token is `request * KIND_COUNT + kind`.
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
    /// An attempt of a request takes long.
    SlowAttempt(RequestId),
    /// The deadline of an authorized call has passed.
    AuthorizationExpiry(RequestId),
}

impl Timer {
    /// The number by which the host returns this timer.
    pub fn token(self) -> u64 {
        match self {
            Timer::Tick => TICK,
            Timer::RequestDeadline(id) => id * KIND_COUNT + REQUEST_DEADLINE,
            Timer::SlowAttempt(id) => id * KIND_COUNT + SLOW_ATTEMPT,
            Timer::AuthorizationExpiry(id) => id * KIND_COUNT + AUTHORIZATION_EXPIRY,
        }
    }

    /// The timer of a token.
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
