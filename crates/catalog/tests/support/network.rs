//! How long messages take, and which are lost.

use super::topology::{Node, Topology};
use super::{Micros, MILLISECOND};
use std::collections::HashMap;

const IN_ZONE: Micros = MILLISECOND / 2;
const IN_REGION: Micros = 2 * MILLISECOND;
const BETWEEN_REGIONS: Micros = 40 * MILLISECOND;

/// The share of the messages whose packets are lost once; the connection sends these again.
const LOST: f64 = 0.005;
const RETRANSMISSION: Micros = 200 * MILLISECOND;

/// The share of the calls that are lost; the caller has to call again.
const CALL_LOST: f64 = 0.005;

pub struct Network {
    pub random: fastrand::Rng,
    pub regions_apart: bool,
    slow: HashMap<Node, Micros>,
}

impl Network {
    pub fn new(seed: u64) -> Self {
        Network { random: fastrand::Rng::with_seed(seed), regions_apart: false, slow: HashMap::new() }
    }

    /// All that a node sends takes so much longer from now on.
    pub fn set_slow(&mut self, node: Node, extra: Micros) {
        self.slow.insert(node, extra);
    }

    pub fn connected(&self, topology: &Topology, from: Node, to: Node) -> bool {
        !self.regions_apart || topology.place(from).region == topology.place(to).region
    }

    /// How long the next message of a connection takes.
    pub fn delay(&mut self, topology: &Topology, from: Node, to: Node) -> Micros {
        let (from_place, to_place) = (topology.place(from), topology.place(to));
        let base = if from_place.region != to_place.region {
            BETWEEN_REGIONS
        } else if from_place.zone != to_place.zone {
            IN_REGION
        } else {
            IN_ZONE
        };
        let jitter = self.random.u64(0..=base);
        let again = if self.random.f64() < LOST { RETRANSMISSION } else { 0 };
        base + jitter + again + self.slow.get(&from).copied().unwrap_or(0)
    }

    pub fn loses_call(&mut self) -> bool {
        self.random.f64() < CALL_LOST
    }
}
