//! Delays and losses of messages.

use super::topology::{Node, Topology};
use super::{Micros, MILLISECOND};
use std::collections::HashMap;

/// One-way delays; random jitter of up to the same amount is added.
const DELAY_IN_ZONE: Micros = MILLISECOND / 2;
const DELAY_IN_REGION: Micros = 2 * MILLISECOND;
const DELAY_BETWEEN_REGIONS: Micros = 40 * MILLISECOND;

/// The ratio of messages with a lost packet, which the transport retransmits once.
const PACKET_LOSS_RATIO: f64 = 0.005;
const RETRANSMISSION_DELAY: Micros = 200 * MILLISECOND;

/// The ratio of connection attempts that are lost; the child retries after a timeout.
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

    /// Adds a delay to all later messages of a node, in place of an earlier extra delay.
    pub fn set_extra_delay(&mut self, node: Node, extra: Micros) {
        self.extra_delays.insert(node, extra);
    }

    pub fn can_reach(&self, topology: &Topology, from: Node, to: Node) -> bool {
        !self.partitioned || topology.place(from).region == topology.place(to).region
    }

    /// Draws the delay of one message.
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
