//! The source of an endpoint list: its addresses, what is followed there, and how.

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

/// The longest message that a limiter reads, in bytes; a list of some twenty thousand servers fits.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// The same of a relay, which holds the complete list: some 300,000 servers.
const MAX_MESSAGE_BYTES_OF_RELAY: usize = 64 << 20;

/// Discovery, or relays that stand in for one another.
pub struct Upstream {
    /// Name of the region in the log; empty where it is the only one.
    region: String,
    delivery: Delivery,
    subscription: Subscription,
    max_message_bytes: usize,
    addresses: RefCell<Vec<SocketAddr>>,
    current: Cell<usize>,
    /// The revision of the list at hand, and when it was last confirmed.
    revision: Cell<Option<u64>>,
    confirmed_at: Cell<Option<Instant>>,
    /// The list at hand was not confirmed in time.
    is_expired: Cell<bool>,
    /// Bytes of the bodies of all watches so far.
    received_bytes: Rc<Cell<u64>>,
    /// The address has changed: all that is open or being opened ends.
    address_changed: Notify,
}

impl Upstream {
    /// Discovery at one address: the complete list.
    pub fn discovery(address: SocketAddr, delivery: Delivery) -> Self {
        Upstream::new(vec![address], delivery, Subscription::All)
    }

    /// Relays, each of which can stand in for the others. Subscribers with different seeds prefer different relays, so
    /// that the load is even, and that of a lost relay is spread over the rest (rendezvous hashing).
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

    /// The same as one region of several, with its name for the log.
    pub fn with_region(mut self, name: String) -> Self {
        self.region = name;
        self
    }

    /// Logs what concerns this list.
    pub fn log(&self, text: impl Display) {
        match self.region.as_str() {
            "" => log("discovery", text),
            region => log("discovery", format_args!("region {region}: {text}")),
        }
    }

    /// The same for a relay, which follows complete lists of any size.
    pub fn for_relay(mut self) -> Self {
        self.max_message_bytes = MAX_MESSAGE_BYTES_OF_RELAY;
        self
    }

    /// The longest message that is read, in bytes.
    pub fn max_message_bytes(&self) -> usize {
        self.max_message_bytes
    }

    /// How lists come from here.
    pub fn delivery(&self) -> Delivery {
        self.delivery
    }

    /// The services that are followed.
    pub fn subscription(&self) -> &Subscription {
        &self.subscription
    }

    /// The address to call.
    pub fn address(&self) -> SocketAddr {
        let addresses = self.addresses.borrow();
        addresses[self.current.get() % addresses.len()]
    }

    /// The one in use failed: the next call goes to another, if there is one.
    pub fn fail_over(&self) {
        self.current.set((self.current.get() + 1) % self.addresses.borrow().len());
    }

    /// Records the revision of the list at hand, and when it was last confirmed.
    pub fn record_list(&self, revision: Option<u64>, confirmed_at: Instant) {
        self.revision.set(revision);
        self.confirmed_at.set(Some(confirmed_at));
    }

    /// The list at hand was not confirmed in time, or is confirmed again. Returns what held before.
    pub fn set_expired(&self, expired: bool) -> bool {
        self.is_expired.replace(expired)
    }

    /// Whether the list at hand was not confirmed in time.
    pub fn is_expired(&self) -> bool {
        self.is_expired.get()
    }

    /// Counts the bytes of the bodies of all watches.
    pub fn received_bytes(&self) -> &Rc<Cell<u64>> {
        &self.received_bytes
    }

    /// The revision of the list at hand.
    pub fn revision(&self) -> Option<u64> {
        self.revision.get()
    }

    /// How long ago the list at hand was confirmed; none before the first one.
    pub fn confirmed_ago(&self) -> Option<Duration> {
        self.confirmed_at.get().map(|at| at.elapsed())
    }

    /// Calls discovery at another address from now on; relays stay as they are.
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
