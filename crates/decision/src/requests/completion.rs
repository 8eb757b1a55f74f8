//! Completion: each request gets exactly one final answer.
//!
//! A rejection guarantees that the request had no effect, or that repeating it has no further effect; where
//! this cannot be guaranteed, the request fails. Held by `tests/decision/request_answers.rs`.

use super::in_flight_request::InFlightRequest;
use super::Requests;
use crate::context::Context;
use crate::interface::{Action, RequestId};

impl Requests {
    /// Rejects a request and advises the client to retry after `retry_after_s`, bounded by the settings.
    pub(super) fn reject(
        &mut self,
        context: Context,
        id: RequestId,
        retry_after_s: f64,
        actions: &mut Vec<Action>,
    ) {
        let settings = context.settings;
        let retry_after_s = if settings.may_send_retry_after {
            retry_after_s.clamp(0.0, settings.max_retry_after_s.max(0.0))
        } else {
            0.0
        };
        actions.push(Action::Reject { id, retry_after_s });
        self.finish(context, id, actions);
    }

    /// Answers a request that has no attempts left: rejects it if a retry by the client is safe, else fails
    /// it.
    pub(super) fn finish_without_response(
        &mut self,
        context: Context,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.in_flight.get(&id).filter(|request| !request.is_answered) else { return };
        if request.may_be_rejected(context.settings) {
            return self.reject(context, id, 0.0, actions);
        }
        actions.push(Action::Fail { id });
        self.finish(context, id, actions);
    }

    /// Fails a request that reached its deadline without a response.
    pub fn on_deadline(&mut self, context: Context, id: RequestId, actions: &mut Vec<Action>) {
        if self.in_flight.get(&id).is_some_and(InFlightRequest::awaits_answer) {
            actions.push(Action::Fail { id });
            self.finish(context, id, actions);
        }
    }

    /// Ends a request or an authorization whose client has disconnected.
    pub fn on_client_disconnected(&mut self, context: Context, id: RequestId, actions: &mut Vec<Action>) {
        self.release_authorization(context, id);
        self.finish(context, id, actions);
    }

    /// Marks a request as answered, cancels its attempts in flight, and removes it once all of them have
    /// ended.
    pub(super) fn finish(
        &mut self,
        Context { settings, .. }: Context,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        if request.awaits_answer() && settings.may_cancel {
            let attempts = request.attempts.iter().enumerate();
            for (index, _) in attempts.filter(|(_, attempt)| attempt.is_in_flight) {
                actions.push(Action::Cancel { id, attempt: index as u32 });
            }
        }
        request.is_answered = true;
        if !request.has_attempt_in_flight() {
            self.in_flight.remove(&id);
        }
    }
}
