//! The versioned list of servers by service, with deltas and digests.
//!
//! Discovery numbers the revisions of the list. A **relay** follows its upstream (discovery or
//! another relay), keeps the list in a [`ChangeLog`] and serves it to its subscribers; a subscriber that only needs the
//! servers of some services says so with a [`Subscription`] and keeps them in a [`Replica`]. All of them use
//! one protocol, whose messages are [`Update`]s. This crate has neither I/O nor a clock: it creates and applies
//! messages, and its callers transfer them.
//!
//! * **Revisions.** Every relay of the tree uses the revision numbers of the root. A subscriber can therefore resume
//!   from its revision at another relay.
//! * **Deltas.** [`ChangeLog::since`] returns the last state of each server that changed after a revision. The
//!   history is bounded; if it does not reach back to the revision, the result is the whole list of the
//!   subscription.
//! * **Whole lists from upstream** become deltas: the log compares them with the current list and sends only the
//!   differences to subscribers.
//! * **Jumps.** A log that went from revision 50 to 90 in one step does not know the revisions in between. A
//!   server that changed at 60 and changed back at 80 may be missing from that step, so a subscriber that arrives from
//!   another relay with revision 70 gets a whole list.
//! * **Digests.** A [`Digest`] summarizes the servers of a subscription. A receiver compares it with the digest of its
//!   own list for each message that has one. If they differ, a change was lost: the receiver rejects the message, keeps
//!   its list unchanged and requests the whole list of its subscription (without a revision).
//! * **Age.** Heartbeats come from the root and are forwarded, so that a subscriber knows how old its list may be.
//!   Other messages of a relay, such as the first message of a watch, contain the time since its own list was confirmed
//!   ([`Update::confirmed_ago_ms`]), which the subscriber adds to the age of its list.
//! * **Fan-out.** [`Subscribers`] indexes subscribers by service, so that the cost of a change depends only on
//!   the subscribers of its service.
//! * **Regions.** Each region has its own root, so that regions continue to work while they cannot reach one another.
//!   [`RegionLists`] merges their lists into one.
//!
//! A list with an older revision is rejected. A root that has lost its history and restarted its numbering would be
//! rejected forever, so after some time the caller calls `forget_revision`, and the next whole list is accepted.

mod apply_error;
mod change_log;
mod difference;
mod digest;
mod history;
mod regions;
mod replica;
mod subscribers;
mod subscription;
mod wire;

pub use apply_error::ApplyError;
pub use change_log::{Applied, ChangeLog};
pub use digest::{Digest, ParseDigestError};
pub use history::HISTORY_CHANGES;
pub use regions::{RegionIndex, RegionLists};
pub use replica::{Change, Replica};
pub use subscribers::Subscribers;
pub use subscription::Subscription;
pub use wire::{Instance, Lifecycle, Update};
