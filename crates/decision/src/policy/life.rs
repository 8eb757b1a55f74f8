//! Request life: admitted or refused, sent, sent again, and answered once.

use super::fleet::{Fleet, Wanted};
use super::quota::{Quota, PERIOD};
use super::{fresh, View, T_DUE, T_PATIENCE, T_PERMIT};
use crate::interface::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A further attempt is considered after this many mean answers, within these shares of the aim.
const PATIENCE: (f64, f64, f64) = (6.0, 0.5, 0.8);
/// Further attempts earned by each request, the most saved up, and the part of one that is earned back when
/// it is answered in time: where they help, more go out.
const RETRY: (f64, f64, f64) = (0.1, 10.0, 0.8);
/// Share of a keyed request's window in which it may be sent again.
const KEYED_SHARE: f64 = 0.9;
/// A class's mean answer before any is measured, in aims.
const FIRST_MEAN: f64 = 0.2;
const MEAN_GAIN: f64 = 0.02;
/// Permitted calls that are kept as out, at most: each takes a hundred bytes or so, whoever asks.
const MOST_PERMITS: usize = 100_000;
/// How far a full fleet sheds classes of less worth.
const SHED: f64 = 4.0;

struct Attempt {
    server: EndpointId,
    zone: Arc<str>,
    cell: i64,
    sent: f64,
    live: bool,
    /// Counted in its server's window.
    counted: bool,
    /// Until an outcome proves otherwise, an attempt may have run.
    may_have_run: bool,
}

#[derive(Default)]
struct Open {
    customer: Arc<str>,
    class: usize,
    units: f64,
    due: f64,
    streaming: bool,
    /// Answered; only the reports of its attempts are still to come.
    done: bool,
    attempts: Vec<Attempt>,
}

impl Open {
    fn live(&self) -> bool {
        self.attempts.iter().any(|a| a.live)
    }
    /// What it asks of its next server.
    fn wanted(&self, set: &Settings) -> Wanted<'_> {
        let class = &set.classes[self.class];
        let first =
            self.attempts.iter().find(|a| a.may_have_run && class.idempotency == Idempotency::IdempotencyKey);
        Wanted {
            class: self.class,
            bound: first.map(|a| (class.deduplication_scope, &a.zone, a.cell)),
            tried: self.attempts.iter().map(|a| &a.server).collect(),
        }
    }
    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|a| a.may_have_run)
    }
    /// Until when a further attempt may be written: a keyed one while the first one's key is remembered.
    fn begin_by(&self, set: &Settings) -> f64 {
        let class = &set.classes[self.class];
        let first =
            self.attempts.iter().find(|a| a.may_have_run && class.idempotency == Idempotency::IdempotencyKey);
        first.map_or(f64::INFINITY, |a| {
            a.sent + class.deduplication_window * KEYED_SHARE - set.tick_interval * 2.0
        })
    }
}

/// The requests that are open, and what decides their course.
pub struct Life {
    pub quota: Quota,
    pub fleet: Fleet,
    rng: fastrand::Rng,
    /// Mean answer time per class and unit.
    means: Vec<f64>,
    retry_saved: f64,
    requests: BTreeMap<RequestId, Open>,
    /// Customers whose permitted calls may still be out.
    permits: BTreeMap<RequestId, Arc<str>>,
}

impl Life {
    pub fn new(set: &Settings, seed: u64, now: f64) -> Self {
        Life {
            quota: Quota::new(now),
            fleet: Fleet::new(set.instance_count, now),
            rng: fastrand::Rng::with_seed(seed),
            means: set.classes.iter().map(|c| c.latency_objective * FIRST_MEAN).collect(),
            retry_saved: RETRY.1,
            requests: BTreeMap::new(),
            permits: BTreeMap::new(),
        }
    }

    pub fn streaming(&mut self, id: RequestId) {
        self.requests.entry(id).and_modify(|r| r.streaming = true);
    }

    /// Whether a request still owes its answer, and is no stream that has begun.
    pub fn unanswered(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|r| !r.done && !r.streaming)
    }

    /// Sends a client's request on, or permits its call, if its quota and the servers allow; else refuses it
    /// at once.
    pub fn admit(&mut self, view: View, r: Request, permission: bool, out: &mut Vec<Action>) {
        let set = view.set;
        let class = set.classes.iter().position(|c| *c.name == *r.class);
        let plan = set.plans.iter().position(|p| *p.name == *r.plan);
        let (Some(class), Some(plan)) = (class, plan) else { return self.refuse(view, r.id, 0.0, out) };
        let (units, key) = (r.units.max(0.0), &r.customer);
        self.retry_saved = (self.retry_saved + RETRY.0).min(RETRY.1);
        self.quota.open(view, key, plan, r.reachable_instances, units);
        if let Err(wait) = self.quota.grant(view, &mut self.rng, key, units) {
            if !r.is_retry {
                // Refused again is the same demand, already counted where it first came.
                self.quota.tell(view, &mut self.rng, (key, units, false), out);
            }
            return self.refuse(view, r.id, wait, out);
        }
        let open = Open { customer: key.clone(), class, units, due: r.deadline, ..Open::default() };
        let draw = self.rng.f64();
        // Where the fleet is full, what is worth least for its work gives way. The quota has decided before.
        let press = self.fleet.press();
        let value = |n: usize| set.classes[n].priority_weight / self.means[n].max(1e-6);
        let best = (0..self.means.len()).map(value).fold(0.0, f64::max);
        let yields = SHED * press * (1.0 - value(class) / best.max(1e-9)) > self.rng.f64();
        let over = permission && self.permits.len() >= MOST_PERMITS;
        let denied = yields || over || self.quota.capped(set, key);
        let server = if denied { None } else { self.fleet.choose(view, &open.wanted(set), draw) };
        let Some(server) = server else { return self.refuse(view, r.id, self.answer_time(), out) };
        self.quota.take(key, units);
        self.quota.tell(view, &mut self.rng, (key, units, true), out);
        if permission {
            // The call is the client's own and nobody tells of its end: until it is due, it counts as out.
            self.quota.attempt_out(key);
            self.permits.insert(r.id, key.clone());
            out.push(Action::SetTimer { at: r.deadline, token: r.id * 4 + T_PERMIT });
            return out.push(Action::Authorize { id: r.id });
        }
        self.requests.insert(r.id, open);
        out.push(Action::SetTimer { at: r.deadline - 2.0 * set.tick_interval, token: r.id * 4 + T_DUE });
        self.send(view, r.id, server, out);
    }

    /// A permitted call is over, or never was. Its units stay drawn: nobody can tell whether it was made.
    pub fn permit_over(&mut self, view: View, id: RequestId) {
        if let Some(key) = self.permits.remove(&id) {
            self.quota.attempt_back(view, &key, 0.0);
        }
    }

    fn send(&mut self, View { set, now }: View, id: RequestId, server: EndpointId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some((zone, cell)) = self.fleet.sent(View { set, now }, &server) else { return };
        let begin_by = r.begin_by(set);
        r.attempts.push(Attempt {
            server: server.clone(),
            zone,
            cell,
            sent: now,
            live: true,
            counted: true,
            may_have_run: true,
        });
        self.quota.attempt_out(&r.customer);
        let class = &set.classes[r.class];
        let usual = PATIENCE.0 * self.means[r.class] * r.units.max(1.0);
        let wait = usual.clamp(PATIENCE.1 * class.latency_objective, PATIENCE.2 * class.latency_objective);
        if now + wait < r.due {
            out.push(Action::SetTimer { at: now + wait, token: id * 4 + T_PATIENCE });
        }
        out.push(Action::Send { id, endpoint: server, timeout: 0.0, send_deadline: begin_by });
    }

    /// Whether the rules let a request go out once more.
    fn may_repeat(&self, View { set, now }: View, r: &Open) -> bool {
        let class = &set.classes[r.class];
        let time_left = r.due - now > self.means[r.class];
        if r.done || r.streaming || r.attempts.len() as u32 >= set.max_attempts || !time_left {
            return false;
        }
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => !r.may_have_run(),
            Idempotency::IdempotencyKey => now < r.begin_by(set),
        }
    }

    /// Sends again within the retry budget; true if it did.
    fn send_again(&mut self, view: View, id: RequestId, out: &mut Vec<Action>) -> bool {
        let draw = self.rng.f64();
        let allowed = self.requests.get(&id).filter(|r| self.retry_saved >= 1.0 && self.may_repeat(view, r));
        let Some(server) = allowed.and_then(|r| self.fleet.choose(view, &r.wanted(view.set), draw)) else {
            return false;
        };
        self.retry_saved -= 1.0;
        self.send(view, id, server, out);
        true
    }

    /// An answer is taking long: hold it against the server, and try another if allowed.
    pub fn impatient(&mut self, view: View, id: RequestId, stalled: f64, out: &mut Vec<Action>) {
        let View { set, now } = view;
        let Some(r) = self.requests.get(&id).filter(|r| !r.done && !r.streaming) else { return };
        let Some(a) = r.attempts.last().filter(|a| a.live) else { return };
        let (class, aim, server) = (r.class, set.classes[r.class].latency_objective, a.server.clone());
        let (n, late) = (r.attempts.len() as u32 - 1, now - a.sent);
        let again = self.may_repeat(view, r) && self.retry_saved >= 1.0;
        let usual = self.means[class] * r.units.max(1.0);
        let own_fault = now <= stalled + set.tick_interval && a.sent < stalled;
        if late < PATIENCE.1 * aim {
            return;
        }
        let next = if own_fault { now + PERIOD / 10.0 } else { a.sent + aim + set.tick_interval };
        if late >= aim {
            return self.write_off(id, n);
        }
        out.push(Action::SetTimer { at: next, token: id * 4 + T_PATIENCE });
        if own_fault {
            return;
        }
        // A server that answered others since is slow, not gone: ejected, its load would heap on the rest.
        if self.fleet.silent_since(&server, now - late) {
            self.fleet.strike(view, &server);
        }
        self.fleet.slowness(view, &server, class, (late / usual.max(1e-6), true));
        // One late answer is no silence at a server seen rarely: called off, its work would run for nothing.
        if again && self.fleet.seems_lost(&server, class) && set.may_cancel {
            // Only one may be out: its outcome brings the next attempt.
            out.push(Action::Cancel { id, attempt: n });
        }
    }

    /// Takes an attempt off its server's window, once: answered, or so late that it may be lost or hang.
    fn write_off(&mut self, id: RequestId, n: u32) {
        let Some(a) = self.requests.get_mut(&id).and_then(|r| r.attempts.get_mut(n as usize)) else { return };
        if std::mem::take(&mut a.counted) {
            self.fleet.returned(&a.server);
        }
    }

    /// How an attempt ended: whether the request is finished, the outcome, its time and its true units.
    pub fn ended(
        &mut self,
        view: View,
        id: RequestId,
        n: u32,
        how: (bool, Outcome, f64, f64),
        out: &mut Vec<Action>,
    ) {
        let set = view.set;
        let (finished, outcome, took, actual) = how;
        let Some(r) = self.requests.get_mut(&id) else { return };
        let (class, guess, key) = (r.class, r.units, r.customer.clone());
        let Some(a) = r.attempts.get_mut(n as usize).filter(|a| a.live) else { return };
        a.live = false;
        let server = a.server.clone();
        a.may_have_run = !matches!(outcome, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent);
        let was_done = r.done;
        self.write_off(id, n);
        let aim = set.classes[class].latency_objective;
        let settled = outcome == Outcome::Ok && actual > 0.0 && set.post_paid;
        self.quota.attempt_back(view, &key, if settled { actual - guess } else { 0.0 });
        match outcome {
            Outcome::Ok => {
                let each = took / guess.max(1.0);
                self.fleet.slowness(view, &server, class, (each / self.means[class].max(1e-6), false));
                self.means[class] = fresh(self.means[class], each, MEAN_GAIN);
                if n > 0 && took < aim {
                    self.retry_saved = (self.retry_saved + RETRY.2).min(RETRY.1);
                }
                self.fleet.pace(view, &server, (took, aim), false);
                self.fleet.answered(view, &server);
            }
            Outcome::Overloaded => {
                let first = self.fleet.turned_away(view, &server, class);
                if first {
                    self.fleet.pace(view, &server, (took, aim), true);
                }
            }
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => self.fleet.strike(view, &server),
            Outcome::Timeout => self.fleet.pace(view, &server, (took, aim), true),
            _ => {}
        }
        if finished || was_done {
            self.finish(view, id, out);
        } else if !self.requests.get(&id).is_some_and(Open::live) && !self.send_again(view, id, out) {
            self.give_up(view, id, out);
        }
    }

    /// The final answer where no attempt is left: refused if that promise may be given, else failed.
    fn give_up(&mut self, view: View, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.done) else { return };
        let class = &view.set.classes[r.class];
        let shared = class.idempotency == Idempotency::IdempotencyKey
            && class.deduplication_scope == DeduplicationScope::All;
        if class.idempotency == Idempotency::Idempotent || shared || !r.may_have_run() {
            return self.refuse(view, id, 0.0, out);
        }
        out.push(Action::Fail { id });
        self.finish(view, id, out);
    }

    /// One answer's time on the mean: by then what is full, or at its cap, has most likely room again.
    fn answer_time(&self) -> f64 {
        self.means.iter().sum::<f64>() / self.means.len().max(1) as f64
    }

    fn refuse(&mut self, view: View, id: RequestId, wait: f64, out: &mut Vec<Action>) {
        let set = view.set;
        let advice =
            if set.may_send_retry_after { wait.clamp(0.0, set.max_retry_after.max(0.0)) } else { 0.0 };
        out.push(Action::Reject { id, retry_after: advice });
        self.finish(view, id, out);
    }

    /// Marks a request answered, calls off what is still out, and forgets it once all has reported.
    pub fn finish(&mut self, View { set, .. }: View, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if !r.done && set.may_cancel && !r.streaming {
            for (n, _) in r.attempts.iter().enumerate().filter(|(_, a)| a.live) {
                out.push(Action::Cancel { id, attempt: n as u32 });
            }
        }
        r.done = true;
        if !r.live() {
            self.requests.remove(&id);
        }
    }
}
