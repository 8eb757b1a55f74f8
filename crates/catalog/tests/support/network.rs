//! How long messages take, and which are lost.

use super::topology::{Node, Topology};
use super::{Micros, MILLISECOND};
use std::collections::HashMap;

const DELAY_IN_ZONE: Micros = MILLISECOND / 2;
const DELAY_IN_REGION: Micros = 2 * MILLISECOND;
const DELAY_BETWEEN_REGIONS: Micros = 40 * MILLISECOND;

/// The share of the messages whose packets are lost once; the connection sends these again.
const PACKET_LOSS_RATIO: f64 = 0.005;
const RETRANSMISSION_DELAY: Micros = 200 * MILLISECOND;

/// The share of the calls that are lost; the caller has to call again.
const CONNECT_LOSS_RATIO: f64 = 0.005;

pub struct Network {
    pub random: fastrand::Rng,
    pub partitioned: bool,
    extra_delays: HashMap<Node, Micros>,
}

impl Network {
    pub fn new(seed: u64) -> Self {
        Network { random: fastrand::Rng::with_seed(seed), partitioned: false, extra_delays: HashMap::new() }
    }

    /// All that a node sends takes so much longer from now on.
    pub fn set_extra_delay(&mut self, node: Node, extra: Micros) {
        self.extra_delays.insert(node, extra);
    }

    pub fn can_reach(&self, topology: &Topology, from: Node, to: Node) -> bool {
        !self.partitioned || topology.place(from).region == topology.place(to).region
    }

    /// How long the next message of a connection takes.
    pub fn delay(&mut self, topology: &Topology, from: Node, to: Node) -> Micros {
        let (from_place, to_place) = (topology.place(from), topology.place(to));
        let base = if from_place.region != to_place.region {
            DELAY_BETWEEN_REGIONS
        } else if from_place.zone != to_place.zone {
            DELAY_IN_REGION
        } else {
            DELAY_IN_ZONE
        };
        let jitter = self.random.u64(0..=base);
        let retransmission = if self.random.f64() < PACKET_LOSS_RATIO { RETRANSMISSION_DELAY } else { 0 };
        base + jitter + retransmission + self.extra_delays.get(&from).copied().unwrap_or(0)
    }

    pub fn loses_connect(&mut self) -> bool {
        self.random.f64() < CONNECT_LOSS_RATIO
    }
}
