//! Which endpoint takes an attempt, and how many attempts may be in flight.
//!
//! [`EndpointSet`] holds what is known of each endpoint and of all together. Evidence comes from the
//! limiter's own attempts alone; load reports decide nothing. [`selection`] is the rule that picks an
//! endpoint from it.

mod class_breaker;
mod concurrency_limit;
mod endpoint;
mod endpoint_set;
mod fleet_limit;
mod latency;
mod outlier_detection;
mod selection;
mod slow_start;
mod subset;

pub use concurrency_limit::AttemptSample;
pub use endpoint::Location;
pub use endpoint_set::EndpointSet;
pub use latency::AttemptStatus;
pub use selection::{Constraints, DeduplicationBinding};
