//! Updates of the endpoint list that move endpoints: which requests may not be retried as before.
//!
//! Each attempt keeps every location that its endpoint has had since it was sent. An attempt whose request has
//! not been written yet is withdrawn if its endpoint may no longer recognize the key of an earlier one. Held by
//! `tests/decision/relocation.rs`.

use super::in_flight_request::InFlightRequest;
use super::Requests;
use crate::context::Context;
use crate::endpoints::{EndpointSet, Relocations};
use crate::interface::{Action, Class, DeduplicationScope, EndpointEntry, Idempotency, Settings};

/// Whether retries of a class depend on the locations of endpoints.
fn depends_on_locations(class: &Class) -> bool {
    class.idempotency == Idempotency::IdempotencyKey && class.deduplication_scope != DeduplicationScope::All
}

impl InFlightRequest {
    /// Index of the attempt in flight if its endpoint may not recognize the key of an earlier attempt.
    fn attempt_to_withdraw(&self, settings: &Settings, endpoints: &EndpointSet) -> Option<u32> {
        let index = self.attempts.iter().position(|attempt| attempt.is_in_flight)?;
        let constraints = self.constraints_in_flight(settings);
        let is_permitted = endpoints.permits(&constraints, &self.attempts[index].endpoint);
        (!is_permitted).then_some(index as u32)
    }
}

impl Requests {
    /// Applies a complete endpoint list.
    pub fn on_endpoint_list(
        &mut self,
        context: Context,
        entries: &[EndpointEntry],
        actions: &mut Vec<Action>,
    ) {
        let relocations = self.endpoints.apply_list(context, entries);
        self.relocate(context.settings, &relocations, actions);
    }

    /// Applies changes of the endpoint list.
    pub fn on_endpoint_changes(
        &mut self,
        context: Context,
        entries: &[EndpointEntry],
        actions: &mut Vec<Action>,
    ) {
        let relocations = self.endpoints.apply_changes(context, entries);
        self.relocate(context.settings, &relocations, actions);
    }

    fn relocate(&mut self, settings: &Settings, relocations: &Relocations, actions: &mut Vec<Action>) {
        if relocations.is_empty() || !settings.classes.iter().any(depends_on_locations) {
            return;
        }
        for (id, request) in &mut self.in_flight {
            if request.is_answered || !depends_on_locations(&settings.classes[request.class]) {
                continue;
            }
            for attempt in &mut request.attempts {
                attempt.locations.add(&attempt.endpoint, relocations);
            }
            if let Some(attempt) = request.attempt_to_withdraw(settings, &self.endpoints) {
                actions.push(Action::Withdraw { id: *id, attempt });
            }
        }
    }
}
