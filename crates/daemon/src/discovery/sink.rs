//! Where the updates of a watch go.

use liftrouter_catalog::{ApplyError, Update};
use std::time::Duration;

/// What showed that the watch is alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heartbeat {
    /// Nothing has changed.
    EmptyLine,
    /// A message, which says how old the sender's own list is.
    Message {
        /// The time between the confirmation of the sender's list and this message.
        confirmed_ago: Duration,
    },
}

impl Heartbeat {
    /// How long ago the list was confirmed at the root.
    pub fn confirmed_ago(self) -> Duration {
        match self {
            Heartbeat::EmptyLine => Duration::ZERO,
            Heartbeat::Message { confirmed_ago } => confirmed_ago,
        }
    }
}

/// An endpoint list that a session keeps up to date.
pub trait ListSink {
    /// The revision of the list at hand; none before the first one.
    fn revision(&self) -> Option<u64>;

    /// Applies a complete list, or changes. What comes without a list at hand is marked as complete.
    ///
    /// # Errors
    /// It does not fit the list at hand, which stays as it is.
    fn apply(&mut self, update: Update) -> Result<(), ApplyError>;

    /// Accepts the next complete list whatever its revision.
    fn forget_revision(&mut self);

    /// The watch gave a heartbeat. An update that came with it has been applied.
    fn heartbeat(&mut self, heartbeat: Heartbeat);

    /// The watch ended and no other is open.
    fn disconnected(&mut self);

    /// No heartbeat came for longer than the list may be used; its age since it was last confirmed.
    fn expired(&mut self, age: Duration);

    /// The first heartbeat after that.
    fn confirmed(&mut self);
}
