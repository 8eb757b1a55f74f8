//! Service discovery: where the endpoint list comes from, and how it is kept up to date.
//!
//! [`client::DiscoveryClient`] is what the rest of the limiter holds. Below it a [`session::Session`] keeps one watch
//! open, and hands what the watch brings to a [`sink::ListSink`]. In place of discovery the list may come from an
//! [`inventory_file`].

pub mod client;
pub mod endpoint;
mod host_list;
pub mod inventory_command;
pub mod inventory_file;
pub mod session;
pub mod sink;
pub mod upstream;
mod watch;
mod watch_event;
pub mod watch_request;
