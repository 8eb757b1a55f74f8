//! Request admission: submits the requests of all listeners to the host.
//!
//! Holds the state that the listeners share: the limit on open requests, their ids, the memory budget for their
//! bodies, and the authorizers that are called before a request is submitted.

use super::shutdown_deadline::ShutdownDeadline;
use crate::authorizer::{Authorization, AuthorizationRequest, Authorizer, Authorizers, Fallback};
use crate::count_guard::CountGuard;
use crate::events::{
    Answer, DisconnectGuard, EventQueue, IncomingRequest, OpenRequestId, OpenRequestIds, Rejection,
    RequestKind,
};
use crate::memory::MemoryBudget;
use crate::upstream::headers::RESERVED;
use hyper::header::HeaderValue;
use liftrouter_authz::{HeaderChanges, Verdict};
use liftrouter_decision::Settings;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use tokio::time::Instant;

/// The maximum number of open requests, even if the settings allow more.
const MAX_OPEN_REQUESTS: usize = 1_000;

/// Request admission, shared by all listeners.
pub struct Admission {
    /// The settings that requests are checked against.
    pub settings: Settings,
    events: Rc<EventQueue>,
    memory: Arc<MemoryBudget>,
    open_ids: Rc<OpenRequestIds>,
    authorizers: Authorizers,
    /// The number of requests that wait for an authorizer. The event queue does not count them yet.
    awaiting_authorization: Cell<usize>,
    /// The number of accepted requests without an answer, wherever they wait.
    unanswered: Cell<usize>,
    /// The time by which all requests must be answered, set once the process shuts down.
    shutdown_deadline: ShutdownDeadline,
}

/// The result of calling an authorizer about a request.
enum AuthorizationResult {
    /// The request may be submitted to the host, with these header changes.
    Allowed(HeaderChanges),
    /// The request is not submitted; this is its answer.
    Answered(Answer),
}

impl Admission {
    /// Creates an admission. `memory` is shared by everything that the listeners hold of requests.
    pub fn new(
        events: Rc<EventQueue>,
        settings: Settings,
        memory: Arc<MemoryBudget>,
        authorizers: Authorizers,
    ) -> Rc<Self> {
        Rc::new(Admission {
            settings,
            events,
            memory,
            open_ids: Rc::default(),
            authorizers,
            awaiting_authorization: Cell::new(0),
            unanswered: Cell::new(0),
            shutdown_deadline: ShutdownDeadline::default(),
        })
    }

    /// The time by which all requests must be answered. From then on no request is admitted or submitted to the host, and
    /// those that wait for an authorizer are rejected.
    pub fn shutdown_deadline(&self) -> &ShutdownDeadline {
        &self.shutdown_deadline
    }

    /// Number of accepted requests without an answer.
    pub fn unanswered_requests(&self) -> usize {
        self.unanswered.get()
    }

    /// The memory budget that all listeners share.
    pub fn memory(&self) -> &Arc<MemoryBudget> {
        &self.memory
    }

    /// Whether an authorizer is asked about requests of this class.
    pub fn needs_authorization(&self, class: &str) -> bool {
        self.authorizers.for_class(class).is_some()
    }

    /// Whether the limit on open requests is reached.
    pub fn is_full(&self) -> bool {
        let limit = match self.settings.max_in_flight {
            0 => MAX_OPEN_REQUESTS,
            limit => MAX_OPEN_REQUESTS.min(limit as usize),
        };
        self.events.open_requests() + self.awaiting_authorization.get() >= limit
    }

    /// Registers a request id as open; `None` if a request with this id is already open on any listener.
    pub fn open_request_id(&self, id: &HeaderValue) -> Option<OpenRequestId> {
        self.open_ids.open(id)
    }

    /// Calls the authorizer that the request's class names, if any, and then submits the request to the host.
    /// Dropping the future before it completes means that the client disconnected.
    ///
    /// Returns the answer and the header changes that the authorizer requested. They have already been applied to the
    /// headers of a forwarded request.
    pub async fn answer(
        &self,
        mut request: IncomingRequest,
        authorization: &AuthorizationRequest<'_>,
    ) -> (Answer, HeaderChanges) {
        let _unanswered = CountGuard::new(&self.unanswered);
        let Some((authorizer, fallback)) = self.authorizers.for_class(&request.class) else {
            return (self.submit(request).await, HeaderChanges::default());
        };
        // In a box, so that requests without an authorizer do not take the memory of its exchange.
        let authorize = Box::pin(self.authorize(authorizer, fallback, authorization));
        let result = self.shutdown_deadline.limit(authorize).await;
        let changes = match result {
            Some(AuthorizationResult::Allowed(changes)) => changes,
            Some(AuthorizationResult::Answered(answer)) => return (answer, HeaderChanges::default()),
            None => return shutting_down(),
        };
        // The shutdown may have begun while the authorizer was asked. After its deadline nothing may be submitted to the
        // host, which has failed all unanswered requests.
        let Some(deadline) = self.shutdown_deadline.cap(authorization.deadline) else {
            return shutting_down();
        };
        if let RequestKind::Forward(forward) = &mut request.kind {
            // `get_mut` succeeds, since the request is not shared before it is submitted.
            if let Some(forward) = Rc::get_mut(forward) {
                changes.apply(&mut forward.headers, &RESERVED);
                forward.deadline = deadline;
            }
        }
        (self.submit(request).await, changes)
    }

    async fn authorize(
        &self,
        authorizer: &Authorizer,
        fallback: Fallback,
        request: &AuthorizationRequest<'_>,
    ) -> AuthorizationResult {
        let authorization = {
            let _awaiting = CountGuard::new(&self.awaiting_authorization);
            self.authorizers.authorize(authorizer, request).await
        };
        let changes = match (authorization, fallback) {
            (Authorization::Decided(Verdict::Allow(changes)), _) => changes,
            (Authorization::Decided(Verdict::Deny(denial)), _) => {
                return AuthorizationResult::Answered(Answer::Denied(denial));
            }
            (Authorization::Undecided { .. }, Fallback::Pass) => HeaderChanges::default(),
            // Nothing was forwarded, so the client may safely retry.
            (Authorization::Undecided { retry_after }, Fallback::Refuse) => {
                return AuthorizationResult::Answered(Answer::Rejected(Rejection::over_limit(retry_after)));
            }
        };
        if Instant::now() >= request.deadline {
            return AuthorizationResult::Answered(Answer::Rejected(Rejection::over_limit(0.0)));
        }
        AuthorizationResult::Allowed(changes)
    }

    async fn submit(&self, request: IncomingRequest) -> Answer {
        let (id, answer) = self.events.submit(request);
        let disconnect = DisconnectGuard { events: self.events.clone(), id: Some(id) };
        let answer = answer.await;
        disconnect.disarm();
        answer.unwrap_or(Answer::Failed)
    }
}

/// The answer to a request that was not submitted to the host before the shutdown deadline.
fn shutting_down() -> (Answer, HeaderChanges) {
    (Answer::Rejected(Rejection::shutting_down()), HeaderChanges::default())
}
