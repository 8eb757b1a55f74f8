//! The hard limit of a plan: each limiter enforces an even share of it, regardless of the demand.
//!
//! The share is empty when the limiter starts, so that a restart does not grant the burst a second time. What
//! it can get wrong: where demand is uneven, limiters with little demand leave their share unused. Held by
//! `tests/decision/quota_accounts.rs`, `the_hard_limit_holds_over_all_limiters_and_a_restart`.

use crate::interface::Plan;

/// This limiter's share of a customer's hard limit.
pub struct HardLimit {
    tokens: f64,
}

impl HardLimit {
    /// The share, filled since the start of the limiter `limiter_age_s` seconds ago.
    pub fn new(plan: &Plan, instances: f64, limiter_age_s: f64) -> Self {
        let tokens =
            (plan.hard_limit_rate / instances * limiter_age_s).min(plan.hard_limit_burst / instances);
        HardLimit { tokens }
    }

    /// Adds the tokens of `elapsed_s` seconds.
    pub fn refill(&mut self, plan: &Plan, instances: f64, elapsed_s: f64) {
        let (rate, burst) = (plan.hard_limit_rate / instances, plan.hard_limit_burst / instances);
        self.tokens = (self.tokens + rate * elapsed_s).min(burst);
    }

    /// Lowers the level to `units` if it is higher.
    pub fn limit_to(&mut self, units: f64) {
        self.tokens = self.tokens.min(units);
    }

    /// Draws units from the share.
    pub fn draw(&mut self, units: f64) {
        self.tokens -= units;
    }

    /// Seconds until a request of `units` is within the share; `None` if it is now.
    pub fn retry_after_s(&self, plan: &Plan, instances: f64, units: f64) -> Option<f64> {
        let exceeded = plan.hard_limit_rate > 0.0 && self.tokens < units;
        exceeded.then(|| (units - self.tokens) / (plan.hard_limit_rate / instances))
    }
}
