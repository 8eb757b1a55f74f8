//! The source of the endpoint list, and the wait for the first list at startup.

use crate::discovery::client::DiscoveryClient;
use crate::discovery::endpoint::listed_endpoint;
use crate::discovery::inventory_file::InventorySource;
use crate::events::{EventQueue, HostEvent};
use crate::log::log;
use crate::operator::OperatorConfig;
use liftrouter_catalog::Update;
use liftrouter_decision::Settings;
use liftrouter_discovery::Delivery;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Maximum wait for the first list of discovery before the limiter becomes ready with the list in the configuration.
/// That list is a last resort: a server that has begun to drain since it was written is still in service there, but the
/// limiter is expected to know what discovery announced before this process started. The wait is bounded because 90 % of
/// restarted limiters must be ready within 10 s.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(8_500);

/// The source of the endpoint list: discovery, relays or an inventory file.
pub(super) struct EndpointListSource {
    discovery: Rc<DiscoveryClient>,
    /// The inventory file that replaces discovery; [`follow`](Self::follow) takes it out.
    file: Option<InventorySource>,
    is_from_file: bool,
    /// Notified when the first version of the file is adopted.
    file_adopted: Rc<Notify>,
}

impl EndpointListSource {
    /// Chooses the source: the inventory file or the relays of the operator's file if either is present, else
    /// discovery.
    pub fn new(operator: &mut OperatorConfig, discovery: SocketAddr, settings: &Settings, seed: u64) -> Self {
        let delivery = if settings.polls_discovery { Delivery::OnRequest } else { Delivery::Pushed };
        let discovery = match operator.relays.take() {
            Some(relays) => {
                let regions = relays.regions.into_iter().map(|region| (region.name, region.addresses));
                DiscoveryClient::from_regions(regions, &relays.subscription, seed)
            }
            None => DiscoveryClient::new(discovery, delivery),
        };
        let file = operator.inventory.take();
        EndpointListSource {
            discovery: Rc::new(discovery),
            is_from_file: file.is_some(),
            file,
            file_adopted: Rc::default(),
        }
    }

    /// The discovery client, whose address SIGHUP changes.
    pub fn discovery(&self) -> &Rc<DiscoveryClient> {
        &self.discovery
    }

    /// Starts the task that follows the list. If there is an inventory file, it is the only source: an earlier list of
    /// discovery, or a new one, could contradict it.
    pub fn follow(&mut self, events: &Rc<EventQueue>, seed: u64) {
        match self.file.take() {
            Some(file) => spawn_local(file.follow(events.clone(), self.file_adopted.clone())),
            None => spawn_local(self.discovery.clone().watch(events.clone(), seed)),
        };
    }

    /// Waits for the first list. If discovery does not send one in time, falls back to the list in the configuration.
    pub async fn wait_for_first(&self, events: &EventQueue, known_endpoints: Option<Update>) {
        if self.is_from_file {
            self.file_adopted.notified().await;
        } else if timeout(FIRST_LIST_TIMEOUT, self.discovery.first_heartbeats()).await.is_err() {
            self.fall_back(events, known_endpoints);
        }
    }

    /// Continues without the lists that did not come in time. Until the first list comes no server is known, and every
    /// request is rejected immediately.
    fn fall_back(&self, events: &EventQueue, known_endpoints: Option<Update>) {
        let discovery = &self.discovery;
        if discovery.has_list() {
            let missing = discovery.upstreams().filter(|upstream| upstream.revision().is_none());
            missing.for_each(|upstream| upstream.log("no list came: going on without it"));
            return;
        }
        match known_endpoints.filter(|_| discovery.trusts_known_list()) {
            Some(known) => {
                log("discovery", "no list came: going by the one in the configuration");
                let endpoints = known.instances.iter().map(listed_endpoint).collect();
                events.push(HostEvent::EndpointUpdate { complete: true, endpoints, version: None });
            }
            None => log("discovery", "no list came: rejecting all requests until one comes"),
        }
    }
}
