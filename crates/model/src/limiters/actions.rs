//! What a module asks its host to do.

use super::attempts::{Attempt, AttemptEnd};
use super::servers::Reuse;
use super::In;
use crate::links::End;
use crate::world::{What, World, EPOCH};
use liftrouter_decision::{Action, Event, Outcome, RequestId};
use liftrouter_stage::schedule::{micros, Micros};
use liftrouter_stage::trouble::Born;
use std::collections::VecDeque;

/// The longest that connecting takes.
const CONNECT_TIMEOUT: Micros = 250_000;
/// The longest that probing takes.
const PROBE_TIMEOUT: Micros = 250_000;
/// A connection is kept for this share of the time after which nodes close it.
const IDLE_SHARE: f64 = 0.5;

impl World<'_> {
    /// Carries out an action; events that follow at once are added to those that the module is told of.
    pub(super) fn carry_out(&mut self, l: u16, action: Action, events: &mut VecDeque<Event>) {
        match action {
            Action::Send { id, endpoint: server, timeout_s, .. } => {
                self.send(l, id, &server, timeout_s, events)
            }
            Action::Authorize { id } => self.answer(l, id, 200, 0.0),
            Action::Reject { id, retry_after_s } => self.answer(l, id, 429, retry_after_s),
            Action::Fail { id } => self.answer(l, id, 502, 0.0),
            Action::Cancel { id, attempt } => {
                let running = self.gate(l).running(id);
                if let Some(key) = running.filter(|key| self.attempts[*key].n == attempt) {
                    self.attempt_ended(l, key, AttemptEnd::failed(Outcome::Cancelled), events);
                }
            }
            Action::Withdraw { id, attempt } => {
                let running = self.gate(l).running(id);
                let unsent = |key: &usize| self.attempts[*key].n == attempt && !self.attempts[*key].sent;
                if let Some(key) = running.filter(unsent) {
                    self.attempt_ended(l, key, AttemptEnd::failed(Outcome::NotSent), events);
                }
            }
            Action::IncrementCounter { key: name, increment: add, ttl_s: lives } => {
                if let Err(outcome) = self.call(l, &name, add, lives) {
                    events.push_back(Event::CounterReply { key: name, outcome, total: 0.0, elapsed_s: 0.0 });
                }
            }
            Action::SetTimer { expires_at, token } => {
                let gate = &self.gates[usize::from(l)];
                let at = micros(expires_at - EPOCH - gate.skew);
                self.queue.at(at, What::News(l, gate.life(), In::Timer(token)));
            }
            Action::CheckHealth { endpoint: server } => self.probe(l, &server),
            Action::WatchEndpoints => {}
        }
    }

    fn probe(&mut self, l: u16, server: &str) {
        let Some(node) = node_of(server) else { return };
        let gate = self.gate(l);
        let life = gate.life();
        let stamp = gate.servers.begin_probe(node, gate.requests.last_id() as u32);
        let serves = gate.servers.in_service(node).is_some();
        let effect = self.links.effect(l, End::Node(node));
        let ended = |outcome| In::Probed { node, stamp, outcome, busy: None };
        self.queue.after(PROBE_TIMEOUT, What::News(l, life, ended(Outcome::Timeout)));
        if !serves {
            self.news(l, life, ended(Outcome::ConnectFailed));
        } else if !effect.cut {
            self.cross(l, End::Node(node), effect.born(), What::Probe(l, life, node, stamp));
        }
    }

    /// Begins an attempt, or tells the module that it was never sent.
    fn send(&mut self, l: u16, id: RequestId, server: &str, timeout_s: f64, events: &mut VecDeque<Event>) {
        let (now, key) = (self.now(), self.attempts.len());
        let gate = &mut self.gates[usize::from(l)];
        let Some(asked) = gate.requests.get_mut(id) else { return };
        let (n, may) = (asked.attempts, asked.may_send(timeout_s));
        asked.attempts += 1;
        let Some(node) = node_of(server).filter(|_| may) else {
            return events.push_back(Event::attempt_not_sent(id, n));
        };
        let limit = if timeout_s > 0.0 { asked.due.min(now + micros(timeout_s.min(1e6))) } else { asked.due };
        asked.running = Some(key);
        let (tried, life) = (asked.id, gate.life());
        let server_life = gate.servers.in_service(node);
        self.attempts.push(Attempt {
            id: tried,
            limiter: l,
            life,
            request: id,
            n,
            node,
            node_life: server_life.unwrap_or(u32::MAX),
            began: now,
            born: Born::default(),
            sent: false,
            fresh: true,
            came: 0,
            arrived: None,
            closed: false,
            over: false,
            stalled: false,
        });
        self.queue.at(limit, What::News(l, life, In::Limit(key)));
        match server_life {
            Some(server_life) => self.connect(key, server_life),
            None => self.queue.after(0, What::News(l, life, connect_failed(key))),
        }
    }

    /// Takes an idle connection for an attempt, or opens one.
    fn connect(&mut self, key: usize, server_life: u32) {
        let attempt = &self.attempts[key];
        let (l, life, node) = (attempt.limiter, attempt.life, attempt.node);
        if let Some(born) = self.reuse(l, node, server_life) {
            let attempt = &mut self.attempts[key];
            (attempt.fresh, attempt.born) = (false, born);
            return self.write(key);
        }
        let (effect, wire) = (self.links.effect(l, End::Node(node)), self.wires.wire());
        let failed = What::News(l, life, connect_failed(key));
        if effect.cut {
            return self.queue.after(CONNECT_TIMEOUT, failed);
        }
        let alive = self.node_lives(node, server_life);
        self.queue.after(2 * wire, if alive { What::Connected(key) } else { failed });
    }

    fn reuse(&mut self, l: u16, node: u16, life: u32) -> Option<Born> {
        let link = self.links.effect(l, End::Node(node));
        let (now, keep) = (self.now(), micros(IDLE_SHARE * self.s.nodes.idle_s));
        let alive = self.node_lives(node, life);
        self.gate(l).servers.reuse(node, &Reuse { now, keep, life, alive, link: &link })
    }

    fn node_lives(&self, node: u16, number: u32) -> bool {
        self.nodes[usize::from(node)].life.as_ref().is_some_and(|life| life.number == number)
    }

    /// Answers a request, if an answer is owed.
    pub(super) fn answer(&mut self, l: u16, request: RequestId, status: u16, advice: f64) {
        if let Some(id) = self.gate(l).requests.answer(request) {
            let wire = self.wires.wire();
            self.queue.after(wire, What::Reply(id, status, advice));
            self.gate(l).requests.forget(request);
        }
    }
}

pub(super) fn connect_failed(key: usize) -> In {
    In::Ended(key, AttemptEnd::failed(Outcome::ConnectFailed))
}

fn node_of(server: &str) -> Option<u16> {
    server.strip_prefix("s-")?.parse().ok()
}
