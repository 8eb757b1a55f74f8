//! What a bucket may borrow while the customer's quota is idle.
//!
//! A bucket of less than one request rejects most however idle the quota is, and any other lags behind demand
//! that moves here, a restart or lost counter calls. What it can get wrong: many limiters that lend the same
//! idle units within one counter period go beyond the quota together. Held by
//! `tests/decision/quota_share.rs`, `an_idle_quota_lends_to_a_bucket_of_under_one_request`.

use super::usage_totals::UsageTotals;
use crate::interface::Plan;

/// Share of the plan's burst that a bucket of less than one request may borrow from a quota that is all idle.
const SMALL_BUCKET_BORROW_RATIO: f64 = 0.7;
/// Share of its own burst that any other bucket may borrow then.
const BORROW_RATIO: f64 = 0.3;

/// Units that a bucket with this burst may borrow for a request.
pub fn borrowable_units(
    plan: &Plan,
    burst: f64,
    request_units: f64,
    usable_ratio: f64,
    totals: Option<UsageTotals>,
) -> f64 {
    let idle_ratio =
        totals.map_or(0.0, |totals| (usable_ratio - totals.accepted / plan.rate.max(1e-9)).max(0.0));
    let borrowable_when_idle =
        if burst < request_units { SMALL_BUCKET_BORROW_RATIO * plan.burst } else { BORROW_RATIO * burst };
    borrowable_when_idle * idle_ratio
}
