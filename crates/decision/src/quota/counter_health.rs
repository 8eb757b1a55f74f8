//! How the counter service answers: whether it is down, and for how many requests it is called.
//!
//! Hundreds of limiters with many rare customers could crowd the counter: a slow answer lowers the share of
//! requests that call it, a quick one raises it. A counter that left several calls in a row unanswered is
//! called once a period. Held by `tests/decision/counter.rs`, the two tests of a silent and of a slow
//! counter.

use super::usage_report::CALL_PERIOD_SECONDS;
use crate::interface::Outcome;

/// Unanswered calls in a row after which the counter is taken to be down.
const DOWN_AFTER_MISSES: u32 = 3;
/// Share of the requests that call the counter: at first and at least.
const INITIAL_CALL_PROBABILITY: f64 = 0.5;
const MIN_CALL_PROBABILITY: f64 = 0.03;
/// Added to the share by a quick answer, and kept of it after any other.
const CALL_PROBABILITY_INCREASE: f64 = 0.02;
const CALL_PROBABILITY_DECREASE_FACTOR: f64 = 0.85;
/// Share of the call's time-out within which an answer is quick.
const QUICK_TIMEOUT_RATIO: f64 = 0.2;

/// What the replies of the counter service show of it.
pub struct CounterHealth {
    misses: u32,
    next_probe_at: f64,
    call_probability: f64,
}

impl CounterHealth {
    /// A counter that was not called yet.
    pub fn new(now: f64) -> Self {
        CounterHealth { misses: 0, next_probe_at: now, call_probability: INITIAL_CALL_PROBABILITY }
    }

    /// Whether it left so many calls in a row unanswered that it counts as down.
    pub fn is_down(&self) -> bool {
        self.misses >= DOWN_AFTER_MISSES
    }

    /// Whether a call has to wait because the counter is down and was probed just now.
    pub fn must_wait(&self, now: f64) -> bool {
        self.is_down() && now < self.next_probe_at
    }

    /// The probability with which an admitted request calls the counter. Rejected ones call more often: what
    /// their call brings decides the client's next request.
    pub fn call_probability(&self, admitted: bool) -> f64 {
        if admitted {
            self.call_probability
        } else {
            (2.0 * self.call_probability).min(1.0)
        }
    }

    /// Notes a call, after which a counter that is down is left alone for a period.
    pub fn on_call(&mut self, now: f64) {
        self.next_probe_at = now + CALL_PERIOD_SECONDS;
    }

    /// Takes in a reply, or that there was none, `elapsed_s` seconds after the call.
    pub fn on_reply(&mut self, outcome: Outcome, elapsed_s: f64, timeout_s: f64) {
        let answered = outcome == Outcome::Ok;
        let probability = if answered && elapsed_s <= QUICK_TIMEOUT_RATIO * timeout_s {
            self.call_probability + CALL_PROBABILITY_INCREASE
        } else {
            self.call_probability * CALL_PROBABILITY_DECREASE_FACTOR
        };
        self.call_probability = probability.clamp(MIN_CALL_PROBABILITY, 1.0);
        // A counter that rejects a call as overloaded is up.
        if outcome != Outcome::Overloaded {
            self.misses = if answered { 0 } else { self.misses.saturating_add(1) };
        }
    }
}
