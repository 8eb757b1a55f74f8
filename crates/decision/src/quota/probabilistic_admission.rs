//! The probability with which a request is admitted where each limiter's share of the burst is below one
//! token.
//!
//! A bucket of one request loses what it cannot hold and passes on what others have used up. Instead each
//! limiter admits the same share of its requests: the quota divided by all demand, corrected by how far the
//! shared bucket is from full. On average that is the limit of [`super::demand_share`]. A customer that was
//! not read yet gets the mean probability of its plan's customers. What it can get wrong: a customer unlike
//! its plan gets too much or too little until its first reply. Held by
//! `tests/decision/quota_shared_bucket.rs`.

use super::shared_bucket::SharedBucket;
use super::usage_totals::UsageTotals;
use crate::ewma::ewma;
use crate::interface::Plan;

/// Seconds within which the shared bucket is steered back to full. A full bucket covers what is admitted
/// before the next reply.
const CORRECTION_SECONDS: f64 = 1.0;
/// Readings over which a plan's mean is taken.
const MAX_MEAN_SAMPLES: f64 = 30.0;

/// The share of requests to admit; beyond 0 to 1 where all or none should be.
pub fn admission_probability(
    plan: &Plan,
    usable_ratio: f64,
    shared_bucket: &SharedBucket,
    totals: UsageTotals,
) -> f64 {
    let correction = (shared_bucket.level() - plan.burst) / CORRECTION_SECONDS;
    (plan.rate * usable_ratio + correction) * totals.coverage / totals.demand.max(1e-6)
}

/// The mean admission probability of a plan's customers that were read here.
#[derive(Clone, Copy)]
pub struct PlanAdmission {
    mean_probability: f64,
    sample_count: f64,
}

impl PlanAdmission {
    /// Before any reading all requests are admitted, as by a fallback.
    pub const INITIAL: PlanAdmission = PlanAdmission { mean_probability: 1.0, sample_count: 0.0 };

    /// The mean probability of the plan's customers, from 0 to 1.
    pub fn mean_probability(&self) -> f64 {
        self.mean_probability
    }

    /// Takes in the probability of a customer that was read.
    pub fn update(&mut self, probability: f64) {
        self.sample_count = (self.sample_count + 1.0).min(MAX_MEAN_SAMPLES);
        self.mean_probability =
            ewma(self.mean_probability, probability.clamp(0.0, 1.0), 1.0 / self.sample_count);
    }
}
