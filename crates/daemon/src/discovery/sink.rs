//! The interface between a session and the endpoint list that it keeps up to date.

use liftrouter_catalog::{ApplyError, Update};
use std::time::Duration;

/// A sign that the followed watch is alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heartbeat {
    /// An empty line: nothing has changed.
    EmptyLine,
    /// A message, which carries the age of the sender's own list.
    Message {
        /// The time between the confirmation of the sender's list and this message.
        confirmed_ago: Duration,
    },
}

impl Heartbeat {
    /// How long ago the discovery service last confirmed the list; zero for an empty line.
    pub fn confirmed_ago(self) -> Duration {
        match self {
            Heartbeat::EmptyLine => Duration::ZERO,
            Heartbeat::Message { confirmed_ago } => confirmed_ago,
        }
    }
}

/// An endpoint list that a session keeps up to date.
pub trait ListSink {
    /// The revision of the current list; none before the first list.
    fn revision(&self) -> Option<u64>;

    /// Applies a complete list or changes. The caller marks an update as complete if there is no current list.
    ///
    /// # Errors
    /// The update does not fit the current list, which stays unchanged.
    fn apply(&mut self, update: Update) -> Result<(), ApplyError>;

    /// Accepts the next complete list, whatever its revision.
    fn forget_revision(&mut self);

    /// The watch sent a heartbeat. The update that came with it, if any, has already been applied.
    fn heartbeat(&mut self, heartbeat: Heartbeat);

    /// The followed watch ended or failed, and no other watch is open.
    fn disconnected(&mut self);

    /// The list has expired, since no heartbeat confirmed it in time. `age` is the time since it was last confirmed.
    fn expired(&mut self, age: Duration);

    /// An expired list has been confirmed again.
    fn confirmed(&mut self);
}
