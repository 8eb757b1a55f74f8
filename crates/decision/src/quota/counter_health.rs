//! Health of the counter service: whether it is down, and what fraction of the requests may call it.
//!
//! Hundreds of limiters with many rare customers could overload the counter. Therefore the fraction of
//! requests that call it decreases with each slow or failed call and increases with each fast reply. After
//! several failed calls in a row the counter is called only once per period. Held by
//! `tests/decision/counter.rs`, the tests of an unresponsive and of a slow counter.

use super::usage_report::CALL_PERIOD_SECONDS;
use crate::interface::Outcome;

/// Failed calls in a row after which the counter is considered down.
const FAILURE_THRESHOLD: u32 = 3;
/// Fraction of the requests that call the counter: the initial value and the minimum.
const INITIAL_CALL_PROBABILITY: f64 = 0.5;
const MIN_CALL_PROBABILITY: f64 = 0.03;
/// A fast reply adds the first to the call probability; any other outcome multiplies it by the second.
const CALL_PROBABILITY_INCREASE: f64 = 0.02;
const CALL_PROBABILITY_DECREASE_FACTOR: f64 = 0.85;
/// A reply within this fraction of the call's timeout is fast.
const FAST_REPLY_TIMEOUT_RATIO: f64 = 0.2;

/// State of the counter service, inferred from its replies.
pub struct CounterHealth {
    consecutive_failures: u32,
    next_probe_at: f64,
    call_probability: f64,
}

impl CounterHealth {
    /// The state before the first call: up, with the initial call probability.
    pub fn new(now: f64) -> Self {
        CounterHealth {
            consecutive_failures: 0,
            next_probe_at: now,
            call_probability: INITIAL_CALL_PROBABILITY,
        }
    }

    /// Whether the number of consecutive failures has reached [`FAILURE_THRESHOLD`].
    pub fn is_down(&self) -> bool {
        self.consecutive_failures >= FAILURE_THRESHOLD
    }

    /// Whether the counter is down and the period since the last call has not passed.
    pub fn is_backing_off(&self, now: f64) -> bool {
        self.is_down() && now < self.next_probe_at
    }

    /// The probability with which a request calls the counter. Rejected requests call more often, because the
    /// totals in the reply decide whether the client's next request is admitted.
    pub fn call_probability(&self, admitted: bool) -> f64 {
        if admitted {
            self.call_probability
        } else {
            (2.0 * self.call_probability).min(1.0)
        }
    }

    /// Records a call. If the counter is down, the next call is made one period later at the earliest.
    pub fn on_call(&mut self, now: f64) {
        self.next_probe_at = now + CALL_PERIOD_SECONDS;
    }

    /// Updates the state from the outcome of a call that ended after `elapsed_s` seconds.
    pub fn on_reply(&mut self, outcome: Outcome, elapsed_s: f64, timeout_s: f64) {
        let answered = outcome == Outcome::Ok;
        let probability = if answered && elapsed_s <= FAST_REPLY_TIMEOUT_RATIO * timeout_s {
            self.call_probability + CALL_PROBABILITY_INCREASE
        } else {
            self.call_probability * CALL_PROBABILITY_DECREASE_FACTOR
        };
        self.call_probability = probability.clamp(MIN_CALL_PROBABILITY, 1.0);
        // A counter that rejects a call as overloaded is up.
        if outcome != Outcome::Overloaded {
            self.consecutive_failures =
                if answered { 0 } else { self.consecutive_failures.saturating_add(1) };
        }
    }
}
