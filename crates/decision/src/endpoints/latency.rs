//! Latency of an endpoint as a ratio of the expected latency of the class.
//!
//! The ratio is a moving average that decays to 1 without new samples. The older the average, the higher the
//! weight of a new sample, so that a rarely used endpoint is judged by its latest responses. Held by
//! `tests/decision/endpoint_selection.rs`.

use crate::ewma::ewma;

/// Smoothing factor while the average is recent.
const MIN_RATIO_GAIN: f64 = 0.15;
/// Smoothing factor once the average has decayed completely.
const MAX_RATIO_GAIN: f64 = 0.5;
/// Time constant with which the ratio decays to 1 without samples, in latency objectives.
const DECAY_OBJECTIVES: f64 = 8.0;
/// Bounds of one sample.
const MIN_RATIO: f64 = 0.1;
const MAX_RATIO: f64 = 30.0;

/// Whether a latency sample is from a response, or from an attempt that is still pending.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum AttemptStatus {
    Responded,
    Pending,
}

/// Moving average of latencies as ratios of the expected latency of their class.
pub struct LatencyRatio {
    ratio: f64,
    updated_at: f64,
}

impl LatencyRatio {
    /// The ratio before any response.
    pub fn initial() -> Self {
        LatencyRatio { ratio: 1.0, updated_at: 0.0 }
    }

    /// The average at its last update.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }

    /// The average, decayed towards 1 for the time since its last update.
    pub fn decayed(&self, objective_s: f64, now: f64) -> f64 {
        1.0 + (self.ratio - 1.0) * self.decay_factor(objective_s, now)
    }

    fn decay_factor(&self, objective_s: f64, now: f64) -> f64 {
        (-(now - self.updated_at) / (DECAY_OBJECTIVES * objective_s)).exp()
    }

    /// Adds a sample to the average; `objective_s` is the fleet's latency objective in seconds.
    pub fn record(&mut self, sample: f64, objective_s: f64, now: f64) {
        let decay_factor = self.decay_factor(objective_s, now);
        let gain = MIN_RATIO_GAIN.max(MAX_RATIO_GAIN * (1.0 - decay_factor));
        let mean = 1.0 + (self.ratio - 1.0) * decay_factor;
        self.ratio = ewma(mean, sample.clamp(MIN_RATIO, MAX_RATIO), gain);
        self.updated_at = now;
    }
}
