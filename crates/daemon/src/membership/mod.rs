//! Membership: where the list of servers comes from.

mod catalog;
pub mod discovery;
pub mod file;
mod messages;
pub mod update;
mod watch;
