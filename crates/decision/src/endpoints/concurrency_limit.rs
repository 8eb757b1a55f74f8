//! The limit of this limiter's attempts in flight at one endpoint: additive increase, multiplicative
//! decrease.
//!
//! The limit grows while latency is near its baseline and the limit is in use, and shrinks by a factor when
//! attempts fail or responses are queued. What it can get wrong: one overload event causes many late
//! responses; therefore the limit shrinks at most once in half a latency objective. Held by
//! `tests/decision/concurrency_limit.rs`.

/// Initial limit of one endpoint, over all limiters.
const INITIAL_ATTEMPTS: f64 = 4.0;
/// Least limit of one endpoint, over all limiters. A limiter's share of 1/k attempts permits one attempt in k
/// response times.
pub const MIN_ATTEMPTS: f64 = 4.0;
/// Largest limit of one endpoint at one limiter.
const MAX_ATTEMPTS: f64 = 64.0;
/// Latency ratio below which the limit grows.
const INCREASE_BELOW_RATIO: f64 = 1.1;
/// Latency ratio above which the limit shrinks.
pub const DECREASE_ABOVE_RATIO: f64 = 2.8;
/// Factor by which the limit shrinks.
const DECREASE_FACTOR: f64 = 0.7;
/// Growth of the limit in one round of responses; each response adds this divided by the limit.
const INCREASE: f64 = 0.3;
/// Lower bound of that divisor.
const MIN_INCREASE_DIVISOR: f64 = 4.0;
/// A limit with this many or more free slots counts as unused and does not grow.
const UNUSED_HEADROOM: u32 = 2;

/// Latency and result of an attempt, from which limits are adjusted.
pub struct AttemptSample {
    /// Seconds from sending to the end.
    pub elapsed_s: f64,
    /// The latency objective of its class, in seconds.
    pub latency_objective_s: f64,
    /// The attempt timed out, or the endpoint rejected it as overloaded.
    pub failed: bool,
}

/// The limit of one endpoint.
pub struct ConcurrencyLimit {
    limit: f64,
    decreased_at: f64,
}

impl ConcurrencyLimit {
    /// The initial limit: an even share of what all limiters together may send at first.
    pub fn new(instance_count: u32) -> Self {
        ConcurrencyLimit { limit: INITIAL_ATTEMPTS / f64::from(instance_count.max(1)), decreased_at: 0.0 }
    }

    /// Attempts that may be in flight. A limit of 1/k permits one attempt in k response times.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Adjusts the limit after an attempt ended. `in_flight` attempts remain, and `latency_ratio` is the
    /// endpoint's latency divided by the expected one.
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
