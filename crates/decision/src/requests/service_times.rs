//! Mean service time per class and unit, in seconds, over all endpoints.
//!
//! It is the expected time of a response: for detecting slow attempts, for the time that a retry needs, and
//! for the advised delay of a client's retry. What it can get wrong: after a change it takes some tens of
//! responses to converge. Held by `tests/decision/admission.rs`,
//! `a_request_rejected_for_capacity_or_concurrency_may_be_retried_after_one_service_time`.

use crate::ewma::ewma;
use crate::interface::Settings;

/// Initial mean, in latency objectives.
const INITIAL_MEAN_OBJECTIVES: f64 = 0.2;
/// Smoothing factor for each response.
const GAIN: f64 = 0.02;

/// Moving averages of the service time, by class.
pub struct ServiceTimes {
    means_s: Vec<f64>,
}

impl ServiceTimes {
    /// The initial means, derived from the classes' latency objectives.
    pub fn new(settings: &Settings) -> Self {
        let initial = |objective_s: f64| objective_s * INITIAL_MEAN_OBJECTIVES;
        ServiceTimes {
            means_s: settings.classes.iter().map(|class| initial(class.latency_objective_s)).collect(),
        }
    }

    /// Mean seconds per unit of a class.
    pub fn per_unit_s(&self, class: usize) -> f64 {
        self.means_s[class]
    }

    /// Adds a response of a class to its mean.
    pub fn record(&mut self, class: usize, per_unit_s: f64) {
        self.means_s[class] = ewma(self.means_s[class], per_unit_s, GAIN);
    }

    /// The mean over all classes. An occupied slot is likely to be free after this time.
    pub fn overall_mean_s(&self) -> f64 {
        self.means_s.iter().sum::<f64>() / self.means_s.len().max(1) as f64
    }
}
