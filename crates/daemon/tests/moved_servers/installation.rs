//! A limiter between stand-ins, which gets its list of servers from any of the sources.

use crate::common::relays::proxy::WatchProxy;
use crate::common::relays::relay::Relay;
use crate::common::relays::server;
use crate::common::relays::service_discovery::ServiceDiscovery;
use crate::common::*;
use liftrouter_catalog::{Instance, Lifecycle, Update};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const FIRST_REVISION: u64 = 10;
/// Servers take less than this at once from a limiter that does not know them.
const BURST_REQUESTS: usize = 16;
/// Long enough for the requests of a burst to be open together.
const SERVICE_TIME: Duration = Duration::from_millis(20);
const EMPTY_LINE: &str = "1\r\n\n\r\n";
/// Heartbeats carry digests at times, so that these come often.
const FAST_HEARTBEAT: Duration = Duration::from_millis(100);

/// The answer of the server with this name, after its service time.
pub fn served(name: &str) -> Reply {
    Reply::Pieces(vec![(SERVICE_TIME, raw("200 OK", "", name))])
}

/// A server that answers with its name.
pub fn serving(name: &'static str) -> Fake {
    Fake::new(move |_| served(name))
}

/// What tells the limiter of its servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Source {
    Inventory,
    Pushed,
    OnRequest,
    /// Relays, whose changes come as deltas.
    Relays,
    /// Relays; the delta is lost, and a digest shows it.
    RelayDigests,
    /// Relays of two regions, which list a server in turn.
    Regions,
}

pub const SOURCES: [Source; 6] = [
    Source::Inventory,
    Source::Pushed,
    Source::OnRequest,
    Source::Relays,
    Source::RelayDigests,
    Source::Regions,
];

pub fn at(id: &str, server_at: SocketAddr, zone: &str, cell: i64) -> Instance {
    Instance { zone: zone.into(), cell: Some(cell), ..server(id, "", server_at) }
}

fn json_of(instances: &[Instance]) -> Vec<Value> {
    instances.iter().map(|instance| serde_json::to_value(instance).expect("JSON")).collect()
}

fn csv(version: u64, instances: &[Instance]) -> String {
    let row = |instance: &Instance| {
        let Instance { instance_id, host_port, zone, cell, lifecycle, .. } = instance;
        let cell = cell.map(|cell| cell.to_string()).unwrap_or_default();
        let state = if *lifecycle == Lifecycle::InService { "in_service" } else { "terminating" };
        format!("{instance_id},{host_port},{zone},std,{cell},{state},1,\n")
    };
    let rows: String = instances.iter().map(row).collect();
    let count = instances.len();
    format!(
        "# version: {version}\n# count: {count}\nid,address,zone,kind,cell,state,weight,started_ms\n{rows}"
    )
}

/// How a test changes the list of a limiter.
enum List {
    Inventory { file: PathBuf, version: u64 },
    Watch { discovery: Fake, revision: u64 },
    Relays { discovery: ServiceDiscovery, _relay: Relay },
    Regions { near: ServiceDiscovery, far: ServiceDiscovery, _relays: [Relay; 2] },
}

/// A limiter and the source that it follows.
pub struct Installation {
    pub limiter: Limiter,
    list: List,
    /// The servers as they are listed at present.
    listed: Vec<Instance>,
}

impl Installation {
    pub fn start(source: Source, settings: Value, servers: &[Instance]) -> Installation {
        let (limiter, list) = match source {
            Source::Inventory => Self::with_inventory(settings, servers),
            Source::Pushed => Self::with_watch(settings, servers),
            Source::OnRequest => {
                let mut settings = settings;
                settings["discovery"] = json!("on_request");
                settings["invariants"]["must-ask-in-s"] = json!(10.0);
                Self::with_watch(settings, servers)
            }
            Source::Relays => Self::with_relay(settings, servers, false),
            Source::RelayDigests => Self::with_relay(settings, servers, true),
            Source::Regions => Self::with_regions(settings, servers),
        };
        wait_until("the limiter is up", || limiter.up());
        Installation { limiter, list, listed: servers.to_vec() }
    }

    fn with_inventory(settings: Value, servers: &[Instance]) -> (Limiter, List) {
        let file = temp_file("").with_extension("csv");
        rename_over(&file, &csv(1, servers));
        let operator = temp_file(&format!("[inventory]\ncsv = '{}'\n", file.display()));
        // Nothing listens at the discovery address.
        let limiter = Limiter::with_operator(&operator, settings, ([127, 0, 0, 1], 9).into());
        (limiter, List::Inventory { file, version: 1 })
    }

    fn with_watch(settings: Value, servers: &[Instance]) -> (Limiter, List) {
        let discovery = discovery(json_of(servers));
        let limiter = Limiter::start(settings, &discovery, counter().address);
        (limiter, List::Watch { discovery, revision: FIRST_REVISION })
    }

    /// With a relay whose watch loses the delta of the next change if `loses_delta` is set.
    fn with_relay(settings: Value, servers: &[Instance], loses_delta: bool) -> (Limiter, List) {
        let discovery = ServiceDiscovery::with_heartbeat(FAST_HEARTBEAT, servers);
        let relay = Relay::root(&discovery);
        let (first_change, is_lost) = (discovery.revision() + 1, AtomicBool::new(!loses_delta));
        let proxy = WatchProxy::with_filter(relay.address, move |update: Option<&Update>| {
            let is_change =
                update.is_some_and(|update| update.revision == first_change && !update.instances.is_empty());
            !is_change || is_lost.swap(true, Ordering::SeqCst)
        });
        let text = format!("[relays]\naddresses = ['{}']\n", proxy.address);
        let limiter = Limiter::with_operator(&temp_file(&text), settings, ([127, 0, 0, 1], 9).into());
        (limiter, List::Relays { discovery, _relay: relay })
    }

    /// With a near region that lists all servers, and a far one that lists none yet.
    fn with_regions(settings: Value, servers: &[Instance]) -> (Limiter, List) {
        let near = ServiceDiscovery::with_heartbeat(FAST_HEARTBEAT, servers);
        let far = ServiceDiscovery::with_heartbeat(FAST_HEARTBEAT, &[]);
        let relays = [Relay::root(&near), Relay::root(&far)];
        let region = |name: &str, relay: &Relay| {
            format!("[[relays.region]]\nname = '{name}'\naddresses = ['{}']\n", relay.address)
        };
        let text = region("near", &relays[0]) + &region("far", &relays[1]);
        let limiter = Limiter::with_operator(&temp_file(&text), settings, ([127, 0, 0, 1], 9).into());
        (limiter, List::Regions { near, far, _relays: relays })
    }

    /// Changes servers in the list, or adds them to it.
    pub fn publish(&mut self, changed: &[Instance]) {
        for instance in changed {
            self.listed.retain(|listed| listed.instance_id != instance.instance_id);
            self.listed.push(instance.clone());
        }
        match &mut self.list {
            List::Inventory { file, version } => {
                *version += 1;
                rename_over(file, &csv(*version, &self.listed));
            }
            List::Watch { discovery, revision } => {
                *revision += 1;
                discovery.push(&chunk(&update(*revision, false, &json_of(changed))));
            }
            List::Relays { discovery, .. } => {
                discovery.put_all(changed.to_vec());
            }
            List::Regions { near, far, .. } => {
                // The far region lists the servers, and the near one, which takes precedence, gives them up.
                far.put_all(changed.to_vec());
                near.put_all(changed.iter().map(Instance::terminated));
            }
        }
    }

    /// Publishes a change together with a new server, and returns once that one is in use, and so the change is.
    pub fn publish_and_wait(&mut self, changed: &[Instance]) {
        let marker = serving("marker");
        let listed = at("s-marker", marker.address, "room-z", 99);
        self.publish(&[changed, &[listed]].concat());
        wait_until("the change is in use", || {
            self.ask_all_servers();
            marker.count() > 0
        });
    }

    /// Sends so many requests at once that each server in service gets some, and returns their ids and connections.
    pub fn burst(&self, text: impl Fn() -> String) -> Vec<(String, Client)> {
        self.beat();
        let send = |_| {
            let (text, mut client) = (text(), self.limiter.client());
            client.send(&text);
            (correlation_id(&text).to_string(), client)
        };
        (0..BURST_REQUESTS).map(send).collect()
    }

    /// Sends requests to all servers that are in service, and waits for the answers.
    pub fn ask_all_servers(&self) {
        for (_, mut client) in self.burst(|| quote("roomy", 300)) {
            client.answer().expect("an answer");
        }
    }

    /// Keeps a list on request from expiring.
    fn beat(&self) {
        if let List::Watch { discovery, .. } = &self.list {
            discovery.push(EMPTY_LINE);
        }
    }
}
