//! The endpoint list as the host is notified of it.

use super::endpoint::{listed_endpoint, listed_endpoint_in_state, log_unreadable_entries};
use super::sink::{Heartbeat, ListSink};
use super::upstream::Upstream;
use crate::events::{EventQueue, HostEvent, ListedEndpoint};
use liftrouter_catalog::{ApplyError, Change, RegionIndex, RegionLists, Update};
use liftrouter_decision::EndpointState;
use liftrouter_discovery::Delivery;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Where lists are pushed: every update is forwarded as it comes, and nothing is cached.
pub struct PushedList {
    events: Rc<EventQueue>,
    revision: Option<u64>,
}

impl PushedList {
    /// A list that forwards to this queue.
    pub fn new(events: Rc<EventQueue>) -> Self {
        PushedList { events, revision: None }
    }
}

impl ListSink for PushedList {
    fn revision(&self) -> Option<u64> {
        self.revision
    }

    fn apply(&mut self, update: Update) -> Result<(), ApplyError> {
        log_unreadable_entries(&update);
        self.revision = Some(update.revision);
        push(&self.events, update.reset, update.instances.iter().map(listed_endpoint).collect());
        Ok(())
    }

    fn forget_revision(&mut self) {
        self.revision = None;
    }

    fn heartbeat(&mut self, _: Heartbeat) {}

    fn disconnected(&mut self) {
        self.events.push(HostEvent::WatchFailed);
    }

    fn expired(&mut self, _: Duration) {}

    fn confirmed(&mut self) {}
}

/// Where lists come from a shared service or from relays: the list is cached, so that it can expire and be compared
/// with digests. The host sees one list, merged from those of all regions.
pub struct CachedList {
    events: Rc<EventQueue>,
    upstream: Rc<Upstream>,
    /// The lists of all regions, and which of them this one is.
    lists: Rc<RefCell<RegionLists>>,
    region: RegionIndex,
    is_expired: bool,
}

impl CachedList {
    /// The list of one region, whose source is this upstream.
    pub fn new(
        events: Rc<EventQueue>,
        upstream: Rc<Upstream>,
        lists: Rc<RefCell<RegionLists>>,
        region: RegionIndex,
    ) -> Self {
        CachedList { events, upstream, lists, region, is_expired: false }
    }

    fn push_complete(&self) {
        push(&self.events, true, self.lists.borrow().instances().map(listed_endpoint).collect());
    }

    /// An expired list may not be used for new requests, unless it comes from relays: see [`ListSink::expired`].
    fn stops_when_expired(&self) -> bool {
        self.upstream.delivery() == Delivery::OnRequest
    }
}

impl ListSink for CachedList {
    fn revision(&self) -> Option<u64> {
        self.lists.borrow().revision(self.region)
    }

    fn apply(&mut self, update: Update) -> Result<(), ApplyError> {
        log_unreadable_entries(&update);
        let is_complete = update.reset;
        let changes = self.lists.borrow_mut().apply(self.region, &update)?;
        if self.is_expired && self.stops_when_expired() {
            return Ok(());
        }
        if is_complete {
            self.push_complete();
        } else if !changes.is_empty() {
            push(&self.events, false, changes.iter().map(changed_endpoint).collect());
        }
        Ok(())
    }

    fn forget_revision(&mut self) {
        self.lists.borrow_mut().forget_revision(self.region);
    }

    fn heartbeat(&mut self, _: Heartbeat) {}

    fn disconnected(&mut self) {
        self.events.push(HostEvent::WatchFailed);
    }

    /// A change counts as known to the limiter some time after discovery had it, whether or not it arrived: with a list
    /// on request from discovery itself, all servers count as draining. A fleet behind relays that are cut off goes on
    /// with the last list, and logs that.
    fn expired(&mut self, age: Duration) {
        let age = age.as_secs_f64();
        self.is_expired = true;
        if !self.stops_when_expired() {
            self.upstream.log(format_args!("stale: going on by a list last confirmed {age:.1} s ago"));
            return;
        }
        self.upstream.log(format_args!("the list of servers is out of date, last confirmed {age:.1} s ago"));
        let draining = |instance| listed_endpoint_in_state(EndpointState::Draining, instance);
        self.events.push(HostEvent::EndpointListExpired);
        push(&self.events, false, self.lists.borrow().instances_of(self.region).map(draining).collect());
    }

    fn confirmed(&mut self) {
        self.upstream.log("the list of servers is confirmed again");
        self.is_expired = false;
        if self.stops_when_expired() {
            self.events.push(HostEvent::EndpointListConfirmed);
            self.push_complete();
        }
    }
}

fn changed_endpoint(change: &Change) -> ListedEndpoint {
    match change {
        Change::Listed(instance) => listed_endpoint(instance),
        Change::Removed(instance) => listed_endpoint_in_state(EndpointState::Removed, instance),
    }
}

fn push(events: &EventQueue, whole: bool, endpoints: Vec<ListedEndpoint>) {
    events.push(HostEvent::EndpointUpdate { complete: whole, endpoints, version: None });
}
