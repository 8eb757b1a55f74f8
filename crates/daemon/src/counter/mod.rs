//! Access to the counter service: the client, the pool with its active counter, and the validation.

pub mod client;
pub mod pool;
pub mod validation;
