//! Handles the end of an attempt: records the outcome for its endpoint, then finishes or retries the request.
//!
//! Rejections and failed connections prove that an attempt did not run. What it can get wrong: after a
//! timeout it is unknown whether the attempt ran, so it counts as run. Held by `tests/decision/retry.rs` and
//! `tests/decision/request_answers.rs`.

use super::in_flight_request::InFlightRequest;
use super::Requests;
use crate::context::Context;
use crate::endpoints::{AttemptSample, AttemptStatus};
use crate::interface::{Action, EndpointId, Outcome, RequestId};

/// How an attempt ended.
#[derive(Clone, Copy)]
pub struct AttemptEnd {
    /// The request has its final response.
    pub request_finished: bool,
    pub outcome: Outcome,
    /// Seconds since the attempt was sent.
    pub elapsed_s: f64,
    /// Actual units as reported with the response, or 0 if not reported.
    pub units: f64,
}

/// The properties of an ended attempt that are needed to record its outcome.
struct EndedAttempt {
    endpoint: EndpointId,
    /// Index of the request's class.
    class: usize,
    /// Units drawn for the request.
    units: f64,
    is_retry: bool,
}

impl Requests {
    /// Handles the end of an attempt.
    pub fn on_attempt_ended(
        &mut self,
        context: Context,
        id: RequestId,
        attempt_index: u32,
        end: AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        let (class, units, customer) = (request.class, request.units, request.customer.clone());
        let was_answered = request.is_answered;
        let attempt = request.attempts.get_mut(attempt_index as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.is_in_flight) else { return };
        attempt.is_in_flight = false;
        attempt.may_have_run =
            !matches!(end.outcome, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent);
        let ended =
            EndedAttempt { endpoint: attempt.endpoint.clone(), class, units, is_retry: attempt_index > 0 };
        self.release_slot(id, attempt_index);
        let has_actual_units =
            end.outcome == Outcome::Ok && end.units > 0.0 && context.settings.units_are_estimates;
        let correction = if has_actual_units { end.units - units } else { 0.0 };
        self.quota.on_attempt_ended(context, &customer, correction);
        self.record_outcome(context, &ended, &end);
        if end.request_finished || was_answered {
            return self.finish(context, id, actions);
        }
        let is_waiting = self.in_flight.get(&id).is_some_and(InFlightRequest::has_attempt_in_flight);
        if !is_waiting && !self.retry(context, id, actions) {
            self.finish_without_response(context, id, actions);
        }
    }

    /// Updates the endpoint's state and limits, the service times and the retry budget by an outcome.
    fn record_outcome(&mut self, context: Context, ended: &EndedAttempt, end: &AttemptEnd) {
        let endpoint = &ended.endpoint;
        let latency_objective_s = context.settings.classes[ended.class].latency_objective_s;
        let sample = |failed| AttemptSample { elapsed_s: end.elapsed_s, latency_objective_s, failed };
        match end.outcome {
            Outcome::Ok => {
                self.record_service_time(context, ended, end.elapsed_s);
                if ended.is_retry && end.elapsed_s < latency_objective_s {
                    self.retry_budget.on_retry_success();
                }
                self.endpoints.adjust_limits(context, endpoint, &sample(false));
                self.endpoints.record_success(context, endpoint);
            }
            Outcome::Overloaded => {
                if self.endpoints.record_rejection(context, endpoint, ended.class) {
                    self.endpoints.adjust_limits(context, endpoint, &sample(true));
                }
            }
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => {
                self.endpoints.record_failure(context, endpoint);
            }
            Outcome::Timeout => self.endpoints.adjust_limits(context, endpoint, &sample(true)),
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    fn record_service_time(&mut self, context: Context, ended: &EndedAttempt, elapsed_s: f64) {
        let per_unit_s = elapsed_s / ended.units.max(1.0);
        let latency_ratio = per_unit_s / self.service_times.per_unit_s(ended.class).max(1e-6);
        let status = AttemptStatus::Responded;
        self.endpoints.record_latency(context, &ended.endpoint, ended.class, latency_ratio, status);
        self.service_times.record(ended.class, per_unit_s);
    }
}
