//! The client of discovery or of relays, as the other parts of the limiter hold it.

use super::host_list::{CachedList, PushedList};
use super::session::Session;
use super::upstream::Upstream;
use crate::events::EventQueue;
use liftrouter_catalog::{RegionIndex, RegionLists, Subscription};
use liftrouter_discovery::Delivery;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::JoinSet;

/// One source of lists.
struct Source {
    upstream: Rc<Upstream>,
    /// Notified of each heartbeat once there is a list.
    heartbeat: Rc<Notify>,
}

impl Source {
    fn new(upstream: Upstream) -> Self {
        Source { upstream: Rc::new(upstream), heartbeat: Rc::default() }
    }
}

/// Follows the endpoint list of discovery, or of the relays of one region or several.
pub struct DiscoveryClient {
    /// One, or the relays of each region.
    sources: Vec<Source>,
}

impl DiscoveryClient {
    /// The complete list from one address.
    pub fn new(address: SocketAddr, delivery: Delivery) -> Self {
        DiscoveryClient { sources: vec![Source::new(Upstream::discovery(address, delivery))] }
    }

    /// The servers of some services from relays.
    pub fn from_relays(addresses: Vec<SocketAddr>, subscription: &Subscription, seed: u64) -> Self {
        DiscoveryClient::from_regions([(String::new(), addresses)], subscription, seed)
    }

    /// The same from the relays of several regions, each of which has a list of its own and a name for the log.
    pub fn from_regions(
        regions: impl IntoIterator<Item = (String, Vec<SocketAddr>)>,
        subscription: &Subscription,
        seed: u64,
    ) -> Self {
        let upstream = |(name, addresses)| {
            Source::new(Upstream::relays(addresses, subscription.clone(), seed).with_region(name))
        };
        DiscoveryClient { sources: regions.into_iter().map(upstream).collect() }
    }

    /// Where the lists come from.
    pub fn upstreams(&self) -> impl Iterator<Item = &Rc<Upstream>> {
        self.sources.iter().map(|source| &source.upstream)
    }

    /// Where the list of one region comes from.
    pub fn upstream(&self, region: RegionIndex) -> &Rc<Upstream> {
        &self.sources[region].upstream
    }

    /// Whether any list has come.
    pub fn has_list(&self) -> bool {
        self.upstreams().any(|upstream| upstream.revision().is_some())
    }

    /// Whether a list that was known before may be used while none has come.
    pub fn trusts_known_list(&self) -> bool {
        self.upstreams().all(|upstream| upstream.delivery() != Delivery::OnRequest)
    }

    /// Follows the list at another address from now on. The watch on the old one is dropped at once: what it
    /// would still announce, the new one announces too, since the new watch continues after the last revision.
    pub fn set_address(&self, address: SocketAddr) {
        self.upstreams().for_each(|upstream| upstream.set_address(address));
    }

    /// Waits for the first heartbeat of each region.
    pub async fn first_heartbeats(&self) {
        for source in &self.sources {
            source.heartbeat.notified().await;
        }
    }

    /// Follows the list for as long as the program runs. It begins with a complete list, whatever was known before:
    /// with nothing changed since that, a watch would be silent for seconds.
    pub async fn watch(self: Rc<Self>, events: Rc<EventQueue>, seed: u64) {
        let lists = Rc::new(RefCell::new(RegionLists::new(self.sources.len())));
        let mut sessions = JoinSet::new();
        for (region, Source { upstream, heartbeat }) in self.sources.iter().enumerate() {
            let (upstream, heartbeat) = (upstream.clone(), heartbeat.clone());
            match upstream.delivery() {
                Delivery::Pushed => {
                    let list = PushedList::new(events.clone());
                    sessions.spawn_local(Session::new(upstream, list, heartbeat, seed).run());
                }
                Delivery::OnRequest | Delivery::Relayed => {
                    let list = CachedList::new(events.clone(), upstream.clone(), lists.clone(), region);
                    sessions.spawn_local(Session::new(upstream, list, heartbeat, seed).run());
                }
            }
        }
        while sessions.join_next().await.is_some() {}
    }
}
