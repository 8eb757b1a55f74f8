//! Retry budget: retries are a share of requests, so that a fault of the fleet is not multiplied by retries.
//!
//! Each request earns a part of a retry; a retry that succeeds in time earns back most of itself, so that
//! more are sent where they help. What it can get wrong: a burst of failures uses up what was saved, and
//! requests fail that a retry would have served. Held by `tests/decision/retry.rs`.

/// Retries earned by each request.
const EARNED_PER_REQUEST: f64 = 0.1;
/// Retries earned back by one that is answered within the latency objective.
const EARNED_PER_SUCCESSFUL_RETRY: f64 = 0.8;
/// Most retries that are saved.
const MAX_BALANCE: f64 = 10.0;

/// Retries that were earned and not spent.
pub struct RetryBudget {
    balance: f64,
}

impl RetryBudget {
    /// The budget at the start.
    pub fn full() -> Self {
        RetryBudget { balance: MAX_BALANCE }
    }

    /// Earns the part of a request.
    pub fn on_request(&mut self) {
        self.balance = (self.balance + EARNED_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Earns back a part of a retry that was answered in time.
    pub fn on_retry_success(&mut self) {
        self.balance = (self.balance + EARNED_PER_SUCCESSFUL_RETRY).min(MAX_BALANCE);
    }

    /// Whether a whole retry is left.
    pub fn allows_retry(&self) -> bool {
        self.balance >= 1.0
    }

    /// Takes out one retry.
    pub fn spend(&mut self) {
        self.balance -= 1.0;
    }
}
