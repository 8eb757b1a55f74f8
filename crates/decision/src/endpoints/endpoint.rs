//! The state that this limiter keeps for one endpoint.

use super::class_breaker::ClassBreaker;
use super::concurrency_limit::ConcurrencyLimit;
use super::latency::LatencyRatio;
use super::location::{Location, Relocations, Residence, UpdateNumber};
use super::outlier_detection::OutlierState;
use crate::interface::{EndpointEntry, EndpointState};
use std::net::SocketAddr;

/// An endpoint: its entry in the endpoint list, and the state derived from the attempts sent to it.
pub struct Endpoint {
    pub residence: Residence,
    pub address: Option<SocketAddr>,
    /// Capacity relative to other endpoints.
    pub weight: f64,
    pub state: EndpointState,
    /// Time of its latest start; `None` if that is too long ago to matter.
    pub started_at: Option<f64>,
    /// When the endpoint list first contained it, or first reported its latest restart.
    pub listed_at: f64,
    /// Attempts of this limiter that are in flight at this endpoint.
    pub in_flight: u32,
    pub concurrency: ConcurrencyLimit,
    pub latency: LatencyRatio,
    pub outlier: OutlierState,
    pub class_breaker: ClassBreaker,
    /// Send times of the attempts within the last overload window, recorded only during slow start.
    pub slow_start_sends: Vec<f64>,
}

impl Endpoint {
    /// A new endpoint without attempts. The caller sets address, state and weight from the entry.
    pub fn new(entry: &EndpointEntry, residence: Residence, instance_count: u32, now: f64) -> Self {
        Endpoint {
            residence,
            address: None,
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

    /// Takes over zone, cell and address from an entry. Apart from these nothing changes for an endpoint that
    /// only moves. The caller sets the state afterwards.
    pub fn relocate(&mut self, entry: &EndpointEntry, update: UpdateNumber, relocations: &mut Relocations) {
        let location = Location::of(entry);
        let is_removal = entry.state == EndpointState::Removed;
        if is_removal && !location.is_complete() {
            return;
        }
        let is_listed_anew = self.state == EndpointState::Removed && !is_removal;
        if !is_listed_anew && *self.residence.location() == location && self.address == entry.address {
            return;
        }
        if is_listed_anew {
            self.residence = Residence::new(location.clone(), update);
        } else {
            self.residence.move_to(location.clone(), update);
        }
        self.address = entry.address;
        relocations.add(entry, location);
    }

    /// Whether the endpoint list reports it as in service.
    pub fn is_in_service(&self) -> bool {
        self.state == EndpointState::InService
    }

    /// Whether it is in service and not ejected.
    pub fn is_serving(&self, now: f64) -> bool {
        self.is_in_service() && !self.outlier.is_ejected(now)
    }
}
