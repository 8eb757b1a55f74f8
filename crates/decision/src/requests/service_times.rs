//! Mean service time per class and unit, in seconds, over all endpoints.
//!
//! It says how long a response usually takes: for slow attempts, for the time left for a retry and for the
//! advice on when to retry. What it can get wrong: it follows a change over some tens of responses only. Held
//! by `tests/decision/admission.rs`,
//! `a_request_rejected_for_capacity_or_concurrency_is_advised_one_service_time`.

use crate::ewma::ewma;
use crate::interface::Settings;

/// Mean before any response, in latency objectives.
const INITIAL_MEAN_OBJECTIVES: f64 = 0.2;
/// Weight of one response.
const GAIN: f64 = 0.02;

/// The means, by class.
pub struct ServiceTimes {
    means_s: Vec<f64>,
}

impl ServiceTimes {
    /// The means before any response.
    pub fn new(settings: &Settings) -> Self {
        let initial = |objective_s: f64| objective_s * INITIAL_MEAN_OBJECTIVES;
        ServiceTimes {
            means_s: settings.classes.iter().map(|class| initial(class.latency_objective_s)).collect(),
        }
    }

    /// Seconds per unit of a class.
    pub fn per_unit_s(&self, class: usize) -> f64 {
        self.means_s[class]
    }

    /// Takes in one response.
    pub fn record(&mut self, class: usize, per_unit_s: f64) {
        self.means_s[class] = ewma(self.means_s[class], per_unit_s, GAIN);
    }

    /// The mean of all classes: after this time a place that is taken now is most likely free.
    pub fn overall_mean_s(&self) -> f64 {
        self.means_s.iter().sum::<f64>() / self.means_s.len().max(1) as f64
    }
}
