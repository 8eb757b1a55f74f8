//! A customer's demand and use, averaged over time, in units a second.

use super::counter_epoch::EPOCH_SECONDS;
use super::usage_report::CALL_PERIOD_SECONDS;
use crate::ewma::ewma;

/// Time constant of the averages, in mean intervals between replies.
const MEMORY_REPLIES: f64 = 4.0;
/// Upper bound of the time constant, in epochs.
const MEMORY_MAX_EPOCHS: f64 = 0.5;

/// A customer's usage according to the counter's latest replies. The averages start at zero, so that the
/// first values are too low: divided by `coverage` they are the mean of what was read.
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
    /// Time constant of the averages, in seconds.
    pub memory: f64,
    /// Weight of the readings in the averages; the rest is the weight of the initial zero.
    pub coverage: f64,
}

/// The usage between two replies.
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
