//! The HTTP/1.1 listener: accepts connections, bounds what each may take, reads requests and writes replies.
//!
//! Malformed requests are answered here and reach neither the decisions nor a server.

mod body;
mod check_request;
mod connection;
mod exchange;
mod head;
mod rejection;
mod reply;
mod request;

use super::accept::{accept, ACCEPT_PAUSE};
use super::admission::Admission;
use crate::upstream::socket::Socket;
use connection::Connection;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::timeout;

/// While connections that brought no request take less than one in so many places, one that did gives way before
/// they are let go for their silence.
const SILENT_SHARE_DIVISOR: usize = 4;

/// The running HTTP/1.1 listener.
pub struct HttpServer {
    admission: Rc<Admission>,
    /// The most connections; the one that is idle longest gives way to a new one.
    max_connections: usize,
    ready: Cell<bool>,
    draining: Cell<bool>,
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    next_connection: Cell<u64>,
    /// Notified when a connection has closed.
    closed: Notify,
}

impl HttpServer {
    /// A listener of at most `max_connections`, not ready yet.
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

    /// From now on `GET /up` is answered 200.
    pub fn set_ready(&self) {
        self.ready.set(true);
    }

    /// Accepts connections for as long as it is polled.
    pub async fn accept(self: &Rc<Self>, listener: TcpListener) {
        let full = || {
            let full = self.connections.borrow().len() >= self.max_connections;
            if full {
                self.close_idlest();
            }
            full
        };
        // A connection counts from here on: many may be accepted before the task of the first one runs.
        let take = |stream| {
            let socket = Socket::new(stream);
            let number = self.next_connection.replace(self.next_connection.get() + 1);
            let connection = Connection::new(socket.clone());
            self.connections.borrow_mut().insert(number, connection.clone());
            let server = self.clone();
            tokio::task::spawn_local(async move {
                server.serve_connection(&socket, &connection).await;
                server.connections.borrow_mut().remove(&number);
                server.closed.notify_one();
            });
        };
        accept(listener, "clients", &self.closed, full, take).await;
    }

    /// Begins the graceful shutdown: replies carry `Connection: close`, idle connections are closed.
    pub fn drain(&self) {
        self.draining.set(true);
        // On a connection without a request so far, the first one is most likely on its way; on one with a partial
        // request, the rest is.
        let connections = self.connections.borrow();
        for connection in connections.values().filter(|c| c.used.get() && !c.has_partial_request()) {
            connection.close.notify_one();
        }
    }

    /// Closes connections as they become idle, until none is left. A partial request has its time to come whole, and
    /// a last reply the time to be read.
    pub async fn all_closed(&self) {
        while !self.connections.borrow().is_empty() {
            for connection in self.connections.borrow().values().filter(|c| c.may_close()) {
                connection.close.notify_one();
            }
            let _ = timeout(ACCEPT_PAUSE, self.closed.notified()).await;
        }
    }

    fn close_idlest(&self) {
        let connections = self.connections.borrow();
        let ranked = connections.values().filter_map(|c| Some((c.close_rank()?, c)));
        let Some((rank, idlest)) = ranked.min_by_key(|(rank, _)| *rank) else { return };
        let silent = connections.values().filter(|c| c.is_silent()).count();
        // Silent connections are let go in a moment: many of them push out nobody who brought a request.
        if rank.used && silent * SILENT_SHARE_DIVISOR >= self.max_connections {
            return;
        }
        idlest.request_close();
    }
}
