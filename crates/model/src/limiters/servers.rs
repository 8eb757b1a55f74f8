//! The servers that a limiter knows, its idle connections to them, and its probes.

use crate::list::Line;
use liftrouter_decision::EndpointState;
use liftrouter_stage::schedule::Micros;
use liftrouter_stage::trouble::{Born, Effect};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A connection rests for so long between two requests.
const REST: Micros = 5_000;

/// A server as a limiter knows it.
struct Server {
    life: u32,
    state: EndpointState,
}

/// An idle connection.
struct Idle {
    life: u32,
    used: Micros,
    born: Born,
}

/// What a connection pool looks at before it gives out a connection.
pub(super) struct Reuse<'a> {
    pub now: Micros,
    /// Connections are kept for so long after their last use.
    pub keep: Micros,
    /// The life of the server that the limiter knows.
    pub life: u32,
    /// Whether the server is still of that life.
    pub alive: bool,
    pub link: &'a Effect,
}

/// Servers that a change of the list has taken out of service.
#[derive(Default)]
pub(super) struct Removed {
    pub gone: BTreeSet<u16>,
    pub draining: BTreeSet<u16>,
}

/// The servers that a limiter knows, by node.
#[derive(Default)]
pub(super) struct Servers {
    known: BTreeMap<u16, Server>,
    idle: HashMap<u16, Vec<Idle>>,
    /// The stamp of the probe that is out to a server.
    probes: HashMap<u16, u32>,
}

impl Servers {
    /// The life of a server that is in service.
    pub fn in_service(&self, node: u16) -> Option<u32> {
        self.known.get(&node).filter(|s| s.state == EndpointState::InService).map(|s| s.life)
    }

    /// Takes in changes of the list, or all of it.
    pub fn apply(&mut self, whole: bool, lines: &[Line]) -> Removed {
        let mut removed = Removed::default();
        for line in lines {
            self.apply_line(line, &mut removed);
        }
        if whole {
            let named: BTreeSet<u16> = lines.iter().map(|line| line.node).collect();
            let other: Vec<u16> = self.known.keys().copied().filter(|n| !named.contains(n)).collect();
            for node in other {
                self.known.remove(&node);
                self.idle.remove(&node);
                removed.gone.insert(node);
            }
        }
        removed
    }

    fn apply_line(&mut self, line: &Line, removed: &mut Removed) {
        let (node, state) = (line.node, line.server_state());
        let before = self.known.get(&node).map(|server| server.life);
        if state != EndpointState::InService || before != Some(line.life) {
            self.idle.remove(&node);
        }
        self.known.insert(node, Server { life: line.life, state });
        match state {
            EndpointState::InService => {}
            EndpointState::Draining => drop(removed.draining.insert(node)),
            EndpointState::Removed => {
                removed.gone.insert(node);
                self.known.remove(&node);
            }
        }
    }

    /// Keeps a connection, if its server is still in service.
    pub fn keep(&mut self, node: u16, life: u32, used: Micros, born: Born) {
        if self.in_service(node) == Some(life) {
            self.idle.entry(node).or_default().push(Idle { life, used, born });
        }
    }

    /// An idle connection that has rested and is still good; those that are not good are dropped.
    pub fn reuse(&mut self, node: u16, by: &Reuse) -> Option<Born> {
        let idle = self.idle.get_mut(&node)?;
        idle.retain(|i| {
            by.alive && i.life == by.life && by.now < i.used + by.keep && !by.link.has_reset(i.born)
        });
        let rested = idle.iter().rposition(|i| by.now >= i.used + REST)?;
        Some(idle.remove(rested).born)
    }

    /// Begins a probe, whose stamp is after that of the last one, or after `first`.
    pub fn begin_probe(&mut self, node: u16, first: u32) -> u32 {
        let stamp = self.probes.get(&node).copied().unwrap_or(first).wrapping_add(1);
        self.probes.insert(node, stamp);
        stamp
    }

    /// Ends the probe of this stamp, if it has not ended before.
    pub fn end_probe(&mut self, node: u16, stamp: u32) -> bool {
        let ends = self.probes.get(&node) == Some(&stamp);
        if ends {
            self.probes.remove(&node);
        }
        ends
    }
}
