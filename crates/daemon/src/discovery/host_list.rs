//! The list of servers as the host is told it.

use super::sink::{ListSink, SignOfLife};
use super::update::{listed, listed_as, log_unreadable};
use super::upstream::Upstream;
use crate::events::{EventQueue, HostEvent, ListedEndpoint};
use liftrouter_catalog::{ApplyError, Change, RegionIndex, RegionLists, Update};
use liftrouter_decision::EndpointState;
use liftrouter_discovery::Delivery;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Where lists are pushed: every message goes on as it comes, and nothing is kept.
pub struct PushedList {
    events: Rc<EventQueue>,
    revision: Option<u64>,
}

impl PushedList {
    pub fn new(events: Rc<EventQueue>) -> Self {
        PushedList { events, revision: None }
    }
}

impl ListSink for PushedList {
    fn revision(&self) -> Option<u64> {
        self.revision
    }

    fn apply(&mut self, update: Update) -> Result<(), ApplyError> {
        log_unreadable(&update);
        self.revision = Some(update.generation);
        push(&self.events, update.reset, update.instances.iter().map(listed).collect());
        Ok(())
    }

    fn forget_revision(&mut self) {
        self.revision = None;
    }

    fn heartbeat(&mut self, _: SignOfLife) {}

    fn disconnected(&mut self) {
        self.events.push(HostEvent::WatchFailed);
    }

    fn expired(&mut self, _: Duration) {}

    fn confirmed(&mut self) {}
}

/// Where lists come from a shared service or from relays: the list is kept, so that it can expire and be compared
/// with digests. The lists of several regions are one to the host.
pub struct HeldList {
    events: Rc<EventQueue>,
    upstream: Rc<Upstream>,
    /// The lists of all regions, and which of them this one is.
    lists: Rc<RefCell<RegionLists>>,
    region: RegionIndex,
    expired: bool,
}

impl HeldList {
    pub fn new(
        events: Rc<EventQueue>,
        upstream: Rc<Upstream>,
        lists: Rc<RefCell<RegionLists>>,
        region: RegionIndex,
    ) -> Self {
        HeldList { events, upstream, lists, region, expired: false }
    }

    fn push_whole(&self) {
        push(&self.events, true, self.lists.borrow().instances().map(listed).collect());
    }

    /// Nothing new may be sent by a list that expired, unless it comes by relays: see [`ListSink::expired`].
    fn stops_when_expired(&self) -> bool {
        self.upstream.delivery() == Delivery::OnRequest
    }
}

impl ListSink for HeldList {
    fn revision(&self) -> Option<u64> {
        self.lists.borrow().generation(self.region)
    }

    fn apply(&mut self, update: Update) -> Result<(), ApplyError> {
        log_unreadable(&update);
        let whole = update.reset;
        let changes = self.lists.borrow_mut().apply(self.region, update)?;
        if self.expired && self.stops_when_expired() {
            return Ok(());
        }
        if whole {
            self.push_whole();
        } else if !changes.is_empty() {
            push(&self.events, false, changes.iter().map(changed).collect());
        }
        Ok(())
    }

    fn forget_revision(&mut self) {
        self.lists.borrow_mut().forget_generation(self.region);
    }

    fn heartbeat(&mut self, _: SignOfLife) {}

    fn disconnected(&mut self) {
        self.events.push(HostEvent::WatchFailed);
    }

    /// What comes on request from discovery itself counts as told after a time, whether or not it came: all servers
    /// count as draining. A fleet behind relays that are cut off goes on by the last list, and says so.
    fn expired(&mut self, age: Duration) {
        let age = age.as_secs_f64();
        self.expired = true;
        if !self.stops_when_expired() {
            self.upstream.log(format_args!("stale: going on by a list last confirmed {age:.1} s ago"));
            return;
        }
        self.upstream.log(format_args!("the list of servers is out of date, last confirmed {age:.1} s ago"));
        let draining = |instance| listed_as(instance, EndpointState::Draining);
        self.events.push(HostEvent::EndpointListExpired);
        push(&self.events, false, self.lists.borrow().instances_of(self.region).map(draining).collect());
    }

    fn confirmed(&mut self) {
        self.upstream.log("the list of servers is confirmed again");
        self.expired = false;
        if self.stops_when_expired() {
            self.events.push(HostEvent::EndpointListConfirmed);
            self.push_whole();
        }
    }
}

fn changed(change: &Change) -> ListedEndpoint {
    match change {
        Change::Listed(instance) => listed(instance),
        Change::Removed(instance) => listed_as(instance, EndpointState::Removed),
    }
}

fn push(events: &EventQueue, whole: bool, servers: Vec<ListedEndpoint>) {
    events.push(HostEvent::EndpointUpdate { whole, endpoints: servers, version: None });
}
