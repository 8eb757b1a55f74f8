//! Membership: where the list of servers comes from.

pub mod calls;
pub mod file;
mod host_list;
mod messages;
pub mod session;
pub mod sink;
pub mod update;
pub mod upstream;
mod watch;
