//! The state of one connection: its open calls and undelivered replies, and when to close it.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The first call of a connection must arrive within this time after accept.
const FIRST_CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A connection is closed if a reply stays undelivered for this long: a client that opens no flow-control window would
/// otherwise hold the reply, and one of the streams, forever.
const UNDELIVERED_REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// A connection that is going away is closed after this time without an open call, so that calls that crossed the
/// GOAWAY on the wire are still served.
const GO_AWAY_GRACE: Duration = Duration::from_millis(500);
/// The maximum time between two checks of a connection.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The state of a connection.
pub(super) struct Connection {
    accepted_at: Instant,
    /// Whether a call was received.
    used: Cell<bool>,
    open_calls: Cell<usize>,
    idle_since: Cell<Instant>,
    /// Replies that were not sent completely, by number, with the time when each was ready.
    undelivered_replies: RefCell<BTreeMap<u64, Instant>>,
    next_reply: Cell<u64>,
    going_away_since: Cell<Option<Instant>>,
    /// Wakes the task that serves the connection.
    changed: Notify,
    /// Wakes the calls that end when the connection is going away.
    go_away_started: Notify,
}

/// The action to take on a connection.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ConnectionAction {
    /// Check the connection again at this time.
    Wait(Instant),
    /// Send GOAWAY.
    GoAway,
    /// Close the connection.
    Close,
}

impl Connection {
    /// The state of a connection accepted now. If `going_away`, it is closed with GOAWAY after its calls are served.
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
            go_away_started: Notify::new(),
        };
        if going_away {
            connection.go_away();
        }
        Rc::new(connection)
    }

    /// Begins to close the connection with GOAWAY. Calls that are already on their way are still served.
    pub(super) fn go_away(&self) {
        if self.going_away_since.get().is_none() {
            self.going_away_since.set(Some(Instant::now()));
            self.changed.notify_one();
            self.go_away_started.notify_waiters();
        }
    }

    pub(super) fn is_going_away(&self) -> bool {
        self.going_away_since.get().is_some()
    }

    /// Waits until [`Connection::next_action`] may return another action.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Since when the connection has no open call and no undelivered reply; `None` if it has one or is going away.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        let idle = self.has_nothing_open() && !self.is_going_away();
        idle.then(|| self.idle_since.get())
    }

    fn has_nothing_open(&self) -> bool {
        self.open_calls.get() == 0 && self.undelivered_replies.borrow().is_empty()
    }

    /// The action to take now, with these limits on idle time and age.
    pub(super) fn next_action(
        &self,
        now: Instant,
        idle_timeout: Duration,
        max_age: Duration,
    ) -> ConnectionAction {
        let mut wake = now + CHECK_INTERVAL;
        let mut is_due = |at: Instant| {
            wake = wake.min(at);
            now >= at
        };
        let nothing_open = self.has_nothing_open();
        let oldest_reply = self.undelivered_replies.borrow().values().next().copied();
        if oldest_reply.is_some_and(|since| is_due(since + UNDELIVERED_REPLY_TIMEOUT)) {
            return ConnectionAction::Close;
        }
        if let Some(since) = self.going_away_since.get() {
            if nothing_open && is_due(since.max(self.idle_since.get()) + GO_AWAY_GRACE) {
                return ConnectionAction::Close;
            }
            return ConnectionAction::Wait(wake);
        }
        let is_used = self.used.get();
        if !is_used && is_due(self.accepted_at + FIRST_CALL_TIMEOUT) {
            return ConnectionAction::Close;
        }
        if is_due(self.accepted_at + max_age)
            || (nothing_open && is_used && is_due(self.idle_since.get() + idle_timeout))
        {
            return ConnectionAction::GoAway;
        }
        ConnectionAction::Wait(wake)
    }
}

/// Guard that counts a call as open until it is dropped.
pub(super) struct OpenCall {
    connection: Rc<Connection>,
}

impl OpenCall {
    pub(super) fn new(connection: &Rc<Connection>) -> OpenCall {
        connection.used.set(true);
        connection.open_calls.set(connection.open_calls.get() + 1);
        OpenCall { connection: connection.clone() }
    }

    /// Whether the call's connection is going away.
    pub(super) fn is_going_away(&self) -> bool {
        self.connection.is_going_away()
    }

    /// Waits until the call's connection is going away.
    pub(super) async fn going_away(&self) {
        let started = self.connection.go_away_started.notified();
        if !self.is_going_away() {
            started.await;
        }
    }

    /// Counts the call's reply as undelivered until the returned guard is dropped.
    pub(super) fn track_reply(&self) -> UndeliveredReply {
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

/// Guard that counts a reply as undelivered until it is dropped.
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
