//! Computes what adopting another inventory changes for each node.

use crate::model::{Inventory, Node, State};
use serde::Serialize;
use std::collections::HashMap;
use std::fmt;

/// What a change does to a node and to its open attempts and connections.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// The node is new and receives requests.
    Added,
    /// The node is no longer listed, or is terminated: its open attempts are ended, its connections closed.
    Removed,
    /// The node has a new address: idle connections are closed, open attempts continue at the old address, new
    /// ones go to the new address.
    Moved,
    /// The node now has the address of another node, whose connections are closed rather than reused.
    #[serde(rename = "took_over")]
    AddressTakenOver {
        /// The id of the node that had the address.
        from: String,
    },
    /// The node's process is new: measurements of the old one are discarded, open attempts continue.
    Restarted,
    /// The node accepts no new requests: open attempts continue, requests not yet written to it are withdrawn.
    #[serde(rename = "drains")]
    Drained,
    /// The node accepts new requests again.
    #[serde(rename = "serves")]
    Resumed,
    /// The weight changed, which affects the next endpoint selection; open attempts are unaffected.
    #[serde(rename = "weighed")]
    WeightChanged,
    /// The zone, kind or cell changed, which affects the next endpoint selection.
    #[serde(rename = "described")]
    AttributesChanged,
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Effect::Added => "added: it receives requests",
            Effect::Removed => "removed: its open attempts are ended, its connections closed",
            Effect::Moved => "moved: open attempts continue, new ones go to the new address",
            Effect::AddressTakenOver { from } => return write!(f, "now has the address of {from}"),
            Effect::Restarted => "restarted: measurements of the old process are discarded",
            Effect::Drained => "drains: no new requests, open attempts continue",
            Effect::Resumed => "accepts new requests again",
            Effect::WeightChanged => "weight changed, from the next endpoint selection on",
            Effect::AttributesChanged => "zone, kind or cell changed, from the next endpoint selection on",
        })
    }
}

/// All effects of a new inventory on one node.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// The id of the node.
    pub id: String,
    /// The effects, one for each kind of difference.
    pub effects: Vec<Effect>,
}

/// Whether a node gets new requests.
pub fn accepts_new_work(node: &Node) -> bool {
    node.state == State::InService && node.weight > 0.0
}

/// Lists every node that changes when `new` replaces `old`: in the order of `new`, then the removed ones.
pub fn diff(old: &Inventory, new: &Inventory) -> Vec<Change> {
    let old_nodes: HashMap<&str, &Node> = listed(old).map(|n| (n.id.as_str(), n)).collect();
    let old_addresses: HashMap<_, &str> = listed(old).map(|n| (n.address, n.id.as_str())).collect();
    let new_nodes: HashMap<&str, &Node> = listed(new).map(|n| (n.id.as_str(), n)).collect();
    let mut changes = Vec::new();
    for node in listed(new) {
        let mut effects = Vec::new();
        if let Some(from) = old_addresses.get(&node.address).filter(|id| **id != node.id) {
            effects.push(Effect::AddressTakenOver { from: (*from).to_string() });
        }
        match old_nodes.get(node.id.as_str()) {
            None => effects.insert(0, Effect::Added),
            Some(old) => compare(old, node, &mut effects),
        }
        if !effects.is_empty() {
            changes.push(Change { id: node.id.clone(), effects });
        }
    }
    let removed = listed(old).filter(|n| !new_nodes.contains_key(n.id.as_str()));
    changes.extend(removed.map(|n| Change { id: n.id.clone(), effects: vec![Effect::Removed] }));
    changes
}

/// The nodes that are not terminated. A terminated node counts as removed.
fn listed(inventory: &Inventory) -> impl Iterator<Item = &Node> {
    inventory.nodes.iter().filter(|n| n.state != State::Terminated)
}

/// Appends the differences between two versions of a node.
fn compare(old: &Node, new: &Node, effects: &mut Vec<Effect>) {
    if old.address != new.address {
        effects.push(Effect::Moved);
    }
    if old.started_ms != new.started_ms && new.started_ms.is_some() {
        effects.push(Effect::Restarted);
    }
    match (accepts_new_work(old), accepts_new_work(new)) {
        (true, false) => effects.push(Effect::Drained),
        (false, true) => effects.push(Effect::Resumed),
        _ => {}
    }
    if old.weight != new.weight {
        effects.push(Effect::WeightChanged);
    }
    if (&old.zone, &old.kind, old.cell) != (&new.zone, &new.kind, new.cell) {
        effects.push(Effect::AttributesChanged);
    }
}

/// Counts the serving nodes of `old` that `new` removes, and the serving nodes of `old`. A node that `new` lists as
/// terminated is removed; one that drains or has weight 0 is not.
pub fn count_removed(old: &Inventory, new: &Inventory) -> (usize, usize) {
    let new_nodes: HashMap<&str, &Node> = new.nodes.iter().map(|n| (n.id.as_str(), n)).collect();
    let serving = old.nodes.iter().filter(|n| accepts_new_work(n));
    let removed = |n: &&Node| new_nodes.get(n.id.as_str()).is_none_or(|n| n.state == State::Terminated);
    (serving.clone().filter(removed).count(), serving.count())
}
