//! The gRPC listener: answers external authorisation, health checks and reflection over HTTP/2.
//!
//! hyper serves the connections with an executor of this thread, and prost reads the messages: nothing leaves the
//! thread, so calls pass the same admission as HTTP/1.1 requests, with the same types.

mod authorization;
mod call;
mod connection;
mod context;
mod health;
mod reflection;
mod reply;
mod serve;
mod unary;

use super::accept::{accept, ACCEPT_PAUSE};
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
use tokio::net::TcpListener;
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

/// A random name, most likely unique among limiters.
pub fn instance_name() -> String {
    format!("{:016x}", RandomState::new().build_hasher().finish())
}

impl GrpcServer {
    /// A listener that does not serve calls yet. `instance_name` is the name that this limiter gives itself when it
    /// asks an authoriser.
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

    /// From now on health checks are answered SERVING.
    pub fn set_ready(&self) {
        if !self.draining.get() {
            self.context.serving.send_replace(true);
        }
    }

    /// Accepts connections for as long as it is polled.
    pub async fn accept(self: &Rc<Self>, listener: TcpListener) {
        let full = || {
            let full = self.connections.borrow().len() >= self.context.limits.max_connections;
            if full {
                self.close_idlest();
            }
            full
        };
        let take = |stream| {
            let number = self.next_connection.replace(self.next_connection.get() + 1);
            let connection = Connection::new(self.draining.get());
            self.connections.borrow_mut().insert(number, connection.clone());
            let server = self.clone();
            tokio::task::spawn_local(async move {
                serve::serve(&server.context, &connection, stream).await;
                server.connections.borrow_mut().remove(&number);
                server.closed.notify_one();
            });
        };
        accept(listener, "grpc", &self.closed, full, take).await;
    }

    /// Begins the graceful shutdown: health checks say so, and every connection is closed with GOAWAY once the calls
    /// that may be on their way have come.
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

    fn close_idlest(&self) {
        let connections = self.connections.borrow();
        let idle = connections.values().filter_map(|connection| Some((connection.idle_since()?, connection)));
        if let Some((_, idlest)) = idle.min_by_key(|(since, _)| *since) {
            idlest.go_away();
        }
    }
}
