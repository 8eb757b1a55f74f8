//! The state of one connection: its open calls and undelivered replies, and when it is closed.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// From its accept a connection must bring its first call within this time.
const FIRST_CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A reply that is not taken for so long closes its connection: a client that opens no flow-control window would
/// hold it, and one of the streams, for good.
const UNDELIVERED_REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// After GOAWAY a client may bring the calls that crossed it for so long; then, without a call, it is closed.
const GO_AWAY_GRACE: Duration = Duration::from_millis(500);
/// The longest time between two checks of a connection.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// What is known of a connection.
pub(super) struct Connection {
    accepted_at: Instant,
    /// Whether it has brought a call.
    used: Cell<bool>,
    open_calls: Cell<usize>,
    idle_since: Cell<Instant>,
    /// Replies that the client has not taken, by number, and since when.
    undelivered_replies: RefCell<BTreeMap<u64, Instant>>,
    next_reply: Cell<u64>,
    going_away_since: Cell<Option<Instant>>,
    /// Wakes the task that serves the connection.
    changed: Notify,
    /// Wakes the calls that end with the connection.
    went_away: Notify,
}

/// What is to be done about a connection now.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Next {
    /// Nothing before this time.
    Wait(Instant),
    /// Send GOAWAY.
    GoAway,
    /// Close it.
    Close,
}

impl Connection {
    /// A connection accepted now. If `going_away`, the calls that it brings are served, and it is closed with GOAWAY.
    pub(super) fn new(going_away: bool) -> Rc<Self> {
        let now = Instant::now();
        let connection = Connection {
            accepted_at: now,
            used: Cell::new(false),
            open_calls: Cell::new(0),
            idle_since: Cell::new(now),
            undelivered_replies: RefCell::default(),
            next_reply: Cell::new(0),
            going_away_since: Cell::new(None),
            changed: Notify::new(),
            went_away: Notify::new(),
        };
        if going_away {
            connection.go_away();
        }
        Rc::new(connection)
    }

    /// Closes it with GOAWAY once the calls that are on their way have come.
    pub(super) fn go_away(&self) {
        if self.going_away_since.get().is_none() {
            self.going_away_since.set(Some(Instant::now()));
            self.changed.notify_one();
            self.went_away.notify_waiters();
        }
    }

    pub(super) fn is_going_away(&self) -> bool {
        self.going_away_since.get().is_some()
    }

    /// Waits until [`Connection::next`] may have another answer.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Since when no call is open on it; `None` if one is, or if it is going away.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        let idle = self.is_empty() && !self.is_going_away();
        idle.then(|| self.idle_since.get())
    }

    fn is_empty(&self) -> bool {
        self.open_calls.get() == 0 && self.undelivered_replies.borrow().is_empty()
    }

    /// What is to be done now, with these limits of idle time and age.
    pub(super) fn next(&self, now: Instant, idle_timeout: Duration, max_age: Duration) -> Next {
        let mut wake = now + CHECK_INTERVAL;
        let mut is_due = |at: Instant| {
            wake = wake.min(at);
            now >= at
        };
        let is_empty = self.is_empty();
        let oldest_reply = self.undelivered_replies.borrow().values().next().copied();
        if oldest_reply.is_some_and(|since| is_due(since + UNDELIVERED_REPLY_TIMEOUT)) {
            return Next::Close;
        }
        if let Some(since) = self.going_away_since.get() {
            if is_empty && is_due(since.max(self.idle_since.get()) + GO_AWAY_GRACE) {
                return Next::Close;
            }
            return Next::Wait(wake);
        }
        let is_used = self.used.get();
        if !is_used && is_due(self.accepted_at + FIRST_CALL_TIMEOUT) {
            return Next::Close;
        }
        if is_due(self.accepted_at + max_age)
            || (is_empty && is_used && is_due(self.idle_since.get() + idle_timeout))
        {
            return Next::GoAway;
        }
        Next::Wait(wake)
    }
}

/// A call while it is open.
pub(super) struct OpenCall {
    connection: Rc<Connection>,
}

impl OpenCall {
    pub(super) fn new(connection: &Rc<Connection>) -> OpenCall {
        connection.used.set(true);
        connection.open_calls.set(connection.open_calls.get() + 1);
        OpenCall { connection: connection.clone() }
    }

    /// Whether its connection is going away.
    pub(super) fn is_going_away(&self) -> bool {
        self.connection.is_going_away()
    }

    /// Waits until its connection is going away.
    pub(super) async fn going_away(&self) {
        let went_away = self.connection.went_away.notified();
        if !self.is_going_away() {
            went_away.await;
        }
    }

    /// Its reply is given, and counts until the client takes it.
    pub(super) fn replied(&self) -> UndeliveredReply {
        let connection = self.connection.clone();
        let number = connection.next_reply.replace(connection.next_reply.get() + 1);
        connection.undelivered_replies.borrow_mut().insert(number, Instant::now());
        UndeliveredReply { connection, number }
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.connection.open_calls.set(self.connection.open_calls.get() - 1);
        self.connection.idle_since.set(Instant::now());
    }
}

/// A reply that its client has not taken yet.
pub(super) struct UndeliveredReply {
    connection: Rc<Connection>,
    number: u64,
}

impl Drop for UndeliveredReply {
    fn drop(&mut self) {
        self.connection.undelivered_replies.borrow_mut().remove(&self.number);
        self.connection.idle_since.set(Instant::now());
    }
}
