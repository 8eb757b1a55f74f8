//! Admits requests with a probability where each limiter's share of the burst is below one token.
//!
//! A local bucket that holds one request wastes the tokens beyond it and admits requests although other
//! limiters have used up the quota. Instead each limiter admits the same fraction of its requests: the quota
//! divided by the total demand, corrected by how far the shared bucket is from full. On average that is the
//! limit of [`super::demand_share`]. A customer whose totals were not read yet gets the mean probability of
//! its plan's customers. What it can get wrong: a customer whose demand differs from that of its plan gets
//! too much or too little until the first reply. Held by `tests/decision/quota_shared_bucket.rs`.

use super::shared_bucket::SharedBucket;
use super::usage_totals::UsageTotals;
use crate::ewma::ewma;
use crate::interface::Plan;

/// Time, in seconds, within which the correction refills the shared bucket. It aims at a full bucket, which
/// covers the requests admitted before the next reply.
const CORRECTION_SECONDS: f64 = 1.0;
/// Number of samples after which a plan's mean becomes a moving average.
const MAX_MEAN_SAMPLES: f64 = 30.0;

/// The fraction of requests to admit. May be below 0 (admit none) or above 1 (admit all).
pub fn admission_probability(
    plan: &Plan,
    usable_ratio: f64,
    shared_bucket: &SharedBucket,
    totals: UsageTotals,
) -> f64 {
    let correction = (shared_bucket.level() - plan.burst) / CORRECTION_SECONDS;
    (plan.rate * usable_ratio + correction) * totals.coverage / totals.demand.max(1e-6)
}

/// The mean admission probability of a plan's customers whose totals this limiter has read.
#[derive(Clone, Copy)]
pub struct PlanAdmission {
    mean_probability: f64,
    sample_count: f64,
}

impl PlanAdmission {
    /// The state before the first reading: all requests are admitted.
    pub const INITIAL: PlanAdmission = PlanAdmission { mean_probability: 1.0, sample_count: 0.0 };

    /// The mean probability of the plan's customers, from 0 to 1.
    pub fn mean_probability(&self) -> f64 {
        self.mean_probability
    }

    /// Adds the probability of a customer whose totals were read.
    pub fn update(&mut self, probability: f64) {
        self.sample_count = (self.sample_count + 1.0).min(MAX_MEAN_SAMPLES);
        self.mean_probability =
            ewma(self.mean_probability, probability.clamp(0.0, 1.0), 1.0 / self.sample_count);
    }
}
