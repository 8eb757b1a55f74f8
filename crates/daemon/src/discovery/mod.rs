//! Service discovery: where the endpoint list comes from, and how it is kept up to date.
//!
//! The rest of the limiter uses [`client::DiscoveryClient`]. For each upstream a [`session::Session`] keeps one watch
//! open and passes its updates to a [`sink::ListSink`]. The list may also come from an [`inventory_file`] instead of
//! the discovery service.

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
