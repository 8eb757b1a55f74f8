//! Delays between calls: exponential backoff with jitter after failures, and a call budget.

use fastrand::Rng;
use std::time::Duration;

/// The backoff after the first failure, before jitter is applied.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// The longest backoff, before jitter is applied.
const MAX_BACKOFF: Duration = Duration::from_millis(1_500);
/// Jitter multiplies a backoff by a factor drawn uniformly between this value and 1.
const MIN_JITTER_FACTOR: f64 = 0.5;
/// The longest `Retry-After` that is respected. By then the list has expired, and the end of a longer outage is not
/// announced, so waiting longer would only delay recovery.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// The capacity of the call budget: the calls that may be made at once.
const CALL_BUDGET: f64 = 4.0;
/// The number of calls that the budget regains per second.
const BUDGET_PER_SECOND: f64 = 0.8;

/// Determines the earliest time of the next call.
#[derive(Debug)]
pub(crate) struct Backoff {
    rng: Rng,
    failures: u32,
    not_before: Duration,
    /// The calls left in the budget at `budget_updated_at`.
    budget: f64,
    budget_updated_at: Duration,
}

impl Backoff {
    pub fn new(seed: u64) -> Self {
        Backoff {
            rng: Rng::with_seed(seed),
            failures: 0,
            not_before: Duration::ZERO,
            budget: CALL_BUDGET,
            budget_updated_at: Duration::ZERO,
        }
    }

    pub fn call_started(&mut self, now: Duration) {
        self.budget = (self.budget_now(now) - 1.0).max(0.0);
        self.budget_updated_at = now;
    }

    pub fn call_failed(&mut self, now: Duration, retry_after: Option<Duration>) {
        let backoff = (INITIAL_BACKOFF * 2u32.saturating_pow(self.failures)).min(MAX_BACKOFF);
        let jitter_factor = MIN_JITTER_FACTOR + (1.0 - MIN_JITTER_FACTOR) * self.rng.f64();
        let delay = backoff.mul_f64(jitter_factor);
        // Jitter is added because limiters that get the same `Retry-After` must not all call at the same time.
        let advised =
            retry_after.map(|advised| advised.min(MAX_RETRY_AFTER) + backoff.mul_f64(self.rng.f64()));
        self.not_before = self.not_before.max(now + advised.map_or(delay, |advised| advised.max(delay)));
        // The backoff has reached its maximum well before; a larger exponent would only overflow.
        self.failures = (self.failures + 1).min(8);
    }

    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.not_before = Duration::ZERO;
    }

    /// The earliest time of the next call.
    pub fn not_before(&self) -> Duration {
        let missing = (1.0 - self.budget).max(0.0) / BUDGET_PER_SECOND;
        self.not_before.max(self.budget_updated_at + Duration::from_secs_f64(missing))
    }

    fn budget_now(&self, now: Duration) -> f64 {
        let earned = now.saturating_sub(self.budget_updated_at).as_secs_f64() * BUDGET_PER_SECOND;
        (self.budget + earned).min(CALL_BUDGET)
    }
}
