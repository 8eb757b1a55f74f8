//! How long an endpoint takes compared with what is usual for the class.
//!
//! The ratio is an average that forgets: without news it returns to 1, and news weighs more the older the
//! average is, so that an endpoint that is used rarely is judged by its latest responses. Held by
//! `tests/decision/endpoint_selection.rs`.

use crate::ewma::ewma;

/// Weight of one response in the average, where there is recent news.
const MIN_RATIO_GAIN: f64 = 0.15;
/// Weight of one response where all before is forgotten.
const MAX_RATIO_GAIN: f64 = 0.5;
/// Time constant with which the ratio returns to 1 without news, in latency objectives.
const DECAY_OBJECTIVES: f64 = 8.0;
/// Bounds of one sample.
const MIN_RATIO: f64 = 0.1;
const MAX_RATIO: f64 = 30.0;

/// Whether a time is that of a response, or of an attempt that still waits for one.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum AttemptStatus {
    Responded,
    Pending,
}

/// Average of response times as a ratio of what is usual for their class.
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

    /// The average now, as far as it is not forgotten.
    pub fn decayed(&self, objective_s: f64, now: f64) -> f64 {
        1.0 + (self.ratio - 1.0) * self.decay_factor(objective_s, now)
    }

    fn decay_factor(&self, objective_s: f64, now: f64) -> f64 {
        (-(now - self.updated_at) / (DECAY_OBJECTIVES * objective_s)).exp()
    }

    /// Takes in one ratio; `objective` is the fleet's latency objective in seconds.
    pub fn record(&mut self, sample: f64, objective_s: f64, now: f64) {
        let decay_factor = self.decay_factor(objective_s, now);
        let gain = MIN_RATIO_GAIN.max(MAX_RATIO_GAIN * (1.0 - decay_factor));
        let mean = 1.0 + (self.ratio - 1.0) * decay_factor;
        self.ratio = ewma(mean, sample.clamp(MIN_RATIO, MAX_RATIO), gain);
        self.updated_at = now;
    }
}
