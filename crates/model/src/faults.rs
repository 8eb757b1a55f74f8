//! Faults, as the kit plays them.

use crate::limiters::ProcessEvent;
use crate::links::End;
use crate::world::{What, World};
use liftrouter_stage::history::Event;
use liftrouter_stage::node::Condition;
use liftrouter_stage::scenario::{Kind, Victim};
use liftrouter_stage::schedule::{Peer, Planned};
use liftrouter_stage::trouble::Trouble;
use std::collections::BTreeSet;
use std::time::Duration;

impl World<'_> {
    fn room(&self, n: usize) -> usize {
        n % self.s.rooms.len()
    }

    fn trouble(&mut self, l: u16, end: End, fault: u32, trouble: Trouble) {
        self.links.begin(l, end, fault, trouble);
        if end == End::List {
            self.list_falls_silent(l);
        }
        // What stands open is reset when it begins.
        if let (Trouble::Reset, End::Node(n)) = (trouble, end) {
            let struck: Vec<usize> = self.connected.values().flatten().copied().collect();
            let mut struck: Vec<usize> = struck
                .into_iter()
                .filter(|key| self.attempts[*key].limiter == l && self.attempts[*key].node == n)
                .collect();
            // The map has no order of its own.
            struck.sort_unstable();
            for key in struck {
                self.attempt_over(key, liftrouter_stage::history::Over::Closed);
                self.reset(key);
            }
        }
    }

    fn link_trouble(&mut self, fault: &Planned, trouble: Trouble) {
        let l = fault.victim as u16;
        let nodes = (0..self.nodes.len()).map(|n| End::Node(n as u16));
        let ends: Vec<End> = match fault.peer {
            Peer::Keeper => vec![End::Keeper],
            Peer::List => vec![End::List],
            Peer::Authoriser => Vec::new(),
            Peer::Node(n) => vec![End::Node(n as u16)],
            Peer::All => nodes.chain([End::Keeper, End::List]).collect(),
        };
        for end in ends {
            self.trouble(l, end, fault.id, trouble);
        }
    }

    /// Cuts what crosses between a room and the others; keeper and list stand in the first.
    fn cut_room(&mut self, fault: &Planned) {
        for l in 0..self.gates.len() {
            let inside = self.room(l) == fault.victim;
            for n in 0..self.nodes.len() {
                if inside != (self.room(n) == fault.victim) {
                    self.trouble(l as u16, End::Node(n as u16), fault.id, Trouble::Cut);
                }
            }
            if inside != (fault.victim == 0) {
                self.trouble(l as u16, End::Keeper, fault.id, Trouble::Cut);
                self.trouble(l as u16, End::List, fault.id, Trouble::Held);
            }
        }
    }

    pub(crate) fn begin(&mut self, n: usize) {
        let fault = &self.schedule.faults[n];
        let (id, victim) = (fault.id, fault.victim as u16);
        let seed = self.schedule.seed ^ u64::from(id);
        self.note(Event::Fault { id, on: true });
        let slow = Duration::from_secs_f64(fault.size.max(0.0) / 1e3);
        match fault.kind {
            Kind::KeeperSilent => drop(self.keeper.silent.insert(id)),
            Kind::KeeperSlow => self.keeper.counts.slow_down(id, fault.size),
            Kind::KeeperRefusing => drop(self.keeper.refusing.insert(id)),
            Kind::KeeperForgets => self.keeper.counts.forget(fault.size, seed),
            Kind::KeeperStale => self.keeper.counts.freeze(id),
            Kind::KeeperSplit => {
                let inside = (0..self.gates.len()).filter(|l| self.room(*l) == fault.victim);
                let inside: BTreeSet<u16> = inside.map(|l| l as u16).collect();
                self.keeper.counts.split(id, inside, fault.size, seed);
            }
            Kind::KeeperSwapped => {
                self.keeper.counts.forget(1.0 - fault.size, seed);
                self.gates.iter_mut().for_each(|gate| gate.keeper.kept_until = 0);
            }
            Kind::KeeperDoubled => self.keeper.counts.double(id),
            Kind::RoomCut => self.cut_room(fault),
            Kind::LinkCut => self.link_trouble(fault, Trouble::Cut),
            Kind::LinkHeld => self.link_trouble(fault, Trouble::Held),
            Kind::LinkDropping => self.link_trouble(fault, Trouble::Dropping),
            Kind::LinkSlow => self.link_trouble(fault, Trouble::Slow(slow)),
            Kind::LinkReset => self.link_trouble(fault, Trouble::Reset),
            Kind::NodeKilled => self.want(victim, id, Condition::Down),
            Kind::NodeVanished => self.want(victim, id, Condition::Vanished),
            Kind::NodeDraining | Kind::RollingDeploy => self.want(victim, id, Condition::Draining),
            Kind::NodeRestarted => self.restart_node(victim),
            Kind::NodeSlow => drop(self.nodes[fault.victim].slow.insert(id, fault.size)),
            Kind::NodeStalling => drop(self.nodes[fault.victim].stalling.insert(id)),
            Kind::NodeRubbish => drop(self.nodes[fault.victim].rubbish.insert(id)),
            Kind::ListSilent => {
                for l in 0..self.gates.len() {
                    self.trouble(l as u16, End::List, id, Trouble::Held);
                }
            }
            Kind::ListLate => drop(self.list.delays.insert(id, fault.size)),
            Kind::ListDrains => self.list_drains(victim, id, true),
            Kind::LimiterKilled => self.process_event(victim, ProcessEvent::Kill { fault: id }),
            Kind::LimiterTerminated => {
                self.process_event(victim, ProcessEvent::Terminate { fault: id });
            }
            Kind::LimiterPaused => self.process_event(victim, ProcessEvent::Pause { fault: id }),
            // Refused before anything is played: see `fits`.
            Kind::FileDamaged
            | Kind::FileMissing
            | Kind::AuthoriserSilent
            | Kind::AuthoriserSlow
            | Kind::AuthoriserRefusing
            | Kind::AuthoriserRubbish
            | Kind::AuthoriserGoaway
            | Kind::ResetFlood
            | Kind::StandInPanics => {}
        }
    }

    pub(crate) fn undo(&mut self, n: usize) {
        let fault = &self.schedule.faults[n];
        let (id, victim) = (fault.id, fault.victim as u16);
        self.note(Event::Fault { id, on: false });
        match fault.kind.about().victim {
            Victim::Node => self.undo_node(victim, id),
            Victim::Limiter => self.process_event(victim, ProcessEvent::Undo { fault: id }),
            _ => {}
        }
        self.keeper.counts.undo(id);
        self.keeper.refusing.remove(&id);
        if self.keeper.silent.remove(&id) {
            self.keeper_speaks();
        }
        self.list.delays.remove(&id);
        let struck = self.links.undo(id);
        for (l, end) in &struck {
            if *end == End::List {
                // A new watch stands within its next try at the latest.
                self.queue.after(50_000, What::Tell(*l));
            }
        }
        if !struck.is_empty() {
            self.links_changed();
        }
    }
}
