//! How many units a bucket may borrow while part of the customer's quota is idle.
//!
//! A bucket that holds less than one request would reject most requests even if the quota is idle. Any other
//! bucket lags when demand moves to this limiter, after a restart and after lost counter calls. What it can
//! get wrong: several limiters may borrow the same idle units within one counter period, so that together
//! they exceed the quota. Held by `tests/decision/quota_share.rs`,
//! `an_idle_quota_lends_to_a_bucket_below_one_request`.

use super::usage_totals::UsageTotals;
use crate::interface::Plan;

/// Fraction of the plan's burst that a bucket of less than one request may borrow from a fully idle quota.
const SMALL_BUCKET_BORROW_RATIO: f64 = 0.7;
/// Fraction of its own burst that any other bucket may borrow from a fully idle quota.
const BORROW_RATIO: f64 = 0.3;

/// Units that a bucket may borrow for a request, in proportion to the idle fraction of the quota. `burst` is
/// the bucket's own.
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
