//! A customer's demand and use, averaged over time, in units a second.

use super::counter_epoch::EPOCH_SECONDS;
use super::usage_report::CALL_PERIOD_SECONDS;
use crate::ewma::ewma;

/// Averages reach over this many mean intervals between replies ...
const MEMORY_REPLIES: f64 = 4.0;
/// ... and over this share of an epoch at most.
const MEMORY_MAX_EPOCHS: f64 = 0.5;

/// What the latest replies of the counter tell of a customer. A value includes the zeros that its average
/// began with: divided by `coverage` it is what was read.
#[derive(Clone, Copy, Default)]
pub struct UsageTotals {
    /// Demand at this limiter.
    pub own_demand: f64,
    /// Demand at all limiters.
    pub demand: f64,
    /// Demand that all limiters accepted.
    pub accepted: f64,
    /// Time of the latest reply.
    pub read_at: f64,
    /// Seconds over which the values are averaged.
    pub memory: f64,
    /// Share of the averages that was read; the rest is the zero that they began with.
    pub coverage: f64,
}

/// What one reply adds.
pub struct UsageReading {
    /// Units demanded at this limiter within `own_span_s` seconds.
    pub own_demand: f64,
    pub own_span_s: f64,
    /// Units demanded and accepted at all limiters within `span_s` seconds.
    pub demand: f64,
    pub accepted: f64,
    pub span_s: f64,
}

impl UsageTotals {
    /// The totals after one more reading.
    pub fn updated(self, reading: &UsageReading, reply_interval_s: f64, now: f64) -> Self {
        let memory = (MEMORY_REPLIES * reply_interval_s)
            .clamp(MEMORY_REPLIES * CALL_PERIOD_SECONDS, MEMORY_MAX_EPOCHS * EPOCH_SECONDS);
        let gain = |span_s: f64| 1.0 - (-span_s / memory).exp();
        let rate = |mean, units, span_s| ewma(mean, units / span_s, gain(span_s));
        UsageTotals {
            own_demand: rate(self.own_demand, reading.own_demand, reading.own_span_s),
            demand: rate(self.demand, reading.demand, reading.span_s),
            accepted: rate(self.accepted, reading.accepted, reading.span_s),
            read_at: now,
            memory,
            coverage: ewma(self.coverage, 1.0, gain(reading.span_s)),
        }
    }
}
