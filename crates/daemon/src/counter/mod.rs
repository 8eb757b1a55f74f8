//! The counter service: calls to its replicas, which of them is active, and how far its totals may be relied on.

pub mod client;
pub mod pool;
pub mod validation;
