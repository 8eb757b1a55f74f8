//! Nodes: cores and a line before them, cold starts that can be pushed over, drains, a memory of keys, and answers that
//! stall or are rubbish.

use crate::limiters::{AttemptEnd, In};
use crate::links::End;
use crate::list::Line;
use crate::world::{Reply, What, World, EPOCH};
use liftrouter_decision::{EndpointId, Outcome};
use liftrouter_stage::history::{Event, Listed, NodeNews, Over};
use liftrouter_stage::ledger::cold_rule;
use liftrouter_stage::ledger::stores::ColdBudget;
use liftrouter_stage::node::{Condition, Wants, DRAIN_NOTICE};
use liftrouter_stage::scenario::Effect;
use liftrouter_stage::schedule::{micros, seconds, Arrival, Micros};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Work that a node leaves out for a key that it knows.
const REPEAT: Micros = 1_000;

/// Cores, and the line before them: first come, first served.
#[derive(Clone, Debug)]
pub struct Cores<T> {
    all: usize,
    busy: usize,
    line: VecDeque<T>,
}

impl<T> Cores<T> {
    /// So many, all of them free.
    pub fn new(all: usize) -> Self {
        Cores { all, busy: 0, line: VecDeque::new() }
    }

    /// A job comes; given back if a core takes it at once.
    pub fn come(&mut self, job: T) -> Option<T> {
        if self.busy < self.all {
            self.busy += 1;
            return Some(job);
        }
        self.line.push_back(job);
        None
    }

    /// A core is done; the job that it takes next, if one waits.
    pub fn done(&mut self) -> Option<T> {
        let next = self.line.pop_front();
        if next.is_none() {
            self.busy = self.busy.saturating_sub(1);
        }
        next
    }

    /// Jobs that are worked on or wait.
    pub fn jobs(&self) -> usize {
        self.busy + self.line.len()
    }

    /// Share of the cores that work.
    pub fn share(&self) -> f64 {
        self.busy as f64 / self.all.max(1) as f64
    }
}

/// One process of a node.
pub(crate) struct Life {
    pub number: u32,
    cold: bool,
    cores: Cores<(usize, Micros)>,
    budget: ColdBudget,
    /// Attempts that have come and are not over.
    live: BTreeSet<usize>,
}

pub(crate) struct Node {
    pub id: EndpointId,
    cores: usize,
    speed: f64,
    pub life: Option<Life>,
    lives: u32,
    wants: Wants,
    condition: Condition,
    listed_draining: BTreeSet<u32>,
    pub slow: BTreeMap<u32, f64>,
    pub stalling: BTreeSet<u32>,
    pub rubbish: BTreeSet<u32>,
}

impl Node {
    pub fn new(cores: usize, speed: f64) -> Node {
        Node {
            id: "".into(),
            cores,
            speed,
            life: None,
            lives: 0,
            wants: Wants::default(),
            condition: Condition::Up,
            listed_draining: BTreeSet::new(),
            slow: BTreeMap::new(),
            stalling: BTreeSet::new(),
            rubbish: BTreeSet::new(),
        }
    }
}

impl World<'_> {
    /// Starts a process; what the list is to say of it.
    pub(crate) fn start_node(&mut self, n: u16, cold: bool) -> Line {
        let (s, now) = (self.s, self.now());
        let node = &mut self.nodes[usize::from(n)];
        node.id = format!("s-{n}").into();
        let number = node.lives;
        node.lives += 1;
        let capacity = node.cores as f64 * node.speed;
        let (from, warm) = if cold { (s.nodes.cold_from, micros(s.nodes.cold_s)) } else { (1.0, 0) };
        node.life = Some(Life {
            number,
            cold,
            cores: Cores::new(node.cores),
            budget: ColdBudget::new(cold_rule(s), capacity, from, warm, now),
            live: BTreeSet::new(),
        });
        self.note_node(n, number, NodeNews::Started { cold });
        // Lists say it in milliseconds.
        let started = cold.then(|| EPOCH + (now / 1_000) as f64 / 1e3);
        Line { node: n, life: number, state: Listed::InService, started }
    }

    /// Ends the process: its connections are reset, new ones refused.
    fn kill_node(&mut self, n: u16, what: NodeNews) -> Option<u32> {
        let life = self.nodes[usize::from(n)].life.take()?;
        self.note_node(n, life.number, what);
        for key in life.live {
            self.attempt_over(key, Over::Spoilt);
            self.reset(key);
        }
        Some(life.number)
    }

    /// The connection of an attempt is reset: its limiter sees that whatever the link does.
    pub(crate) fn reset(&mut self, key: usize) {
        let attempt = &self.attempts[key];
        if !attempt.closed {
            let (limiter, life) = (attempt.limiter, attempt.life);
            let wire = self.wires.wire();
            let ended = In::Ended(key, AttemptEnd::failed(Outcome::Reset));
            self.queue.after(wire, What::News(limiter, life, ended));
        }
    }

    fn line(&self, n: u16, life: u32, state: Listed) -> Line {
        let last = self.list.last(n).filter(|line| line.life == life);
        Line { node: n, life, state, started: last.and_then(|line| line.started) }
    }

    pub(crate) fn want(&mut self, n: u16, fault: u32, condition: Condition) {
        self.nodes[usize::from(n)].wants.add(fault, condition);
        self.change_node(n);
    }

    pub(crate) fn undo_node(&mut self, n: u16, fault: u32) {
        self.list_drains(n, fault, false);
        let node = &mut self.nodes[usize::from(n)];
        node.slow.remove(&fault);
        node.stalling.remove(&fault);
        node.rubbish.remove(&fault);
        node.wants.remove(fault);
        self.change_node(n);
    }

    /// Dies and starts at once, cold, unless a fault keeps it down.
    pub(crate) fn restart_node(&mut self, n: u16) {
        if self.nodes[usize::from(n)].condition == Condition::Up {
            self.kill_node(n, NodeNews::Down);
            let line = self.start_node(n, true);
            self.announce(line, self.s.list.notice_s);
        }
    }

    fn change_node(&mut self, n: u16) {
        let node = &mut self.nodes[usize::from(n)];
        let (before, now) = (node.condition, node.wants.condition());
        node.condition = now;
        if before == now {
            return;
        }
        let life = node.life.as_ref().map(|l| l.number);
        let notice = self.s.list.notice_s;
        if before == Condition::Vanished {
            // The machine is back, or dead for good: what stood open to it is reset.
            self.kill_node(n, NodeNews::Down);
            self.links.vanished.remove(&n);
            self.links_changed();
        }
        match now {
            Condition::Up => {
                self.kill_node(n, NodeNews::Down);
                let line = self.start_node(n, true);
                self.announce(line, notice);
            }
            Condition::Draining => {
                if let Some(life) = life {
                    let line = self.line(n, life, Listed::Draining);
                    self.announce(line, notice * DRAIN_NOTICE);
                }
            }
            Condition::Vanished => {
                self.links.vanished.insert(n);
                if let Some(life) = life {
                    let line = self.line(n, life, Listed::Gone);
                    self.announce(line, self.s.list.silent_notice_s);
                }
            }
            Condition::Down => {
                if let Some(life) = self.kill_node(n, NodeNews::Down).or(life) {
                    let line = self.line(n, life, Listed::Gone);
                    self.announce(line, notice);
                }
            }
        }
    }

    /// A fault begins, or ends: the list says that it drains, and it knows nothing of it.
    pub(crate) fn list_drains(&mut self, n: u16, fault: u32, drains: bool) {
        let node = &mut self.nodes[usize::from(n)];
        if drains {
            node.listed_draining.insert(fault);
        } else if !node.listed_draining.remove(&fault) {
            return;
        }
        let held = !node.listed_draining.is_empty();
        if let (Some(life), Condition::Up) = (node.life.as_ref().map(|l| l.number), node.condition) {
            let state = if held { Listed::Draining } else { Listed::InService };
            let line = self.line(n, life, state);
            self.announce(line, 0.0);
        }
    }

    // ----- requests -----

    /// A request comes to a node.
    pub(crate) fn at_node(&mut self, key: usize) {
        let attempt = &mut self.attempts[key];
        let lives = self.nodes[usize::from(attempt.node)].life.as_ref();
        if lives.is_none_or(|life| life.number != attempt.node_life) {
            return self.reset(key);
        }
        let pause =
            if std::mem::take(&mut attempt.fresh) { micros(self.s.nodes.handshake_ms / 1e3) } else { 0 };
        self.queue.after(pause, What::Serve(key));
    }

    pub(crate) fn serve(&mut self, key: usize) {
        let attempt = &self.attempts[key];
        let (n, id, limiter, first) = (attempt.node, attempt.id, attempt.limiter, attempt.came);
        let number = attempt.node_life;
        if self.nodes[usize::from(n)].life.as_ref().is_none_or(|life| life.number != number) {
            return self.reset(key);
        }
        let attempt_id = self.arrived;
        self.arrived += 1;
        let others = self.connected.entry(id).or_default();
        let open = others.iter().filter(|k| **k != key).filter_map(|k| self.attempts[*k].arrived).collect();
        self.attempts[key].arrived = Some(attempt_id);
        let event = Event::Arrived {
            attempt: attempt_id,
            id,
            node: n,
            life: number,
            limiter,
            first,
            open,
            version: None,
        };
        self.note(event);
        let Some((index, _)) = Arrival::of_id(id) else { return };
        let arrival = &self.schedule.arrivals[index];
        let (work, now) = (arrival.work, self.now());
        let room = self.s.nodes.cores * (1 + self.s.nodes.queue_per_core);
        let node = &mut self.nodes[usize::from(n)];
        let draining = node.condition == Condition::Draining;
        let Some(life) = &mut node.life else { return };
        life.live.insert(key);
        let collapses = life.budget.push(now, seconds(work), true).is_some();
        if life.cold && collapses {
            if let Some(life) = self.kill_node(n, NodeNews::Collapsed) {
                let line = self.line(n, life, Listed::Gone);
                self.announce(line, self.s.list.notice_s);
            }
            return;
        }
        if draining || life.cores.jobs() >= room {
            let reply = Reply { how: Over::Turned, outcome: Outcome::Overloaded, units: None, keeps: true };
            return self.reply_over(key, reply);
        }
        let keyed = self.s.classes[arrival.class].effect != Effect::Safe;
        let repeats = keyed && self.repeats(index);
        let node = &mut self.nodes[usize::from(n)];
        let Some(life) = &mut node.life else { return };
        let job = (key, if repeats { REPEAT } else { work });
        if let Some(job) = life.cores.come(job) {
            self.begin_work(n, job);
        }
        if self.attempts[key].closed {
            // Closing the connection stops no work.
            self.attempt_over(key, Over::Closed);
        }
    }

    fn repeats(&mut self, key: usize) -> bool {
        let (now, memory) = (self.now(), micros(self.s.nodes.key_memory_s));
        let known = self.keys.get(&key).is_some_and(|until| *until > now);
        if !known {
            self.keys.insert(key, now + memory);
        }
        known
    }

    fn begin_work(&mut self, n: u16, (key, work): (usize, Micros)) {
        let now = self.now();
        let node = &self.nodes[usize::from(n)];
        let Some(life) = &node.life else { return };
        let slow: f64 = node.slow.values().product();
        let takes = work as f64 * slow / (node.speed * life.budget.warmth(now));
        let number = life.number;
        self.queue.after(takes as Micros, What::Done(n, number, key));
    }

    pub(crate) fn done(&mut self, n: u16, number: u32, key: usize) {
        let node = &mut self.nodes[usize::from(n)];
        let Some(life) = node.life.as_mut().filter(|life| life.number == number) else { return };
        if let Some(next) = life.cores.done() {
            self.begin_work(n, next);
        }
        let attempt = &mut self.attempts[key];
        if attempt.closed || attempt.over {
            return;
        }
        let units =
            Arrival::of_id(attempt.id).and_then(|(i, _)| self.schedule.arrivals.get(i)).map(|a| a.units);
        let node = &self.nodes[usize::from(n)];
        let reply = if !node.rubbish.is_empty() {
            // In turn what is no answer, half of one, an error, and what is none again.
            let error = attempt.arrived.unwrap_or_default() % 4 == 2;
            let outcome = if error { Outcome::Error } else { Outcome::Reset };
            Reply { how: Over::Spoilt, outcome, units: None, keeps: error }
        } else if !node.stalling.is_empty() {
            attempt.stalled = true;
            return;
        } else {
            Reply { how: Over::Answered(200), outcome: Outcome::Ok, units, keeps: true }
        };
        self.reply_over(key, reply);
    }

    /// An answer is out once its link lets it.
    fn reply_over(&mut self, key: usize, reply: Reply) {
        let Some((limiter, node, born)) = self.attempts.get(key).map(|a| (a.limiter, a.node, a.born)) else {
            return;
        };
        let effect = self.links.effect(limiter, End::Node(node));
        if effect.swallows(born) || effect.has_reset(born) {
            return;
        }
        if effect.held {
            return self.links.wait(limiter, End::Node(node), born, What::Passes(key, reply));
        }
        self.queue.after(effect.delay.as_micros() as Micros, What::Passes(key, reply));
    }

    pub(crate) fn passes(&mut self, key: usize, reply: Reply) {
        let attempt = &self.attempts[key];
        let (limiter, node, life, born) = (attempt.limiter, attempt.node, attempt.life, attempt.born);
        if attempt.closed || attempt.over {
            return;
        }
        if self.links.effect(limiter, End::Node(node)).held {
            return self.links.wait(limiter, End::Node(node), born, What::Passes(key, reply));
        }
        let busy = self.nodes[usize::from(node)].life.as_ref().map(|life| life.cores.share());
        self.attempt_over(key, reply.how);
        let busy = busy.filter(|_| reply.how != Over::Spoilt);
        let Reply { outcome, units, keeps, .. } = reply;
        let ended = In::Ended(key, AttemptEnd { outcome, units, busy, keeps });
        let wire = self.wires.wire();
        self.queue.after(wire, What::News(limiter, life, ended));
    }

    /// An attempt counts as out until its answer is about to be written, or its connection has ended.
    pub(crate) fn attempt_over(&mut self, key: usize, how: Over) {
        let attempt = &mut self.attempts[key];
        let Some(number) = attempt.arrived.filter(|_| !std::mem::replace(&mut attempt.over, true)) else {
            return;
        };
        let node = attempt.node;
        if let Some(life) = &mut self.nodes[usize::from(node)].life {
            life.live.remove(&key);
        }
        self.note(Event::Over { attempt: number, how });
    }

    /// A probe comes to a node.
    pub(crate) fn probed(&mut self, limiter: u16, life: u32, n: u16, stamp: u32) {
        let busy = self.nodes[usize::from(n)].life.as_ref().map(|life| life.cores.share());
        let outcome = if busy.is_some() { Outcome::Ok } else { Outcome::ConnectFailed };
        if busy.is_some() {
            self.note(Event::Probed { limiter });
        }
        let born = self.links.effect(limiter, End::Node(n)).born();
        let news = In::Probed { node: n, stamp, outcome, busy };
        self.cross(limiter, End::Node(n), born, What::News(limiter, life, news));
    }
}
