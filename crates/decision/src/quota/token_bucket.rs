//! The token bucket of a customer at one limiter, in units.
//!
//! It is refilled at the limiter's share of the quota. What it can get wrong: a bucket that can hold less
//! than one request would reject all, so its capacity is at least the request that is checked. Tokens above
//! a capacity that shrank are kept. Settlement may take the level below zero. Held by
//! `tests/decision/quota_share.rs` and `tests/decision/quota_accounts.rs`.

/// The bucket of one customer.
pub struct TokenBucket {
    tokens: f64,
    refilled_at: f64,
}

impl TokenBucket {
    /// A bucket that holds `tokens` units.
    pub fn new(tokens: f64, now: f64) -> Self {
        TokenBucket { tokens, refilled_at: now }
    }

    /// Units at the last refill, less those drawn since; negative if in debt.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Time of the last refill. Each check of a request refills the bucket, so it is also the time of the
    /// customer's last request.
    pub fn refilled_at(&self) -> f64 {
        self.refilled_at
    }

    /// Adds `rate` units for each second since the last refill, up to `capacity`. Returns these seconds.
    pub fn refill(&mut self, rate: f64, capacity: f64, now: f64) -> f64 {
        let elapsed_s = now - self.refilled_at;
        let filled = self.tokens + rate * elapsed_s;
        self.tokens = filled.min(capacity.max(self.tokens));
        self.refilled_at = now;
        elapsed_s
    }

    /// Draws units; drawing more than the bucket holds leaves a debt.
    pub fn draw(&mut self, units: f64) {
        self.tokens -= units;
    }

    /// Lowers the level to `units` if it is higher.
    pub fn limit_to(&mut self, units: f64) {
        self.tokens = self.tokens.min(units);
    }

    /// Raises the level to `units` if it is lower.
    pub fn ensure_at_least(&mut self, units: f64) {
        self.tokens = self.tokens.max(units);
    }
}
