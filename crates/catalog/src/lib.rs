//! The list of servers as revisions by service, with deltas and digests.
//!
//! Discovery numbers the revisions of the list. A **relay** follows its upstream (discovery or
//! another relay), keeps the list in a [`ChangeLog`] and serves it to its subscribers; a subscriber that only needs the
//! servers of some services says so with a [`Subscription`] and keeps them in a [`Replica`]. All of them speak
//! one protocol, whose messages are [`Update`]s. This crate has neither I/O nor a clock: it decides what a
//! message says and what it changes, its callers move the messages.
//!
//! * **Revisions.** Every relay of the tree uses the revision numbers of the root. A subscriber can therefore go on at another relay
//!   with the revision that it holds.
//! * **Deltas.** [`ChangeLog::since`] gives the last state of each server that changed after a revision. The
//!   history is bounded; where it does not reach back, the answer is the whole list of the subscribed services.
//! * **Whole lists from upstream** become deltas: the log compares them with what it holds, and only what differs
//!   reaches the subscribers.
//! * **Jumps.** A log that went from revision 50 to 90 in one step knows nothing of the revisions in between. A
//!   server that changed at 60 and changed back at 80 may be missing from that step, so a subscriber that was at 70
//!   elsewhere gets a whole list here.
//! * **Digests.** A [`Digest`] sums up the servers of a scope. A receiver compares it with its own after each
//!   message that carries one. Where they differ, something was lost: the message is refused, nothing is changed,
//!   and the receiver asks for the whole list of its subscription (without a revision).
//! * **Age.** Heartbeats come from the root and are forwarded, so that a subscriber knows how old its list may be. What
//!   a relay sends otherwise, such as the first message of a watch, says how long ago its own list was confirmed
//!   ([`Update::confirmed_ago_ms`]); a subscriber counts from there.
//! * **Fan-out.** [`Subscribers`] is the index of the subscribers by service, so that a change costs only the
//!   subscribers that follow this service.
//!
//! * **Regions.** Two regions that cannot reach one another each go on under a root of their own. [`RegionLists`]
//!   makes one list of theirs.
//!
//! A list may only be refused in favour of the one at hand for so long: where the root has lost its history and
//! counts anew, the caller lets go of the old count by `forget_revision`, and the next whole list is taken.

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
