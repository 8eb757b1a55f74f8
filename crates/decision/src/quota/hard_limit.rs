//! The hard limit of a plan: each limiter holds an even share of it, whatever the demand.
//!
//! The share starts empty with the limiter, so that a restart does not draw the burst a second time. What it
//! can get wrong: where demand is uneven, limiters with little demand leave their share unused. Held by
//! `tests/decision/quota_accounts.rs`, `the_hard_limit_holds_over_all_limiters_and_a_restart`.

use crate::interface::Plan;

/// This limiter's share of a customer's hard limit.
pub struct HardLimit {
    tokens: f64,
}

impl HardLimit {
    /// The share of a limiter that started `limiter_age` seconds ago.
    pub fn new(plan: &Plan, instances: f64, limiter_age: f64) -> Self {
        let tokens = (plan.hard_limit_rate / instances * limiter_age).min(plan.hard_limit_burst / instances);
        HardLimit { tokens }
    }

    /// Adds what came in within so many seconds.
    pub fn refill(&mut self, plan: &Plan, instances: f64, elapsed_s: f64) {
        let (rate, burst) = (plan.hard_limit_rate / instances, plan.hard_limit_burst / instances);
        self.tokens = (self.tokens + rate * elapsed_s).min(burst);
    }

    /// Takes units out.
    pub fn draw(&mut self, units: f64) {
        self.tokens -= units;
    }

    /// The seconds until a request of so many units fits, if it does not now.
    pub fn wait(&self, plan: &Plan, instances: f64, units: f64) -> Option<f64> {
        let exceeded = plan.hard_limit_rate > 0.0 && self.tokens < units;
        exceeded.then(|| (units - self.tokens) / (plan.hard_limit_rate / instances))
    }
}
