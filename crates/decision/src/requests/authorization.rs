//! Authorizations: a client calls the endpoints by itself, on the same quota as requests that go through the
//! limiter.
//!
//! Nobody tells of the call's end: it counts as in flight until its deadline, or until the client is known
//! not to have got the authorization. Its units stay drawn. Held by `tests/decision/authorization.rs`.

use super::Requests;
use crate::context::Context;
use crate::interface::{Action, Request, RequestId};
use crate::timer::Timer;

/// Most authorized calls that are kept as in flight: each takes about a hundred bytes, whoever asks.
const MAX_AUTHORIZATIONS: usize = 100_000;

impl Requests {
    /// Authorizes a client's own call, or rejects it.
    pub fn authorize(&mut self, context: Context, request: Request, actions: &mut Vec<Action>) {
        let has_capacity = self.authorizations.len() < MAX_AUTHORIZATIONS;
        if self.check_admission(context, &request, has_capacity, actions).is_none() {
            return;
        }
        let Request { id, customer, deadline, .. } = request;
        self.quota.on_attempt_started(&customer);
        self.authorizations.insert(id, customer);
        actions
            .push(Action::SetTimer { expires_at: deadline, token: Timer::AuthorizationExpiry(id).token() });
        actions.push(Action::Authorize { id });
    }

    /// An authorized call is over, or was never made.
    pub fn release_authorization(&mut self, context: Context, id: RequestId) {
        if let Some(customer) = self.authorizations.remove(&id) {
            self.quota.on_attempt_ended(context, &customer, 0.0);
        }
    }
}
