//! Settings of the validation.

/// Which instance validates, and how often it calls.
#[derive(Clone, Debug, PartialEq)]
pub struct ValidationSettings {
    /// Index of this instance, from 0.
    pub instance_index: u32,
    /// Instances that share the counter when nothing fails.
    pub instance_count: u32,
    /// Differs from start to start, so that a sentinel counter belongs to one process.
    pub incarnation: u64,
    /// Seconds between two calls.
    pub call_interval: f64,
    /// Seconds that one census and one sentinel counter are for. Clocks have to agree to a tenth of it.
    pub census_period: f64,
    /// Consecutive calls without an answer after which the counter is unavailable.
    pub max_misses: u32,
    /// Consecutive valid answers after which a counter that failed is valid again.
    pub required_valid_answers: u32,
}

impl Default for ValidationSettings {
    /// A single instance, one call a second and a census every five.
    fn default() -> Self {
        ValidationSettings {
            instance_index: 0,
            instance_count: 1,
            incarnation: 0,
            call_interval: 1.0,
            census_period: 5.0,
            max_misses: 3,
            required_valid_answers: 2,
        }
    }
}
