//! The source of an endpoint list: its addresses, the subscription, and the state of the list received from it.

use crate::log;
use liftrouter_catalog::Subscription;
use liftrouter_discovery::Delivery;
use std::cell::{Cell, RefCell};
use std::fmt::Display;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The longest message that a limiter reads, in bytes; enough for a list of about 20,000 servers.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// The longest message that a relay reads, in bytes; enough for a complete list of about 300,000 servers.
const RELAY_MAX_MESSAGE_BYTES: usize = 64 << 20;

/// The discovery service, or a set of interchangeable relays.
pub struct Upstream {
    /// Name of the region in log lines; empty if there is only one region.
    region: String,
    delivery: Delivery,
    subscription: Subscription,
    max_message_bytes: usize,
    addresses: RefCell<Vec<SocketAddr>>,
    /// Index of the address in use.
    current: Cell<usize>,
    /// Revision of the current list.
    revision: Cell<Option<u64>>,
    /// When the current list was last confirmed.
    confirmed_at: Cell<Option<Instant>>,
    /// The current list was not confirmed in time.
    is_expired: Cell<bool>,
    /// Bytes received in the response bodies of all watches.
    received_bytes: Rc<Cell<u64>>,
    /// Notified when the address has changed, so that the open watch and calls in progress are dropped.
    address_changed: Notify,
}

impl Upstream {
    /// The discovery service at one address, with the complete list.
    pub fn discovery(address: SocketAddr, delivery: Delivery) -> Self {
        Upstream::new(vec![address], delivery, Subscription::All)
    }

    /// Interchangeable relays, ordered by rendezvous hashing: subscribers with different seeds prefer different relays,
    /// which balances the load and spreads the subscribers of a failed relay over the others.
    pub fn relays(mut addresses: Vec<SocketAddr>, subscription: Subscription, seed: u64) -> Self {
        addresses.sort_by_key(|address| {
            let mut hasher = DefaultHasher::new();
            (seed, address).hash(&mut hasher);
            hasher.finish()
        });
        Upstream::new(addresses, Delivery::Relayed, subscription)
    }

    fn new(addresses: Vec<SocketAddr>, delivery: Delivery, subscription: Subscription) -> Self {
        Upstream {
            region: String::new(),
            delivery,
            subscription,
            max_message_bytes: MAX_MESSAGE_BYTES,
            addresses: RefCell::new(addresses),
            current: Cell::new(0),
            revision: Cell::new(None),
            confirmed_at: Cell::new(None),
            is_expired: Cell::new(false),
            received_bytes: Rc::default(),
            address_changed: Notify::new(),
        }
    }

    /// Names the region of these relays, for log lines.
    pub fn with_region(mut self, name: String) -> Self {
        self.region = name;
        self
    }

    /// Logs a line about this upstream, with the name of its region if it has one.
    pub fn log(&self, text: impl Display) {
        match self.region.as_str() {
            "" => log("discovery", text),
            region => log("discovery", format_args!("region {region}: {text}")),
        }
    }

    /// Raises the limit on message length for a relay, which follows the complete list.
    pub fn for_relay(mut self) -> Self {
        self.max_message_bytes = RELAY_MAX_MESSAGE_BYTES;
        self
    }

    /// The longest message that is read, in bytes.
    pub fn max_message_bytes(&self) -> usize {
        self.max_message_bytes
    }

    /// How this upstream delivers lists.
    pub fn delivery(&self) -> Delivery {
        self.delivery
    }

    /// The followed services.
    pub fn subscription(&self) -> &Subscription {
        &self.subscription
    }

    /// The address to call.
    pub fn address(&self) -> SocketAddr {
        let addresses = self.addresses.borrow();
        addresses[self.current.get() % addresses.len()]
    }

    /// Selects the next address, if there is another one, after the one in use failed.
    pub fn fail_over(&self) {
        self.current.set((self.current.get() + 1) % self.addresses.borrow().len());
    }

    /// Records the revision of the current list and when it was last confirmed.
    pub fn record_list(&self, revision: Option<u64>, confirmed_at: Instant) {
        self.revision.set(revision);
        self.confirmed_at.set(Some(confirmed_at));
    }

    /// Records whether the current list has expired. Returns the previous value.
    pub fn set_expired(&self, expired: bool) -> bool {
        self.is_expired.replace(expired)
    }

    /// Whether the current list has expired, as it was not confirmed in time.
    pub fn is_expired(&self) -> bool {
        self.is_expired.get()
    }

    /// Counter of the bytes received in the response bodies of all watches.
    pub fn received_bytes(&self) -> &Rc<Cell<u64>> {
        &self.received_bytes
    }

    /// The revision of the current list; none before the first one.
    pub fn revision(&self) -> Option<u64> {
        self.revision.get()
    }

    /// How long ago the current list was confirmed; none before the first one.
    pub fn confirmed_ago(&self) -> Option<Duration> {
        self.confirmed_at.get().map(|at| at.elapsed())
    }

    /// Replaces the address of the discovery service. Has no effect on relays.
    pub fn set_address(&self, address: SocketAddr) {
        if self.delivery == Delivery::Relayed || self.address() == address {
            return;
        }
        *self.addresses.borrow_mut() = vec![address];
        self.current.set(0);
        self.address_changed.notify_one();
    }

    /// Waits for the next change of the address.
    pub async fn address_changed(&self) {
        self.address_changed.notified().await;
    }
}
