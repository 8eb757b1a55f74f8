//! The list of servers at the start: where it comes from, and until when the first one is waited for.

use crate::discovery::calls::Discovery;
use crate::discovery::file::Source;
use crate::discovery::update::listed;
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

/// How long the first list of discovery is waited for before clients are let in with the one at hand. What
/// discovery had told before this process began counts as told to it: a server that drains since may stand in the
/// list at hand as in service. Nine in ten that are restarted are to be ready within 10 s.
const FIRST_LIST: Duration = Duration::from_millis(8_500);

/// The list of servers that this limiter follows.
pub(super) struct ServerList {
    discovery: Rc<Discovery>,
    /// The file that it comes from in place of discovery; taken when it is followed.
    file: Option<Source>,
    from_file: bool,
    /// Told of the first version of the file.
    adopted: Rc<Notify>,
}

impl ServerList {
    /// The list of the operator's file or relays, where there are any, else that of discovery.
    pub fn new(operator: &mut Operator, discovery: SocketAddr, settings: &Settings, seed: u64) -> Self {
        let delivery = if settings.polls_discovery { Delivery::OnRequest } else { Delivery::Pushed };
        let discovery = match operator.relays.take() {
            Some(relays) => {
                let regions = relays.regions.into_iter().map(|region| (region.name, region.addresses));
                Discovery::by_regions(regions, &relays.subscription, seed)
            }
            None => Discovery::new(discovery, delivery),
        };
        let file = operator.inventory.take();
        ServerList { discovery: Rc::new(discovery), from_file: file.is_some(), file, adopted: Rc::default() }
    }

    /// What SIGHUP moves.
    pub fn discovery(&self) -> &Rc<Discovery> {
        &self.discovery
    }

    /// Follows the list from now on. Where there is a file it alone counts: what discovery knew before, or would
    /// tell now, could contradict it.
    pub fn follow(&mut self, events: &Rc<EventQueue>, seed: u64) {
        match self.file.take() {
            Some(file) => spawn_local(file.follow(events.clone(), self.adopted.clone())),
            None => spawn_local(self.discovery.clone().watch(events.clone(), seed)),
        };
    }

    /// Waits for the first list, or until it is gone on without it.
    pub async fn first(&self, events: &EventQueue, known: Option<Update>) {
        if self.from_file {
            self.adopted.notified().await;
        } else if timeout(FIRST_LIST, self.discovery.heard()).await.is_err() {
            self.go_on_without(events, known);
        }
    }

    /// Not all lists came in time. Until here no server was known, so whoever came all the same was refused at once.
    fn go_on_without(&self, events: &EventQueue, known: Option<Update>) {
        let list = &self.discovery;
        if list.has_list() {
            let missing = list.upstreams().filter(|upstream| upstream.revision().is_none());
            missing.for_each(|upstream| upstream.log("no list came: going on without it"));
            return;
        }
        match known.filter(|_| list.trusts_known_list()) {
            Some(known) => {
                log("discovery", "no list came: going by the one in the configuration");
                let servers = known.instances.iter().map(listed).collect();
                events.push(HostEvent::EndpointUpdate { whole: true, endpoints: servers, version: None });
            }
            None => log("discovery", "no list came: all is refused until one does"),
        }
    }
}
