//! The places of the nodes, and the order in which a child tries its upstreams.

use xxhash_rust::xxh3::xxh3_64;

pub const REGIONS: usize = 2;
pub const ZONES: usize = 7;

/// Zones with this number or a higher one are in the second region.
const FIRST_ZONE_OF_SECOND_REGION: usize = 4;

const RELAYS_PER_REGION: usize = 2;

/// A node of the tree.
///
/// The `Debug` text of a node is hashed into the order of its upstreams, so renaming a variant changes the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    Source,
    Relay(usize),
    Replica(usize),
}

/// The region and zone of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub region: usize,
    /// None for the source and for relays that serve a whole region.
    pub zone: Option<usize>,
}

impl Place {
    pub fn in_zone(zone: usize) -> Self {
        Place { region: usize::from(zone >= FIRST_ZONE_OF_SECOND_REGION), zone: Some(zone) }
    }
}

/// The places of all relays and replicas. Relays of regions come before relays of zones.
pub struct Topology {
    pub relays: Vec<Place>,
    pub replicas: Vec<Place>,
}

impl Topology {
    pub fn new(replicas: usize, relays_per_zone: usize) -> Self {
        let of_region = |region| Place { region, zone: None };
        let mut relays: Vec<Place> =
            (0..REGIONS * RELAYS_PER_REGION).map(|n| of_region(n % REGIONS)).collect();
        relays.extend((0..ZONES * relays_per_zone).map(|n| Place::in_zone(n % ZONES)));
        let replicas = (0..replicas).map(|n| Place::in_zone(n % ZONES)).collect();
        Topology { relays, replicas }
    }

    pub fn place(&self, node: Node) -> Place {
        match node {
            Node::Source => Place { region: 0, zone: None },
            Node::Relay(n) => self.relays[n],
            Node::Replica(n) => self.replicas[n],
        }
    }

    /// The upstreams of a child in the order in which it tries them: nearest first, and ordered by a hash of child
    /// and relay among equally near ones.
    pub fn upstreams(&self, child: Node) -> Vec<Node> {
        let place = self.place(child);
        if place.zone.is_none() {
            return vec![Node::Source];
        }
        let serves = |relay: &Place| match child {
            Node::Replica(_) => relay.zone.is_some(),
            _ => relay.zone.is_none(),
        };
        let mut ranked: Vec<_> = (0..self.relays.len())
            .filter(|n| serves(&self.relays[*n]))
            .map(|n| (distance(place, self.relays[n]), hash(child, n), Node::Relay(n)))
            .collect();
        ranked.sort();
        ranked.into_iter().map(|(_, _, relay)| relay).collect()
    }
}

/// 0 for a relay in the same zone, 1 in the same region, 2 in another region.
fn distance(child: Place, relay: Place) -> u8 {
    if child.region == relay.region {
        u8::from(child.zone != relay.zone)
    } else {
        2
    }
}

fn hash(child: Node, relay: usize) -> u64 {
    xxh3_64(format!("{child:?}/{relay}").as_bytes())
}
