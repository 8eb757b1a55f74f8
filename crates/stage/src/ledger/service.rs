//! Service as operators count it: the worth answered within the wanted time over the worth asked for inside
//! the quotas, with prices; and the course of a rehearsal second by second.

use super::book::Book;
use super::stores::Store;
use super::{fate, Counts, Facts, Fate};
use crate::history::{Body, Entry, Event, Over};
use crate::schedule::{micros, seconds, Arrival, Micros};
use serde::Serialize;
use std::collections::{HashMap, HashSet};

/// Weights of the whole, the worst 10 s and the worst plan.
const WEIGHTS: (f64, f64, f64) = (0.55, 0.2, 0.25);
/// Seconds of the window whose worst counts.
const WINDOW_S: usize = 10;
/// Prices: a try that crosses rooms, a probe, a keeper call (each per first try); work wasted and worth that
/// failed late (as shares).
const PRICES: (f64, f64, f64, f64, f64) = (0.02, 0.01, 0.01, 0.05, 0.03);

/// What is taken off, in the same unit as service.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Prices {
    /// Tries sent on beyond a quota.
    pub over_quota: f64,
    /// Attempts that crossed rooms.
    pub cross_room: f64,
    /// Node work that served nobody.
    pub waste: f64,
    /// Worth that failed after its wanted time.
    pub late_fail: f64,
    /// Keeper calls.
    pub keeper: f64,
    /// Probes.
    pub probe: f64,
}

impl Prices {
    fn sum(&self) -> f64 {
        self.over_quota + self.cross_room + self.waste + self.late_fail + self.keeper + self.probe
    }
}

/// The service figure and its parts, each a share of what was asked inside quotas.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Service {
    /// The parts weighted, less the prices.
    pub figure: f64,
    /// Over the whole rehearsal.
    pub whole: f64,
    /// The worst 10 s, and when they began.
    pub worst_window: f64,
    /// When they began, in seconds.
    pub worst_window_at_s: usize,
    /// Each plan by name.
    pub plans: Vec<(String, f64)>,
    /// The worst of them.
    pub worst_plan: f64,
    /// What is taken off.
    pub prices: Prices,
    /// Share of what was asked at all that lies beyond quotas.
    pub asked_beyond: f64,
}

/// From the end of a file's writing to the first request that was routed by that version or a later one: the
/// adoption, and at most the time between two requests on top.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Adoption {
    /// Versions written, for each limiter that reads them.
    pub versions: usize,
    /// Those of which the time is known.
    pub seen: usize,
    /// The median.
    pub median_us: Micros,
    /// The 99th percentile.
    pub p99_us: Micros,
}

/// How soon versions were adopted; none where there are no files.
pub fn adoption(history: &[Entry]) -> Option<Adoption> {
    let mut waiting: HashMap<u16, Vec<(u64, Micros)>> = HashMap::new();
    let (mut versions, mut times) = (0, Vec::new());
    for Entry { at, event } in history {
        match event {
            Event::Written { limiter, version, .. } => {
                versions += 1;
                waiting.entry(*limiter).or_default().push((*version, *at));
            }
            Event::Arrived { limiter, version: Some(version), .. } => {
                waiting.entry(*limiter).or_default().retain(|(written, since)| {
                    if written <= version {
                        times.push(at - since);
                    }
                    written > version
                });
            }
            _ => {}
        }
    }
    times.sort_unstable();
    let at = |share: f64| times.get((share * times.len() as f64) as usize).copied().unwrap_or_default();
    (versions > 0).then(|| Adoption { versions, seen: times.len(), median_us: at(0.5), p99_us: at(0.99) })
}

/// What happened in one second.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// First tries, and tries of all kinds.
    pub requests: u32,
    /// Tries of all kinds.
    pub tries: u32,
    /// Worth asked inside quotas by requests of this second, and the part that was answered in time.
    pub asked: f64,
    /// The part that was answered in time.
    pub answered: f64,
    /// Fates of the tries sent in this second.
    pub served: u32,
    /// Refused with advice.
    pub refused_advised: u32,
    /// Refused without.
    pub refused: u32,
    /// Denied or failed.
    pub failed: u32,
    /// Not reached, lost or held by a limiter that was killed or paused.
    pub not_answered: u32,
    /// Attempts that came to nodes.
    pub attempts: u32,
    /// Calls to the keeper.
    pub keeper_calls: u32,
    /// The most that the kit was late.
    pub kit_late_us: Micros,
}

fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        (part / whole).min(1.0)
    } else {
        1.0
    }
}

/// Counts service and the course.
pub fn count(facts: &Facts, book: &Book, history: &[Entry], counts: &Counts) -> (Service, Vec<Second>) {
    let last = history.last().map_or(0, |e| e.at);
    let length = (seconds(facts.schedule.end.min(last)).ceil() as usize).max(1);
    let mut course = vec![Second::default(); length];
    let second = |at: Micros| (seconds(at) as usize).min(length - 1);
    let worth = |r: &Arrival| {
        let plan = facts.schedule.customers[r.customer].plan;
        let (class, plan) = (&facts.scenario.classes[r.class], &facts.scenario.plans[plan]);
        class.worth * plan.price * f64::from(r.units)
    };
    let new_store = |customer: usize| {
        let plan = facts.schedule.customers[customer].plan;
        Store::new(facts.scenario.plans[plan].rate, facts.depth(plan))
    };
    // A try is inside if the store holds its guess, which it takes; the difference to the truth is settled.
    let inside = |stores: &mut HashMap<usize, Store>, r: &Arrival, at: Micros| {
        let store = stores.entry(r.customer).or_insert_with(|| new_store(r.customer));
        let inside = store.level(at) >= f64::from(r.guess);
        if inside {
            store.take(at, f64::from(r.units));
        }
        inside
    };

    // What was sent on, by a store that all limiters share: inside its quota or beyond.
    let mut stores = HashMap::new();
    let mut sent_inside: HashSet<u64> = HashSet::new();
    let mut seen = HashSet::new();
    let (mut beyond_cost, mut crossed, mut work, mut wasted) = (0.0, 0usize, 0.0, 0.0);
    let mut sent: Vec<(Micros, u64)> = Vec::new();
    for attempt in book.order.iter().filter_map(|a| book.attempts.get(a)) {
        let Some((request, _)) = facts.request(attempt.id) else { continue };
        let served = matches!(attempt.over, Some((_, Over::Answered(200))));
        work += seconds(request.work);
        wasted += if served { 0.0 } else { seconds(request.work) };
        crossed += usize::from(facts.room(attempt.node as usize) != facts.room(attempt.limiter as usize));
        sent.push((attempt.at, attempt.id));
    }
    // What is permitted is sent on by its client: it counts from its answer.
    sent.extend(book.tries.iter().filter_map(|(id, log)| {
        let permitted = facts.request(*id)?.0.permission.is_some();
        log.reply.filter(|reply| permitted && reply.status == 200).map(|reply| (reply.at, *id))
    }));
    sent.sort_by_key(|(at, _)| *at);
    for (at, id) in sent {
        let Some((request, _)) = facts.request(id) else { continue };
        if seen.insert(id) {
            if inside(&mut stores, request, at) {
                sent_inside.insert(id);
            } else {
                let plan = facts.schedule.customers[request.customer].plan;
                beyond_cost += facts.scenario.plans[plan].over_cost * worth(request);
            }
        }
    }

    // What one limiter that saw all first tries would let in, and what was answered of it.
    let mut reference = HashMap::new();
    let plans = facts.scenario.plans.len();
    let (mut by_plan, mut all_asked, mut late_fail) = (vec![(0.0, 0.0); plans], 0.0, 0.0);
    for (index, request) in facts.schedule.arrivals.iter().enumerate() {
        let Some(first) = book.tries.get(&Arrival::id(index, 0)) else { continue };
        let Some(began) = first.entries.first().map(|n| history[*n].at) else { continue };
        let worth = worth(request);
        all_asked += worth;
        let asked = if inside(&mut reference, request, request.at) { worth } else { 0.0 };
        let aim = micros(facts.scenario.classes[request.class].aim_ms / 1e3);
        let tries = (0..request.tries.len()).filter_map(|n| {
            let id = Arrival::id(index, n);
            Some((id, book.tries.get(&id)?))
        });
        let mut answered = 0.0;
        let mut ended = began;
        for (id, log) in tries {
            let Some(reply) = log.reply else { continue };
            ended = ended.max(reply.at);
            let good = reply.status == 200 && reply.body == Body::Own;
            if good && reply.at <= began + aim && sent_inside.contains(&id) {
                answered = worth;
            }
        }
        if answered == 0.0 && asked > 0.0 && ended > began + aim {
            late_fail += worth;
        }
        let s = &mut course[second(request.at)];
        s.requests += 1;
        s.asked += asked;
        s.answered += answered;
        let plan = &mut by_plan[facts.schedule.customers[request.customer].plan];
        *plan = (plan.0 + asked, plan.1 + answered);
    }

    for (_, log) in book.tries.iter().filter(|(id, _)| facts.request(**id).is_some()) {
        let Some(at) = log.sent.map(|(at, _, _)| at).or(log.unreached) else { continue };
        let s = &mut course[second(at)];
        s.tries += 1;
        match fate(book, log) {
            Fate::Served => s.served += 1,
            Fate::RefusedAdvised => s.refused_advised += 1,
            Fate::Refused => s.refused += 1,
            Fate::Failed | Fate::Denied => s.failed += 1,
            Fate::Left | Fate::Open => {}
            Fate::Unreached | Fate::HeldByKilled | Fate::HeldByPaused | Fate::Lost => s.not_answered += 1,
        }
    }
    for Entry { at, event } in history {
        let s = &mut course[second(*at)];
        match event {
            Event::Arrived { .. } => s.attempts += 1,
            Event::Called { .. } => s.keeper_calls += 1,
            Event::Late { by } => s.kit_late_us = s.kit_late_us.max(*by),
            _ => {}
        }
    }

    let asked: f64 = by_plan.iter().map(|p| p.0).sum();
    let answered: f64 = by_plan.iter().map(|p| p.1).sum();
    let windows = course.windows(WINDOW_S.min(length)).enumerate().map(|(n, w)| {
        let asked: f64 = w.iter().map(|s| s.asked).sum();
        (n, share(w.iter().map(|s| s.answered).sum(), asked))
    });
    let (worst_window_at_s, worst_window) = windows.min_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or((0, 1.0));
    let named = facts.scenario.plans.iter().map(|p| p.name.clone());
    let plans: Vec<_> = named.zip(by_plan.iter().map(|(a, b)| share(*b, *a))).collect();
    let worst_plan = plans.iter().map(|p| p.1).fold(1.0, f64::min);
    let each = |n: usize| n as f64 / counts.requests.max(1) as f64;
    let prices = Prices {
        over_quota: beyond_cost / asked.max(1e-9),
        cross_room: PRICES.0 * each(crossed),
        probe: PRICES.1 * each(counts.probes),
        keeper: PRICES.2 * each(counts.keeper_calls),
        waste: PRICES.3 * wasted / f64::max(work, 1e-9),
        late_fail: PRICES.4 * late_fail / asked.max(1e-9),
    };
    let whole = share(answered, asked);
    let figure = WEIGHTS.0 * whole + WEIGHTS.1 * worst_window + WEIGHTS.2 * worst_plan - prices.sum();
    let asked_beyond = 1.0 - share(asked, all_asked);
    let service =
        Service { figure, whole, worst_window, worst_window_at_s, plans, worst_plan, prices, asked_beyond };
    (service, course)
}
