//! A plan's limit on attempts in flight. Each limiter enforces its share of it, at least one attempt.
//!
//! The share follows this limiter's share of the demand but is never below the even share. At first, own
//! demand is measured from the start of the limiter and total demand from the start of the epoch, so their
//! ratio can exceed 1 and is capped there: otherwise a limiter that starts late in an epoch would allow many
//! times the whole limit. Held by
//! `tests/decision/quota_accounts.rs`, `a_limiter_that_starts_late_in_an_epoch_keeps_the_concurrency_limit`.

use super::Quota;
use crate::interface::Settings;
use std::sync::Arc;

impl Quota {
    /// Whether a customer's attempts in flight have reached this limiter's share of the plan's limit. An
    /// unknown customer counts as at its limit.
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
