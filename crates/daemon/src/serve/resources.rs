//! Divides the resource limits of the process among its parts, and derives seeds.

use super::listeners::BoundListeners;
use crate::config::Limits;
use crate::counter::client;
use crate::listeners::grpc::Limits as GrpcLimits;
use crate::operator::OperatorConfig;

/// Descriptors reserved for the listener, the runtime, discovery and connections that are being accepted.
const RESERVED_SOCKETS: usize = 24;
/// Socket limit if the configuration has none.
const DEFAULT_SOCKETS: usize = 1_024;
/// Memory limit if the configuration has none.
const DEFAULT_MEMORY_MB: f64 = 32.0;
/// Ratio of the memory limit that everything together may use that is charged to the memory budget.
const BUDGET_MEMORY_RATIO: f64 = 0.125;
/// Ratio of the memory limit that connections may use beside the memory budget.
const CONNECTION_MEMORY_RATIO: f64 = 0.5;
/// Memory of the program itself, with the runtime and a small endpoint list.
const PROGRAM_BYTES: f64 = 8.0 * BYTES_PER_MB;
/// Ratio of the memory that all else leaves that customers may use. The rest is for endpoint lists and fragmentation.
const CUSTOMER_MEMORY_RATIO: f64 = 0.75;
/// Ratio of the memory limit that customers may use at least.
const MIN_CUSTOMER_MEMORY_RATIO: f64 = 1.0 / 32.0;
/// Memory of one customer's account.
const CUSTOMER_BYTES: f64 = 512.0;
/// Memory of one connection beside what it charges to the memory budget: its buffers, its task, and the free part of its
/// reservations.
const CONNECTION_BYTES: f64 = 20.0 * 1024.0;
/// Ratio of the memory limit that gRPC connections may use of that of all connections.
const GRPC_MEMORY_RATIO: f64 = 0.25;
/// Memory of a header list while it is received, as a multiple of its size limit: a short header takes several times the
/// 32 bytes that the limit counts beside its name and value.
const HEADER_LIST_MEMORY_FACTOR: f64 = 5.0;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
/// 2^64 divided by the golden ratio, rounded to an odd number: its multiples differ in bits of all positions.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Maximum numbers of connections to clients and to servers.
pub(super) struct SocketBudget {
    /// Sockets for connections from clients.
    pub clients: usize,
    /// Sockets for connections to servers.
    pub servers: usize,
    /// Sockets for connections from gRPC clients.
    pub grpc: usize,
    /// Memory that all these connections may use beside the memory budget, in bytes.
    connection_bytes: f64,
}

impl SocketBudget {
    /// Deducts the sockets of all other parts from the limit and divides the rest, as far as there is memory for their
    /// connections, between clients and servers.
    pub fn new(limits: &Limits, operator: &OperatorConfig, listeners: &BoundListeners) -> Self {
        let authorizers =
            operator.authorizers.iter().map(|authorizer| authorizer.max_connections).sum::<usize>();
        let fallback_counters = operator.counter.as_ref().map_or(0, |counter| counter.fallbacks.len());
        let counters = client::MAX_CONCURRENT_CALLS * (1 + fallback_counters);
        let memory = memory_bytes(limits);
        let grpc = GrpcSockets::new(memory, listeners.grpc_limits());
        let reserved = RESERVED_SOCKETS + counters + grpc.sockets + authorizers;
        // A request can hold two sockets, one to its client and one to a server.
        let by_descriptors = limits.sockets.unwrap_or(DEFAULT_SOCKETS).saturating_sub(reserved);
        let by_memory = ((memory * CONNECTION_MEMORY_RATIO - grpc.memory_bytes) / CONNECTION_BYTES) as usize;
        let available = by_descriptors.min(by_memory).max(2);
        SocketBudget {
            clients: available - available / 2,
            servers: available / 2,
            grpc: grpc.connections,
            connection_bytes: available as f64 * CONNECTION_BYTES + grpc.memory_bytes,
        }
    }
}

/// What the gRPC listener may use; nothing if there is none.
#[derive(Default)]
struct GrpcSockets {
    connections: usize,
    /// The connections and the listener.
    sockets: usize,
    /// Memory of the connections beside the memory budget, in bytes.
    memory_bytes: f64,
}

impl GrpcSockets {
    /// As many connections as the operator allows, as far as there is memory for them.
    fn new(memory: f64, limits: Option<&GrpcLimits>) -> Self {
        let Some(limits) = limits else { return GrpcSockets::default() };
        let header_list_bytes = HEADER_LIST_MEMORY_FACTOR * f64::from(limits.max_header_list_bytes);
        let bytes_of_each = CONNECTION_BYTES + header_list_bytes;
        let by_memory = (memory * GRPC_MEMORY_RATIO / bytes_of_each) as usize;
        let connections = limits.max_connections.min(by_memory).max(1);
        GrpcSockets {
            connections,
            sockets: connections + 1,
            memory_bytes: connections as f64 * bytes_of_each,
        }
    }
}

/// Capacity of the memory budget of requests and responses, in bytes.
pub(super) fn memory_budget(limits: &Limits) -> usize {
    (memory_bytes(limits) * BUDGET_MEMORY_RATIO) as usize
}

/// Maximum number of customers whose quotas are tracked: as many as fit into a part of the memory that the program, its
/// connections and the memory budget leave.
pub(super) fn max_customers(limits: &Limits, sockets: &SocketBudget) -> usize {
    let memory = memory_bytes(limits);
    let left = memory - PROGRAM_BYTES - sockets.connection_bytes - memory * BUDGET_MEMORY_RATIO;
    let customers = (left * CUSTOMER_MEMORY_RATIO).max(memory * MIN_CUSTOMER_MEMORY_RATIO);
    (customers / CUSTOMER_BYTES) as usize
}

/// The memory limit in bytes.
fn memory_bytes(limits: &Limits) -> f64 {
    limits.memory_mb.filter(|mb| *mb > 0.0).unwrap_or(DEFAULT_MEMORY_MB) * BYTES_PER_MB
}

/// Parses a seed of up to 16 hexadecimal digits. Any other text, including the empty one, is hashed to a seed.
pub(super) fn parse_seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16)
        .unwrap_or_else(|_| text.bytes().fold(0, |seed: u64, byte| seed.wrapping_mul(31) ^ u64::from(byte)))
}

/// Derives the seed for retries of discovery and the choice among relays. Limiters with the same configured seed must
/// not retry in lockstep.
pub(super) fn discovery_seed(seed: u64, instance_index: u32) -> u64 {
    seed ^ u64::from(instance_index).wrapping_mul(SEED_MULTIPLIER)
}
