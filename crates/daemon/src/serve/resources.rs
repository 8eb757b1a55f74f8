//! What the process may use, divided among its parts.

use super::listeners::BoundListeners;
use crate::config::Limits;
use crate::counter::client;
use crate::operator::OperatorConfig;

/// Descriptors kept for the listener, the runtime, discovery and whatever is being accepted.
const RESERVED_SOCKETS: usize = 24;
const DEFAULT_SOCKETS: usize = 1_024;
const DEFAULT_MEMORY_MB: f64 = 32.0;
/// Share of the memory limit that the bodies of open requests may take. As much again may come back in
/// answers, and each connection has a buffer of some kilobytes.
const BODY_SHARE: f64 = 0.125;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
/// An odd number whose multiples differ in all their bits: 2^64 divided by the golden ratio.
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// How many sockets clients and servers may take, each.
pub(super) struct SocketBudget {
    /// Sockets of clients' connections.
    pub clients: usize,
    /// Sockets of connections to servers.
    pub servers: usize,
}

impl SocketBudget {
    /// Divides what is left once every other part has its sockets.
    pub fn new(limits: &Limits, operator: &OperatorConfig, listeners: &BoundListeners) -> Self {
        let authorizers =
            operator.authorizers.iter().map(|authorizer| authorizer.max_connections).sum::<usize>();
        let fallback_counters = operator.counter.as_ref().map_or(0, |counter| counter.fallbacks.len());
        let counters = client::MAX_CONCURRENT_CALLS * (1 + fallback_counters);
        let taken = RESERVED_SOCKETS + counters + listeners.grpc_sockets() + authorizers;
        // Each request may hold two sockets, one to its client and one to a server.
        let left = limits.sockets.unwrap_or(DEFAULT_SOCKETS).saturating_sub(taken).max(2);
        SocketBudget { clients: left - left / 2, servers: left / 2 }
    }
}

/// Bytes that the bodies of open requests may take.
pub(super) fn body_budget(limits: &Limits) -> usize {
    let memory_mb = limits.memory_mb.filter(|mb| *mb > 0.0).unwrap_or(DEFAULT_MEMORY_MB);
    (memory_mb * BODY_SHARE * BYTES_PER_MB) as usize
}

/// The seed is 16 hex digits; any other text is as good a seed, and none is one too.
pub(super) fn parse_seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16)
        .unwrap_or_else(|_| text.bytes().fold(0, |seed: u64, byte| seed.wrapping_mul(31) ^ u64::from(byte)))
}

/// A seed for retries. Limiters that were given one seed must not retry in step.
pub(super) fn retry_seed(seed: u64, instance_index: u32) -> u64 {
    seed ^ u64::from(instance_index).wrapping_mul(SEED_STEP)
}
