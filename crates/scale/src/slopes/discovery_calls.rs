//! Time until the last limiter is told by a discovery service of fixed capacity, from the table of
//! `docs/studies/asked-discovery.md`. Nothing is measured here: the study's medians are stored as a record.

use crate::record::Point;

/// Work of the service for one call of each limiter, and the time from its return after an outage of 8 s to the last
/// limiter told (median of ten seeds), for 300 limiters.
const LAST_TOLD: [(f64, f64); 3] = [(2.0, 3.86), (4.0, 5.49), (8.0, 8.91)];
/// Calls of each limiter meanwhile, by limiters, where the service needs 2 s for one call of each.
const CALLS: [(f64, f64); 4] = [(1.0, 5.9), (6.0, 5.9), (30.0, 5.9), (300.0, 5.9)];

/// The study's values.
pub fn points() -> Vec<Point> {
    let point = |variable: &str, quantity: &str, (size, value): (f64, f64)| Point {
        variable: variable.into(),
        size,
        quantity: quantity.into(),
        value,
        repetition: 0,
    };
    let told = LAST_TOLD.iter().map(|pair| point("work_s", "last_told.s", *pair));
    let calls = CALLS.iter().map(|pair| point("limiters", "calls_per_limiter.count", *pair));
    told.chain(calls).collect()
}
