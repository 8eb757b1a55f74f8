//! Attempts and their connections, from a limiter's choice of a server to the end on its side.

use super::actions::connect_failed;
use crate::links::End;
use crate::world::{What, World};
use liftrouter_decision::{Event, LoadReport, Outcome, RequestId};
use liftrouter_stage::history::{AttemptId, Over, TryId};
use liftrouter_stage::schedule::Micros;
use liftrouter_stage::trouble::Born;
use std::collections::VecDeque;

/// An attempt, from its limiter's choice to its end on both sides.
pub(crate) struct Attempt {
    pub id: TryId,
    pub limiter: u16,
    pub life: u32,
    pub(super) request: RequestId,
    pub(super) n: u32,
    pub node: u16,
    pub node_life: u32,
    pub(super) began: Micros,
    pub born: Born,
    /// Written whole.
    pub(super) sent: bool,
    /// On a connection that has just come up.
    pub fresh: bool,
    /// When its first byte came to the end of its link, and its number at the node.
    pub came: Micros,
    pub arrived: Option<AttemptId>,
    /// Its connection has been closed by the limiter, or serves others.
    pub closed: bool,
    /// The node is done with it.
    pub over: bool,
    pub stalled: bool,
}

/// How an attempt has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptEnd {
    pub outcome: Outcome,
    /// The units that it has used.
    pub units: Option<u32>,
    /// The node's load.
    pub busy: Option<f64>,
    /// Its connection can be kept.
    pub keeps: bool,
}

impl AttemptEnd {
    /// Without an answer that could be read, and with its connection.
    pub fn failed(outcome: Outcome) -> AttemptEnd {
        AttemptEnd { outcome, units: None, busy: None, keeps: false }
    }
}

impl World<'_> {
    /// A connection stands: the request is written, unless its node was told to drain meanwhile.
    pub(crate) fn connected(&mut self, key: usize) {
        let attempt = &self.attempts[key];
        let (l, life, node, node_life) = (attempt.limiter, attempt.life, attempt.node, attempt.node_life);
        let gate = &self.gates[usize::from(l)];
        if attempt.closed || !gate.runs(life) {
            return;
        }
        if gate.servers.in_service(node) != Some(node_life) {
            return self.news(l, life, connect_failed(key));
        }
        let effect = self.links.effect(l, End::Node(node));
        self.attempts[key].born = effect.born();
        self.write(key);
        if effect.resetting {
            self.reset(key);
        }
    }

    pub(super) fn write(&mut self, key: usize) {
        let attempt = &mut self.attempts[key];
        attempt.sent = true;
        // What a limiter wrote is seen at once, whatever the link withholds from the node.
        attempt.came = self.queue.now();
        let (l, node, born, id) = (attempt.limiter, attempt.node, attempt.born, attempt.id);
        self.connected.entry(id).or_default().push(key);
        self.cross(l, End::Node(node), born, What::At(key));
    }

    /// An attempt ends for its limiter, if it has not before.
    pub(super) fn attempt_ended(
        &mut self,
        l: u16,
        key: usize,
        end: AttemptEnd,
        events: &mut VecDeque<Event>,
    ) {
        let now = self.now();
        let attempt = &self.attempts[key];
        let (request, n) = (attempt.request, attempt.n);
        let took = (now - attempt.began) as f64 / 1e6;
        let gate = &mut self.gates[usize::from(l)];
        let Some(asked) = gate.requests.get_mut(request).filter(|a| a.running == Some(key)) else { return };
        asked.running = None;
        if end.keeps {
            gate.servers.keep(attempt.node, attempt.node_life, now, attempt.born);
        }
        self.close(key);
        if end.outcome == Outcome::Ok {
            self.answer(l, request, 200, 0.0);
        }
        let finished = self.gate(l).requests.is_answered(request);
        events.push_back(Event::AttemptEnded {
            id: request,
            attempt: n,
            request_finished: finished,
            outcome: end.outcome,
            elapsed_s: took,
            units: end.units.map(f64::from),
            report: report(end.busy),
        });
        self.gate(l).requests.forget(request);
    }

    /// Its connection ends, or goes to others: the node sees it at once.
    pub(crate) fn close(&mut self, key: usize) {
        let attempt = &mut self.attempts[key];
        if std::mem::replace(&mut attempt.closed, true) {
            return;
        }
        let (id, stalled) = (attempt.id, attempt.stalled);
        if let Some(all) = self.connected.get_mut(&id) {
            all.retain(|k| *k != key);
            if all.is_empty() {
                self.connected.remove(&id);
            }
        }
        self.attempt_over(key, if stalled { Over::Spoilt } else { Over::Closed });
    }
}

/// The load report of a node, as nodes write it: to the hundredth.
pub(super) fn report(busy: Option<f64>) -> LoadReport {
    let mut report = LoadReport::default();
    if let Some(busy) = busy {
        report.set("busy", (busy * 100.0).round() / 100.0);
    }
    report
}
