//! Links between limiters and what they talk to. Only those that have had trouble are kept: there may be millions.

use crate::world::{What, World};
use liftrouter_stage::schedule::Micros;
use liftrouter_stage::trouble::{Born, Effect, Trouble, Troubles};
use std::collections::{BTreeMap, BTreeSet};

/// The other end of a limiter's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum End {
    Keeper,
    List,
    Node(u16),
}

/// All links.
#[derive(Default)]
pub(crate) struct Links {
    troubled: BTreeMap<(u16, End), Troubles>,
    /// Nodes whose machines say nothing.
    pub vanished: BTreeSet<u16>,
    /// What waits until a link lets it pass.
    waiting: Vec<(u16, End, Born, What)>,
}

impl Links {
    pub fn effect(&self, limiter: u16, end: End) -> Effect {
        let mut effect = self.troubled.get(&(limiter, end)).map(Troubles::effect).unwrap_or_default();
        if matches!(end, End::Node(n) if self.vanished.contains(&n)) {
            (effect.cut, effect.held) = (true, true);
        }
        effect
    }

    pub fn begin(&mut self, limiter: u16, end: End, fault: u32, trouble: Trouble) {
        self.troubled.entry((limiter, end)).or_default().begin(fault, trouble);
    }

    /// The trouble that a fault made anywhere is over; gives the links that it was on.
    pub fn undo(&mut self, fault: u32) -> Vec<(u16, End)> {
        let mut struck = Vec::new();
        for (link, troubles) in &mut self.troubled {
            let before = troubles.effect();
            troubles.undo(fault);
            if troubles.effect() != before {
                struck.push(*link);
            }
        }
        struck
    }

    /// Puts off what a held link does not let pass.
    pub fn wait(&mut self, limiter: u16, end: End, born: Born, what: What) {
        self.waiting.push((limiter, end, born, what));
    }

    /// What was put off, in its order.
    pub fn take_waiting(&mut self) -> Vec<(u16, End, Born, What)> {
        std::mem::take(&mut self.waiting)
    }
}

impl World<'_> {
    /// Sends something over a link: now, later, or never.
    pub(crate) fn cross(&mut self, limiter: u16, end: End, born: Born, what: What) {
        let effect = self.links.effect(limiter, end);
        if effect.swallows(born) || effect.has_reset(born) {
            return;
        }
        if effect.held {
            return self.links.wait(limiter, end, born, what);
        }
        let wire = self.wires.wire() + effect.delay.as_micros() as Micros;
        self.queue.after(wire, what);
    }

    /// Links have changed: what waits tries again.
    pub(crate) fn links_changed(&mut self) {
        for (limiter, end, born, what) in self.links.take_waiting() {
            self.cross(limiter, end, born, what);
        }
    }
}
