//! Settings of the validation.

/// Identity of the validating instance, and the timing and thresholds of the validation.
#[derive(Clone, Debug, PartialEq)]
pub struct ValidationSettings {
    /// Index of this instance, from 0.
    pub instance_index: u32,
    /// Configured number of instances that share the counter.
    pub instance_count: u32,
    /// Differs for each start of the process, so that no two processes share a sentinel counter.
    pub incarnation: u64,
    /// Seconds between two validation calls.
    pub call_interval_s: f64,
    /// Seconds for which one census and one sentinel counter are used. The instances' clocks must agree to within a tenth
    /// of it.
    pub census_period_s: f64,
    /// Consecutive failed calls after which the counter service counts as unavailable.
    pub failure_threshold: u32,
    /// Consecutive valid answers after which a counter service that failed counts as valid again.
    pub required_valid_answers: u32,
}

impl Default for ValidationSettings {
    /// A single instance, one call per second and a census every five seconds.
    fn default() -> Self {
        ValidationSettings {
            instance_index: 0,
            instance_count: 1,
            incarnation: 0,
            call_interval_s: 1.0,
            census_period_s: 5.0,
            failure_threshold: 3,
            required_valid_answers: 2,
        }
    }
}
