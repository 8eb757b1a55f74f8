//! Where lists come from: addresses, what is followed there, and how.

use liftrouter_catalog::Subscription;
use liftrouter_discovery::Delivery;
use std::cell::{Cell, RefCell};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use tokio::sync::Notify;

/// Discovery, or relays that stand in for one another.
pub struct Upstream {
    delivery: Delivery,
    subscription: Subscription,
    addresses: RefCell<Vec<SocketAddr>>,
    current: Cell<usize>,
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
            delivery,
            subscription,
            addresses: RefCell::new(addresses),
            current: Cell::new(0),
            moved: Notify::new(),
        }
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
