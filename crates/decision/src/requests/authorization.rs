//! Authorizations: the limiter admits a call that the client makes to an endpoint directly, under the same
//! quota as requests that go through the limiter.
//!
//! The end of such a call is not reported. It counts as in flight until its deadline, or until the client is
//! known not to have received the authorization. Its units are not returned. Held by
//! `tests/decision/authorization.rs`.

use super::Requests;
use crate::context::Context;
use crate::interface::{Action, Request, RequestId};
use crate::timer::Timer;

/// Largest number of authorized calls tracked as in flight, to bound memory: each takes about a hundred
/// bytes, and any client can cause them.
pub(super) const MAX_AUTHORIZATIONS: usize = 100_000;

impl Requests {
    /// Authorizes a direct call of a client, or rejects it.
    pub fn authorize(&mut self, context: Context, request: Request, actions: &mut Vec<Action>) {
        let has_capacity = self.authorizations.len() < self.max_authorizations;
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

    /// Stops tracking an authorized call, which has reached its deadline or was never made.
    pub fn release_authorization(&mut self, context: Context, id: RequestId) {
        if let Some(customer) = self.authorizations.remove(&id) {
            self.quota.on_attempt_ended(context, &customer, 0.0);
        }
    }
}
