//! The state of a client's connection, and which connection gives way to a new one.

use crate::upstream::socket::Socket;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A connection may be closed after it has been idle for this time: on a new one, the request that it was opened for
/// is most likely on its way.
const IDLE_BEFORE_CLOSE: Duration = Duration::from_millis(100);
/// The same for a connection that has never brought a whole request head, where others wait for its place: a usual
/// client connects because it has a request to send.
const IDLE_BEFORE_CLOSE_UNUSED: Duration = Duration::from_millis(30);

/// What is known of a client's connection.
pub(super) struct Connection {
    /// A request is open on it.
    pub busy: Cell<bool>,
    /// A request has come whole and waits for its answer.
    pub awaiting_answer: Cell<bool>,
    /// It has brought a whole request head.
    pub used: Cell<bool>,
    /// When it last became busy or idle; at first when it was accepted.
    pub since: Cell<Instant>,
    /// Its last reply announced that it closes.
    pub closing: Cell<bool>,
    /// Its last reply is out: it is only read on.
    pub lingering: Cell<bool>,
    /// Asks it to close once no request is open on it.
    pub close: Notify,
    /// When it was asked to give way to a new connection: one that cannot for long is passed over.
    close_requested_at: Cell<Option<Instant>>,
    socket: Rc<Socket>,
}

/// The order in which connections give way to new ones. Those that brought no request come first, so that silent
/// connections crowd out no client; then the one that is idle longest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CloseRank {
    pub used: bool,
    idle_since: Instant,
}

impl Connection {
    pub(super) fn new(socket: Rc<Socket>) -> Rc<Self> {
        Rc::new(Connection {
            busy: Cell::new(false),
            awaiting_answer: Cell::new(false),
            used: Cell::new(false),
            since: Cell::new(Instant::now()),
            closing: Cell::new(false),
            lingering: Cell::new(false),
            close: Notify::new(),
            close_requested_at: Cell::new(None),
            socket,
        })
    }

    fn is_idle(&self) -> bool {
        !self.busy.get() && self.since.get().elapsed() > IDLE_BEFORE_CLOSE
    }

    /// Whether it holds nobody's request, whole or in part, and no reply that is still to be read.
    pub(super) fn may_close(&self) -> bool {
        self.is_idle() && !self.has_partial_request() && !self.lingering.get()
    }

    /// Whether it is open and has never brought a request head.
    pub(super) fn is_silent(&self) -> bool {
        !self.used.get() && !self.busy.get()
    }

    /// Whether its client has written a part of a request.
    pub(super) fn has_partial_request(&self) -> bool {
        self.socket.has_recorded()
    }

    /// Its rank among those that may give way to a new connection; `None` if it may not.
    pub(super) fn close_rank(&self) -> Option<CloseRank> {
        let requested_at = self.close_requested_at.get();
        let is_stuck = requested_at.is_some_and(|since| since.elapsed() > IDLE_BEFORE_CLOSE);
        let is_silent = self.is_silent() && self.since.get().elapsed() > IDLE_BEFORE_CLOSE_UNUSED;
        let may_close = !is_stuck && (is_silent || self.is_idle());
        may_close.then(|| CloseRank { used: self.used.get(), idle_since: self.since.get() })
    }

    /// Asks it to give way to a new connection.
    pub(super) fn request_close(&self) {
        self.close_requested_at.set(self.close_requested_at.get().or_else(|| Some(Instant::now())));
        self.close.notify_one();
    }

    /// Its last reply is out. From here on it gives way as one that never brought a request does.
    pub(super) fn start_lingering(&self) {
        self.used.set(false);
        self.lingering.set(true);
        self.close_requested_at.set(None);
        self.since.set(Instant::now());
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
        self.connection.since.set(Instant::now());
    }
}
