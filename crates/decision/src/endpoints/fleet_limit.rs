//! The limit of attempts in flight at all endpoints together, from this limiter.
//!
//! It is the sum of the endpoints' limits times a factor that follows the fleet's latency: the factor grows
//! while responses do not wait and the limit is used, and shrinks while they wait. The work's own time is
//! learned while the fleet is held back, since holding back more does not make work shorter. What it can get
//! wrong: where others fill the fleet all along, their queue looks like work. Held by
//! `tests/decision/fleet_limit.rs`.

use super::concurrency_limit::{DECREASE_ABOVE_RATIO, MIN_ATTEMPTS};
use crate::ewma::ewma;

/// Least baseline latency, in latency objectives; also its first value.
const MIN_BASELINE_LATENCY: f64 = 0.09;
/// Weight of one response in the baseline latency.
const BASELINE_GAIN: f64 = 0.03;
/// Weight of one response in the observed latency.
const LATENCY_GAIN: f64 = 0.15;
/// Observed latency from which on responses wait at endpoints, in baseline latencies.
const QUEUEING_RATIO: f64 = 2.0;
/// Steps of the limit factor with each response, up and down.
const INCREASE_FACTOR: f64 = 1.02;
const DECREASE_FACTOR: f64 = 0.97;
/// Steps of the limit in attempts, up and down, for a limiter with little traffic: by hundredths its limit
/// would follow the fleet in some tens of responses, which take it seconds.
const LOW_TRAFFIC_INCREASE: f64 = 0.8;
const LOW_TRAFFIC_DECREASE: f64 = 1.2;
/// Largest such step down, as a share of the limit.
const LOW_TRAFFIC_MAX_DECREASE: f64 = 0.5;
/// Bounds of the limit factor.
const MIN_LIMIT_FACTOR: f64 = 0.3;
const MAX_LIMIT_FACTOR: f64 = 6.0;
/// Standard deviations of its attempts in flight by which a limiter with little traffic may exceed its limit.
const PEAK_DEVIATIONS: f64 = 0.5;
/// Weight of one request in the saturation.
const SATURATION_GAIN: f64 = 0.05;
/// Free places from which on the limit counts as not used.
const UNUSED_HEADROOM: u32 = 2;

/// The limit over all endpoints.
pub struct FleetLimit {
    /// Attempts in flight at all endpoints.
    in_flight: u32,
    /// Sum of the limits of the endpoints that serve.
    limit_sum: f64,
    limit_factor: f64,
    /// Mean response time, and the part of it that is work, both in latency objectives.
    observed_latency: f64,
    baseline_latency: f64,
    /// Share of the requests that found the limit reached.
    saturation: f64,
    /// See [`low_traffic_factor`].
    low_traffic_factor: f64,
}

/// How little traffic each of so many limiters gets: 0 where its even part of an endpoint's least limit is a
/// whole attempt, towards 1 for hundreds of limiters.
fn low_traffic_factor(instance_count: u32) -> f64 {
    (1.0 - MIN_ATTEMPTS / f64::from(instance_count.max(1))).max(0.0)
}

impl FleetLimit {
    /// The limit of one of so many limiters, before any endpoint is known.
    pub fn new(instance_count: u32) -> Self {
        // A limiter with little traffic would take seconds to learn that responses do not wait: it begins so.
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

    /// Takes in the sum of the serving endpoints' limits.
    pub fn refresh(&mut self, limit_sum: f64, instance_count: u32) {
        self.limit_sum = limit_sum;
        self.low_traffic_factor = low_traffic_factor(instance_count);
    }

    /// Counts an attempt as in flight.
    pub fn on_attempt_started(&mut self) {
        self.in_flight += 1;
    }

    /// No longer counts an attempt as in flight.
    pub fn on_attempt_released(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// An endpoint with this limit was ejected.
    pub fn on_ejection(&mut self, limit: f64) {
        self.limit_sum -= limit;
    }

    /// Observed latency in baseline latencies.
    pub fn latency_ratio(&self) -> f64 {
        self.observed_latency / self.baseline_latency
    }

    /// Adjusts the limit factor by a response that took so many latency objectives. Attempts without a
    /// response say nothing of the fleet: they may be lost, not waiting.
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

    /// One attempt as a share of the limit, as far as this limiter has little traffic.
    fn low_traffic_step(&self) -> f64 {
        self.low_traffic_factor / self.limit().max(1.0)
    }

    /// Grows only while the limit is used, which it is at a limiter that gets more requests than others.
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
    /// What one of hundreds of limiters gets is a handful of requests, which scatters by its root and evens
    /// out over all of them: held to the mean, each would reject its own peaks while endpoints are idle.
    /// Where responses wait, no endpoint is idle, and every peak would be one attempt too many.
    pub fn has_capacity(&self) -> bool {
        let limit = self.limit();
        let peaks =
            if self.is_queueing() { 0.0 } else { PEAK_DEVIATIONS * self.low_traffic_factor * limit.sqrt() };
        f64::from(self.in_flight) + 1.0 <= (limit + peaks).max(1.0)
    }

    /// Share of the requests that find the limit reached, this one included.
    pub fn update_saturation(&mut self) -> f64 {
        let is_full = f64::from(u8::from(!self.has_capacity()));
        self.saturation = ewma(self.saturation, is_full, SATURATION_GAIN);
        self.saturation
    }
}
