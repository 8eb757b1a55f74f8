//! One attempt of a request at an endpoint.

use super::Requests;
use crate::context::Context;
use crate::endpoints::AttemptLocations;
use crate::interface::{Action, EndpointId, RequestId};

/// The state of an attempt.
pub struct Attempt {
    pub endpoint: EndpointId,
    /// Where it may run.
    pub locations: AttemptLocations,
    pub sent_at: f64,
    /// Its end has not been reported yet.
    pub is_in_flight: bool,
    /// It counts against its endpoint's concurrency limit.
    pub holds_slot: bool,
    /// The endpoint may have run it. True until an outcome proves the contrary.
    pub may_have_run: bool,
}

impl Requests {
    /// Sends an attempt to an endpoint, and sets the timer after which it counts as slow.
    pub(super) fn send(
        &mut self,
        context: Context,
        id: RequestId,
        endpoint: EndpointId,
        actions: &mut Vec<Action>,
    ) {
        let Context { settings, now } = context;
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        let Some(locations) = self.endpoints.on_attempt_started(context, &endpoint) else { return };
        let send_deadline = request.send_deadline(settings);
        request.attempts.push(Attempt {
            endpoint: endpoint.clone(),
            locations,
            sent_at: now,
            is_in_flight: true,
            holds_slot: true,
            may_have_run: true,
        });
        self.quota.on_attempt_started(&request.customer);
        actions.extend(Self::slow_attempt_timer(context, id, request, &self.service_times));
        actions.push(Action::Send { id, endpoint, timeout_s: 0.0, send_deadline });
    }

    /// Frees an attempt's slot in its endpoint's concurrency limit, when the attempt ends or when it takes so
    /// long that it may be lost or hang. Later calls for the same attempt have no effect.
    pub(super) fn release_slot(&mut self, id: RequestId, attempt: u32) {
        let request = self.in_flight.get_mut(&id);
        let Some(attempt) = request.and_then(|request| request.attempts.get_mut(attempt as usize)) else {
            return;
        };
        if std::mem::take(&mut attempt.holds_slot) {
            self.endpoints.release_attempt(&attempt.endpoint);
        }
    }
}
