//! The discovery client, through which the other parts of the limiter follow the endpoint list.

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

/// One upstream and the notification of its heartbeats.
struct Source {
    upstream: Rc<Upstream>,
    /// Notified on each heartbeat after the first list.
    heartbeat: Rc<Notify>,
}

impl Source {
    fn new(upstream: Upstream) -> Self {
        Source { upstream: Rc::new(upstream), heartbeat: Rc::default() }
    }
}

/// Follows the endpoint list of the discovery service, or of the relays of one or more regions.
pub struct DiscoveryClient {
    /// One for the discovery service, or one per region for relays.
    sources: Vec<Source>,
}

impl DiscoveryClient {
    /// Follows the complete list at one address.
    pub fn new(address: SocketAddr, delivery: Delivery) -> Self {
        DiscoveryClient { sources: vec![Source::new(Upstream::discovery(address, delivery))] }
    }

    /// Follows the subscribed services through the relays of a single region.
    pub fn from_relays(addresses: Vec<SocketAddr>, subscription: &Subscription, seed: u64) -> Self {
        DiscoveryClient::from_regions([(String::new(), addresses)], subscription, seed)
    }

    /// Follows the subscribed services through the relays of several regions. Each region has a separate list; its name
    /// appears in log lines.
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

    /// The upstreams of all regions.
    pub fn upstreams(&self) -> impl Iterator<Item = &Rc<Upstream>> {
        self.sources.iter().map(|source| &source.upstream)
    }

    /// The upstream of one region.
    pub fn upstream(&self, region: RegionIndex) -> &Rc<Upstream> {
        &self.sources[region].upstream
    }

    /// Whether a list has arrived from at least one upstream.
    pub fn has_list(&self) -> bool {
        self.upstreams().any(|upstream| upstream.revision().is_some())
    }

    /// Whether the list in the configuration may be used until the first one arrives. Not for a list on request, which
    /// has to be confirmed by discovery before it is used.
    pub fn trusts_known_list(&self) -> bool {
        self.upstreams().all(|upstream| upstream.delivery() != Delivery::OnRequest)
    }

    /// Switches to another discovery address and drops the watch on the old one at once. No change is lost, since the
    /// new watch resumes after the last revision.
    pub fn set_address(&self, address: SocketAddr) {
        self.upstreams().for_each(|upstream| upstream.set_address(address));
    }

    /// Waits until every region has a list and has sent a heartbeat.
    pub async fn first_heartbeats(&self) {
        for source in &self.sources {
            source.heartbeat.notified().await;
        }
    }

    /// Follows the lists for as long as the program runs. The first request asks for the complete list, even where a
    /// list is known from the configuration: a watch resumed after its revision would be silent for seconds if nothing
    /// had changed since.
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
