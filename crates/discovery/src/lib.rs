//! When to call discovery, and for how long its list of servers may be used.
//!
//! Pure: events and the time go in, the times of the next call and of the list's expiry come out. The caller owns
//! the sockets, carries the calls out and reports what became of them. Times are durations since any fixed moment.
//!
//! There are two ways of delivery. Where lists are [pushed](Delivery::Pushed), an agent on the limiter's own
//! machine answers at once and at no cost: calls are frequent and overlap. Where they come
//! [on request](Delivery::OnRequest), one service of fixed capacity answers all limiters: a call waits its turn, is
//! refused where the queue is long, and costs the service work even when its caller has gone away. So there is one
//! call at a time, with exponential backoff, jitter and a retry budget, and a list that cannot be confirmed expires.
//! [Relays](Delivery::Relayed) are called as sparingly, each time another one; a list from them expires later, which
//! marks it as stale.

mod backoff;
mod freshness;
mod schedule;

pub use freshness::{EXPIRY, EXPIRY_AFTER_MOVE, EXPIRY_RELAYED};
pub use schedule::{
    CallId, CALL_TIMEOUT_ON_REQUEST, CALL_TIMEOUT_PUSHED, HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_RELAYED,
};

use freshness::Freshness;
use schedule::Schedule;
use std::time::Duration;

/// How the list of servers reaches a limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// By an agent on its own machine.
    Pushed,
    /// From a shared service, on request.
    OnRequest,
    /// Through relays, each of which can stand in for the others.
    Relayed,
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The service refused it, and may have said after what time to retry.
    Refused {
        /// Not before this time from now.
        retry_after: Option<Duration>,
    },
    /// No connection, no answer in time, or one that broke or cannot be read.
    Failed,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A call was begun.
    CallStarted(CallId),
    /// The head of a call's good answer has come.
    CallAnswered(CallId),
    /// A call ended without a first message.
    CallFailed(CallId, CallFailure),
    /// The first message of a call has come: its watch is followed now, and all other calls were dropped.
    WatchOpened,
    /// The followed watch gave a heartbeat: a complete message, or an empty line.
    Heartbeat,
    /// The followed watch ended or broke.
    WatchClosed,
    /// Discovery has another address now; the watch and all calls were dropped.
    Moved,
}

/// Decides when to call discovery and until when its list may be used.
#[derive(Debug)]
pub struct Follower {
    schedule: Schedule,
    freshness: Freshness,
}

impl Follower {
    /// A follower that has no list yet. The seed spreads the retries of several limiters.
    pub fn new(delivery: Delivery, seed: u64) -> Self {
        Follower { schedule: Schedule::new(delivery, seed), freshness: Freshness::new(delivery) }
    }

    /// Records an event.
    pub fn handle(&mut self, now: Duration, event: Event) {
        self.handle_aged(now, event, Duration::ZERO);
    }

    /// The same where a heartbeat says that the sender's own list was last confirmed so long ago.
    pub fn handle_aged(&mut self, now: Duration, event: Event, confirmed_ago: Duration) {
        self.freshness.handle(now, event, confirmed_ago);
        self.schedule.handle(now, event);
    }

    /// When the next call is due, if nothing else happens before; none while only an event can bring it about.
    pub fn next_call(&self) -> Option<Duration> {
        self.schedule.next_call(self.freshness.expires_at())
    }

    /// A watch without a heartbeat for this long is broken; so is one that does not begin with one.
    pub fn heartbeat_timeout(&self) -> Duration {
        self.schedule.heartbeat_timeout()
    }

    /// How long a call may take until the head of its answer.
    pub fn call_timeout(&self) -> Duration {
        self.schedule.call_timeout()
    }

    /// When the list at hand expires unless it is confirmed before. Nothing new may be sent by it from then on.
    pub fn expires_at(&self) -> Option<Duration> {
        self.freshness.expires_at()
    }
}
