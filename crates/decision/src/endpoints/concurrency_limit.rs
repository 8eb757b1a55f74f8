//! The limit of attempts in flight at one endpoint from this limiter: additive increase, multiplicative
//! decrease.
//!
//! The limit grows while responses come as fast as the work allows and the limit is used, and shrinks by a
//! factor when attempts fail or responses wait. What it can get wrong: a burst of late responses to one queue
//! is one event; therefore it shrinks once in half a latency objective. Held by
//! `tests/decision/concurrency_limit.rs`.

/// Attempts from all limiters together that an endpoint gets at first.
const INITIAL_ATTEMPTS: f64 = 4.0;
/// Attempts from all limiters together that an endpoint gets at least. A share below one attempt stands for
/// one attempt in so many response times.
pub const MIN_ATTEMPTS: f64 = 4.0;
/// Most attempts from one limiter.
const MAX_ATTEMPTS: f64 = 64.0;
/// Latency ratio below which the limit grows.
const INCREASE_BELOW_RATIO: f64 = 1.1;
/// Latency ratio above which it shrinks.
pub const DECREASE_ABOVE_RATIO: f64 = 2.8;
/// Factor by which it shrinks.
const DECREASE_FACTOR: f64 = 0.7;
/// Growth with each response, divided by the limit: this much in one round of responses.
const INCREASE: f64 = 0.3;
/// Least limit that the growth is divided by.
const MIN_INCREASE_DIVISOR: f64 = 4.0;
/// Free places from which on a limit counts as not used.
const UNUSED_HEADROOM: u32 = 2;

/// How an attempt went, as far as limits depend on it.
pub struct AttemptSample {
    /// Seconds from sending to the end.
    pub elapsed_s: f64,
    /// The latency objective of its class, in seconds.
    pub latency_objective_s: f64,
    /// It got no response in time, or the endpoint rejected it as overloaded.
    pub failed: bool,
}

/// The limit of one endpoint.
pub struct ConcurrencyLimit {
    limit: f64,
    decreased_at: f64,
}

impl ConcurrencyLimit {
    /// This limiter's even part of what an endpoint gets at first.
    pub fn new(instance_count: u32) -> Self {
        ConcurrencyLimit { limit: INITIAL_ATTEMPTS / f64::from(instance_count.max(1)), decreased_at: 0.0 }
    }

    /// Attempts that may be in flight; below 1, one attempt in so many response times.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Adjusts the limit by an attempt that ended, with `in_flight` attempts left and the latency at this
    /// endpoint as a ratio of what is usual.
    pub fn adjust(
        &mut self,
        instance_count: u32,
        in_flight: u32,
        latency_ratio: f64,
        sample: &AttemptSample,
        now: f64,
    ) {
        if sample.failed || latency_ratio > DECREASE_ABOVE_RATIO {
            if now - self.decreased_at > sample.latency_objective_s / 2.0 {
                let min_limit = MIN_ATTEMPTS / f64::from(instance_count.max(1));
                self.limit = (self.limit * DECREASE_FACTOR).max(min_limit);
                self.decreased_at = now;
            }
        } else if latency_ratio < INCREASE_BELOW_RATIO && f64::from(in_flight + UNUSED_HEADROOM) > self.limit
        {
            self.limit = (self.limit + INCREASE / self.limit.max(MIN_INCREASE_DIVISOR)).min(MAX_ATTEMPTS);
        }
    }
}
