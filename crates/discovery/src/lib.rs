//! Decides when to call discovery, and how long its list of servers may be used.
//!
//! The crate has no I/O and no clock: its input is events with their times, its output the times of the next call and
//! of the list's expiry. The caller owns the sockets, makes the calls and reports their results. Times are durations
//! since an arbitrary fixed moment.
//!
//! There are three ways of delivery:
//!
//! * [Pushed](Delivery::Pushed): an agent on the limiter's own machine answers at once and at no cost, so calls are
//!   frequent and may overlap.
//! * [On request](Delivery::OnRequest): one service of fixed capacity answers all limiters. Calls wait in a queue, are
//!   refused if it is too long, and cost the service work even after the caller has given up. The limiter therefore
//!   makes one call at a time (a second one only shortly before its list expires), with exponential backoff, jitter and
//!   a call budget. A list that cannot be confirmed expires.
//! * [Relayed](Delivery::Relayed): relays are called under the same limits, each time a different one. A list from
//!   relays expires later than one on request, and is then stale.

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
    /// By an agent on the limiter's own machine.
    Pushed,
    /// From a service shared by all limiters, on request.
    OnRequest,
    /// Through interchangeable relays.
    Relayed,
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The service refused the call, possibly with a time to wait.
    Refused {
        /// The time to wait before the next call, from `Retry-After`.
        retry_after: Option<Duration>,
    },
    /// There was no connection or no response in time, or the response broke off or cannot be read.
    Failed,
}

/// An event that the caller reports to a [`Follower`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A call was started.
    CallStarted(CallId),
    /// The head of a successful response has arrived.
    CallAnswered(CallId),
    /// A call ended before its first message.
    CallFailed(CallId, CallFailure),
    /// The first message of a call has arrived. Its watch is now followed, and all other calls were dropped.
    WatchOpened,
    /// The followed watch sent a heartbeat, which is a complete message or an empty line.
    Heartbeat,
    /// The followed watch ended or failed.
    WatchClosed,
    /// Discovery moved to another address. The watch and all calls were dropped.
    Moved,
}

/// Decides when to call discovery and how long its list may be used.
#[derive(Debug)]
pub struct Follower {
    schedule: Schedule,
    freshness: Freshness,
}

impl Follower {
    /// Creates a follower without a list. Different seeds spread the retries of several limiters.
    pub fn new(delivery: Delivery, seed: u64) -> Self {
        Follower { schedule: Schedule::new(delivery, seed), freshness: Freshness::new(delivery) }
    }

    /// Records an event.
    pub fn handle(&mut self, now: Duration, event: Event) {
        self.handle_aged(now, event, Duration::ZERO);
    }

    /// Records an event from a sender whose own list was last confirmed `confirmed_ago` before `now`. That time counts
    /// toward the age of the list.
    pub fn handle_aged(&mut self, now: Duration, event: Event, confirmed_ago: Duration) {
        self.freshness.handle(now, event, confirmed_ago);
        self.schedule.handle(now, event);
    }

    /// When the next call is due unless an event happens before; none if no call is due without another event.
    pub fn next_call(&self) -> Option<Duration> {
        self.schedule.next_call(self.freshness.expires_at())
    }

    /// How long a watch may go without a heartbeat before it counts as failed; this includes the wait for its first
    /// one.
    pub fn heartbeat_timeout(&self) -> Duration {
        self.schedule.heartbeat_timeout()
    }

    /// How long to wait for the head of a call's response.
    pub fn call_timeout(&self) -> Duration {
        self.schedule.call_timeout()
    }

    /// When the current list expires unless a heartbeat confirms it before; none if there is no list or lists never
    /// expire. A list on request may not be used for new requests from then on; a list from relays is stale.
    pub fn expires_at(&self) -> Option<Duration> {
        self.freshness.expires_at()
    }
}
