//! Model of a single token bucket per customer from which all limiters draw; its level is computed from the
//! counter's replies.
//!
//! It is needed where one request from each limiter already exceeds the burst: local buckets cannot enforce
//! such a quota. What it can get wrong: between readings the level is as old as the last reply. Held by
//! `tests/decision/quota_shared_bucket.rs`.

use super::usage_totals::UsageTotals;
use crate::interface::Plan;

/// The shared bucket of one customer.
pub struct SharedBucket {
    /// Units left at the last reading, from minus one burst to one burst.
    level: f64,
}

/// The times that delimit the period of a reading.
pub struct ReadingTimes {
    pub previous_reply: f64,
    pub epoch_start: f64,
    pub now: f64,
}

impl SharedBucket {
    /// A bucket that holds the plan's burst.
    pub fn full(plan: &Plan) -> Self {
        SharedBucket { level: plan.burst }
    }

    /// Units left at the last reading; negative if overdrawn.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Lowers the level to `units` if it is higher.
    pub fn limit_to(&mut self, units: f64) {
        self.level = self.level.min(units);
    }

    /// Updates the level by the units that all limiters drew since the previous reply, or since the start of
    /// the epoch if that is later. The draws are assumed to be spread evenly over that time.
    pub fn update(
        &mut self,
        plan: &Plan,
        refill_rate: f64,
        drawn: f64,
        totals: Option<UsageTotals>,
        times: &ReadingTimes,
    ) {
        let &ReadingTimes { previous_reply, epoch_start, now } = times;
        // Draws between the last reply of the previous epoch and its end are unknown: they are assumed to
        // have continued at the mean rate.
        let accepted = totals.map_or(refill_rate, |totals| totals.accepted / totals.coverage.max(1e-6));
        let unobserved = (refill_rate - accepted) * (epoch_start - previous_reply).max(0.0);
        let left = (self.level + unobserved).min(plan.burst)
            + refill_rate * (now - previous_reply.max(epoch_start))
            - drawn;
        self.level = left.clamp(-plan.burst, plan.burst);
    }
}
