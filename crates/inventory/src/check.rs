//! Validates the values of a parsed inventory, whatever its file format.

use crate::model::{
    excerpt, Cell, Faults, Inventory, Node, Position, RawInventory, Row, State, COLUMNS, MAX_NODES,
};
use std::collections::HashMap;
use std::net::SocketAddr;

/// The longest id, zone or kind, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// The exclusive limit of start times in Unix milliseconds: the year 10000, later than any real clock.
const START_TIME_LIMIT_MS: u64 = 253_402_300_800_000;
/// The largest weight. No machine is this many times larger than another.
const MAX_WEIGHT: f64 = 1e9;

const ID: usize = 0;
const ADDRESS: usize = 1;
const WEIGHT: usize = 6;

/// Validates all values and adds every fault. The returned inventory is usable only if there are none.
pub fn check(raw: RawInventory, faults: &mut Faults) -> Inventory {
    let version = raw.version.as_ref().and_then(|c| whole_number(c, "version", faults));
    if let Some(count) = raw.count.as_ref().and_then(|c| whole_number(c, "count", faults)) {
        if count != raw.rows.len() as u64 && !raw.unreadable {
            let at = raw.count.as_ref().map_or((0, 0), |c| c.at);
            faults.add(at, None, format!("count is {count}, but the file holds {} nodes", raw.rows.len()));
        }
    }
    let removal_allowed = raw.removal.as_ref().is_some_and(|c| {
        let allowed = c.text == "allowed";
        if !allowed {
            faults.add(c.at, None, format!("removal is {:?}, expected allowed", excerpt(&c.text)));
        }
        allowed
    });
    let closed = raw.has_end_marker || raw.count.is_some();
    if raw.unreadable {
        return Inventory::default();
    }
    if raw.rows.is_empty() && faults.is_empty() && !removal_allowed {
        faults.add((0, 0), None, "the file holds no node; to remove all, it must say `removal: allowed`");
    }
    if raw.rows.len() > MAX_NODES {
        let reason = format!("the file holds {} nodes, expected {MAX_NODES} at most", raw.rows.len());
        faults.add((0, 0), None, reason);
        return Inventory::default();
    }
    let mut nodes = Vec::with_capacity(raw.rows.len());
    let mut ids: HashMap<&str, Position> = HashMap::with_capacity(raw.rows.len());
    let mut addresses: HashMap<SocketAddr, (&str, Position)> = HashMap::with_capacity(raw.rows.len());
    let mut any_weight = false;
    for row in &raw.rows {
        let id = row.cells[ID].as_ref().map_or("", |c| &c.text);
        let node = parse_node(row, id, faults);
        if let Some(cell) = row.cells[ID].as_ref().filter(|c| !c.text.is_empty()) {
            if let Some((line, _)) = ids.get(id) {
                faults.add(cell.at, Some(id), format!("id is given twice, first in line {line}"));
            } else {
                ids.insert(id, cell.at);
            }
        }
        // A terminated node no longer uses its address, so that another may have it.
        let uses_address = node.as_ref().is_none_or(|n| n.state != State::Terminated);
        let address =
            row.cells[ADDRESS].as_ref().and_then(|c| Some((c.text.parse::<SocketAddr>().ok()?, c.at)));
        if let Some((address, at)) = address.filter(|_| uses_address) {
            if let Some((other, (line, _))) = addresses.get(&address).filter(|(other, _)| *other != id) {
                faults.add(
                    at,
                    Some(id),
                    format!("address {address} is already used by {} in line {line}", excerpt(other)),
                );
            } else {
                addresses.insert(address, (id, at));
            }
        }
        any_weight |= node.as_ref().is_none_or(|n| n.weight > 0.0);
        nodes.extend(node);
    }
    if !any_weight {
        if let Some(cell) = raw.rows.first().and_then(|r| r.cells[WEIGHT].as_ref()) {
            faults.add(cell.at, None, "weight is 0 for every node, expected more than 0 for at least one");
        }
    }
    Inventory { version, removal_allowed, closed, nodes }
}

fn whole_number(cell: &Cell, name: &str, faults: &mut Faults) -> Option<u64> {
    let digits = !cell.text.is_empty() && cell.text.bytes().all(|b| b.is_ascii_digit());
    let number = cell.text.parse::<u64>().ok().filter(|_| digits);
    if number.is_none() {
        faults.add(cell.at, None, format!("{name} is {:?}, expected a whole number", excerpt(&cell.text)));
    }
    number
}

/// Validates the values of a node. Returns the node if all of them are valid.
fn parse_node(row: &Row, id: &str, faults: &mut Faults) -> Option<Node> {
    let mut value = |n: usize, expected: &str, is_valid: &dyn Fn(&str) -> bool| {
        let cell = row.cells[n].as_ref()?;
        let valid = is_valid(&cell.text);
        if !valid {
            let name = COLUMNS[n];
            let found =
                if cell.text.is_empty() { "empty".into() } else { format!("{:?}", excerpt(&cell.text)) };
            faults.add(cell.at, Some(id), format!("{name} is {found}, expected {expected}"));
        }
        valid.then_some(&cell.text)
    };
    let is_name = |t: &str| {
        (1..=MAX_NAME_BYTES).contains(&t.len())
            && t.chars().all(|c| !c.is_control() && !c.is_whitespace() && !",\"'".contains(c))
    };
    let name_rule = "1 to 128 characters without spaces, commas or quotes";
    let id_value = value(0, name_rule, &is_name);
    let address = value(1, "an IP address and a port, such as 10.1.0.18:5000", &|t| {
        t.parse::<SocketAddr>().is_ok_and(|a| a.port() > 0)
    });
    let zone = value(2, name_rule, &is_name);
    let kind = value(3, name_rule, &is_name);
    let cell = value(4, "a whole number or nothing", &|t| t.is_empty() || t.parse::<i64>().is_ok());
    let state = value(5, "in_service, terminating or terminated", &|t| State::from_name(t).is_some());
    let weight = value(6, "a number from 0 to 1e9", &|t| {
        t.parse::<f64>().is_ok_and(|w| (0.0..=MAX_WEIGHT).contains(&w) && w.is_sign_positive())
    });
    let started = value(7, "Unix milliseconds or nothing", &|t| {
        t.is_empty() || t.parse::<u64>().is_ok_and(|at| at < START_TIME_LIMIT_MS)
    });
    Some(Node {
        id: id_value?.to_string(),
        address: address?.parse().ok()?,
        zone: zone?.to_string(),
        kind: kind?.to_string(),
        cell: cell?.parse().ok(),
        state: State::from_name(state?)?,
        weight: weight?.parse().ok()?,
        started_ms: started?.parse().ok().filter(|at| *at > 0),
    })
}
