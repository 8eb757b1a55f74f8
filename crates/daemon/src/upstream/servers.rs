//! The servers: where each listens, and the idle connections to it.

use super::connection::HttpConnection;
use liftrouter_decision::{EndpointId, EndpointState, Settings};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// An idle connection is closed after this share of the time after which the server closes it. A request that crosses
/// the server's close would end as a reset, and nobody would know whether it ran.
const IDLE_TIMEOUT_RATIO: f64 = 0.5;
/// Seconds after which a server closes an idle connection, where the settings do not say.
const DEFAULT_IDLE_TIMEOUT: f64 = 10.0;
/// Seconds that a connect may take, where the settings do not say.
const DEFAULT_CONNECT_TIMEOUT: f64 = 0.25;
/// Time between two rounds that close idle connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What the pool knows of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerStatus {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it takes new work.
    pub state: EndpointState,
}

struct Server {
    status: ServerStatus,
    /// Idle connections, the most recently used last.
    idle: Vec<HttpConnection>,
}

/// All servers, with a pool of connections to each and one budget of sockets.
pub struct Servers {
    table: RefCell<HashMap<EndpointId, Server>>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    open_sockets: Rc<Cell<usize>>,
    socket_budget: usize,
    /// The most units that a request can use.
    pub(super) max_units: f64,
}

impl Servers {
    /// A pool without servers that opens at most `socket_budget` sockets.
    pub fn new(settings: &Settings, socket_budget: usize) -> Self {
        let or = |value: f64, default| if value > 0.0 && value.is_finite() { value } else { default };
        let server_idle_timeout_s = or(settings.idle_timeout_s, DEFAULT_IDLE_TIMEOUT);
        let connect_timeout_s = or(settings.connect_timeout_s, DEFAULT_CONNECT_TIMEOUT);
        Servers {
            table: RefCell::default(),
            connect_timeout: Duration::from_secs_f64(connect_timeout_s),
            idle_timeout: Duration::from_secs_f64(IDLE_TIMEOUT_RATIO * server_idle_timeout_s),
            open_sockets: Rc::default(),
            socket_budget,
            max_units: or(settings.max_request_units, f64::MAX),
        }
    }

    /// Sets the state and address of a server. Idle connections to another address, or to a server that takes no new
    /// work, are closed.
    pub fn set_status(&self, id: &EndpointId, status: ServerStatus) {
        if status.state == EndpointState::Removed {
            return self.remove(id);
        }
        let mut table = self.table.borrow_mut();
        match table.get_mut(id) {
            Some(server) => {
                if server.status.address != status.address || status.state != EndpointState::InService {
                    server.idle.clear();
                }
                server.status = status;
            }
            None => {
                table.insert(id.clone(), Server { status, idle: Vec::new() });
            }
        }
    }

    /// Removes a server and closes the idle connections to it.
    pub fn remove(&self, id: &EndpointId) {
        self.table.borrow_mut().remove(id);
    }

    /// All servers, with where each listens and whether it takes new work.
    pub fn statuses(&self) -> Vec<(EndpointId, ServerStatus)> {
        self.table.borrow().iter().map(|(id, server)| (id.clone(), server.status)).collect()
    }

    /// The ids of all servers.
    pub fn ids(&self) -> Vec<EndpointId> {
        self.table.borrow().keys().cloned().collect()
    }

    /// Where a server listens, if it takes new work.
    pub fn address(&self, id: &EndpointId) -> Option<SocketAddr> {
        let table = self.table.borrow();
        let server = table.get(id).filter(|server| server.status.state == EndpointState::InService);
        server.map(|server| server.status.address)
    }

    /// Takes the idle connection that was used last, past those that have not rested or are no longer usable.
    pub(super) fn take_idle(&self, id: &EndpointId) -> Option<HttpConnection> {
        let mut table = self.table.borrow_mut();
        let idle = &mut table.get_mut(id)?.idle;
        let last_rested =
            || idle.iter().rposition(HttpConnection::is_past_reuse_delay).map(|index| idle.remove(index));
        std::iter::from_fn(last_rested)
            .find(|connection| connection.is_usable() && connection.last_used.elapsed() < self.idle_timeout)
    }

    /// Keeps a connection once it is ready for the next request, if its server still takes work at that address.
    pub(super) async fn keep(&self, id: &EndpointId, address: SocketAddr, mut connection: HttpConnection) {
        if !connection.wait_until_ready().await {
            return;
        }
        if let Some(server) = self.table.borrow_mut().get_mut(id) {
            if server.status.address == address && server.status.state == EndpointState::InService {
                server.idle.push(connection);
            }
        }
    }

    /// Makes room for one more socket by closing the connection that was idle longest; `false` if there is none.
    pub(super) fn reserve_socket(&self) -> bool {
        if self.open_sockets.get() < self.socket_budget {
            return true;
        }
        let mut table = self.table.borrow_mut();
        let with_idle = table.values_mut().filter(|server| !server.idle.is_empty());
        let oldest = with_idle.min_by_key(|server| server.idle[0].last_used);
        oldest.map(|server| server.idle.remove(0)).is_some()
    }

    /// Opens a connection; none if that fails or takes too long.
    pub(super) async fn connect(&self, address: SocketAddr) -> Option<HttpConnection> {
        let connecting = HttpConnection::connect(address, &self.open_sockets);
        timeout(self.connect_timeout, connecting).await.ok()?.ok()
    }

    /// Closes connections that were idle too long or that the server has closed, for as long as it is polled.
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
