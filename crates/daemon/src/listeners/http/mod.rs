//! The HTTP/1.1 listener: accepts connections, enforces the limits of each, reads requests and writes replies.
//!
//! Malformed requests are answered here and reach neither the decision module nor a server.

mod check_request;
mod client_io;
mod connection;
mod exchange;
mod framing;
mod head;
mod rejection;
mod reply;
mod request;
mod request_stream;

use super::accept::{accept, accept_queued, ACCEPT_PAUSE};
use super::admission::Admission;
use crate::upstream::socket::Socket;
use connection::Connection;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

/// A connection that has sent a request is closed to make room for a new one only while fewer than
/// `max_connections / UNUSED_CONNECTIONS_DIVISOR` connections have not sent one.
const UNUSED_CONNECTIONS_DIVISOR: usize = 4;

/// The running HTTP/1.1 listener.
pub struct HttpServer {
    admission: Rc<Admission>,
    /// The maximum number of connections. At the limit, an idle connection is closed to make room for a new one.
    max_connections: usize,
    ready: Cell<bool>,
    draining: Cell<bool>,
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    next_connection: Cell<u64>,
    /// Notified when a connection has closed.
    closed: Notify,
}

impl HttpServer {
    /// Creates a listener of at most `max_connections` connections, not ready yet.
    pub fn new(admission: Rc<Admission>, max_connections: usize) -> Rc<Self> {
        Rc::new(HttpServer {
            admission,
            max_connections,
            ready: Cell::new(false),
            draining: Cell::new(false),
            connections: RefCell::default(),
            next_connection: Cell::new(0),
            closed: Notify::new(),
        })
    }

    /// Makes `GET /up` return 200 until the shutdown begins.
    pub fn set_ready(&self) {
        self.ready.set(true);
    }

    /// Accepts connections until the future is dropped.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        let is_full = || {
            let is_full = self.connections.borrow().len() >= self.max_connections;
            if is_full {
                self.close_longest_idle();
            }
            is_full
        };
        accept(listener, "clients", &self.closed, is_full, |stream| self.start_connection(stream)).await;
    }

    /// Accepts the connections that wait in the kernel's queue while none is open. Returns whether there were any.
    pub fn accept_queued(self: &Rc<Self>, listener: &TcpListener) -> bool {
        accept_queued(listener, self.max_connections, |stream| self.start_connection(stream))
    }

    /// Serves a connection in a task of its own. The connection is registered here rather than in its task, so that the
    /// limit counts it at once: many may be accepted before the first task runs.
    fn start_connection(self: &Rc<Self>, stream: TcpStream) {
        let socket = Socket::new(stream);
        let number = self.next_connection.replace(self.next_connection.get() + 1);
        let connection = Connection::new(socket.clone(), self.admission.memory().clone());
        self.connections.borrow_mut().insert(number, connection.clone());
        let server = self.clone();
        tokio::task::spawn_local(async move {
            server.serve_connection(&socket, &connection).await;
            server.connections.borrow_mut().remove(&number);
            server.closed.notify_one();
        });
    }

    /// Begins the graceful shutdown: replies carry `Connection: close`, idle connections are closed.
    pub fn drain(&self) {
        self.draining.set(true);
        // Connections that have not sent a request stay open, since their first one is most likely on its way. So do
        // those with a partial request, whose rest is still arriving.
        let connections = self.connections.borrow();
        for connection in connections.values().filter(|c| c.used.get() && !c.has_partial_request()) {
            connection.close.notify_one();
        }
    }

    /// Closes connections as they become idle, and returns once none is left. A partial request may still arrive
    /// within its timeout, and the client may still read a last reply.
    pub async fn all_closed(&self) {
        while !self.connections.borrow().is_empty() {
            for connection in self.connections.borrow().values().filter(|c| c.may_close()) {
                connection.close.notify_one();
            }
            let _ = timeout(ACCEPT_PAUSE, self.closed.notified()).await;
        }
    }

    fn close_longest_idle(&self) {
        let connections = self.connections.borrow();
        let ranked = connections.values().filter_map(|c| Some((c.close_rank()?, c)));
        let Some((rank, longest_idle)) = ranked.min_by_key(|(rank, _)| *rank) else { return };
        let unused = connections.values().filter(|c| c.is_unused()).count();
        // Unused connections can be closed moments later: a burst of them must not push out clients that have sent
        // requests.
        if rank.used && unused * UNUSED_CONNECTIONS_DIVISOR >= self.max_connections {
            return;
        }
        longest_idle.request_close();
    }
}
