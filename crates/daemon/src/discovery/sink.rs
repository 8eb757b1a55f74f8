//! Who takes in what a watch tells.

use liftrouter_catalog::{ApplyError, Update};
use std::time::Duration;

/// What told that the watch is alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignOfLife {
    /// Nothing has changed.
    EmptyLine,
    /// A message; the sender's own list was confirmed so long before.
    Message { confirmed_ago: Duration },
}

impl SignOfLife {
    /// How long ago the list was confirmed at the root.
    pub fn confirmed_ago(self) -> Duration {
        match self {
            SignOfLife::EmptyLine => Duration::ZERO,
            SignOfLife::Message { confirmed_ago } => confirmed_ago,
        }
    }
}

/// The list that a [`super::session::Session`] keeps up to date.
pub trait ListSink {
    /// The revision of the list at hand; none before the first one.
    fn revision(&self) -> Option<u64>;

    /// Takes in a whole list, or changes. What comes without a list at hand is marked as whole.
    ///
    /// # Errors
    /// It does not fit the list at hand, which stays as it is.
    fn apply(&mut self, update: Update) -> Result<(), ApplyError>;

    /// Lets the next whole list be taken whatever its revision.
    fn forget_revision(&mut self);

    /// The watch gave a sign of life. An update that came with it has been applied.
    fn heartbeat(&mut self, sign: SignOfLife);

    /// The watch ended and no other is open.
    fn disconnected(&mut self);

    /// No sign of life came for longer than the list is good for.
    fn expired(&mut self, age: Duration);

    /// The first sign of life after that.
    fn confirmed(&mut self);
}
