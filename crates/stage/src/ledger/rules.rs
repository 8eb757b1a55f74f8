//! The five rules held against the book. Each break comes with the wire events that prove it.

use super::book::{AttemptLog, Book, TryLog};
use super::quota::Beyond;
use super::stores::{ColdBudget, Store};
use super::{
    fate, key_window, may_refuse, Facts, Fate, ANSWER_GRACE, CEILING_LATE_S, DRAIN_GRACE, FALL_TOLD,
};
use super::{MOST_ATTEMPTS, ON_SOCKETS, VERSION_GRACE};
use crate::history::{Body, Entry, Event, Listed, NodeNews, Over, Process};
use crate::scenario::{Effect, WhenUnsure};
use crate::schedule::{micros, seconds, Micros};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

/// A rule that was broken, and the proof.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Break {
    /// Which rule, from 1.
    pub rule: u8,
    /// When, in microseconds from the start.
    pub at: Micros,
    /// The try, as in `X-Correlation-Id`; none where no single one is meant.
    pub request: Option<String>,
    /// What was found, and what was allowed.
    pub what: String,
    /// The events on the wire that show it.
    pub proof: Vec<Entry>,
}

/// What looks like a break, but lies within the kit's own lateness.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Doubt {
    /// What it would be.
    pub would_be: Break,
    /// How late the kit was around then.
    pub kit_late_us: Micros,
}

/// The most events given as a proof.
const PROOF: usize = 24;

struct Finder<'a> {
    facts: &'a Facts<'a>,
    book: &'a Book,
    history: &'a [Entry],
    breaks: Vec<Break>,
    doubts: Vec<Doubt>,
}

/// Every break and every doubt, by time. Tries that are open at the end are no break where the rehearsal was
/// cut short. `beyond` are the customers that left the error that is stated for their quota.
pub fn find(
    facts: &Facts,
    book: &Book,
    history: &[Entry],
    beyond: &[Beyond],
    cut: bool,
) -> (Vec<Break>, Vec<Doubt>) {
    let mut f = Finder { facts, book, history, breaks: Vec::new(), doubts: Vec::new() };
    f.processes();
    for (id, log) in &book.tries {
        f.one_answer(*id, log, cut);
        f.resends(*id, log);
    }
    f.altered();
    f.drains();
    f.versions();
    f.cold();
    f.ceilings();
    f.quotas(beyond);
    f.breaks.sort_by_key(|b| b.at);
    f.doubts.sort_by_key(|d| d.would_be.at);
    (f.breaks, f.doubts)
}

impl<'a> Finder<'a> {
    fn proof(&self, entries: impl IntoIterator<Item = usize>) -> Vec<Entry> {
        let mut entries: Vec<usize> = entries.into_iter().collect();
        entries.sort_unstable();
        entries.dedup();
        entries.into_iter().take(PROOF).filter_map(|n| self.history.get(n).cloned()).collect()
    }

    fn accuse(&mut self, rule: u8, at: Micros, id: Option<u64>, what: String, entries: Vec<usize>) {
        let request = id.map(|id| format!("{id:016x}"));
        let proof = self.proof(entries);
        self.breaks.push(Break { rule, at, request, what, proof });
    }

    /// A break by so much time; in doubt where the kit itself was that late. What it saw at `at` may have
    /// happened earlier by its lateness.
    fn accuse_by(&mut self, over: Micros, rule: u8, at: Micros, id: u64, what: String, entries: Vec<usize>) {
        let late = self.book.lateness(at);
        if over > late {
            return self.accuse(rule, at, Some(id), what, entries);
        }
        let (request, proof) = (Some(format!("{id:016x}")), self.proof(entries));
        self.doubts.push(Doubt { would_be: Break { rule, at, request, what, proof }, kit_late_us: late });
    }

    /// A limiter that ends by itself loses what it holds. One that was never ready has taken nothing: that it cannot be
    /// started breaks no rule, and leaves nothing to judge.
    fn processes(&mut self) {
        let mut starting = HashSet::new();
        for (n, entry) in self.history.iter().enumerate() {
            let Event::Limiter { limiter, what } = entry.event else { continue };
            match what {
                Process::Started => drop(starting.insert(limiter)),
                Process::Ready => drop(starting.remove(&limiter)),
                _ => {}
            }
            let Process::Ended(false, code) = what else { continue };
            if starting.contains(&limiter) {
                continue;
            }
            let code = code.map_or("by a signal".into(), |c| format!("with code {c}"));
            self.accuse(1, entry.at, None, format!("limiter n{limiter} ended by itself, {code}"), vec![n]);
        }
    }

    // ----- rule 1 -----

    fn one_answer(&mut self, id: u64, log: &TryLog, cut: bool) {
        if self.facts.request(id).is_none() {
            if let Some(n) = log.entries.first() {
                let at = self.history[*n].at;
                let what = "a request came to a node that no client sent".to_string();
                self.accuse(1, at, Some(id), what, log.entries.clone());
            }
            return;
        }
        if let Some((at, bytes)) = log.surplus {
            let what = format!("{bytes} bytes came behind its answer, expected nothing");
            self.accuse(1, at, Some(id), what, log.entries.clone());
        }
        match fate(self.book, log) {
            Fate::Lost => {
                let (at, what) = match (log.lost, log.unanswered) {
                    (Some((at, 0)), _) => (at, "its connection ended with no answer".to_string()),
                    (Some((at, bytes)), _) => (at, format!("its answer broke off after {bytes} bytes")),
                    (None, at) => (at.unwrap_or_default(), "it got no answer".to_string()),
                };
                let what = format!("{what}, expected one final answer");
                if log.unanswered.is_some() && log.lost.is_none() {
                    let due = log.sent.map_or(at, |(_, _, due)| due);
                    let over = at.saturating_sub(due + ANSWER_GRACE + ON_SOCKETS);
                    return self.accuse_by(over, 1, at, id, what, log.entries.clone());
                }
                return self.accuse(1, at, Some(id), what, log.entries.clone());
            }
            Fate::Open if !cut && log.sent.is_some() => {
                let at = log.sent.map_or(0, |(at, _, _)| at);
                return self.accuse(
                    1,
                    at,
                    Some(id),
                    "nothing is known of its end".into(),
                    log.entries.clone(),
                );
            }
            _ => {}
        }
        let (Some((sent, limiter, due)), Some(reply)) = (log.sent, log.reply) else { return };
        if reply.status == 200 && reply.body == Body::Foreign {
            let what = "it was served with a body that no node made for it".to_string();
            self.accuse(1, reply.at, Some(id), what, log.entries.clone());
        }
        let over = reply.at.saturating_sub(due + ANSWER_GRACE + ON_SOCKETS);
        if over > 0 && !self.book.paused_between(limiter, sent, reply.at) {
            let late = seconds(reply.at - due) * 1e3;
            let what = format!("its answer came {late:.0} ms after its client's deadline");
            self.accuse_by(over, 1, reply.at, id, what, log.entries.clone());
        }
        for attempt in self.attempts(log) {
            let over = attempt.first.saturating_sub(reply.at + ON_SOCKETS);
            if over > 0 {
                let after = seconds(attempt.first - reply.at) * 1e3;
                let what = format!("an attempt went out {after:.0} ms after its final answer");
                self.accuse_by(over, 1, attempt.at, id, what, log.entries.clone());
            }
        }
    }

    fn attempts(&self, log: &TryLog) -> Vec<AttemptLog> {
        log.attempts.iter().filter_map(|a| self.book.attempts.get(a).cloned()).collect()
    }

    /// What a client sent goes on as it is, or its answer is another request's.
    fn altered(&mut self) {
        for (n, entry) in self.history.iter().enumerate() {
            let Event::Altered { id, what } = &entry.event else { continue };
            let what = format!("it came to a node with {what}, expected as its client sent it");
            self.accuse(1, entry.at, Some(*id), what, vec![n]);
        }
    }

    // ----- rule 2 -----

    fn resends(&mut self, id: u64, log: &TryLog) {
        let Some((request, _)) = self.facts.request(id) else { return };
        if let (Some(_), Some(attempt)) = (&request.permission, self.attempts(log).first()) {
            let what = "permission was asked for it, and it was sent all the same".to_string();
            self.accuse(2, attempt.at, Some(id), what, log.entries.clone());
        }
        let name = &self.facts.scenario.classes[request.class].name;
        let must_ask = self.facts.scenario.authoriser.as_ref().and_then(|a| a.classes.get(name));
        if must_ask == Some(&WhenUnsure::Refuse) && !log.allowed {
            let permitted = log.reply.filter(|r| request.permission.is_some() && r.status == 200);
            let went = self.attempts(log).first().map(|a| a.at).or(permitted.map(|r| r.at));
            if let Some(at) = went {
                let what = "it went on without the consent of its authoriser, which its class needs";
                self.accuse(2, at, Some(id), what.into(), log.entries.clone());
            }
        }
        let class = &self.facts.scenario.classes[request.class];
        let attempts = self.attempts(log);
        let window = key_window(self.facts.scenario);
        let mut first_run: Option<&AttemptLog> = None;
        for (n, attempt) in attempts.iter().enumerate() {
            if !attempt.open.is_empty() {
                let what = format!(
                    "attempt {} came to s-{} while the connection of another was still open",
                    n + 1,
                    attempt.node
                );
                self.accuse(2, attempt.at, Some(id), what, log.entries.clone());
            }
            if n == MOST_ATTEMPTS {
                let what = format!("it was sent a {}th time, expected {MOST_ATTEMPTS} at most", n + 1);
                self.accuse(2, attempt.at, Some(id), what, log.entries.clone());
            }
            match (first_run, class.effect) {
                (Some(_), Effect::Unsafe) => {
                    let what =
                        "it was sent again though it may have run, which its class forbids".to_string();
                    self.accuse(2, attempt.at, Some(id), what, log.entries.clone());
                }
                (Some(first), Effect::Keyed) => {
                    let over = attempt.first.saturating_sub(first.at + window + ON_SOCKETS);
                    if over > 0 {
                        let after = seconds(attempt.first - first.at);
                        let what = format!(
                            "it was sent again {after:.1} s after an attempt that may have run; its key is \
                             remembered for {:.1} s",
                            seconds(window)
                        );
                        self.accuse_by(over, 2, attempt.at, id, what, log.entries.clone());
                    }
                }
                _ => {}
            }
            if first_run.is_none() && !matches!(attempt.over, Some((_, Over::Turned))) {
                first_run = Some(attempt);
            }
        }
        let refused = log.reply.filter(|r| matches!(r.status, 429 | 503));
        if let (Some(reply), Some(_), false) = (refused, first_run, may_refuse(class.effect)) {
            let what = "it was refused, which promises that a retry does no harm, though it may have run";
            self.accuse(2, reply.at, Some(id), what.into(), log.entries.clone());
        }
    }

    // ----- rule 3 -----

    fn drains(&mut self) {
        // What each limiter was told last of each node, with the entry that says so.
        let mut told: HashMap<(u16, u16), (Micros, Listed, usize)> = HashMap::new();
        for (n, entry) in self.history.iter().enumerate() {
            match &entry.event {
                Event::Told { limiter, node, state, .. } => {
                    let before = told.get(&(*limiter, *node)).copied();
                    // A node that drains and then is gone was told of at the drain.
                    let at = match before {
                        Some((at, s, _)) if s != Listed::InService && *state != Listed::InService => at,
                        _ => entry.at,
                    };
                    told.insert((*limiter, *node), (at, *state, n));
                }
                Event::Arrived { id, node, limiter, first, .. } => {
                    let Some((at, state, by)) = told.get(&(*limiter, *node)) else { continue };
                    let over = first.saturating_sub(at + DRAIN_GRACE + ON_SOCKETS);
                    if *state != Listed::InService && over > 0 {
                        let after = seconds(first - at) * 1e3;
                        let state = if *state == Listed::Draining { "draining" } else { "gone" };
                        let what = format!(
                            "n{limiter} began to send it to s-{node} {after:.0} ms after it was told that the \
                             node is {state}, expected {} ms at most",
                            DRAIN_GRACE / 1_000
                        );
                        self.accuse_by(over, 3, entry.at, *id, what, vec![*by, n]);
                    }
                }
                // A limiter that starts anew knows nothing of what its former self was told.
                Event::Limiter { limiter, what: Process::Started } => told.retain(|(l, _), _| l != limiter),
                _ => {}
            }
        }
    }

    /// What a request says it was chosen by is a version that was written, names its node, and is the present one.
    fn versions(&mut self) {
        let settled = self.settled();
        // All of them first: a limiter may read a file before its writer has noted that it is written.
        let versions = self.history.iter().enumerate().filter_map(|(n, entry)| match &entry.event {
            Event::Written { limiter, version, nodes } => Some(((*limiter, *version), (nodes, n))),
            _ => None,
        });
        let written: HashMap<(u16, u64), (&Vec<u16>, usize)> = versions.collect();
        for (n, entry) in self.history.iter().enumerate() {
            let Event::Arrived { id, node, limiter, first, version: Some(version), .. } = &entry.event else {
                continue;
            };
            let what = match written.get(&(*limiter, *version)) {
                Some((nodes, _)) if nodes.contains(node) => {
                    let later = settled.get(limiter).into_iter().flatten().find(|(_, v, _)| v > version);
                    let Some((at, later, by)) = later else { continue };
                    let over = first.saturating_sub(at + VERSION_GRACE + ON_SOCKETS);
                    if over > 0 && !self.book.paused_between(*limiter, *at, *first) {
                        let after = seconds(first - at) * 1e3;
                        let what = format!(
                            "it was chosen by version {version}, {after:.0} ms after version {later} was there, \
                             expected {} ms at most",
                            VERSION_GRACE / 1_000
                        );
                        self.accuse_by(over, 3, entry.at, *id, what, vec![*by, n]);
                    }
                    continue;
                }
                Some(_) => format!("it went to s-{node} by version {version}, in which that takes no work"),
                None => format!("it was chosen by version {version}, which was never written whole"),
            };
            let by = written.get(&(*limiter, *version)).map(|(_, n)| *n);
            self.accuse(3, entry.at, Some(*id), what, by.into_iter().chain([n]).collect());
        }
    }

    /// Of each limiter's file the versions that stood long enough to be read: when, which, and the entry.
    fn settled(&self) -> HashMap<u16, Vec<(Micros, u64, usize)>> {
        let mut touched: HashMap<u16, Vec<(Micros, Option<u64>, usize)>> = HashMap::new();
        for (n, entry) in self.history.iter().enumerate() {
            match entry.event {
                Event::Written { limiter, version, .. } => {
                    touched.entry(limiter).or_default().push((entry.at, Some(version), n));
                }
                Event::Spoilt { limiter } => touched.entry(limiter).or_default().push((entry.at, None, n)),
                _ => {}
            }
        }
        let stood = |all: &[(Micros, Option<u64>, usize)]| {
            let next = |n: usize| all.get(n + 1).map_or(Micros::MAX, |(at, ..)| *at);
            let of = |(n, (at, version, by)): (usize, &(Micros, Option<u64>, usize))| {
                (next(n) >= at + DRAIN_GRACE).then_some((*at, (*version)?, *by))
            };
            all.iter().enumerate().filter_map(of).collect::<Vec<_>>()
        };
        touched.into_iter().map(|(limiter, all)| (limiter, stood(&all))).collect()
    }

    // ----- rule 4 -----

    fn cold(&mut self) {
        let s = self.facts.scenario;
        let mut cold: HashMap<u16, (u32, usize, ColdBudget, bool)> = HashMap::new();
        let mut told: HashMap<(u16, u16), u32> = HashMap::new();
        for (n, entry) in self.history.iter().enumerate() {
            match &entry.event {
                Event::Node { node, life, what: NodeNews::Started { cold: true } } => {
                    let capacity = self.facts.capacity(*node as usize);
                    let warm = micros(s.nodes.cold_s);
                    let budget =
                        ColdBudget::new(self.facts.cold_rule(), capacity, s.nodes.cold_from, warm, entry.at);
                    cold.insert(*node, (*life, n, budget, false));
                }
                Event::Told { limiter, node, life, state: Listed::InService } => {
                    told.insert((*limiter, *node), *life);
                }
                Event::Limiter { limiter, what: Process::Started } => told.retain(|(l, _), _| l != limiter),
                Event::Arrived { id, node, life, limiter, .. } => {
                    let Some((request, _)) = self.facts.request(*id) else { continue };
                    let Some((cold_life, start, budget, pushed_over)) = cold.get_mut(node) else { continue };
                    if cold_life != life || *pushed_over {
                        continue;
                    }
                    let knew = told.get(&(*limiter, *node)) == Some(life);
                    let Some(overload) = budget.push(entry.at, seconds(request.work), knew) else { continue };
                    *pushed_over = true;
                    let start = *start;
                    if overload.told_ratio >= FALL_TOLD {
                        let what = format!(
                            "cold s-{node} was sent {:.2} s of work within 2 s, {:.0} % of it by limiters \
                             that knew of its start, expected {:.2} s at most",
                            overload.work,
                            overload.told_ratio * 100.0,
                            overload.allowed
                        );
                        self.accuse(4, entry.at, Some(*id), what, vec![start, n]);
                    }
                }
                _ => {}
            }
        }
    }

    // ----- rule 5 -----

    fn quotas(&mut self, beyond: &[Beyond]) {
        for b in beyond {
            let number = self.facts.schedule.customers[b.customer].number;
            let what = format!(
                "customer {number:016x} came to be {:.1} units beyond its quota, expected {:.1} at most with this \
                 width and these faults",
                b.over, b.bound
            );
            let entries = self.book.tries.get(&b.id).map(|log| log.entries.clone()).unwrap_or_default();
            self.accuse(5, b.at, Some(b.id), what, entries);
        }
    }

    /// A permission counts from its answer, as out until its client would give up.
    fn ceilings(&mut self) {
        let mut stores: HashMap<usize, Store> = HashMap::new();
        let mut out: HashMap<usize, i64> = HashMap::new();
        let mut permitted: BinaryHeap<Reverse<(Micros, usize)>> = BinaryHeap::new();
        let mut seen = HashSet::new();
        for (n, entry) in self.history.iter().enumerate() {
            while let Some(Reverse((_, customer))) = permitted.peek().filter(|p| p.0 .0 <= entry.at) {
                *out.entry(*customer).or_default() -= 1;
                permitted.pop();
            }
            match &entry.event {
                Event::Arrived { id, .. } | Event::Answered { id, status: 200, .. } => {
                    let Some((request, _)) = self.facts.request(*id) else { continue };
                    if matches!(entry.event, Event::Answered { .. }) {
                        // Of what is forwarded the nodes tell.
                        if request.permission.is_none() {
                            continue;
                        }
                        let due = self.book.tries.get(id).and_then(|log| log.sent).map(|(_, _, due)| due);
                        permitted.push(Reverse((due.unwrap_or(entry.at), request.customer)));
                    }
                    let customer = &self.facts.schedule.customers[request.customer];
                    let out = out.entry(request.customer).or_default();
                    *out += 1;
                    let out = *out;
                    if let Some(most) = self.facts.at_once(customer.plan, customer.spread) {
                        if out > i64::from(most) {
                            let what = format!(
                                "customer {:016x} has {out} attempts out at once, expected {most} at most \
                                 with the slack",
                                customer.number
                            );
                            self.accuse(5, entry.at, Some(*id), what, vec![n]);
                        }
                    }
                    let Some((burst, rate, slack)) = self.facts.ceiling(customer.plan) else { continue };
                    if !seen.insert(*id) {
                        continue;
                    }
                    let store = stores.entry(request.customer).or_insert_with(|| Store::new(rate, burst));
                    let left = store.take(entry.at, f64::from(request.guess));
                    let slack = slack + rate * CEILING_LATE_S;
                    if left < -slack {
                        let what = format!(
                            "customer {:016x} is {:.1} units beyond its ceiling, expected {slack:.1} at most",
                            customer.number, -left
                        );
                        self.accuse(5, entry.at, Some(*id), what, vec![n]);
                        // One accusation each time that it goes beyond.
                        store.take(entry.at, left);
                    }
                }
                Event::Over { attempt, .. } => {
                    let Some(log) = self.book.attempts.get(attempt) else { continue };
                    if let Some((request, _)) = self.facts.request(log.id) {
                        *out.entry(request.customer).or_default() -= 1;
                    }
                }
                _ => {}
            }
        }
    }
}
