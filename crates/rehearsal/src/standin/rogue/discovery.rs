//! What the rogue observes of discovery: the servers, and the revisions of their list.

use super::http::call;
use serde_json::Value;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// How often the list is read, and the longest that reading takes.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// The request that reads it.
const LIST_REQUEST: &[u8] = b"GET /discovery/hosts HTTP/1.1\r\nhost: list\r\n\r\n";
/// A server that has started cold counts as cold for so long, for which its budget is.
const COLD_START: Duration = Duration::from_secs(2);
/// After this it counts as warm.
const WARM_AFTER: Duration = Duration::from_secs(10);

/// A server as the list has it.
#[derive(Clone, Debug)]
struct Server {
    id: String,
    address: SocketAddr,
    /// When it was first observed to drain.
    draining_since: Option<Instant>,
    /// When it was first observed to have started cold.
    cold_since: Option<Instant>,
}

/// A revision of the list, and when it was first observed.
#[derive(Clone, Copy, Debug)]
struct Revision {
    number: u64,
    observed: Instant,
}

/// A server that serves, and another; the same one twice where there is no other.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerPair {
    pub first: SocketAddr,
    pub second: SocketAddr,
}

/// A server that drains.
#[derive(Clone, Copy, Debug)]
pub(super) struct DrainingServer {
    pub address: SocketAddr,
    pub elapsed: Duration,
}

/// A server that has just started.
#[derive(Clone, Debug)]
pub(super) struct ColdServer {
    pub id: String,
    pub address: SocketAddr,
    pub since: Instant,
}

/// A revision that another one has replaced.
#[derive(Clone, Copy, Debug)]
pub(super) struct StaleRevision {
    pub number: u64,
    /// How long ago the newer one was observed.
    pub elapsed: Duration,
}

/// The observed state of discovery.
pub(super) struct Discovery {
    address: SocketAddr,
    servers: RefCell<Vec<Server>>,
    revisions: RefCell<Vec<Revision>>,
}

impl Discovery {
    /// Nothing is observed before [`Discovery::poll`] runs.
    pub fn new(address: SocketAddr) -> Discovery {
        Discovery { address, servers: RefCell::default(), revisions: RefCell::default() }
    }

    /// Reads the list again and again.
    pub async fn poll(&self) {
        loop {
            let answer = timeout(POLL_TIMEOUT, call(self.address, LIST_REQUEST)).await.ok().flatten();
            if let Some(list) = answer.and_then(|a| serde_json::from_slice::<Value>(&a.body).ok()) {
                self.observe_servers(list["instances"].as_array().map(Vec::as_slice).unwrap_or_default());
                self.observe_revision(list["generation"].as_u64());
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn observe_revision(&self, number: Option<u64>) {
        let mut revisions = self.revisions.borrow_mut();
        let known = revisions.last().map(|last| last.number);
        if let Some(number) = number.filter(|number| known != Some(*number)) {
            revisions.push(Revision { number, observed: Instant::now() });
        }
    }

    fn observe_servers(&self, instances: &[Value]) {
        let mut servers = self.servers.borrow_mut();
        let before = std::mem::take(&mut *servers);
        servers.extend(instances.iter().filter_map(|instance| Server::read(instance, &before)));
    }

    /// Two servers that are warm and serve, the first of them drawn.
    pub fn server_pair(&self, rng: &mut fastrand::Rng) -> Option<ServerPair> {
        let servers = self.servers.borrow();
        let serving: Vec<_> = servers.iter().filter(|server| server.is_warm()).map(|s| s.address).collect();
        let n = rng.usize(0..serving.len().max(1));
        Some(ServerPair { first: *serving.get(n)?, second: *serving.get((n + 1) % serving.len())? })
    }

    /// The first server of the list that drains.
    pub fn draining_server(&self) -> Option<DrainingServer> {
        let draining =
            |s: &Server| Some(DrainingServer { address: s.address, elapsed: s.draining_since?.elapsed() });
        self.servers.borrow().iter().find_map(draining)
    }

    /// The first server of the list that has just started cold.
    pub fn cold_server(&self) -> Option<ColdServer> {
        let cold = |s: &Server| {
            let since = s.cold_since.filter(|at| s.draining_since.is_none() && at.elapsed() < COLD_START)?;
            Some(ColdServer { id: s.id.clone(), address: s.address, since })
        };
        self.servers.borrow().iter().find_map(cold)
    }

    /// The revision before the present one.
    pub fn stale_revision(&self) -> Option<StaleRevision> {
        match self.revisions.borrow().as_slice() {
            [.., old, new] => Some(StaleRevision { number: old.number, elapsed: new.observed.elapsed() }),
            _ => None,
        }
    }
}

impl Server {
    /// Reads an entry of the list; since when it drains or is cold is taken from what was known of it.
    fn read(instance: &Value, known: &[Server]) -> Option<Server> {
        let id = instance["instanceId"].as_str()?;
        let address = instance["hostPort"].as_str()?.parse::<SocketAddr>().ok()?;
        let known = known.iter().find(|server| server.id == id && server.address == address);
        let now = Instant::now();
        let since = |is: bool, known: Option<Instant>| is.then(|| known.unwrap_or(now));
        let draining = instance["lifecycle"] != "in_service";
        let cold = instance["startedAtMs"].as_u64() > Some(0);
        Some(Server {
            id: id.into(),
            address,
            draining_since: since(draining, known.and_then(|server| server.draining_since)),
            cold_since: since(cold, known.and_then(|server| server.cold_since)),
        })
    }

    fn is_warm(&self) -> bool {
        self.draining_since.is_none() && self.cold_since.is_none_or(|at| at.elapsed() > WARM_AFTER)
    }
}
