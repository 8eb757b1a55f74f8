//! The list of servers as the host is told it.

use super::sink::{ListSink, SignOfLife};
use super::update::{listed, listed_as, log_unreadable};
use crate::inbox::{Inbox, Listed, News};
use crate::log;
use liftrouter_catalog::{Change, Replica, ReplicaError, Update};
use liftrouter_decision::ServerState;
use liftrouter_discovery::Delivery;
use std::rc::Rc;
use std::time::Duration;

/// Where lists are pushed: every message goes on as it comes, and nothing is kept.
pub struct PushedList {
    inbox: Rc<Inbox>,
    revision: Option<u64>,
}

impl PushedList {
    pub fn new(inbox: Rc<Inbox>) -> Self {
        PushedList { inbox, revision: None }
    }
}

impl ListSink for PushedList {
    fn revision(&self) -> Option<u64> {
        self.revision
    }

    fn apply(&mut self, update: Update) -> Result<(), ReplicaError> {
        log_unreadable(&update);
        // What is changed since no revision is the whole list.
        let whole = update.reset || self.revision.is_none();
        self.revision = Some(update.generation);
        push(&self.inbox, whole, update.instances.iter().map(listed).collect());
        Ok(())
    }

    fn forget_revision(&mut self) {
        self.revision = None;
    }

    fn heartbeat(&mut self, _: SignOfLife) {}

    fn disconnected(&mut self) {
        self.inbox.push(News::ListBroken);
    }

    fn expired(&mut self, _: Duration) {}

    fn confirmed(&mut self) {}
}

/// Where lists come from a shared service or from relays: the list is kept, so that it can expire and be compared
/// with digests.
pub struct HeldList {
    inbox: Rc<Inbox>,
    delivery: Delivery,
    replica: Replica,
    /// The digests differed: the whole list is needed.
    repair: bool,
    expired: bool,
}

impl HeldList {
    pub fn new(inbox: Rc<Inbox>, delivery: Delivery) -> Self {
        HeldList { inbox, delivery, replica: Replica::new(), repair: false, expired: false }
    }

    fn push_whole(&self) {
        push(&self.inbox, true, self.replica.instances().map(listed).collect());
    }

    /// Nothing new may be sent by a list that expired, unless it comes by relays: see [`ListSink::expired`].
    fn stops_when_expired(&self) -> bool {
        self.delivery == Delivery::OnRequest
    }
}

impl ListSink for HeldList {
    fn revision(&self) -> Option<u64> {
        self.replica.generation().filter(|_| !self.repair)
    }

    fn apply(&mut self, mut update: Update) -> Result<(), ReplicaError> {
        log_unreadable(&update);
        update.reset |= self.replica.generation().is_none();
        let whole = update.reset;
        let applied = self.replica.apply(update);
        self.repair = match &applied {
            Ok(_) => self.repair && !whole,
            Err(error) => self.repair || matches!(error, ReplicaError::Digest { .. }),
        };
        let changes = applied?;
        if self.expired && self.stops_when_expired() {
            return Ok(());
        }
        if whole {
            self.push_whole();
        } else if !changes.is_empty() {
            push(&self.inbox, false, changes.iter().map(changed).collect());
        }
        Ok(())
    }

    fn forget_revision(&mut self) {
        self.replica.forget_generation();
    }

    fn heartbeat(&mut self, _: SignOfLife) {}

    fn disconnected(&mut self) {
        self.inbox.push(News::ListBroken);
    }

    /// What comes on request from discovery itself counts as told after a time, whether or not it came: all servers
    /// count as draining. A fleet behind relays that are cut off goes on by the last list, and says so.
    fn expired(&mut self, age: Duration) {
        let age = age.as_secs_f64();
        self.expired = true;
        if !self.stops_when_expired() {
            log("discovery", format_args!("stale: going on by a list last confirmed {age:.1} s ago"));
            return;
        }
        log("discovery", format_args!("the list of servers is out of date, last confirmed {age:.1} s ago"));
        let draining = |instance| listed_as(instance, ServerState::Draining);
        self.inbox.push(News::ListExpired);
        push(&self.inbox, false, self.replica.instances().map(draining).collect());
    }

    fn confirmed(&mut self) {
        log("discovery", "the list of servers is confirmed again");
        self.expired = false;
        if self.stops_when_expired() {
            self.inbox.push(News::ListConfirmed);
            self.push_whole();
        }
    }
}

fn changed(change: &Change) -> Listed {
    match change {
        Change::Listed(instance) => listed(instance),
        Change::Removed(instance) => listed_as(instance, ServerState::Gone),
    }
}

fn push(inbox: &Inbox, whole: bool, servers: Vec<Listed>) {
    inbox.push(News::Listed { whole, servers, version: None });
}
