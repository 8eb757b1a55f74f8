//! The gate: what a request of any front passes on its way to the module.
//!
//! It holds what all fronts share: the ids that are open, the bytes that requests take, how many are in work.

use crate::inbox::{Answer, Arrival, Inbox, News};
use hyper::header::HeaderValue;
use liftrouter_decision::{RequestId, Settings};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;

/// The most requests in work at once, whatever the settings say.
const MOST_OPEN: usize = 1_000;

pub struct Gate {
    pub settings: Settings,
    inbox: Rc<Inbox>,
    /// Bytes that requests' bodies may take in all, and take now.
    body_budget: usize,
    bodies: Cell<usize>,
    /// Ids of the requests that are open.
    open_ids: RefCell<HashSet<HeaderValue>>,
}

impl Gate {
    pub fn new(inbox: Rc<Inbox>, settings: Settings, body_budget: usize) -> Rc<Self> {
        let (bodies, open_ids) = Default::default();
        Rc::new(Gate { settings, inbox, body_budget, bodies, open_ids })
    }

    /// Takes so many bytes from the budget of all, if they are left.
    pub fn hold(&self, size: usize) -> Option<Held<'_>> {
        let mut held = Held(&self.bodies, 0, self.body_budget);
        held.grow(size).then_some(held)
    }

    /// Whether no more may be in work.
    pub fn is_full(&self) -> bool {
        let most = match self.settings.max_open {
            0 => MOST_OPEN,
            most => MOST_OPEN.min(most as usize),
        };
        self.inbox.open_requests() >= most
    }

    /// Marks an id as open; `None` where it is already, over whatever front. Ids are new with every request:
    /// passed on, a copy would be a second attempt of the same request at once.
    pub fn open(&self, id: &HeaderValue) -> Option<OpenId<'_>> {
        self.open_ids.borrow_mut().insert(id.clone()).then(|| OpenId(&self.open_ids, id.clone()))
    }

    /// Puts a request to the module. Dropped before its answer has come, the future belongs to a client that
    /// left.
    pub async fn ask(&self, arrival: Arrival) -> Answer {
        let (id, answer) = self.inbox.ask(arrival);
        let gone = Gone { inbox: &self.inbox, id: Some(id) };
        let answer = answer.await;
        gone.answered();
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

/// Reports that a client left, unless its request has been answered.
struct Gone<'a> {
    inbox: &'a Inbox,
    id: Option<RequestId>,
}

impl Gone<'_> {
    fn answered(mut self) {
        self.id = None;
    }
}

impl Drop for Gone<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.inbox.push(News::ClientGone(id));
        }
    }
}
