//! Pauses between calls that fail: exponential backoff with jitter, and a retry budget.

use fastrand::Rng;
use std::time::Duration;

/// The pause after the first failure, and the longest one. Both are jittered by [`LEAST_PART`].
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_millis(1_500);
/// A pause is drawn evenly from this part of it up to the whole.
const LEAST_PART: f64 = 0.5;
/// Advice to retry later is followed up to this time: longer outages end unannounced, and a list has expired anyway.
const LONGEST_ADVICE: Duration = Duration::from_secs(30);
/// Calls that may be made at once, and how many are earned in a second.
const BUDGET_DEPTH: f64 = 4.0;
const BUDGET_RATE: f64 = 0.8;

/// Decides when the next call may begin at the earliest.
#[derive(Debug)]
pub(crate) struct Backoff {
    rng: Rng,
    failures: u32,
    not_before: Duration,
    /// Calls left in the budget, as of the time beside them.
    budget: f64,
    budget_at: Duration,
}

impl Backoff {
    pub fn new(seed: u64) -> Self {
        Backoff {
            rng: Rng::with_seed(seed),
            failures: 0,
            not_before: Duration::ZERO,
            budget: BUDGET_DEPTH,
            budget_at: Duration::ZERO,
        }
    }

    pub fn call_started(&mut self, now: Duration) {
        self.budget = (self.budget_now(now) - 1.0).max(0.0);
        self.budget_at = now;
    }

    pub fn call_failed(&mut self, now: Duration, retry_after: Option<Duration>) {
        let longest = (FIRST_PAUSE * 2u32.saturating_pow(self.failures)).min(LONGEST_PAUSE);
        let part = LEAST_PART + (1.0 - LEAST_PART) * self.rng.f64();
        let pause = longest.mul_f64(part);
        // Those who are told the same time must not all come then.
        let advised = retry_after.map(|advice| advice.min(LONGEST_ADVICE) + longest.mul_f64(self.rng.f64()));
        self.not_before = self.not_before.max(now + advised.map_or(pause, |advised| advised.max(pause)));
        // More doublings would only overflow.
        self.failures = (self.failures + 1).min(8);
    }

    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.not_before = Duration::ZERO;
    }

    /// Another service answers from now on: what the old one refused says nothing of it.
    pub fn reset(&mut self, now: Duration) {
        self.succeeded();
        self.budget = BUDGET_DEPTH;
        self.budget_at = now;
    }

    /// The earliest time of the next call.
    pub fn not_before(&self) -> Duration {
        let missing = (1.0 - self.budget).max(0.0) / BUDGET_RATE;
        self.not_before.max(self.budget_at + Duration::from_secs_f64(missing))
    }

    fn budget_now(&self, now: Duration) -> f64 {
        let earned = now.saturating_sub(self.budget_at).as_secs_f64() * BUDGET_RATE;
        (self.budget + earned).min(BUDGET_DEPTH)
    }
}
