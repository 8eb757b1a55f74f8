//! Where lists come from: addresses, what is followed there, and how.

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

/// The longest message that a limiter reads; a list of some twenty thousand servers fits.
const LONGEST_MESSAGE: usize = 4 << 20;
/// The same of a relay, which holds the whole list: some 300,000 servers.
const LONGEST_MESSAGE_OF_RELAY: usize = 64 << 20;

/// Discovery, or relays that stand in for one another.
pub struct Upstream {
    /// As the log calls it; empty where it is the only one.
    region: String,
    delivery: Delivery,
    subscription: Subscription,
    longest_message: usize,
    addresses: RefCell<Vec<SocketAddr>>,
    current: Cell<usize>,
    /// The revision of the list at hand, and when it was last confirmed.
    revision: Cell<Option<u64>>,
    confirmed: Cell<Option<Instant>>,
    /// The list at hand was not confirmed in time.
    expired: Cell<bool>,
    /// Bytes of the bodies of all watches so far.
    received: Rc<Cell<u64>>,
    /// The address has changed: all that is open or being opened ends.
    moved: Notify,
}

impl Upstream {
    /// Discovery at one address: the whole list.
    pub fn discovery(address: SocketAddr, delivery: Delivery) -> Self {
        Upstream::new(vec![address], delivery, Subscription::All)
    }

    /// Relays, each of which knows what the others know. Children with other seeds prefer others, so that the load
    /// is even, and that of one that is lost is spread over the rest (rendezvous hashing).
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
            longest_message: LONGEST_MESSAGE,
            addresses: RefCell::new(addresses),
            current: Cell::new(0),
            revision: Cell::new(None),
            confirmed: Cell::new(None),
            expired: Cell::new(false),
            received: Rc::default(),
            moved: Notify::new(),
        }
    }

    /// The same as one of several, with its name for the log.
    pub fn of_region(mut self, name: String) -> Self {
        self.region = name;
        self
    }

    /// Writes to the log what concerns the list from here.
    pub fn log(&self, text: impl Display) {
        match self.region.as_str() {
            "" => log("discovery", text),
            region => log("discovery", format_args!("region {region}: {text}")),
        }
    }

    /// The same for a relay, which follows whole lists of any size.
    pub fn for_relay(mut self) -> Self {
        self.longest_message = LONGEST_MESSAGE_OF_RELAY;
        self
    }

    /// The longest message that is read, in bytes.
    pub fn longest_message(&self) -> usize {
        self.longest_message
    }

    pub fn delivery(&self) -> Delivery {
        self.delivery
    }

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

    /// The list at hand has this revision, and was confirmed then.
    pub fn note(&self, revision: Option<u64>, confirmed: Instant) {
        self.revision.set(revision);
        self.confirmed.set(Some(confirmed));
    }

    /// The list at hand was not confirmed in time, or is confirmed again. Gives what held before.
    pub fn set_expired(&self, expired: bool) -> bool {
        self.expired.replace(expired)
    }

    /// Whether the list at hand was not confirmed in time.
    pub fn is_expired(&self) -> bool {
        self.expired.get()
    }

    /// Counts the bytes of the bodies of all watches.
    pub fn received(&self) -> &Rc<Cell<u64>> {
        &self.received
    }

    /// The revision of the list at hand.
    pub fn revision(&self) -> Option<u64> {
        self.revision.get()
    }

    /// How long ago the list at hand was confirmed; none before the first one.
    pub fn confirmed_ago(&self) -> Option<Duration> {
        self.confirmed.get().map(|at| at.elapsed())
    }

    /// Calls another discovery from now on.
    pub fn move_to(&self, address: SocketAddr) {
        if self.delivery == Delivery::Relayed || self.address() == address {
            return;
        }
        *self.addresses.borrow_mut() = vec![address];
        self.current.set(0);
        self.moved.notify_one();
    }

    /// Waits for the next move.
    pub async fn moved(&self) {
        self.moved.notified().await;
    }
}
