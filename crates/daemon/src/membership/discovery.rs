//! The list of servers from discovery or from relays, as the other parts see it.

use super::host_list::{HeldList, PushedList};
use super::session::Session;
use super::upstream::Upstream;
use crate::inbox::Inbox;
use liftrouter_catalog::Subscription;
use liftrouter_discovery::Delivery;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// A handle of the list.
pub struct Discovery {
    upstream: Rc<Upstream>,
    heard: Rc<Notify>,
}

impl Discovery {
    /// The whole list from one address.
    pub fn new(address: SocketAddr, delivery: Delivery) -> Self {
        Discovery { upstream: Rc::new(Upstream::discovery(address, delivery)), heard: Rc::default() }
    }

    /// The servers of some services from relays.
    pub fn by_relays(addresses: Vec<SocketAddr>, subscription: Subscription, seed: u64) -> Self {
        let upstream = Upstream::relays(addresses, subscription, seed);
        Discovery { upstream: Rc::new(upstream), heard: Rc::default() }
    }

    /// The revision of the list at hand.
    pub fn revision(&self) -> Option<u64> {
        self.upstream.revision()
    }

    /// How long ago the list at hand was confirmed; none before the first one.
    pub fn confirmed_ago(&self) -> Option<Duration> {
        self.upstream.confirmed_ago()
    }

    /// Whether the list at hand was not confirmed in time; the log says so too.
    pub fn is_expired(&self) -> bool {
        self.upstream.is_expired()
    }

    /// Bytes of lists and changes that were received so far, without the framing of HTTP.
    pub fn received_bytes(&self) -> u64 {
        self.upstream.received().get()
    }

    /// Whether a list that was known before may be used while none has been heard.
    pub fn trusts_known_list(&self) -> bool {
        self.upstream.delivery() != Delivery::OnRequest
    }

    /// Follows the list at another address from now on. The watch on the old one is dropped at once: what it
    /// would still tell, the new one tells too, since it is asked for all after the last revision.
    pub fn move_to(&self, address: SocketAddr) {
        self.upstream.move_to(address);
    }

    /// Waits for the first sign of life.
    pub async fn heard(&self) {
        self.heard.notified().await;
    }

    /// Follows the list for as long as the program runs. It begins with a whole list, whatever was known before:
    /// with nothing changed since that, a watch would say nothing for seconds.
    pub async fn watch(self: Rc<Self>, inbox: Rc<Inbox>, seed: u64) {
        let (upstream, heard) = (self.upstream.clone(), self.heard.clone());
        match upstream.delivery() {
            Delivery::Pushed => Session::new(upstream, PushedList::new(inbox), heard, seed).run().await,
            delivery => Session::new(upstream, HeldList::new(inbox, delivery), heard, seed).run().await,
        }
    }
}
