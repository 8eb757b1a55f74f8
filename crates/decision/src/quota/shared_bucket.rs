//! The level of the one token bucket that all limiters of a customer draw from together, as the counter tells
//! it.
//!
//! It matters where one request from each limiter is already more than the burst: local buckets cannot hold
//! such a quota. What it can get wrong: between readings the level is as old as the last reply. Held by
//! `tests/decision/quota_shared_bucket.rs`.

use super::usage_totals::UsageTotals;
use crate::interface::Plan;

/// The bucket of one customer.
pub struct SharedBucket {
    /// Units left at the last reading; overdrawn by one burst at most.
    level: f64,
}

/// When what a reply tells of was drawn.
pub struct ReadingTimes {
    pub previous_reply: f64,
    pub epoch_start: f64,
    pub now: f64,
}

impl SharedBucket {
    /// A bucket that nothing was drawn from.
    pub fn full(plan: &Plan) -> Self {
        SharedBucket { level: plan.burst }
    }

    /// Units left at the last reading; negative if overdrawn.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Takes in what all limiters drew since the reply before, or since the epoch began if that is later. The
    /// draws are taken to be even over that time.
    pub fn update(
        &mut self,
        plan: &Plan,
        refill_rate: f64,
        drawn: f64,
        totals: Option<UsageTotals>,
        times: &ReadingTimes,
    ) {
        let &ReadingTimes { previous_reply, epoch_start, now } = times;
        // What was drawn in the last epoch after its last reply is unknown: it is taken to be as before.
        let accepted = totals.map_or(refill_rate, |totals| totals.accepted / totals.coverage.max(1e-6));
        let unobserved = (refill_rate - accepted) * (epoch_start - previous_reply).max(0.0);
        let left = (self.level + unobserved).min(plan.burst)
            + refill_rate * (now - previous_reply.max(epoch_start))
            - drawn;
        self.level = left.clamp(-plan.burst, plan.burst);
    }
}
