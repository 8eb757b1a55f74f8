//! The endpoint list at the start: where it comes from, and how long the first one is waited for.

use crate::discovery::client::DiscoveryClient;
use crate::discovery::endpoint::listed_endpoint;
use crate::discovery::inventory_file::InventorySource;
use crate::events::{EventQueue, HostEvent};
use crate::log::log;
use crate::operator::Operator;
use liftrouter_catalog::Update;
use liftrouter_decision::Settings;
use liftrouter_discovery::Delivery;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// How long the first list of discovery is waited for before requests are admitted with the one at hand. What
/// discovery announced before this process began counts as known to it: a server that drains since may stand in the
/// list at hand as in service. Nine in ten that are restarted are to be ready within 10 s.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(8_500);

/// The endpoint list that this limiter follows.
pub(super) struct EndpointList {
    discovery: Rc<DiscoveryClient>,
    /// The file that it comes from in place of discovery; taken when it is followed.
    file: Option<InventorySource>,
    is_from_file: bool,
    /// Notified when the first version of the file is adopted.
    adopted: Rc<Notify>,
}

impl EndpointList {
    /// The list of the operator's file or relays, where there are any, else that of discovery.
    pub fn new(operator: &mut Operator, discovery: SocketAddr, settings: &Settings, seed: u64) -> Self {
        let delivery = if settings.polls_discovery { Delivery::OnRequest } else { Delivery::Pushed };
        let discovery = match operator.relays.take() {
            Some(relays) => {
                let regions = relays.regions.into_iter().map(|region| (region.name, region.addresses));
                DiscoveryClient::from_regions(regions, &relays.subscription, seed)
            }
            None => DiscoveryClient::new(discovery, delivery),
        };
        let file = operator.inventory.take();
        EndpointList {
            discovery: Rc::new(discovery),
            is_from_file: file.is_some(),
            file,
            adopted: Rc::default(),
        }
    }

    /// The client that SIGHUP moves to another address.
    pub fn discovery(&self) -> &Rc<DiscoveryClient> {
        &self.discovery
    }

    /// Follows the list from now on. Where there is a file it alone counts: what discovery knew before, or would
    /// announce now, could contradict it.
    pub fn follow(&mut self, events: &Rc<EventQueue>, seed: u64) {
        match self.file.take() {
            Some(file) => spawn_local(file.follow(events.clone(), self.adopted.clone())),
            None => spawn_local(self.discovery.clone().watch(events.clone(), seed)),
        };
    }

    /// Waits for the first list; where it does not come in time, falls back to the one of the configuration.
    pub async fn wait_for_first(&self, events: &EventQueue, known: Option<Update>) {
        if self.is_from_file {
            self.adopted.notified().await;
        } else if timeout(FIRST_LIST_TIMEOUT, self.discovery.first_heartbeats()).await.is_err() {
            self.fall_back(events, known);
        }
    }

    /// Not all lists came in time. Until here no server was known, so every request was rejected at once.
    fn fall_back(&self, events: &EventQueue, known: Option<Update>) {
        let discovery = &self.discovery;
        if discovery.has_list() {
            let missing = discovery.upstreams().filter(|upstream| upstream.revision().is_none());
            missing.for_each(|upstream| upstream.log("no list came: going on without it"));
            return;
        }
        match known.filter(|_| discovery.trusts_known_list()) {
            Some(known) => {
                log("discovery", "no list came: going by the one in the configuration");
                let endpoints = known.instances.iter().map(listed_endpoint).collect();
                events.push(HostEvent::EndpointUpdate { complete: true, endpoints, version: None });
            }
            None => log("discovery", "no list came: all is refused until one does"),
        }
    }
}
