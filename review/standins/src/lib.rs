//! Stand-ins and helpers for the cases of the review. They use the standard library only.

pub mod authorizer;
pub mod client;
pub mod counter;
pub mod discovery;
pub mod http;
pub mod installation;
pub mod limiter;
pub mod link;
pub mod node;
pub mod record;
