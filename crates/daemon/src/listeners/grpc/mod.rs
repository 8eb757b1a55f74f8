//! The gRPC front: answers external authorisation, health checks and reflection over HTTP/2.
//!
//! hyper serves the connections with an executor of this thread, and prost reads the messages: nothing leaves
//! the thread, so the front asks through the same gate as the HTTP/1.1 front and by the same types.

mod call;
mod connection;
mod reply;

use super::accept::{accept, ACCEPT_PAUSE};
use super::gate::Gate;
use connection::Connection;
use liftrouter_authz::{FrameLimits, Mapping};
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{watch, Notify};
use tokio::time::timeout;

/// The operator's settings of the front.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    pub listen: SocketAddr,
    /// Streams that a connection may have open at once.
    pub streams: u32,
    pub connections: usize,
    /// Bytes of one message.
    pub message: usize,
    /// Bytes of a header list as RFC 9113 counts them.
    pub header_list: u32,
    /// A connection without a call for so long is sent away, and any that is so old.
    pub idle: Duration,
    pub age: Duration,
    pub frames: FrameLimits,
    /// How long a permitted call counts as out at most.
    pub hold: Option<Duration>,
}

/// A running front.
pub struct Grpc {
    gate: Rc<Gate>,
    limits: Limits,
    mapping: Mapping,
    /// Told to peers that this limiter asks, to know a question of its own.
    name: String,
    /// Whether calls are taken: neither before it is ready nor once it drains.
    serving: watch::Sender<bool>,
    draining: Cell<bool>,
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    next: Cell<u64>,
    closed: Notify,
}

/// A name that no other limiter has, most likely.
pub fn instance_name() -> String {
    format!("{:016x}", RandomState::new().build_hasher().finish())
}

impl Grpc {
    pub fn new(gate: Rc<Gate>, limits: Limits, mapping: Mapping, name: String) -> Rc<Self> {
        Rc::new(Grpc {
            gate,
            limits,
            mapping,
            name,
            serving: watch::Sender::new(false),
            draining: Cell::new(false),
            connections: RefCell::default(),
            next: Cell::new(0),
            closed: Notify::new(),
        })
    }

    /// From now on health checks are answered SERVING.
    pub fn set_ready(&self) {
        if !self.draining.get() {
            self.serving.send_replace(true);
        }
    }

    /// Accepts connections for as long as it is polled.
    pub async fn accept(self: &Rc<Self>, listener: TcpListener) {
        let full = || {
            let full = self.connections.borrow().len() >= self.limits.connections;
            if full {
                self.close_idlest();
            }
            full
        };
        let take = |stream| {
            let number = self.next.replace(self.next.get() + 1);
            let state = Connection::new(self.draining.get());
            self.connections.borrow_mut().insert(number, state.clone());
            let grpc = self.clone();
            tokio::task::spawn_local(async move {
                connection::serve(&grpc, &state, stream).await;
                grpc.connections.borrow_mut().remove(&number);
                grpc.closed.notify_one();
            });
        };
        accept(listener, "grpc", &self.closed, full, take).await;
    }

    /// Begins the end: health checks say so, and every connection is sent away with GOAWAY once the calls that
    /// may be on their way have come.
    pub fn drain(&self) {
        self.draining.set(true);
        self.serving.send_replace(false);
        for connection in self.connections.borrow().values() {
            connection.send_away();
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
        let idle = connections.values().filter_map(|c| Some((c.idle_since()?, c)));
        if let Some((_, idlest)) = idle.min_by_key(|(since, _)| *since) {
            idlest.send_away();
        }
    }
}
