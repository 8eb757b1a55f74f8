//! What adopting another inventory does to each node.

use crate::model::{Inventory, Node, State};
use serde::Serialize;
use std::collections::HashMap;
use std::fmt;

/// What happens to a node, and with it to what is open there.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// New: it may be sent to.
    Added,
    /// No longer listed, or withdrawn: open attempts are ended, connections closed.
    Removed,
    /// The same id elsewhere: idle connections are closed, open attempts go on where they are, new ones go to
    /// the new address.
    Moved,
    /// An id that has the address of another one now: that one's connections are closed; none is handed over.
    #[serde(rename = "took_over")]
    AddressTakenOver {
        /// Whose address it was.
        from: String,
    },
    /// A new process: what was learnt of the old one is forgotten; open attempts go on.
    Restarted,
    /// Wants nothing new: open attempts go on, what has not been written yet is taken back.
    #[serde(rename = "drains")]
    Drained,
    /// Takes work again.
    #[serde(rename = "serves")]
    Resumed,
    /// Another weight: holds from the next choice on; nothing open is touched.
    #[serde(rename = "weighed")]
    WeightChanged,
    /// Another zone, kind or cell: holds from the next choice on.
    #[serde(rename = "described")]
    AttributesChanged,
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Effect::Added => "added: it may be sent to",
            Effect::Removed => "removed: its open attempts are ended, its connections closed",
            Effect::Moved => "moved: open attempts go on, new ones go to the new address",
            Effect::AddressTakenOver { from } => return write!(f, "has the address of {from} now"),
            Effect::Restarted => "restarted: what was learnt of its process is forgotten",
            Effect::Drained => "drains: nothing new, open attempts go on",
            Effect::Resumed => "takes work again",
            Effect::WeightChanged => "another weight, from the next choice on",
            Effect::AttributesChanged => "another zone, kind or cell, from the next choice on",
        })
    }
}

/// A change of one node.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// The node.
    pub id: String,
    /// What it comes to; several where several things changed.
    pub effects: Vec<Effect>,
}

/// Whether a node of this inventory gets new work.
pub fn accepts_new_work(node: &Node) -> bool {
    node.state == State::InService && node.weight > 0.0
}

/// Every node that adopting `new` over `old` changes, in the order of `new` and then what is removed.
pub fn diff(old: &Inventory, new: &Inventory) -> Vec<Change> {
    let before: HashMap<&str, &Node> = listed(old).map(|n| (n.id.as_str(), n)).collect();
    let holders: HashMap<_, &str> = listed(old).map(|n| (n.address, n.id.as_str())).collect();
    let after: HashMap<&str, &Node> = listed(new).map(|n| (n.id.as_str(), n)).collect();
    let mut changes = Vec::new();
    for node in listed(new) {
        let mut effects = Vec::new();
        if let Some(from) = holders.get(&node.address).filter(|id| **id != node.id) {
            effects.push(Effect::AddressTakenOver { from: (*from).to_string() });
        }
        match before.get(node.id.as_str()) {
            None => effects.insert(0, Effect::Added),
            Some(was) => compare(was, node, &mut effects),
        }
        if !effects.is_empty() {
            changes.push(Change { id: node.id.clone(), effects });
        }
    }
    let gone = listed(old).filter(|n| !after.contains_key(n.id.as_str()));
    changes.extend(gone.map(|n| Change { id: n.id.clone(), effects: vec![Effect::Removed] }));
    changes
}

/// Those that are not withdrawn: to be listed so is to be gone.
fn listed(inventory: &Inventory) -> impl Iterator<Item = &Node> {
    inventory.nodes.iter().filter(|n| n.state != State::Terminated)
}

fn compare(was: &Node, is: &Node, effects: &mut Vec<Effect>) {
    if was.address != is.address {
        effects.push(Effect::Moved);
    }
    if was.started_ms != is.started_ms && is.started_ms.is_some() {
        effects.push(Effect::Restarted);
    }
    match (accepts_new_work(was), accepts_new_work(is)) {
        (true, false) => effects.push(Effect::Drained),
        (false, true) => effects.push(Effect::Resumed),
        _ => {}
    }
    if was.weight != is.weight {
        effects.push(Effect::WeightChanged);
    }
    if (&was.zone, &was.kind, was.cell) != (&is.zone, &is.kind, is.cell) {
        effects.push(Effect::AttributesChanged);
    }
}

/// How many of the nodes that served no longer do, and how many served.
pub fn count_removed(old: &Inventory, new: &Inventory) -> (usize, usize) {
    let after: HashMap<&str, &Node> = new.nodes.iter().map(|n| (n.id.as_str(), n)).collect();
    let served = old.nodes.iter().filter(|n| accepts_new_work(n));
    let gone = |n: &&Node| after.get(n.id.as_str()).is_none_or(|n| n.state == State::Terminated);
    (served.clone().filter(gone).count(), served.count())
}
