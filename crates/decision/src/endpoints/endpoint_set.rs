//! All known endpoints: applies endpoint lists and records the outcomes of attempts.
//!
//! What it can get wrong: a changed start time counts as a restart, although the list may only have corrected
//! it. Therefore attempts in flight and the recent sends of slow start survive a restart. Held by
//! `tests/decision/endpoint_list.rs` and `tests/decision/slow_start.rs`.

use super::concurrency_limit::AttemptSample;
use super::endpoint::Endpoint;
use super::fleet_limit::FleetLimit;
use super::latency;
use super::location::{AttemptLocations, Location, Relocations, Residence, UpdateNumber};
use super::outlier_detection::EjectionBudget;
use super::slow_start::SlowStartBudget;
use super::subset::Subset;
use crate::context::Context;
use crate::interface::{EndpointEntry, EndpointId, EndpointState, Settings};
use std::collections::{BTreeMap, HashSet};

/// Upper bound of the fleet's latency objective, in seconds.
const MAX_FLEET_OBJECTIVE_S: f64 = 10.0;

/// The endpoints, and the limits and budgets that they share.
pub struct EndpointSet {
    pub(super) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(super) subset: Subset,
    pub(super) ejection_budget: EjectionBudget,
    pub(super) fleet: FleetLimit,
    pub(super) slow_start: SlowStartBudget,
    /// Per class: factor on the limits of endpoints while other endpoints reject the class.
    pub(super) class_limit_factors: Vec<f64>,
    /// The latest update of the endpoint list.
    update: UpdateNumber,
}

/// The fleet's latency objective in seconds: the shortest one of all classes.
pub fn fleet_objective_s(settings: &Settings) -> f64 {
    let objectives = settings.classes.iter().map(|class| class.latency_objective_s);
    objectives.fold(f64::MAX, f64::min).min(MAX_FLEET_OBJECTIVE_S)
}

impl EndpointSet {
    /// An empty set, for one of `instance_count` limiters.
    pub fn new(instance_count: u32, now: f64) -> Self {
        EndpointSet {
            endpoints: BTreeMap::new(),
            subset: Subset::default(),
            ejection_budget: EjectionBudget::default(),
            fleet: FleetLimit::new(instance_count),
            slow_start: SlowStartBudget::new(now),
            class_limit_factors: Vec::new(),
            update: 0,
        }
    }

    /// Applies a complete endpoint list: endpoints that it does not contain are removed. Returns what it
    /// relocated.
    pub fn apply_list(&mut self, context: Context, entries: &[EndpointEntry]) -> Relocations {
        let listed: HashSet<&EndpointId> = entries.iter().map(|entry| &entry.id).collect();
        for (_, endpoint) in self.endpoints.iter_mut().filter(|(id, _)| !listed.contains(id)) {
            endpoint.state = EndpointState::Removed;
        }
        self.apply_changes(context, entries)
    }

    /// Applies an incremental update; endpoints without an entry are unchanged. Returns what it relocated.
    pub fn apply_changes(&mut self, context: Context, entries: &[EndpointEntry]) -> Relocations {
        self.update += 1;
        let mut relocations = Relocations::default();
        for entry in entries {
            self.apply_entry(context, entry, &mut relocations);
        }
        // A removed endpoint is kept while attempts are in flight there.
        self.endpoints
            .retain(|_, endpoint| endpoint.state != EndpointState::Removed || endpoint.in_flight > 0);
        self.subset.reorder(self.endpoints.keys(), context.settings.instance_index);
        self.refresh(context);
        relocations
    }

    fn apply_entry(
        &mut self,
        Context { settings, now }: Context,
        entry: &EndpointEntry,
        relocations: &mut Relocations,
    ) {
        let update = self.update;
        let endpoint = self.endpoints.entry(entry.id.clone()).or_insert_with(|| {
            let residence = Residence::new(Location::of(entry), update);
            Endpoint::new(entry, residence, settings.instance_count, now)
        });
        if endpoint.started_at != entry.started_at && entry.started_at.is_some() {
            // A restart resets the endpoint's state, except for its attempts in flight. Recent sends are kept
            // in case only the start time was corrected, so that the slow-start budget is not granted twice.
            let (in_flight, state) = (endpoint.in_flight, endpoint.state);
            let slow_start_sends = std::mem::take(&mut endpoint.slow_start_sends);
            let residence = endpoint.residence.clone();
            *endpoint = Endpoint {
                state,
                in_flight,
                slow_start_sends,
                ..Endpoint::new(entry, residence, settings.instance_count, now)
            };
        }
        endpoint.relocate(entry, update, relocations);
        endpoint.state = entry.state;
        endpoint.weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
    }

    /// Recomputes the values that depend on all endpoints. Called once a tick to keep this cost off the
    /// request path.
    pub fn refresh(&mut self, context: Context) {
        let Context { settings, now } = context;
        let (mut in_service, mut ejected, mut limit_sum) = (0.0f64, 0.0, 0.0);
        for endpoint in self.endpoints.values().filter(|endpoint| endpoint.is_in_service()) {
            let serves = f64::from(u8::from(!endpoint.outlier.is_ejected(now)));
            in_service += 1.0;
            ejected += 1.0 - serves;
            limit_sum += serves * endpoint.concurrency.limit();
        }
        self.ejection_budget = EjectionBudget::new(in_service, ejected);
        self.fleet.refresh(limit_sum, settings.instance_count);
        self.refresh_class_limit_factors(context, in_service);
        self.subset.resize(settings.instance_count, in_service, ejected);
        self.refresh_slow_start(context);
    }

    /// Counts an attempt as in flight and returns where it may run, or `None` for an unknown endpoint.
    pub fn on_attempt_started(
        &mut self,
        Context { settings, now }: Context,
        id: &EndpointId,
    ) -> Option<AttemptLocations> {
        let endpoint = self.endpoints.get_mut(id)?;
        endpoint.in_flight += 1;
        self.fleet.on_attempt_started();
        endpoint.note_slow_start_send(settings, now);
        Some(AttemptLocations::new(endpoint.residence.location().clone(), endpoint.address, self.update))
    }

    /// Stops counting an attempt as in flight.
    pub fn release_attempt(&mut self, id: &EndpointId) {
        self.fleet.on_attempt_released();
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
    }

    /// Records a successful response, which resets the endpoint's failures and ejections.
    pub fn record_success(&mut self, Context { settings, now }: Context, id: &EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.outlier.record_success(now);
            if endpoint.slow_start_factor(settings, now) >= 1.0 {
                self.slow_start.on_warm_response(now);
            }
        }
    }

    /// Adjusts the concurrency limits of an endpoint and of the fleet after an attempt.
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

    /// Records the latency of an attempt that ended or is still pending, as a ratio of its expected time.
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
