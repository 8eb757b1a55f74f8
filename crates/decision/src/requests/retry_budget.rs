//! Retry budget: bounds retries to a ratio of requests, so that retries do not amplify an overload of the
//! fleet.
//!
//! Each request adds a fraction of a retry to the balance. A retry that succeeds within the latency objective
//! returns most of its cost, so that more retries are sent where they help. What it can get wrong: a burst of
//! failures exhausts the balance, and requests fail that a retry would have served. Held by
//! `tests/decision/retry.rs`.

/// Retries added to the balance by each request.
const EARNED_PER_REQUEST: f64 = 0.1;
/// Retries returned to the balance by a retry that succeeds within the latency objective.
const EARNED_PER_SUCCESSFUL_RETRY: f64 = 0.8;
/// Upper bound of the balance.
const MAX_BALANCE: f64 = 10.0;

/// The balance of retries that may still be sent.
pub struct RetryBudget {
    balance: f64,
}

impl RetryBudget {
    /// A budget with the largest balance.
    pub fn full() -> Self {
        RetryBudget { balance: MAX_BALANCE }
    }

    /// Adds the fraction of a retry that a request earns.
    pub fn on_request(&mut self) {
        self.balance = (self.balance + EARNED_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Returns part of the cost of a retry that succeeded within the latency objective.
    pub fn on_retry_success(&mut self) {
        self.balance = (self.balance + EARNED_PER_SUCCESSFUL_RETRY).min(MAX_BALANCE);
    }

    /// Whether the balance covers a retry.
    pub fn allows_retry(&self) -> bool {
        self.balance >= 1.0
    }

    /// Deducts one retry.
    pub fn spend(&mut self) {
        self.balance -= 1.0;
    }
}
