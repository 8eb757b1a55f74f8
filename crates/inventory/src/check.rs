//! The values of either form held against what a node may be.

use crate::model::{shown, Cell, Faults, Inventory, Node, Place, Raw, Row, State, COLUMNS, MAX_NODES};
use std::collections::HashMap;
use std::net::SocketAddr;

const LONGEST: usize = 128;
/// Later than any clock: the year 10000.
const LATEST_MS: u64 = 253_402_300_800_000;
/// No machine is this much larger than another.
const HEAVIEST: f64 = 1e9;

const ID: usize = 0;
const ADDRESS: usize = 1;
const WEIGHT: usize = 6;

/// Checks all, and names every fault; what comes out is of use only without any.
pub fn check(raw: Raw, faults: &mut Faults) -> Inventory {
    let version = raw.version.as_ref().and_then(|c| whole(c, "version", faults));
    if let Some(count) = raw.count.as_ref().and_then(|c| whole(c, "count", faults)) {
        if count != raw.rows.len() as u64 && !raw.unreadable {
            let at = raw.count.as_ref().map_or((0, 0), |c| c.at);
            faults.add(at, None, format!("count is {count}, but the file holds {} nodes", raw.rows.len()));
        }
    }
    let removal_allowed = raw.removal.as_ref().is_some_and(|c| {
        let allowed = c.text == "allowed";
        if !allowed {
            faults.add(c.at, None, format!("removal is {:?}, expected allowed", shown(&c.text)));
        }
        allowed
    });
    let closed = raw.ended || raw.count.is_some();
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
    let mut ids: HashMap<&str, Place> = HashMap::with_capacity(raw.rows.len());
    let mut addresses: HashMap<SocketAddr, (&str, Place)> = HashMap::with_capacity(raw.rows.len());
    let mut heavy = false;
    for row in &raw.rows {
        let id = row.cells[ID].as_ref().map_or("", |c| &c.text);
        let node = node(row, id, faults);
        if let Some(cell) = row.cells[ID].as_ref().filter(|c| !c.text.is_empty()) {
            if let Some((line, _)) = ids.get(id) {
                faults.add(cell.at, Some(id), format!("id is given twice, first in line {line}"));
            } else {
                ids.insert(id, cell.at);
            }
        }
        // One that is withdrawn holds its address no longer.
        let held = node.as_ref().is_none_or(|n| n.state != State::Terminated);
        let address =
            row.cells[ADDRESS].as_ref().and_then(|c| Some((c.text.parse::<SocketAddr>().ok()?, c.at)));
        if let Some((address, at)) = address.filter(|_| held) {
            if let Some((other, (line, _))) = addresses.get(&address).filter(|(other, _)| *other != id) {
                faults.add(
                    at,
                    Some(id),
                    format!("address {address} is that of {} in line {line}", shown(other)),
                );
            } else {
                addresses.insert(address, (id, at));
            }
        }
        heavy |= node.as_ref().is_none_or(|n| n.weight > 0.0);
        nodes.extend(node);
    }
    if !heavy {
        if let Some(cell) = raw.rows.first().and_then(|r| r.cells[WEIGHT].as_ref()) {
            faults.add(cell.at, None, "weight is 0 for every node, expected more for one at least");
        }
    }
    Inventory { version, removal_allowed, closed, nodes }
}

fn whole(cell: &Cell, name: &str, faults: &mut Faults) -> Option<u64> {
    let digits = !cell.text.is_empty() && cell.text.bytes().all(|b| b.is_ascii_digit());
    let number = cell.text.parse::<u64>().ok().filter(|_| digits);
    if number.is_none() {
        faults.add(cell.at, None, format!("{name} is {:?}, expected a whole number", shown(&cell.text)));
    }
    number
}

/// A node, if every value of it can be one.
fn node(row: &Row, id: &str, faults: &mut Faults) -> Option<Node> {
    let mut value = |n: usize, expected: &str, may_be: &dyn Fn(&str) -> bool| {
        let cell = row.cells[n].as_ref()?;
        let good = may_be(&cell.text);
        if !good {
            let name = COLUMNS[n];
            let found =
                if cell.text.is_empty() { "empty".into() } else { format!("{:?}", shown(&cell.text)) };
            faults.add(cell.at, Some(id), format!("{name} is {found}, expected {expected}"));
        }
        good.then_some(&cell.text)
    };
    let name = |t: &str| {
        (1..=LONGEST).contains(&t.len())
            && t.chars().all(|c| !c.is_control() && !c.is_whitespace() && !",\"'".contains(c))
    };
    let named = "1 to 128 characters without spaces, commas or quotes";
    let id_value = value(0, named, &name);
    let address = value(1, "an IP address and a port, such as 10.1.0.18:5000", &|t| {
        t.parse::<SocketAddr>().is_ok_and(|a| a.port() > 0)
    });
    let zone = value(2, named, &name);
    let kind = value(3, named, &name);
    let cell = value(4, "a whole number or nothing", &|t| t.is_empty() || t.parse::<i64>().is_ok());
    let state = value(5, "in_service, terminating or terminated", &|t| State::from_name(t).is_some());
    let weight = value(6, "a number from 0 to 1e9", &|t| {
        t.parse::<f64>().is_ok_and(|w| (0.0..=HEAVIEST).contains(&w) && w.is_sign_positive())
    });
    let started = value(7, "Unix milliseconds or nothing", &|t| {
        t.is_empty() || t.parse::<u64>().is_ok_and(|at| at < LATEST_MS)
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
