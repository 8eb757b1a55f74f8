//! Whether a request is retried, and the retry itself.
//!
//! A retry needs a request that still waits for its answer, an attempt left, time for a usual response, an
//! effect that allows it and a retry in the budget. Held by `tests/decision/retry.rs`.

use super::in_flight_request::InFlightRequest;
use super::Requests;
use crate::context::Context;
use crate::interface::{Action, RequestId};

impl Requests {
    /// Whether the rules and the retry budget allow a request another attempt.
    pub(super) fn may_retry(&self, context: Context, request: &InFlightRequest) -> bool {
        let Context { settings, now } = context;
        let has_attempts_left = (request.attempts.len() as u32) < settings.max_attempts;
        let has_time_left = request.deadline - now > self.service_times.per_unit_s(request.class);
        self.retry_budget.allows_retry()
            && request.awaits_answer()
            && has_attempts_left
            && has_time_left
            && request.effect_allows_retry(context)
    }

    /// Sends a request again if that is allowed and an endpoint takes it; true if it did.
    pub(super) fn retry(&mut self, context: Context, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let draw = self.rng.f64();
        let request = self.in_flight.get(&id).filter(|request| self.may_retry(context, request));
        let endpoint = request
            .and_then(|request| self.endpoints.select(context, &request.constraints(context.settings), draw));
        let Some(endpoint) = endpoint else { return false };
        self.retry_budget.spend();
        self.send(context, id, endpoint, actions);
        true
    }
}
