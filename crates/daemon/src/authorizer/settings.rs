//! The operator's settings of an authorizer.

use liftrouter_authz::BreakerPolicy;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What becomes of a request whose authorizer gave no usable decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fallback {
    /// It goes on (fail open).
    Pass,
    /// It is rejected (fail closed).
    Refuse,
}

/// An authorizer as the operator names it.
#[derive(Clone, Debug, PartialEq)]
pub struct AuthorizerSettings {
    /// Its name in the log.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The most connections to it.
    pub max_connections: usize,
    /// The most check requests open at once.
    pub max_open_checks: usize,
    /// The longest wait for a response.
    pub timeout: Duration,
    /// The most bytes of a response.
    pub max_message_bytes: usize,
    /// When it is left alone after failures.
    pub breaker: BreakerPolicy,
    /// The classes whose requests it is asked about, and what becomes of them without a decision.
    pub classes: HashMap<String, Fallback>,
}
