//! The token bucket of a customer at one limiter, in units.
//!
//! It is refilled at the limiter's share of the quota. What it can get wrong: a bucket of less than one
//! request would reject all, so it holds at least the request that is checked. Tokens above a burst that
//! shrank are kept. Settlement may leave it below zero. Held by `tests/decision/quota_share.rs` and
//! `tests/decision/quota_accounts.rs`.

/// The bucket of one customer.
pub struct TokenBucket {
    tokens: f64,
    refilled_at: f64,
}

impl TokenBucket {
    /// A bucket with so many units.
    pub fn new(tokens: f64, now: f64) -> Self {
        TokenBucket { tokens, refilled_at: now }
    }

    /// Units in the bucket at the last refill, less what was drawn since; negative if in debt.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Time of the last refill, which each check of a request makes.
    pub fn refilled_at(&self) -> f64 {
        self.refilled_at
    }

    /// Adds what came in since the last refill at `rate` units a second, up to `capacity`; gives the seconds
    /// since.
    pub fn refill(&mut self, rate: f64, capacity: f64, now: f64) -> f64 {
        let elapsed_s = now - self.refilled_at;
        let filled = self.tokens + rate * elapsed_s;
        self.tokens = filled.min(capacity.max(self.tokens));
        self.refilled_at = now;
        elapsed_s
    }

    /// Takes units out; more than there are leave a debt.
    pub fn draw(&mut self, units: f64) {
        self.tokens -= units;
    }

    /// Makes sure that it holds so many units.
    pub fn raise_to(&mut self, units: f64) {
        self.tokens = self.tokens.max(units);
    }
}
