//! All endpoints: applies endpoint lists and records how attempts went.
//!
//! What it can get wrong: a list that names an endpoint as started anew although only its start time was
//! corrected. Therefore attempts in flight and recent sends of slow start are kept over it. Held by
//! `tests/decision/endpoint_list.rs` and `tests/decision/slow_start.rs`.

use super::concurrency_limit::AttemptSample;
use super::endpoint::{Endpoint, Location};
use super::fleet_limit::FleetLimit;
use super::latency;
use super::outlier_detection::EjectionBudget;
use super::slow_start::SlowStartBudget;
use super::subset::Subset;
use crate::context::Context;
use crate::interface::{EndpointEntry, EndpointId, EndpointState, Settings};
use std::collections::{BTreeMap, HashSet};

/// Longest latency objective that times of the whole fleet are measured by, in seconds.
const MAX_FLEET_OBJECTIVE_S: f64 = 10.0;

/// The endpoints and what is known of all of them together.
pub struct EndpointSet {
    pub(super) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(super) subset: Subset,
    pub(super) ejection_budget: EjectionBudget,
    pub(super) fleet: FleetLimit,
    pub(super) slow_start: SlowStartBudget,
    /// Per class: by how much the limits of endpoints widen where others reject the class.
    pub(super) class_limit_factors: Vec<f64>,
}

/// The tightest latency objective of all classes, by which times of the whole fleet are measured.
pub fn fleet_objective_s(settings: &Settings) -> f64 {
    let objectives = settings.classes.iter().map(|class| class.latency_objective_s);
    objectives.fold(f64::MAX, f64::min).min(MAX_FLEET_OBJECTIVE_S)
}

impl EndpointSet {
    /// A set without endpoints, for one of so many limiters.
    pub fn new(instance_count: u32, now: f64) -> Self {
        EndpointSet {
            endpoints: BTreeMap::new(),
            subset: Subset::default(),
            ejection_budget: EjectionBudget::default(),
            fleet: FleetLimit::new(instance_count),
            slow_start: SlowStartBudget::new(now),
            class_limit_factors: Vec::new(),
        }
    }

    /// Applies a complete list: endpoints that it does not name are removed.
    pub fn apply_list(&mut self, context: Context, entries: &[EndpointEntry]) {
        let named: HashSet<&EndpointId> = entries.iter().map(|entry| &entry.id).collect();
        for (_, endpoint) in self.endpoints.iter_mut().filter(|(id, _)| !named.contains(id)) {
            endpoint.state = EndpointState::Removed;
        }
        self.apply_changes(context, entries);
    }

    /// Applies changed entries.
    pub fn apply_changes(&mut self, context: Context, entries: &[EndpointEntry]) {
        for entry in entries {
            self.apply_entry(context, entry);
        }
        // A removed endpoint is kept while attempts are in flight there.
        self.endpoints
            .retain(|_, endpoint| endpoint.state != EndpointState::Removed || endpoint.in_flight > 0);
        self.subset.reorder(self.endpoints.keys(), context.settings.instance_index);
        self.refresh(context);
    }

    fn apply_entry(&mut self, Context { settings, now }: Context, entry: &EndpointEntry) {
        let endpoint = self
            .endpoints
            .entry(entry.id.clone())
            .or_insert_with(|| Endpoint::new(entry, settings.instance_count, now));
        if endpoint.started_at != entry.started_at && entry.started_at.is_some() {
            // A restarted process has nothing of its former self but what is in flight. Where only its start
            // was corrected, its recent sends are kept: no slow-start budget is given twice.
            let in_flight = endpoint.in_flight;
            let slow_start_sends = std::mem::take(&mut endpoint.slow_start_sends);
            *endpoint = Endpoint {
                in_flight,
                slow_start_sends,
                ..Endpoint::new(entry, settings.instance_count, now)
            };
        }
        endpoint.state = entry.state;
        endpoint.weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
    }

    /// Computes what depends on all endpoints, once a tick, so that no request has to.
    pub fn refresh(&mut self, context: Context) {
        let Context { settings, now } = context;
        let (mut in_service, mut ejected, mut limit_sum) = (0.0f64, 0.0, 0.0);
        for endpoint in self.endpoints.values().filter(|endpoint| endpoint.is_in_service()) {
            let serves = f64::from(u8::from(!endpoint.outlier.is_ejected(now)));
            in_service += 1.0;
            ejected += 1.0 - serves;
            limit_sum += serves * endpoint.concurrency.limit();
        }
        self.ejection_budget = EjectionBudget::of(in_service, ejected);
        self.fleet.refresh(limit_sum, settings.instance_count);
        self.refresh_class_limit_factors(context, in_service);
        self.subset.resize(settings.instance_count, in_service, ejected);
        self.refresh_slow_start(context);
    }

    /// Counts an attempt as in flight; gives the endpoint's location, or none if it is not known.
    pub fn on_attempt_started(
        &mut self,
        Context { settings, now }: Context,
        id: &EndpointId,
    ) -> Option<Location> {
        let endpoint = self.endpoints.get_mut(id)?;
        endpoint.in_flight += 1;
        self.fleet.on_attempt_started();
        endpoint.note_slow_start_send(settings, now);
        Some(endpoint.location.clone())
    }

    /// No longer counts an attempt as in flight.
    pub fn release_attempt(&mut self, id: &EndpointId) {
        self.fleet.on_attempt_released();
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
    }

    /// Records a good response: nothing is held against the endpoint any more.
    pub fn record_success(&mut self, Context { settings, now }: Context, id: &EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.outlier.record_success(now);
            if endpoint.slow_start_factor(settings, now) >= 1.0 {
                self.slow_start.on_warm_response(now);
            }
        }
    }

    /// Adjusts the limits of an endpoint and of the fleet by how an attempt went.
    pub fn adjust_limits(
        &mut self,
        Context { settings, now }: Context,
        id: &EndpointId,
        sample: &AttemptSample,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        if !sample.failed {
            self.fleet.on_response(sample.elapsed_s / sample.latency_objective_s);
        }
        let latency_ratio = self.fleet.latency_ratio() * endpoint.latency.ratio();
        let in_flight = endpoint.in_flight;
        endpoint.concurrency.adjust(settings.instance_count, in_flight, latency_ratio, sample, now);
    }

    /// Records how long an attempt took or takes, as a ratio of its usual time.
    pub fn record_latency(
        &mut self,
        Context { settings, now }: Context,
        id: &EndpointId,
        class: usize,
        latency_ratio: f64,
        status: latency::AttemptStatus,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.latency.record(latency_ratio, fleet_objective_s(settings), now);
        endpoint.class_breaker.record(class, settings.classes.len(), status, now);
    }
}
