//! Retries of a request by this limiter.
//!
//! A request is retried only if it still awaits its answer, has attempts left and time for a response of mean
//! service time, its idempotency permits a retry, and the retry budget is not exhausted. Held by
//! `tests/decision/retry.rs`.

use super::in_flight_request::InFlightRequest;
use super::Requests;
use crate::context::Context;
use crate::interface::{Action, RequestId};

impl Requests {
    /// Whether the request's state and the retry budget permit another attempt.
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

    /// Sends another attempt if a retry is permitted and an endpoint has capacity; returns whether it was
    /// sent.
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
