//! The counter service: calls to its replicas, which of them is active, and whether their totals are believed.

pub mod client;
pub mod pool;
pub mod validation;
