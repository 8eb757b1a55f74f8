//! The table of servers, with the address, the state and the idle connections of each.

#[cfg(test)]
mod tests;

use super::connection::HttpConnection;
use super::connection_counts::ConnectionCounts;
use crate::memory::MemoryBudget;
use liftrouter_decision::{EndpointId, EndpointState, Settings};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// An idle connection is closed after this fraction of the server's own idle timeout. If the server closed it just as a
/// request is sent, the request would end in a reset, and whether it ran would be unknown.
const IDLE_TIMEOUT_RATIO: f64 = 0.5;
/// Seconds after which a server closes an idle connection, unless the settings say otherwise.
const DEFAULT_IDLE_TIMEOUT_S: f64 = 10.0;
/// Connect timeout in seconds, unless the settings say otherwise.
const DEFAULT_CONNECT_TIMEOUT_S: f64 = 0.25;
/// Interval at which idle connections are checked.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The address and state of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerStatus {
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// The state, which decides whether the server accepts new requests.
    pub state: EndpointState,
    /// When the server last started; `None` if that is not known, or long ago.
    pub started_at: Option<f64>,
}

/// Identifies one process of a server: a restart, a new address, or another entry after a removal makes another of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerProcess {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// No two processes in the table have had the same number.
    incarnation: u64,
}

struct Server {
    status: ServerStatus,
    incarnation: u64,
    /// Idle connections, the most recently used last.
    idle: Vec<HttpConnection>,
}

/// All servers, with a connection pool for each and a limit on the sockets of all together.
pub struct Servers {
    table: RefCell<HashMap<EndpointId, Server>>,
    last_incarnation: Cell<u64>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    connections: Rc<ConnectionCounts>,
    max_sockets: usize,
    pub(super) memory: Arc<MemoryBudget>,
    /// Maximum number of units that a request can use.
    pub(super) max_units: f64,
}

impl Server {
    fn process(&self) -> ServerProcess {
        ServerProcess { address: self.status.address, incarnation: self.incarnation }
    }

    /// Whether this status is that of another process.
    fn is_replaced_by(&self, status: ServerStatus) -> bool {
        // A start time that is not given any more is long ago; the process is the same.
        let has_restarted = status.started_at.is_some() && status.started_at != self.status.started_at;
        has_restarted || status.address != self.status.address
    }
}

impl Servers {
    /// Creates an empty table that opens at most `max_sockets` sockets and charges response bodies to `memory`.
    pub fn new(settings: &Settings, max_sockets: usize, memory: Arc<MemoryBudget>) -> Self {
        let or = |value: f64, default| if value > 0.0 && value.is_finite() { value } else { default };
        let server_idle_timeout_s = or(settings.idle_timeout_s, DEFAULT_IDLE_TIMEOUT_S);
        let connect_timeout_s = or(settings.connect_timeout_s, DEFAULT_CONNECT_TIMEOUT_S);
        Servers {
            table: RefCell::default(),
            last_incarnation: Cell::new(0),
            connect_timeout: Duration::from_secs_f64(connect_timeout_s),
            idle_timeout: Duration::from_secs_f64(IDLE_TIMEOUT_RATIO * server_idle_timeout_s),
            connections: ConnectionCounts::new("servers"),
            max_sockets,
            memory,
            max_units: or(settings.max_request_units, f64::MAX),
        }
    }

    /// Adds, updates or removes a server. Closes its idle connections if it is another process now, or if it accepts no
    /// new requests: a connection to a process that has gone may stay open, and lead nowhere or to the wrong place.
    pub fn set_status(&self, id: &EndpointId, status: ServerStatus) {
        if status.state == EndpointState::Removed {
            return self.remove(id);
        }
        let mut table = self.table.borrow_mut();
        let Some(server) = table.get_mut(id) else {
            let incarnation = self.next_incarnation();
            table.insert(id.clone(), Server { status, incarnation, idle: Vec::new() });
            return;
        };
        let is_replaced = server.is_replaced_by(status);
        if is_replaced {
            server.incarnation = self.next_incarnation();
        }
        if is_replaced || status.state != EndpointState::InService {
            server.idle.clear();
        }
        server.status = ServerStatus { started_at: status.started_at.or(server.status.started_at), ..status };
    }

    fn next_incarnation(&self) -> u64 {
        self.last_incarnation.set(self.last_incarnation.get() + 1);
        self.last_incarnation.get()
    }

    /// Removes a server and closes the idle connections to it.
    pub fn remove(&self, id: &EndpointId) {
        self.table.borrow_mut().remove(id);
    }

    /// The ids of all servers, with the address and state of each.
    pub fn statuses(&self) -> Vec<(EndpointId, ServerStatus)> {
        self.table.borrow().iter().map(|(id, server)| (id.clone(), server.status)).collect()
    }

    /// The ids of all servers.
    pub fn ids(&self) -> Vec<EndpointId> {
        self.table.borrow().keys().cloned().collect()
    }

    /// The present process of a server, if it accepts new requests.
    pub fn process(&self, id: &EndpointId) -> Option<ServerProcess> {
        let table = self.table.borrow();
        let server = table.get(id).filter(|server| server.status.state == EndpointState::InService);
        server.map(Server::process)
    }

    /// Takes the most recently used idle connection that is usable and past its reuse delay. Unusable connections that
    /// are found on the way are closed.
    pub(super) fn take_idle(&self, id: &EndpointId) -> Option<HttpConnection> {
        let mut table = self.table.borrow_mut();
        let idle = &mut table.get_mut(id)?.idle;
        let last_reusable =
            || idle.iter().rposition(HttpConnection::is_past_reuse_delay).map(|index| idle.remove(index));
        std::iter::from_fn(last_reusable)
            .find(|connection| connection.is_usable() && connection.last_used.elapsed() < self.idle_timeout)
    }

    /// Returns a connection to the pool once it is ready for the next request, if its server still accepts requests and
    /// is the process that it leads to; closes it otherwise.
    pub(super) async fn return_connection(
        &self,
        id: &EndpointId,
        process: ServerProcess,
        mut connection: HttpConnection,
    ) {
        if !connection.wait_until_ready().await {
            return;
        }
        if let Some(server) = self.table.borrow_mut().get_mut(id) {
            if server.process() == process && server.status.state == EndpointState::InService {
                server.idle.push(connection);
            }
        }
    }

    /// Ensures that one more socket may be opened, if necessary by closing the longest idle connection. Returns `false`
    /// if the limit is reached and no connection is idle.
    pub(super) fn reserve_socket(&self) -> bool {
        if self.connections.open() < self.max_sockets {
            return true;
        }
        let mut table = self.table.borrow_mut();
        let with_idle = table.values_mut().filter(|server| !server.idle.is_empty());
        let oldest = with_idle.min_by_key(|server| server.idle[0].last_used);
        oldest.map(|server| server.idle.remove(0)).is_some()
    }

    /// Opens a connection; `None` if that fails or times out.
    pub(super) async fn connect(&self, address: SocketAddr) -> Option<HttpConnection> {
        let connecting = HttpConnection::connect(address, &self.connections);
        timeout(self.connect_timeout, connecting).await.ok()?.ok()
    }

    /// Repeatedly closes connections that have been idle too long or that the server has closed; never returns.
    pub async fn close_idle_connections(&self) {
        loop {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            for server in self.table.borrow_mut().values_mut() {
                server.idle.retain(|connection| {
                    connection.last_used.elapsed() < self.idle_timeout && connection.is_usable()
                });
            }
        }
    }
}
