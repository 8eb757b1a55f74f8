//! This limiter's share of a customer's quota, by its share of the demand.
//!
//! The rule is that of "Global ratelimiter: improve low-weight low-usage scenarios" (Cadence, pull request
//! 6238): each limiter gets the quota times its weight, and one whose weighted share is below the fallback
//! (an even share) may use what the quota has left, up to the fallback.
//!
//! ```text
//! fallback = quota / n
//! weight   = (own demand + prior / n) / (demand + prior)
//! limit    = max(weight * quota, min(fallback, weight * quota + max(quota - accepted, 0)))
//! ```
//!
//! `prior` is a demand that all limiters begin with evenly, so that one request out of many is no share by
//! itself. What the rule can get wrong: several limiters may use the same unused quota within one counter
//! period, so that together they exceed it until the next totals. Held by `tests/decision/quota_share.rs`.

use super::usage_totals::UsageTotals;

/// Requests of even demand with which every weight starts.
const PRIOR_REQUESTS: f64 = 2.0;

/// The refill rate in units a second. Without totals it is the fallback; where `usable_ratio` of the quota
/// may be divided by totals, the limiters that share them divide that much.
pub fn limit(
    quota: f64,
    usable_ratio: f64,
    instances: f64,
    request_units: f64,
    totals: Option<UsageTotals>,
) -> f64 {
    let fallback = quota / instances.max(1.0);
    let quota = quota * usable_ratio;
    let Some(totals) = totals.filter(|totals| totals.demand > 0.0) else { return fallback };
    let prior = PRIOR_REQUESTS * request_units;
    let weight = (totals.own_demand * totals.memory + prior / instances.max(1.0))
        / (totals.demand * totals.memory + prior);
    let weighted = quota * weight.clamp(0.0, 1.0);
    weighted.max(fallback.min(weighted + (quota - totals.accepted).max(0.0)))
}
