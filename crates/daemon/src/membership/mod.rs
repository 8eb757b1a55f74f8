//! Membership: where the list of servers comes from.

pub mod discovery;
pub mod file;
mod messages;
