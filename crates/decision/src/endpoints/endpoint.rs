//! What this limiter knows of one endpoint.

use super::class_breaker::ClassBreaker;
use super::concurrency_limit::ConcurrencyLimit;
use super::latency::LatencyRatio;
use super::outlier_detection::OutlierState;
use crate::interface::{EndpointEntry, EndpointState};
use std::sync::Arc;

/// The zone and cell of an endpoint, which bound where a request with an idempotency key may be retried.
#[derive(Clone)]
pub struct Location {
    pub zone: Arc<str>,
    pub cell: i64,
}

/// One endpoint, as its attempts from here show it.
pub struct Endpoint {
    pub location: Location,
    /// Capacity relative to other endpoints.
    pub weight: f64,
    pub state: EndpointState,
    /// Its latest start, if that is recent.
    pub started_at: Option<f64>,
    /// When the list first named it, or named it as restarted.
    pub listed_at: f64,
    /// Attempts in flight from here.
    pub in_flight: u32,
    pub concurrency: ConcurrencyLimit,
    pub latency: LatencyRatio,
    pub outlier: OutlierState,
    pub class_breaker: ClassBreaker,
    /// Times of the attempts sent within the last overload window, while in slow start.
    pub slow_start_sends: Vec<f64>,
}

impl Endpoint {
    /// An endpoint of which only its entry in the list is known; its state is not taken from it yet.
    pub fn new(entry: &EndpointEntry, instance_count: u32, now: f64) -> Self {
        Endpoint {
            location: Location { zone: entry.zone.clone(), cell: entry.cell },
            weight: 0.0,
            state: EndpointState::default(),
            started_at: entry.started_at,
            listed_at: now,
            in_flight: 0,
            concurrency: ConcurrencyLimit::new(instance_count),
            latency: LatencyRatio::initial(),
            outlier: OutlierState::healthy(),
            class_breaker: ClassBreaker::default(),
            slow_start_sends: Vec::new(),
        }
    }

    /// Whether the list has it in service.
    pub fn is_in_service(&self) -> bool {
        self.state == EndpointState::InService
    }

    /// Whether it may get attempts: in service, and not ejected.
    pub fn is_serving(&self, now: f64) -> bool {
        self.is_in_service() && !self.outlier.is_ejected(now)
    }
}
