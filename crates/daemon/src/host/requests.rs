//! The table of open requests. Each gets exactly one answer and has at most one attempt in flight; it is removed once
//! it is answered and has no attempt in flight.

use super::attempts::RunningAttempt;
use super::Host;
use crate::events::{Answer, ForwardedRequest, IncomingRequest, OpenRequestId, ReplySender, RequestKind};
use liftrouter_decision::{Event, Request, RequestId};
use std::rc::Rc;

/// A request that is unanswered or has an attempt in flight.
pub(super) struct OpenRequest {
    /// The request to forward; `None` for an authorization.
    pub(super) forward: Option<Rc<ForwardedRequest>>,
    /// Channel for the answer; `None` once the request is answered.
    pub(super) reply: Option<ReplySender>,
    /// Number of attempts started so far.
    pub(super) attempts: u32,
    /// The attempt in flight.
    pub(super) running: Option<RunningAttempt>,
    /// Whether an attempt was written, and is not known to have had no effect.
    pub(super) may_have_run: bool,
    /// Whether the client left before it was answered.
    is_abandoned: bool,
    /// Keeps the request's id registered as open.
    open_id: OpenRequestId,
}

impl OpenRequest {
    /// Marks that the client has left. Returns `false` if it was answered before.
    fn abandon(&mut self) -> bool {
        self.is_abandoned = self.reply.take().is_some();
        self.is_abandoned
    }
}

impl Host {
    /// Adds a request to the table and passes it to the module.
    pub(super) fn request_received(&mut self, id: RequestId, incoming: IncomingRequest, reply: ReplySender) {
        let (forward, deadline) = match incoming.kind {
            RequestKind::Forward(forward) => {
                let deadline = forward.deadline;
                (Some(forward), deadline)
            }
            RequestKind::Authorization { deadline } => (None, deadline),
        };
        let is_authorization = forward.is_none();
        let open = OpenRequest {
            forward,
            reply: Some(reply),
            attempts: 0,
            running: None,
            may_have_run: false,
            is_abandoned: false,
            open_id: incoming.open_id,
        };
        self.requests.insert(id, open);
        let request = Request {
            id,
            customer: incoming.customer.into(),
            plan: incoming.plan.into(),
            class: incoming.class.into(),
            units: incoming.units,
            reachable_instances: incoming.reachable_instances,
            is_retry: incoming.is_retry,
            deadline: self.clock.seconds(deadline),
        };
        self.dispatch(if is_authorization { Event::Authorization(request) } else { Event::Request(request) });
    }

    /// Reports to the module that a client disconnected before it received the answer.
    pub(super) fn client_disconnected(&mut self, id: RequestId) {
        // An authorization is removed from the table once it is answered, but the module still has to be notified if
        // its client never received the answer.
        if self.requests.get_mut(&id).is_none_or(OpenRequest::abandon) {
            self.dispatch(Event::ClientDisconnected { id });
            self.abort_unsent_attempt(id);
            self.run_pending();
            self.remove_if_finished(id);
        }
    }

    /// Fails every unanswered request. The module is told that the clients disconnected, so that it sends no answers.
    pub(super) fn fail_unanswered(&mut self) {
        let unanswered = self.requests.iter().filter(|(_, open)| open.reply.is_some());
        let ids: Vec<_> = unanswered.map(|(id, _)| *id).collect();
        for id in ids {
            self.answer(id, Answer::Failed);
            self.dispatch(Event::ClientDisconnected { id });
        }
    }

    /// Answers a request unless it is answered already, and aborts its attempt if that is not written completely.
    pub(super) fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(reply) = self.requests.get_mut(&id).and_then(|open| open.reply.take()) {
            reply.send(answer);
        }
        self.abort_unsent_attempt(id);
        self.remove_if_finished(id);
    }

    /// Aborts the attempt in flight of an answered request if it has not been written completely.
    fn abort_unsent_attempt(&mut self, id: RequestId) {
        let running = self.requests.get(&id).and_then(|open| open.running.as_ref());
        if let Some(attempt) = running.map(|running| running.number) {
            self.withdraw_attempt(id, attempt);
        }
    }

    /// Removes a request if it is answered and has no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished = |open: &OpenRequest| open.reply.is_none() && open.running.is_none();
        if !self.requests.get(&id).is_some_and(is_finished) {
            return;
        }
        self.events.request_closed();
        let Some(open) = self.requests.remove(&id) else { return };
        if let Some(forward) = open.forward.filter(|_| open.is_abandoned && open.may_have_run) {
            self.abandoned_ids.keep(open.open_id, forward.deadline);
        }
    }
}
