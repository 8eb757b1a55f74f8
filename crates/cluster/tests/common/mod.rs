//! A cluster in simulated time: a network that loses, delays and duplicates datagrams and fails in one direction; processes
//! that are paused, killed and restarted; clocks that drift apart.
#![allow(dead_code, unused_imports, reason = "each test program uses a part")]

mod world;

pub use world::World;

use liftrouter_cluster::gossip::GossipSettings;
use liftrouter_cluster::lease::LeaseSettings;
use liftrouter_cluster::Micros;
use std::net::SocketAddr;
use std::time::Duration;

pub const SECOND: Micros = 1_000_000;
pub const LEASE: LeaseSettings = LeaseSettings { duration: 2 * SECOND, clock_drift: 0.01 };
pub const GOSSIP: GossipSettings = GossipSettings {
    probe_period: Duration::from_millis(500),
    probe_timeout: Duration::from_millis(150),
    suspicion_timeout: Duration::from_millis(1_500),
    expected_members: 8,
};

/// The faults of a link from one process to another.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    pub cut: bool,
    pub loss: f64,
    pub duplicated: f64,
    /// The largest random delay, in addition to the constant one of a millisecond.
    pub max_delay: Micros,
}

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 20_000 + n as u16))
}
