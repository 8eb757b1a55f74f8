//! Request admission: the way of a request from any listener to the host.
//!
//! Holds what the listeners share: the limit of open requests, their ids, the memory of their bodies, and the
//! authorisers that are asked first.

use super::body_budget::{BodyBudget, BodyReservation};
use super::open_ids::{OpenRequestId, OpenRequestIds};
use crate::authoriser::{Authorisation, AuthorisationRequest, Authoriser, Authorisers, WhenUnsure};
use crate::count_guard::CountGuard;
use crate::events::{Answer, DisconnectGuard, EventQueue, IncomingRequest, Rejection, RequestKind};
use crate::upstream::headers::RESERVED;
use hyper::header::HeaderValue;
use liftrouter_authz::{Changes, Verdict};
use liftrouter_decision::Settings;
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// The most requests open at once, whatever the settings say.
const MAX_OPEN_REQUESTS: usize = 1_000;

/// Request admission, shared by all listeners.
pub struct Admission {
    /// The settings that requests are checked against.
    pub settings: Settings,
    events: Rc<EventQueue>,
    body_budget: BodyBudget,
    open_ids: OpenRequestIds,
    authorisers: Authorisers,
    /// Requests that wait for an authoriser; the event queue does not count them yet.
    awaiting_authorisation: Cell<usize>,
    /// When the last answers are written, once the process shuts down.
    shutdown_deadline: Cell<Option<Instant>>,
}

/// Whether a request may be submitted to the host.
enum Authorised {
    /// It may, with these changes to its headers.
    Yes(Changes),
    /// This is its answer.
    No(Answer),
}

impl Admission {
    /// Admission with `body_budget` bytes for the bodies of all open requests.
    pub fn new(
        events: Rc<EventQueue>,
        settings: Settings,
        body_budget: usize,
        authorisers: Authorisers,
    ) -> Rc<Self> {
        Rc::new(Admission {
            settings,
            events,
            body_budget: BodyBudget::new(body_budget),
            open_ids: OpenRequestIds::default(),
            authorisers,
            awaiting_authorisation: Cell::new(0),
            shutdown_deadline: Cell::new(None),
        })
    }

    /// From now on no request is taken that cannot be answered before `deadline`.
    pub fn set_shutdown_deadline(&self, deadline: Instant) {
        self.shutdown_deadline.set(Some(deadline));
    }

    /// When a request with this deadline has to be answered; `None` where the process ends before that.
    pub fn answer_deadline(&self, deadline: Instant) -> Option<Instant> {
        match self.shutdown_deadline.get() {
            None => Some(deadline),
            Some(end) => Some(deadline.min(end)).filter(|deadline| *deadline > Instant::now()),
        }
    }

    /// Reserves memory for a body, if it is left.
    pub fn reserve_body(&self, bytes: usize) -> Option<BodyReservation<'_>> {
        self.body_budget.reserve(bytes)
    }

    /// Whether the limit of open requests is reached.
    pub fn is_full(&self) -> bool {
        let limit = match self.settings.max_in_flight {
            0 => MAX_OPEN_REQUESTS,
            limit => MAX_OPEN_REQUESTS.min(limit as usize),
        };
        self.events.open_requests() + self.awaiting_authorisation.get() >= limit
    }

    /// Marks a request id as open; `None` where it is open already, over whatever listener.
    pub fn open_request_id(&self, id: &HeaderValue) -> Option<OpenRequestId<'_>> {
        self.open_ids.open(id)
    }

    /// Asks the authoriser that the class of the request names, if it names one, and then submits the request to the
    /// host. Dropping the future before it is ready means that the client disconnected.
    ///
    /// Returns the answer, and the header changes that the authoriser wants; to a forwarded request they have been
    /// made.
    pub async fn answer(
        &self,
        mut request: IncomingRequest,
        authorisation: &AuthorisationRequest<'_>,
    ) -> (Answer, Changes) {
        let Some((authoriser, when_unsure)) = self.authorisers.for_class(&request.class) else {
            return (self.submit(request).await, Changes::default());
        };
        let changes = match self.authorise(authoriser, when_unsure, authorisation).await {
            Authorised::Yes(changes) => changes,
            Authorised::No(answer) => return (answer, Changes::default()),
        };
        if let RequestKind::Forward(forward) = &mut request.kind {
            // The request is shared only once it is submitted.
            if let Some(forward) = Rc::get_mut(forward) {
                changes.apply(&mut forward.headers, &RESERVED);
            }
        }
        (self.submit(request).await, changes)
    }

    async fn authorise(
        &self,
        authoriser: &Authoriser,
        when_unsure: WhenUnsure,
        request: &AuthorisationRequest<'_>,
    ) -> Authorised {
        let authorisation = {
            let _awaiting = CountGuard::new(&self.awaiting_authorisation);
            self.authorisers.authorise(authoriser, request).await
        };
        let changes = match (authorisation, when_unsure) {
            (Authorisation::Decided(Verdict::Allow(changes)), _) => changes,
            (Authorisation::Decided(Verdict::Deny(denial)), _) => {
                return Authorised::No(Answer::Denied(denial));
            }
            (Authorisation::Undecided { .. }, WhenUnsure::Pass) => Changes::default(),
            // Nothing was forwarded, so a retry is harmless.
            (Authorisation::Undecided { retry_after }, WhenUnsure::Refuse) => {
                return Authorised::No(Answer::Rejected(Rejection::over_limit(retry_after)));
            }
        };
        if Instant::now() >= request.deadline {
            return Authorised::No(Answer::Rejected(Rejection::over_limit(0.0)));
        }
        Authorised::Yes(changes)
    }

    async fn submit(&self, request: IncomingRequest) -> Answer {
        let (id, answer) = self.events.submit(request);
        let disconnect = DisconnectGuard { events: self.events.clone(), id: Some(id) };
        let answer = answer.await;
        disconnect.disarm();
        answer.unwrap_or(Answer::Failed)
    }
}
