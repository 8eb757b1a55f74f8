//! The servers behind the limiter: connections to them, attempts at them, and their health checks.

pub mod connection;
pub mod servers;
