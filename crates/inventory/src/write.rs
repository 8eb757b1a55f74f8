//! Writes inventories as CSV or YAML. Reading the output back yields the same nodes.

use crate::model::{Format, Inventory, Node, COLUMNS};
use std::fmt::Write as _;

/// Serializes an inventory. The output states the number of nodes, so that it is closed.
pub fn write(inventory: &Inventory, format: Format) -> String {
    match format {
        Format::Csv => csv(inventory),
        Format::Yaml => yaml(inventory),
    }
}

/// The values of a node in the order of [`COLUMNS`].
fn values(n: &Node) -> [String; COLUMNS.len()] {
    [
        n.id.clone(),
        n.address.to_string(),
        n.zone.clone(),
        n.kind.clone(),
        n.cell.map(|c| c.to_string()).unwrap_or_default(),
        n.state.name().into(),
        n.weight.to_string(),
        n.started_ms.map(|at| at.to_string()).unwrap_or_default(),
    ]
}

fn csv(inventory: &Inventory) -> String {
    let mut text = String::new();
    if let Some(version) = inventory.version {
        let _ = writeln!(text, "# version: {version}");
    }
    if inventory.removal_allowed {
        text.push_str("# removal: allowed\n");
    }
    let _ = writeln!(text, "# count: {}", inventory.nodes.len());
    let _ = writeln!(text, "{}", COLUMNS.join(","));
    for node in &inventory.nodes {
        let _ = writeln!(text, "{}", values(node).join(","));
    }
    text
}

fn yaml(inventory: &Inventory) -> String {
    let mut text = String::new();
    if let Some(version) = inventory.version {
        let _ = writeln!(text, "version: {version}");
    }
    if inventory.removal_allowed {
        text.push_str("removal: allowed\n");
    }
    let _ = writeln!(text, "count: {}", inventory.nodes.len());
    if inventory.nodes.is_empty() {
        text.push_str("nodes: []\n");
        return text;
    }
    text.push_str("nodes:\n");
    for node in &inventory.nodes {
        let mut indent = "- ";
        for (name, value) in COLUMNS.iter().zip(values(node)) {
            if value.is_empty() {
                continue;
            }
            // Quoted, since a name may look like a number, null or an alias. Names contain no quotes.
            let quoted = matches!(*name, "id" | "address" | "zone" | "kind");
            let quote = if quoted { "'" } else { "" };
            let _ = writeln!(text, "{indent}{name}: {quote}{value}{quote}");
            indent = "  ";
        }
    }
    text
}
