//! The gRPC listener: serves external authorization, health checks and reflection over HTTP/2.
//!
//! hyper serves the connections with a single-threaded executor, and prost decodes the messages. Everything stays on
//! one thread, so calls use the same admission, with the same types, as HTTP/1.1 requests.

mod authorization;
mod call;
mod connection;
mod context;
mod health;
mod reflection;
mod reply;
mod serve;
mod unary;

use super::accept::{accept, accept_queued, ACCEPT_PAUSE};
use super::admission::Admission;
use connection::Connection;
use context::CallContext;
pub use context::Limits;
use liftrouter_authz::Mapping;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, Hasher};
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::timeout;

/// The running gRPC listener.
pub struct GrpcServer {
    context: Rc<CallContext>,
    draining: Cell<bool>,
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    next_connection: Cell<u64>,
    /// Notified when a connection has closed.
    closed: Notify,
}

/// Generates a random name for this limiter, unique among all limiters with high probability.
pub fn instance_name() -> String {
    format!("{:016x}", RandomState::new().build_hasher().finish())
}

impl GrpcServer {
    /// Creates a listener that is not ready yet. `instance_name` identifies this limiter in its calls to authorizers.
    pub fn new(
        admission: Rc<Admission>,
        limits: Limits,
        mapping: Mapping,
        instance_name: String,
    ) -> Rc<Self> {
        let serving = watch::Sender::new(false);
        Rc::new(GrpcServer {
            context: Rc::new(CallContext { admission, limits, mapping, instance_name, serving }),
            draining: Cell::new(false),
            connections: RefCell::default(),
            next_connection: Cell::new(0),
            closed: Notify::new(),
        })
    }

    /// Makes health checks return `SERVING`, unless the shutdown has begun.
    pub fn set_ready(&self) {
        if !self.draining.get() {
            self.context.serving.send_replace(true);
        }
    }

    /// Accepts connections until the future is dropped.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        let is_full = || {
            let is_full = self.connections.borrow().len() >= self.context.limits.max_connections;
            if is_full {
                self.close_longest_idle();
            }
            is_full
        };
        accept(listener, "grpc", &self.closed, is_full, |stream| self.start_connection(stream)).await;
    }

    /// Accepts the connections that wait in the kernel's queue while none is open. Returns whether there were any.
    pub fn accept_queued(self: &Rc<Self>, listener: &TcpListener) -> bool {
        accept_queued(listener, self.context.limits.max_connections, |stream| self.start_connection(stream))
    }

    /// Serves a connection in a task of its own.
    fn start_connection(self: &Rc<Self>, stream: TcpStream) {
        let number = self.next_connection.replace(self.next_connection.get() + 1);
        let connection = Connection::new(self.draining.get());
        self.connections.borrow_mut().insert(number, connection.clone());
        let server = self.clone();
        tokio::task::spawn_local(async move {
            serve::serve(&server.context, &connection, stream).await;
            server.connections.borrow_mut().remove(&number);
            server.closed.notify_one();
        });
    }

    /// Begins the graceful shutdown: health checks return `NOT_SERVING`, and every connection is closed with GOAWAY.
    /// Calls that may already be on their way are still served.
    pub fn drain(&self) {
        self.draining.set(true);
        self.context.serving.send_replace(false);
        for connection in self.connections.borrow().values() {
            connection.go_away();
        }
    }

    /// Waits until no connection is left.
    pub async fn all_closed(&self) {
        while !self.connections.borrow().is_empty() {
            let _ = timeout(ACCEPT_PAUSE, self.closed.notified()).await;
        }
    }

    fn close_longest_idle(&self) {
        let connections = self.connections.borrow();
        let idle = connections.values().filter_map(|connection| Some((connection.idle_since()?, connection)));
        if let Some((_, longest_idle)) = idle.min_by_key(|(since, _)| *since) {
            longest_idle.go_away();
        }
    }
}
