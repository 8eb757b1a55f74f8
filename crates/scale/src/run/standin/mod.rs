//! Stand-ins for what limiters talk to: discovery, the counter and the servers.

pub mod counter;
pub mod discovery;
mod metered;
mod serve;
mod server_list;
pub mod servers;

pub use server_list::{list_digest, service_name, wall_clock_ms, ListedServer};
