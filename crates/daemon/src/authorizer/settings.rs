//! The operator's settings of an authorizer.

use liftrouter_authz::BreakerPolicy;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What happens to a request for which its authorizer gave no usable decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fallback {
    /// It goes on as if it had been allowed (fail open).
    Pass,
    /// It is rejected (fail closed).
    Refuse,
}

/// The settings of one authorizer.
#[derive(Clone, Debug, PartialEq)]
pub struct AuthorizerSettings {
    /// Name in the log.
    pub name: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Limit on open connections.
    pub max_connections: usize,
    /// Limit on check requests that are open at the same time.
    pub max_open_checks: usize,
    /// Limit on the time until the response.
    pub timeout: Duration,
    /// Limit on the size of a response message.
    pub max_message_bytes: usize,
    /// When the circuit breaker opens, and for how long.
    pub breaker: BreakerPolicy,
    /// The classes whose requests it decides on, each with its fallback.
    pub classes: HashMap<String, Fallback>,
}
