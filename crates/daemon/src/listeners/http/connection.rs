//! The state of a client's connection, and the choice of connections to close when the limit is reached.

use super::request_stream::RequestStream;
use crate::memory::MemoryBudget;
use crate::upstream::socket::Socket;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A connection must be idle for this long before it may be closed: on a new one, the request that it was opened for
/// is most likely on its way.
const IDLE_BEFORE_CLOSE: Duration = Duration::from_millis(100);
/// The same for a connection that has never sent a complete request head, while new clients wait at the connection
/// limit. It is shorter because clients usually connect when they already have a request to send.
const IDLE_BEFORE_CLOSE_UNUSED: Duration = Duration::from_millis(30);

/// The state of a client's connection.
pub(super) struct Connection {
    /// Whether a request is open on the connection.
    pub busy: Cell<bool>,
    /// Whether a complete request waits for its answer.
    pub awaiting_answer: Cell<bool>,
    /// Whether a complete request head was received. Reset when the connection starts to linger, so that it is then
    /// closed first.
    pub used: Cell<bool>,
    /// When the connection last became busy or idle; initially when it was accepted.
    pub state_since: Cell<Instant>,
    /// Whether the last reply announced that the connection closes.
    pub close_announced: Cell<bool>,
    /// Whether the last reply was sent and the connection is only read until it is closed.
    pub lingering: Cell<bool>,
    /// Notified to close the connection once no request is open on it.
    pub close: Notify,
    /// Whether the connection closes after the next reply.
    pub close_after_reply: Cell<bool>,
    /// The requests of the client.
    pub requests: Rc<RequestStream>,
    /// When the connection was asked to close to make room for a new one. If it does not close in time, others are
    /// asked instead.
    close_requested_at: Cell<Option<Instant>>,
}

/// The order in which connections are closed to make room for new ones. Those that have not sent a request come
/// first, so that unused connections do not crowd out clients; then the one that has been idle longest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CloseRank {
    pub used: bool,
    idle_since: Instant,
}

impl Connection {
    pub(super) fn new(socket: Rc<Socket>, memory: Arc<MemoryBudget>) -> Rc<Self> {
        Rc::new(Connection {
            busy: Cell::new(false),
            awaiting_answer: Cell::new(false),
            used: Cell::new(false),
            state_since: Cell::new(Instant::now()),
            close_announced: Cell::new(false),
            lingering: Cell::new(false),
            close: Notify::new(),
            close_after_reply: Cell::new(false),
            requests: RequestStream::new(socket, memory),
            close_requested_at: Cell::new(None),
        })
    }

    fn is_idle(&self) -> bool {
        !self.busy.get() && self.state_since.get().elapsed() > IDLE_BEFORE_CLOSE
    }

    /// Whether the connection can be closed without losing a request, complete or partial, or a reply that the client
    /// has yet to read.
    pub(super) fn may_close(&self) -> bool {
        self.is_idle() && !self.has_partial_request() && !self.lingering.get()
    }

    /// Whether the connection has no open request and none was received yet (or it lingers).
    pub(super) fn is_unused(&self) -> bool {
        !self.used.get() && !self.busy.get()
    }

    /// Whether a part of a request was received.
    pub(super) fn has_partial_request(&self) -> bool {
        self.requests.has_partial_head()
    }

    /// The rank among the connections that may be closed to make room for a new one; `None` if this one may not.
    pub(super) fn close_rank(&self) -> Option<CloseRank> {
        let requested_at = self.close_requested_at.get();
        let close_timed_out = requested_at.is_some_and(|since| since.elapsed() > IDLE_BEFORE_CLOSE);
        let is_unused = self.is_unused() && self.state_since.get().elapsed() > IDLE_BEFORE_CLOSE_UNUSED;
        let may_close = !close_timed_out && (is_unused || self.is_idle());
        may_close.then(|| CloseRank { used: self.used.get(), idle_since: self.state_since.get() })
    }

    /// Asks the connection to close to make room for a new one.
    pub(super) fn request_close(&self) {
        self.close_requested_at.set(self.close_requested_at.get().or_else(|| Some(Instant::now())));
        self.close.notify_one();
    }

    /// Marks the last reply as sent. From here on the connection is closed to make room for a new one as if it had
    /// never sent a request.
    pub(super) fn start_lingering(&self) {
        self.used.set(false);
        self.lingering.set(true);
        self.close_requested_at.set(None);
        self.state_since.set(Instant::now());
    }
}

/// Marks a connection as busy while a request is open on it.
pub(super) struct BusyGuard {
    connection: Rc<Connection>,
}

impl BusyGuard {
    pub(super) fn new(connection: Rc<Connection>) -> Self {
        connection.busy.set(true);
        connection.close_requested_at.set(None);
        BusyGuard { connection }
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.connection.busy.set(false);
        self.connection.state_since.set(Instant::now());
    }
}
