//! Sinks that pass the updates of an endpoint list to the host as events.

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

/// The sink for [`Delivery::Pushed`]: forwards every update as it arrives and caches nothing.
pub struct PushedList {
    events: Rc<EventQueue>,
    revision: Option<u64>,
}

impl PushedList {
    /// Creates a sink that forwards to `events`.
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

/// The sink for [`Delivery::OnRequest`] and [`Delivery::Relayed`]: caches the list, so that it can expire and be
/// checked against digests. The host receives one list, merged from those of all regions.
pub struct CachedList {
    events: Rc<EventQueue>,
    upstream: Rc<Upstream>,
    /// The lists of all regions, shared by their sinks.
    lists: Rc<RefCell<RegionLists>>,
    /// The region that this sink updates.
    region: RegionIndex,
    is_expired: bool,
}

impl CachedList {
    /// Creates the sink of one region, whose list comes from `upstream`.
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

    /// Whether new requests are rejected while the list is expired. A list from relays is used further, see
    /// [`ListSink::expired`].
    fn rejects_when_expired(&self) -> bool {
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
        if self.is_expired && self.rejects_when_expired() {
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

    /// The limiter is expected to know every change a certain time after discovery does, even one that did not arrive.
    /// An expired list on request may therefore not be used for new requests, and all its servers are treated as
    /// draining. An expired list from relays stays in use, so that a fleet keeps serving while its relays are cut off;
    /// a log line says that the list is stale.
    fn expired(&mut self, age: Duration) {
        let age = age.as_secs_f64();
        self.is_expired = true;
        if !self.rejects_when_expired() {
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
        if self.rejects_when_expired() {
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

fn push(events: &EventQueue, complete: bool, endpoints: Vec<ListedEndpoint>) {
    events.push(HostEvent::EndpointUpdate { complete, endpoints, version: None });
}
