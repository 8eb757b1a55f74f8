//! One attempt of a request at an endpoint.

use super::Requests;
use crate::context::Context;
use crate::endpoints::Location;
use crate::interface::{Action, EndpointId, RequestId};

/// An attempt, and what is known of its end.
pub struct Attempt {
    pub endpoint: EndpointId,
    pub location: Location,
    pub sent_at: f64,
    /// Its end was not reported yet.
    pub is_in_flight: bool,
    /// It holds a place in its endpoint's concurrency limit.
    pub holds_slot: bool,
    /// It may have run; an outcome may prove that it did not.
    pub may_have_run: bool,
}

impl Requests {
    /// Sends a request to an endpoint, and sets the timer after which the attempt counts as slow.
    pub(super) fn send(
        &mut self,
        context: Context,
        id: RequestId,
        endpoint: EndpointId,
        actions: &mut Vec<Action>,
    ) {
        let Context { settings, now } = context;
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        let Some(location) = self.endpoints.on_attempt_started(context, &endpoint) else { return };
        let send_deadline = request.send_deadline(settings);
        request.attempts.push(Attempt {
            endpoint: endpoint.clone(),
            location,
            sent_at: now,
            is_in_flight: true,
            holds_slot: true,
            may_have_run: true,
        });
        self.quota.on_attempt_started(&request.customer);
        actions.extend(Self::slow_attempt_timer(context, id, request, &self.service_times));
        actions.push(Action::Send { id, endpoint, timeout_s: 0.0, send_deadline });
    }

    /// Frees an attempt's place in its endpoint's concurrency limit, once: at its end, or when it takes so
    /// long that it may be lost or hang.
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
