//! Endpoint selection and the limits of attempts in flight.
//!
//! [`EndpointSet`] holds the state of each endpoint and of the fleet. Apart from endpoint lists, only the
//! outcomes of this limiter's own attempts change the state; load reports are not used. [`selection`] picks
//! an endpoint by this state.

mod class_breaker;
mod concurrency_limit;
mod endpoint;
mod endpoint_set;
mod fleet_limit;
mod latency;
mod location;
mod outlier_detection;
mod selection;
mod slow_start;
mod subset;

pub use concurrency_limit::AttemptSample;
pub use endpoint_set::EndpointSet;
pub use latency::AttemptStatus;
pub use location::{AttemptLocations, Relocations};
pub use selection::Constraints;
