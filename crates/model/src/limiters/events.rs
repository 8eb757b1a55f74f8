//! What a limiter hears, and how its module is told of it.

use super::attempts::{report, AttemptEnd};
use super::In;
use crate::list::Line;
use crate::world::{What, World};
use liftrouter_decision::{Event, Outcome, Request, RequestId};
use liftrouter_stage::history::TryId;
use liftrouter_stage::schedule::{micros, Arrival, Micros};
use std::collections::VecDeque;

/// An answer is due so much before its client gives up.
const MARGIN: Micros = 10_000;

impl World<'_> {
    pub(super) fn hear(&mut self, l: u16, news: In) {
        match news {
            In::Asked(id) => self.asked(l, id),
            In::Gone(id) => self.client_gone(l, id),
            In::Ended(key, end) => self.end_attempt(l, key, end),
            In::Limit(key) => {
                // Not written whole by then, it never ran.
                let sent = self.attempts[key].sent;
                let outcome = if sent { Outcome::Timeout } else { Outcome::ConnectFailed };
                self.end_attempt(l, key, AttemptEnd::failed(outcome));
            }
            In::Counted { call, outcome, total } => self.counted(l, call, outcome, total),
            In::CallLimit(call) => {
                let outcome = if self.call_sent(call) { Outcome::Timeout } else { Outcome::ConnectFailed };
                self.counted(l, call, outcome, 0.0);
            }
            In::Probed { node, stamp, outcome, busy } => {
                if self.gate(l).servers.end_probe(node, stamp) {
                    let server = self.nodes[usize::from(node)].id.clone();
                    self.feed(l, Event::HealthChecked { endpoint: server, outcome, report: report(busy) });
                }
            }
            In::Listed(lines) => self.listed(l, false, lines),
            In::Broken => self.feed(l, Event::DiscoveryFailed),
            In::Timer(token) => self.feed(l, Event::Timer { token }),
        }
    }

    fn asked(&mut self, l: u16, id: TryId) {
        // One whose client has gone lies there all the same; what it hears next says so.
        let Some((index, _)) = Arrival::of_id(id) else { return };
        let arrival = &self.schedule.arrivals[index];
        let now = self.now();
        let given_up = arrival.at + micros(self.s.classes[arrival.class].deadline_ms / 1e3);
        let due = self.open.get(&id).map_or(given_up, |open| open.due).saturating_sub(MARGIN);
        let permission = arrival.permission.is_some();
        let gate = &mut self.gates[usize::from(l)];
        if gate.requests.is_full() {
            let wire = self.wires.wire();
            return self.queue.after(wire, What::Reply(id, 503, 0.0));
        }
        let number = gate.requests.open(id, permission, due);
        let due = gate.clock(due.max(now));
        let request = self.request(number, arrival, due);
        self.feed(l, if permission { Event::Authorization(request) } else { Event::Request(request) });
    }

    /// A request as the module knows it.
    fn request(&self, id: RequestId, arrival: &Arrival, due: f64) -> Request {
        let customer = &self.schedule.customers[arrival.customer];
        Request {
            id,
            customer: format!("{:016x}", customer.number).into(),
            plan: self.s.plans[customer.plan].name.as_str().into(),
            class: self.s.classes[arrival.class].name.as_str().into(),
            units: f64::from(arrival.guess),
            reachable_instances: customer.spread as u32,
            is_retry: false,
            deadline: due,
        }
    }

    fn client_gone(&mut self, l: u16, id: TryId) {
        if let Some(request) = self.gate(l).requests.client_gone(id) {
            self.feed(l, Event::ClientDisconnected { id: request });
            self.gate(l).requests.forget(request);
        }
    }

    fn end_attempt(&mut self, l: u16, key: usize, end: AttemptEnd) {
        let mut events = VecDeque::new();
        self.attempt_ended(l, key, end, &mut events);
        self.feed_all(l, events);
    }

    fn counted(&mut self, l: u16, call: usize, outcome: Outcome, total: f64) {
        if let Some((name, took)) = self.call_over(call, outcome) {
            self.feed(l, Event::CounterReply { key: name, outcome, total, elapsed_s: took });
        }
    }

    /// News of the servers. What is out at one that is gone is ended, and what has not been written yet to one that
    /// drains.
    pub(super) fn listed(&mut self, l: u16, whole: bool, lines: Vec<Line>) {
        let entries: Vec<_> = lines.iter().map(|line| self.entry(line)).collect();
        let removed = self.gate(l).servers.apply(whole, &lines);
        // The module first: what it hears of the ended attempts it answers with others.
        self.feed(l, if whole { Event::EndpointList(entries) } else { Event::EndpointChanges(entries) });
        for key in self.gate(l).requests.running() {
            let (node, sent) = (self.attempts[key].node, self.attempts[key].sent);
            if removed.gone.contains(&node) || (removed.draining.contains(&node) && !sent) {
                let outcome = if sent { Outcome::Reset } else { Outcome::ConnectFailed };
                self.end_attempt(l, key, AttemptEnd::failed(outcome));
            }
        }
    }

    fn feed(&mut self, l: u16, event: Event) {
        self.feed_all(l, VecDeque::from([event]));
    }

    /// Tells the module, and carries out what it asks for; what follows from that at once comes next.
    fn feed_all(&mut self, l: u16, mut events: VecDeque<Event>) {
        let now = self.now();
        let gate = self.gate(l);
        let clock = gate.clock(now);
        let Some(mut module) = gate.module.take() else { return };
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            module.handle(clock, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(l, action, &mut events);
            }
        }
        self.gate(l).module = Some(module);
    }
}
