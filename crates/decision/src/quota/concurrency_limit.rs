//! A plan's limit of attempts in flight: this limiter holds its share of it, one attempt at least.
//!
//! The share follows the demand but is not below the even share. Own demand is known from this limiter's
//! start and all demand from the epoch's, so that the ratio can exceed 1 and is cut there: otherwise a
//! limiter that starts late in an epoch would hold many times the whole limit. Held by
//! `tests/decision/quota_accounts.rs`, `a_limiter_that_starts_late_in_an_epoch_keeps_the_concurrency_limit`.

use super::Quota;
use crate::interface::Settings;
use std::sync::Arc;

impl Quota {
    /// Whether a customer has its share of the plan's attempts in flight from here.
    pub fn is_at_concurrency_limit(&self, settings: &Settings, id: &Arc<str>) -> bool {
        let Some(customer) = self.customers.get(id) else { return true };
        let limit = settings.plans[customer.plan_index].concurrency_limit;
        let even_share = 1.0 / customer.reachable_instances;
        let demand_share = customer
            .known_totals()
            .filter(|totals| totals.demand > 0.0)
            .map_or(even_share, |totals| (totals.own_demand / totals.demand).min(1.0));
        let allowed = (limit * demand_share.max(even_share)).round().max(1.0);
        limit > 0.0 && f64::from(customer.in_flight) >= allowed
    }
}
