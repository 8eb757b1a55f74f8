//! The gate: what a request of any front passes on its way to the module.
//!
//! It holds what all fronts share: the ids that are open, the bytes that requests take, how many are in work.

use crate::authoriser::{Authorisers, Finding, WhenUnsure};
use crate::count::Count;
use crate::events::{Answer, DisconnectGuard, EventQueue, IncomingRequest, Rejection, RequestKind};
use crate::upstream::servers::OWN;
use hyper::header::HeaderValue;
use liftrouter_authz::messages::envoy::service::auth::v3::CheckRequest;
use liftrouter_authz::{Changes, Verdict};
use liftrouter_decision::Settings;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use tokio::time::Instant;

/// The most requests in work at once, whatever the settings say.
const MOST_OPEN: usize = 1_000;

pub struct Gate {
    pub settings: Settings,
    events: Rc<EventQueue>,
    /// Bytes that requests' bodies may take in all, and take now.
    body_budget: usize,
    bodies: Cell<usize>,
    /// Ids of the requests that are open.
    open_ids: RefCell<HashSet<HeaderValue>>,
    authorisers: Authorisers,
    /// Requests that an authoriser is asked about.
    waiting: Cell<usize>,
    /// When the last answers are given, once the process ends.
    end: Cell<Option<Instant>>,
}

/// What an authoriser would be asked about a request.
pub struct Question<'a> {
    /// Made only if one is asked.
    pub make: &'a dyn Fn() -> CheckRequest,
    /// The limiters that it came through.
    pub via: &'a [String],
    /// When its answer is due.
    pub due: Instant,
}

impl Gate {
    pub fn new(
        events: Rc<EventQueue>,
        settings: Settings,
        body_budget: usize,
        authorisers: Authorisers,
    ) -> Rc<Self> {
        let (bodies, open_ids, waiting, end) = Default::default();
        Rc::new(Gate { settings, events, body_budget, bodies, open_ids, authorisers, waiting, end })
    }

    /// From now on nothing is taken that cannot be answered before that time.
    pub fn end_at(&self, end: Instant) {
        self.end.set(Some(end));
    }

    /// When an answer has to be given that is due then at the latest; none where that can no longer be done.
    pub fn due(&self, due: Instant) -> Option<Instant> {
        match self.end.get() {
            None => Some(due),
            Some(end) => Some(due.min(end)).filter(|due| *due > Instant::now()),
        }
    }

    /// Takes so many bytes from the budget of all, if they are left.
    pub fn hold(&self, size: usize) -> Option<Held<'_>> {
        let mut held = Held(&self.bodies, 0, self.body_budget);
        held.grow(size).then_some(held)
    }

    /// Whether no more may be in work.
    pub fn is_full(&self) -> bool {
        let most = match self.settings.max_in_flight {
            0 => MOST_OPEN,
            most => MOST_OPEN.min(most as usize),
        };
        self.events.open_requests() + self.waiting.get() >= most
    }

    /// Marks an id as open; `None` where it is already, over whatever front. Ids are new with every request:
    /// passed on, a copy would be a second attempt of the same request at once.
    pub fn open(&self, id: &HeaderValue) -> Option<OpenId<'_>> {
        self.open_ids.borrow_mut().insert(id.clone()).then(|| OpenId(&self.open_ids, id.clone()))
    }

    /// Puts a request to the authoriser that its class names, if it names one, and then to the module. Dropped
    /// before its answer has come, the future belongs to a client that left.
    ///
    /// With the answer come the changes that an authoriser wants to the headers; to a request that is
    /// forwarded they have been made.
    pub async fn ask(&self, mut arrival: IncomingRequest, question: &Question<'_>) -> (Answer, Changes) {
        let mut changes = Changes::default();
        if let Some(authoriser) = self.authorisers.of(&arrival.class) {
            let asked = {
                let _waiting = Count::new(&self.waiting);
                let Question { make, via, due } = *question;
                self.authorisers.ask(authoriser, &make(), via, due).await
            };
            match asked {
                Finding::Said(Verdict::Allow(wanted)) => changes = wanted,
                Finding::Said(Verdict::Deny(denial)) => return (Answer::Denied(denial), changes),
                Finding::Unsure(WhenUnsure::Pass, _) => {}
                // Nothing has run: trying again is harmless.
                Finding::Unsure(WhenUnsure::Refuse, wait) => {
                    return (Answer::Rejected(Rejection::limit(wait)), changes)
                }
            }
            if Instant::now() >= question.due {
                return (Answer::Rejected(Rejection::limit(0.0)), changes);
            }
            if let RequestKind::Forward(forward) = &mut arrival.kind {
                // Nobody else has it yet.
                if let Some(forward) = Rc::get_mut(forward) {
                    changes.apply(&mut forward.headers, &OWN);
                }
            }
        }
        (self.put(arrival).await, changes)
    }

    async fn put(&self, arrival: IncomingRequest) -> Answer {
        let (id, answer) = self.events.submit(arrival);
        let gone = DisconnectGuard { events: self.events.clone(), id: Some(id) };
        let answer = answer.await;
        gone.disarm();
        answer.unwrap_or(Answer::Failed)
    }
}

/// The id of a request while it is open.
pub struct OpenId<'a>(&'a RefCell<HashSet<HeaderValue>>, HeaderValue);

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        self.0.borrow_mut().remove(&self.1);
    }
}

/// Bytes of a body, taken from the budget of all.
pub struct Held<'a>(&'a Cell<usize>, usize, usize);

impl Held<'_> {
    /// Takes more; false if they are not left.
    pub fn grow(&mut self, size: usize) -> bool {
        let all = self.0.get() + size;
        let left = all <= self.2;
        if left {
            self.0.set(all);
            self.1 += size;
        }
        left
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - self.1);
    }
}
