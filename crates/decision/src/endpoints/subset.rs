//! Deterministic subsetting: which of many endpoints this limiter uses.
//!
//! All limiters order the endpoints by the same hash and start at evenly spread offsets, so that each
//! endpoint is used by about the same number of limiters. With few limiters each of them uses all endpoints.
//! With many, a limiter that used all endpoints would send too few attempts to each to judge it. What it can
//! get wrong: where most endpoints are ejected, each of the rest is used by more limiters than intended,
//! which the slow-start budget takes into account. Held by `tests/decision/slow_start.rs`,
//! `limiters_that_share_the_remaining_endpoints_keep_the_budget`.

use crate::hash::fnv1a;
use crate::interface::EndpointId;

/// Number of limiters that use one endpoint.
const INSTANCES_PER_ENDPOINT: f64 = 48.0;
/// Least number of endpoints that one limiter uses.
const MIN_SUBSET_SIZE: f64 = 8.0;
/// Fractional part of the golden ratio: its multiples spread evenly over 0 to 1.
pub const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_75;

/// The order in which this limiter considers endpoints, and how many of them.
#[derive(Default)]
pub struct Subset {
    order: Vec<EndpointId>,
    size: f64,
    instances_per_endpoint: f64,
}

impl Subset {
    /// The endpoints in this limiter's order.
    pub fn order(&self) -> &[EndpointId] {
        &self.order
    }

    /// Number of endpoints that this limiter uses.
    pub fn size(&self) -> f64 {
        self.size
    }

    /// Number of limiters that use each endpoint that is not ejected.
    pub fn instances_per_endpoint(&self) -> f64 {
        self.instances_per_endpoint
    }

    /// Recomputes the order for the limiter with this index, after the endpoints changed.
    pub fn reorder<'a>(&mut self, ids: impl Iterator<Item = &'a EndpointId>, instance_index: u32) {
        self.order = ids.cloned().collect();
        self.order.sort_by_cached_key(|id| fnv1a(id));
        let start = (f64::from(instance_index) * GOLDEN_RATIO_FRACTION).fract() * self.order.len() as f64;
        let start = (start as usize).min(self.order.len());
        self.order.rotate_left(start);
    }

    /// Recomputes the size for the number of limiters and of endpoints in service, of which some are ejected.
    pub fn resize(&mut self, instance_count: u32, in_service: f64, ejected: f64) {
        let instances = f64::from(instance_count.max(1));
        let wanted = (in_service * INSTANCES_PER_ENDPOINT / instances).ceil();
        self.size = wanted.clamp(MIN_SUBSET_SIZE.min(in_service), in_service);
        // Limiters replace ejected endpoints by others, so each remaining endpoint is used by more limiters.
        let serving = (in_service - ejected).max(1.0);
        self.instances_per_endpoint = (instances * self.size.min(serving) / serving).max(1.0);
    }
}
