//! The limit of this limiter's attempts in flight at all endpoints together.
//!
//! It is the sum of the endpoints' limits times a factor that follows the fleet's latency: the factor grows
//! while responses are not queued and the limit is in use, and shrinks while they are queued. The baseline
//! latency, which is the latency without a queue, is learned while the factor is below 1, since a lower limit
//! shortens the queue but not the work; it also follows an observed latency below it. What it can get wrong:
//! where other limiters keep the fleet busy all the time, their queueing is taken for the baseline. Held by
//! `tests/decision/fleet_limit.rs`.

use super::concurrency_limit::{DECREASE_ABOVE_RATIO, MIN_ATTEMPTS};
use crate::ewma::ewma;

/// Lower bound and initial value of the baseline latency, in latency objectives.
const MIN_BASELINE_LATENCY: f64 = 0.09;
/// Smoothing factor of the baseline latency.
const BASELINE_GAIN: f64 = 0.03;
/// Smoothing factor of the observed latency.
const LATENCY_GAIN: f64 = 0.15;
/// Observed latency above which responses count as queued, in baseline latencies.
const QUEUEING_RATIO: f64 = 2.0;
/// Factors on the limit factor for each response.
const INCREASE_FACTOR: f64 = 1.02;
const DECREASE_FACTOR: f64 = 0.97;
/// Steps of the limit in attempts for each response, for a limiter with little traffic. With the factors
/// above its limit would need some tens of responses to follow the fleet, which take it seconds.
const LOW_TRAFFIC_INCREASE: f64 = 0.8;
const LOW_TRAFFIC_DECREASE: f64 = 1.2;
/// Largest such step down, as a ratio of the limit.
const LOW_TRAFFIC_MAX_DECREASE: f64 = 0.5;
/// Bounds of the limit factor.
const MIN_LIMIT_FACTOR: f64 = 0.3;
const MAX_LIMIT_FACTOR: f64 = 6.0;
/// By how many standard deviations of its attempts in flight a limiter with little traffic may exceed its
/// limit.
const PEAK_DEVIATIONS: f64 = 0.5;
/// Smoothing factor of the saturation.
const SATURATION_GAIN: f64 = 0.05;
/// A limit with this many or more free slots counts as unused and does not grow.
const UNUSED_HEADROOM: u32 = 2;

/// The concurrency limit over all endpoints.
pub struct FleetLimit {
    /// Attempts in flight at all endpoints.
    in_flight: u32,
    /// Sum of the limits of the endpoints that are in service and not ejected.
    limit_sum: f64,
    limit_factor: f64,
    /// Moving average of response times, in latency objectives.
    observed_latency: f64,
    /// Estimated latency without queueing, in latency objectives.
    baseline_latency: f64,
    /// Ratio of the requests that found the limit reached.
    saturation: f64,
    /// See [`low_traffic_factor`].
    low_traffic_factor: f64,
}

/// Degree to which each of `instance_count` limiters has little traffic, from 0 to 1. The degree is 0 if a
/// limiter's share of [`MIN_ATTEMPTS`] is at least one attempt, and is close to 1 with hundreds of limiters.
fn low_traffic_factor(instance_count: u32) -> f64 {
    (1.0 - MIN_ATTEMPTS / f64::from(instance_count.max(1))).max(0.0)
}

impl FleetLimit {
    /// The limit at one of `instance_count` limiters, before any endpoint is known.
    pub fn new(instance_count: u32) -> Self {
        // A limiter with little traffic would need seconds of responses to find that they are not queued, so
        // it starts from that assumption.
        let has_low_traffic = low_traffic_factor(instance_count) > 0.0;
        let latency_ratio = if has_low_traffic { QUEUEING_RATIO } else { DECREASE_ABOVE_RATIO };
        FleetLimit {
            in_flight: 0,
            limit_sum: 0.0,
            limit_factor: 1.0,
            observed_latency: latency_ratio * MIN_BASELINE_LATENCY,
            baseline_latency: MIN_BASELINE_LATENCY,
            saturation: 0.0,
            low_traffic_factor: 0.0,
        }
    }

    /// Updates the sum of the serving endpoints' limits and the low-traffic factor.
    pub fn refresh(&mut self, limit_sum: f64, instance_count: u32) {
        self.limit_sum = limit_sum;
        self.low_traffic_factor = low_traffic_factor(instance_count);
    }

    /// Counts an attempt as in flight.
    pub fn on_attempt_started(&mut self) {
        self.in_flight += 1;
    }

    /// Stops counting an attempt as in flight.
    pub fn on_attempt_released(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Subtracts the limit of an endpoint that was ejected, until the next refresh.
    pub fn on_ejection(&mut self, limit: f64) {
        self.limit_sum -= limit;
    }

    /// Observed latency divided by the baseline latency.
    pub fn latency_ratio(&self) -> f64 {
        self.observed_latency / self.baseline_latency
    }

    /// Adjusts the limit factor by a response, whose latency is given in latency objectives. Attempts without
    /// a response are not counted: they may be lost instead of queued.
    pub fn on_response(&mut self, latency_objectives: f64) {
        self.observed_latency = ewma(self.observed_latency, latency_objectives, LATENCY_GAIN);
        if self.limit_factor < 1.0 || self.observed_latency < self.baseline_latency {
            self.baseline_latency =
                ewma(self.baseline_latency, latency_objectives, BASELINE_GAIN).max(MIN_BASELINE_LATENCY);
        }
        let factor = if self.is_queueing() { self.decrease_factor() } else { self.increase_factor() };
        self.limit_factor = (self.limit_factor * factor).clamp(MIN_LIMIT_FACTOR, MAX_LIMIT_FACTOR);
    }

    fn limit(&self) -> f64 {
        self.limit_sum * self.limit_factor
    }

    /// One attempt as a ratio of the limit, scaled by the low-traffic factor.
    fn low_traffic_step(&self) -> f64 {
        self.low_traffic_factor / self.limit().max(1.0)
    }

    /// Factor for a response that was not queued: above 1 only while the limit is in use or reduced. This
    /// lets a limiter that gets more requests than others reach a higher limit.
    fn increase_factor(&self) -> f64 {
        let is_used = f64::from(self.in_flight + UNUSED_HEADROOM) > self.limit() || self.limit_factor < 1.0;
        if is_used {
            INCREASE_FACTOR.max(1.0 + LOW_TRAFFIC_INCREASE * self.low_traffic_step())
        } else {
            1.0
        }
    }

    fn decrease_factor(&self) -> f64 {
        let step = (LOW_TRAFFIC_DECREASE * self.low_traffic_step()).min(LOW_TRAFFIC_MAX_DECREASE);
        DECREASE_FACTOR.min(1.0 - step)
    }

    fn is_queueing(&self) -> bool {
        self.observed_latency > QUEUEING_RATIO * self.baseline_latency
    }

    /// Whether one more attempt fits the limit.
    ///
    /// One of hundreds of limiters has only a few attempts in flight, with a standard deviation of about the
    /// square root of their mean. The peaks of different limiters cancel out, so a limit at the mean would
    /// reject requests while endpoints are idle. While responses are queued no endpoint is idle, so no excess
    /// is allowed.
    pub fn has_capacity(&self) -> bool {
        let limit = self.limit();
        let peaks =
            if self.is_queueing() { 0.0 } else { PEAK_DEVIATIONS * self.low_traffic_factor * limit.sqrt() };
        f64::from(self.in_flight) + 1.0 <= (limit + peaks).max(1.0)
    }

    /// Records for one request whether the limit is reached, and returns the ratio of requests that found it
    /// reached.
    pub fn update_saturation(&mut self) -> f64 {
        let is_full = f64::from(u8::from(!self.has_capacity()));
        self.saturation = ewma(self.saturation, is_full, SATURATION_GAIN);
        self.saturation
    }
}
