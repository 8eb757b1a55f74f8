//! Limiters and keepers in one process and in simulated time: the decision module as it is, a keeper that can fail,
//! and a customer whose use is held against the store that its plan defines.
#![allow(dead_code, reason = "each test program uses a part")]

use fastrand::Rng;
use liftrouter_counter::{
    CallResult, CounterMonitor, FailoverPolicy, Pacer, PacingSettings, PauseDetector, TokenBucket,
    ValidationCall, ValidationSettings,
};
use liftrouter_decision::*;
use std::cmp::Ordering;
use std::collections::{BinaryHeap, HashMap};

pub const PARTNER: &str = "00000000000000a1";
/// A host looks at its clock as often as this demands.
const LONGEST_PAUSE: f64 = 1.0;
/// Seconds that an attempt takes, and a call to a keeper that is well, there and back.
const ANSWER: f64 = 0.004;
const CALL: f64 = 0.002;
const TIMEOUT: f64 = 0.05;

/// What may happen to the keeper, and to limiters.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    /// A keeper of the list answers nothing; what comes is not added.
    Silent(usize, bool),
    /// The first one answers nothing to limiters from this one on.
    Cut(Option<usize>),
    /// Calls to the first one are added, and their answers never come.
    Mute(bool),
    /// Answers so many seconds late.
    Slow(f64),
    /// Answers with its totals of this moment, and goes on adding.
    Stale(bool),
    /// Adds everything twice.
    Doubled(bool),
    /// Forgets names with this chance each, or is another keeper that never had them.
    Lose(f64),
    /// Limiters from this one on call a second keeper, which holds this share of the first one's names.
    Split { from: usize, kept: f64 },
    /// All call the first keeper again, which adds up the counts of both, or keeps its own.
    Heal { both: bool },
    /// A limiter starts anew.
    Restart(usize),
    /// A limiter stands still for so many seconds.
    Pause(usize, f64),
}

#[derive(Default, Clone)]
struct Keeper {
    /// Totals, and when each is forgotten.
    numbers: HashMap<String, (f64, f64)>,
    silent: bool,
    slow: f64,
    stale: Option<HashMap<String, (f64, f64)>>,
    doubled: bool,
    mute: bool,
    /// A second view of the same, which part of the limiters reach.
    other: Option<Box<Keeper>>,
}

impl Keeper {
    fn add(&mut self, now: f64, name: &str, add: f64, lives: f64) -> f64 {
        let number = self.numbers.entry(name.to_string()).or_insert((0.0, now + lives));
        if number.1 <= now {
            *number = (0.0, now + lives);
        }
        number.0 += if self.doubled { 2.0 * add } else { add };
        let total = number.0;
        self.stale.as_ref().map_or(total, |old| old.get(name).map_or(0.0, |n| n.0))
    }

    fn part(&self, kept: f64, rng: &mut Rng) -> Keeper {
        let mut names: Vec<_> = self.numbers.iter().collect();
        names.sort_by(|a, b| a.0.cmp(b.0));
        let numbers = names.into_iter().filter(|_| rng.f64() < kept).map(|(k, v)| (k.clone(), *v)).collect();
        Keeper { numbers, ..Keeper::default() }
    }
}

enum What {
    Ask(usize),
    Asked(usize),
    Timer(usize, u32, u64),
    End(usize, u32, u64),
    Call { limiter: usize, life: u32, name: String, add: f64, lives: f64, at: f64, term: u64 },
    Told { limiter: usize, life: u32, name: String, outcome: Outcome, total: f64, took: f64 },
    CounterValidator(usize, u32, usize),
    Judged { limiter: usize, life: u32, keeper: usize, call: ValidationCall, answer: CallResult },
    Change(Change),
}

struct Due(f64, u64, What);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    /// The earliest is the greatest; what was queued first comes first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

/// How a partner asks.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Units a second over all limiters.
    pub rate: f64,
    /// Share that comes through the limiter that is the busiest at the time; the rest is even.
    pub skew: f64,
    /// Seconds after which another limiter is the busiest.
    pub shift: f64,
    /// Nothing is asked that one limiter that sees everything would refuse for the quota.
    pub inside: bool,
    /// Partners that ask, one as the other. With more than one, quotas are not judged.
    pub partners: usize,
}

/// What became of it.
#[derive(Debug, Default)]
pub struct Result {
    pub sent: f64,
    /// Over the quota, and over the hard ceiling.
    pub over: f64,
    pub over_ceiling: f64,
    /// Refused of what was asked.
    pub refused: f64,
    /// Attempts out at once, at most.
    pub at_once: i64,
    /// Calls to the first keeper by limiters' customers, second by second.
    pub calls: Vec<u32>,
    /// Keepers that the limiters counted at, at the end.
    pub posts: Vec<usize>,
}

struct Gateway {
    limiter: Limiter,
    life: u32,
    paused: f64,
    skew: f64,
    /// It reaches the second view of the first keeper, or none.
    side: bool,
    cut: bool,
    monitor: Option<CounterMonitor>,
    pacer: Option<Pacer>,
    pause_detector: PauseDetector,
}

pub struct World {
    now: f64,
    seq: u64,
    next_id: u64,
    due: BinaryHeap<Due>,
    settings: Settings,
    seed: u64,
    rng: Rng,
    gateways: Vec<Gateway>,
    keepers: Vec<Keeper>,
    demand: Demand,
    until: f64,
    store: TokenBucket,
    ceiling: TokenBucket,
    /// What the partner has asked, as its quota would have it.
    asked: TokenBucket,
    out: i64,
    answer: f64,
    pacing: Option<PacingSettings>,
    result: Result,
}

/// A plan with a quota and, where `hard` is above 1, a ceiling of so many times rate and burst.
pub fn plan(rate: f64, burst: f64, hard: f64) -> Plan {
    let ceiling = if hard > 1.0 { hard } else { 0.0 };
    Plan {
        name: "plan".into(),
        rate,
        burst,
        hard_limit_rate: rate * ceiling,
        hard_limit_burst: burst * ceiling,
        weight_multiplier: 1.0,
        ..Plan::default()
    }
}

/// Settings of limiters with one class and one plan.
fn settings(plan: Plan, limiters: usize) -> Settings {
    let class = Class {
        name: "read".into(),
        latency_objective: 1.0,
        deadline: 4.0,
        priority_weight: 1.0,
        ..Class::default()
    };
    Settings {
        instance_count: limiters as u32,
        tick_interval: 0.002,
        classes: vec![class],
        plans: vec![plan],
        max_request_units: 1.0,
        has_counter: true,
        counter_timeout: TIMEOUT,
        slow_start_capacity: 1.0,
        max_attempts: 2,
        ..Settings::default()
    }
}

impl World {
    /// Limiters before a server that takes everything, with clocks up to so many seconds apart.
    pub fn new(plan: Plan, limiters: usize, seed: u64, skew: f64, demand: Demand, until: f64) -> World {
        let (rate, burst) = (plan.rate, plan.burst);
        let (hard_rate, hard_burst) = (plan.hard_limit_rate, plan.hard_limit_burst);
        let settings = settings(plan, limiters);
        let mut rng = Rng::with_seed(seed);
        let mut world = World {
            now: 1_000.0,
            seq: 0,
            next_id: 0,
            due: BinaryHeap::new(),
            seed,
            gateways: Vec::new(),
            keepers: vec![Keeper::default()],
            demand,
            until: 1_000.0 + until,
            store: TokenBucket::new(rate, burst, 1_000.0),
            ceiling: TokenBucket::new(hard_rate.max(1e-9), hard_burst, 1_000.0),
            asked: TokenBucket::new(rate, burst, 1_000.0),
            out: 0,
            answer: ANSWER,
            pacing: None,
            result: Result::default(),
            settings,
            rng: rng.fork(),
        };
        for n in 0..limiters {
            let limiter = world.fresh(n, 0);
            let skew = skew * rng.f64();
            world.gateways.push(Gateway {
                limiter,
                life: 0,
                paused: 0.0,
                skew,
                side: false,
                cut: false,
                monitor: None,
                pacer: None,
                pause_detector: PauseDetector::new(LONGEST_PAUSE, 1_000.0),
            });
        }
        (0..limiters).for_each(|n| world.start(n));
        world.plan_ask();
        world
    }

    /// Plays on for so many seconds in all.
    pub fn until(mut self, seconds: f64) -> World {
        self.until = 1_000.0 + seconds;
        self
    }

    /// Every limiter judges its keeper.
    pub fn judged(self) -> World {
        self.with_standbys(0)
    }

    /// Every limiter judges its keepers, of which there are so many beside the first.
    pub fn with_standbys(mut self, standbys: usize) -> World {
        self.keepers.resize(1 + standbys, Keeper::default());
        (0..self.gateways.len()).for_each(|n| self.judge(n));
        self
    }

    /// Attempts take so many seconds.
    pub fn answers_in(mut self, seconds: f64) -> World {
        self.answer = seconds;
        self
    }

    /// Limiters spread their calls.
    pub fn paced(mut self, pace: PacingSettings) -> World {
        self.pacing = Some(pace);
        (0..self.gateways.len()).for_each(|n| self.set_pace(n));
        self
    }

    fn set_pace(&mut self, n: usize) {
        let (part, now) = (self.rng.f64(), self.now);
        self.gateways[n].pacer = self.pacing.map(|pace| Pacer::new(pace, part, now));
    }

    /// What each limiter goes by where it judges.
    pub fn settings(limiters: usize) -> ValidationSettings {
        ValidationSettings { instance_count: limiters as u32, ..ValidationSettings::default() }
    }

    fn judge(&mut self, n: usize) {
        let life = self.gateways[n].life;
        let settings = ValidationSettings {
            instance_index: n as u32,
            incarnation: self.seed << 16 | (n as u64) << 8 | u64::from(life),
            ..World::settings(self.gateways.len())
        };
        let skew = self.gateways[n].skew;
        let order = FailoverPolicy { recovery_period: 10.0, ..FailoverPolicy::default() };
        let monitor =
            CounterMonitor::new(&settings, order, self.keepers.len(), self.rng.f64(), self.now + skew);
        let share = monitor.assessment().validity.usable_quota_ratio;
        for keeper in 0..self.keepers.len() {
            self.later(monitor.next_call_at(keeper) - skew, What::CounterValidator(n, life, keeper));
        }
        self.gateways[n].monitor = Some(monitor);
        self.feed(n, Event::CounterValidity { usable_quota_ratio: share });
    }

    fn judge_due(&mut self, n: usize, life: u32, keeper: usize) {
        if self.gateways[n].life != life {
            return;
        }
        if self.gateways[n].paused > self.now {
            let at = self.gateways[n].paused;
            return self.later(at, What::CounterValidator(n, life, keeper));
        }
        self.look(n);
        let g = &mut self.gateways[n];
        let (clock, skew) = (self.now + g.skew, g.skew);
        let Some(monitor) = &mut g.monitor else { return };
        let call = monitor.due_call(keeper, clock);
        let next = monitor.next_call_at(keeper) - skew;
        if let Some(call) = call {
            let (answer, took) = self.reach(n, keeper, &call.key, call.increment, call.ttl);
            self.later(self.now + took, What::Judged { limiter: n, life, keeper, call, answer });
        }
        self.later(next.max(self.now + 0.001), What::CounterValidator(n, life, keeper));
    }

    fn told_judge(&mut self, n: usize, life: u32, keeper: usize, call: &ValidationCall, answer: CallResult) {
        if self.gateways[n].life != life {
            return;
        }
        self.look(n);
        let (now, g) = (self.now, &mut self.gateways[n]);
        let Some(monitor) = &mut g.monitor else { return };
        let before = monitor.assessment().active;
        if let Some(assessment) = monitor.record_result(keeper, call, answer, now + g.skew) {
            if let Some(pacer) = g.pacer.as_mut().filter(|_| assessment.active != before) {
                pacer.start_ramp(now);
            }
            self.feed(
                n,
                Event::CounterValidity { usable_quota_ratio: assessment.validity.usable_quota_ratio },
            );
        }
    }

    /// A host looks at its clock before it hears anything.
    fn look(&mut self, n: usize) {
        let (now, g) = (self.now, &mut self.gateways[n]);
        if let (Some(monitor), Some(_)) = (&mut g.monitor, g.pause_detector.check(now)) {
            if let Some(assessment) = monitor.process_resumed(now + g.skew) {
                self.feed(
                    n,
                    Event::CounterValidity { usable_quota_ratio: assessment.validity.usable_quota_ratio },
                );
            }
        }
    }

    fn fresh(&self, n: usize, life: u32) -> Limiter {
        let settings = Settings { instance_index: n as u32, ..self.settings.clone() };
        Limiter::new(settings, self.seed ^ (n as u64) << 8 ^ u64::from(life), self.now)
    }

    fn start(&mut self, n: usize) {
        let entry = |k: usize| EndpointEntry {
            id: format!("10.0.0.{k}:1").into(),
            zone: "".into(),
            kind: "std".into(),
            cell: 0,
            state: EndpointState::InService,
            weight: 1.0,
            started: None,
        };
        self.feed(n, Event::EndpointList((1..=4).map(entry).collect()));
    }

    fn later(&mut self, at: f64, what: What) {
        self.seq += 1;
        self.due.push(Due(at.max(self.now), self.seq, what));
    }

    /// Makes something happen so many seconds after the start.
    pub fn at(&mut self, seconds: f64, change: Change) {
        self.later(1_000.0 + seconds, What::Change(change));
    }

    fn plan_ask(&mut self) {
        let gap = -self.rng.f64().max(1e-12).ln() / (self.demand.rate * self.demand.partners as f64);
        let count = self.gateways.len();
        let busiest = ((self.now / self.demand.shift) as usize) % count;
        let limiter = if self.rng.f64() < self.demand.skew { busiest } else { self.rng.usize(0..count) };
        self.later(self.now + gap, What::Ask(limiter));
    }

    /// Plays to the end.
    pub fn play(mut self) -> Result {
        while let Some(Due(at, _, what)) = self.due.pop() {
            if at > self.until {
                break;
            }
            self.now = at;
            self.happen(what);
        }
        self.result.over = self.store.max_overshoot();
        self.result.over_ceiling = self.ceiling.max_overshoot();
        let post = |g: &Gateway| g.monitor.as_ref().map_or(0, |p| p.assessment().active.index);
        self.result.posts = self.gateways.iter().map(post).collect();
        self.result
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Ask(n) => {
                self.plan_ask();
                if !self.demand.inside || self.asked.level(self.now) >= 1.0 {
                    self.asked.take(1.0, self.now);
                    self.ask(n);
                }
            }
            What::Asked(n) => self.ask(n),
            What::Timer(n, life, token) => self.told(n, life, Event::Timer { token }),
            What::End(n, life, id) => {
                self.out -= 1;
                let event = Event::AttemptEnded {
                    id,
                    attempt: 0,
                    request_finished: true,
                    outcome: Outcome::Ok,
                    elapsed: ANSWER,
                    units: None,
                    report: LoadReport::default(),
                };
                self.told(n, life, event);
            }
            What::Call { limiter, life, name, add, lives, at, term } => {
                self.call(limiter, life, (name, add, lives), at, term);
            }
            What::Told { limiter, life, name, outcome, total, took } => {
                self.told(limiter, life, Event::CounterReply { key: name, outcome, total, elapsed: took });
            }
            What::CounterValidator(n, life, keeper) => self.judge_due(n, life, keeper),
            What::Judged { limiter, life, keeper, call, answer } => {
                self.told_judge(limiter, life, keeper, &call, answer);
            }
            What::Change(change) => self.change(change),
        }
    }

    fn ask(&mut self, n: usize) {
        let paused = self.gateways[n].paused;
        if paused > self.now {
            // It lies in the limiter's socket until that goes on.
            return self.later(paused, What::Asked(n));
        }
        self.look(n);
        self.next_id += 1;
        let request = Request {
            id: self.next_id,
            customer: format!("{:016x}", 0xa1 + self.rng.usize(0..self.demand.partners)).into(),
            plan: "plan".into(),
            class: "read".into(),
            units: 1.0,
            reachable_instances: self.gateways.len() as u32,
            is_retry: false,
            deadline: self.now + self.gateways[n].skew + 4.0,
        };
        self.feed(n, Event::Request(request));
    }

    /// Tells a limiter of something that is its own, if it is still the same, once it is awake.
    fn told(&mut self, n: usize, life: u32, event: Event) {
        let gateway = &self.gateways[n];
        if gateway.life != life {
            return;
        }
        if gateway.paused > self.now {
            let at = gateway.paused;
            return match event {
                Event::Timer { token } => self.later(at, What::Timer(n, life, token)),
                Event::AttemptEnded { id, .. } => self.later(at, What::End(n, life, id)),
                Event::CounterReply { key: name, outcome, total, elapsed: took } => {
                    let took = took + at - self.now;
                    self.later(at, What::Told { limiter: n, life, name, outcome, total, took });
                }
                _ => {}
            };
        }
        self.feed(n, event);
    }

    fn feed(&mut self, n: usize, event: Event) {
        let mut out = Vec::new();
        let gateway = &mut self.gateways[n];
        let (clock, life) = (gateway.skew, gateway.life);
        gateway.limiter.handle(self.now + clock, event, &mut out);
        for action in out {
            match action {
                Action::Send { id, .. } => {
                    self.result.sent += 1.0;
                    self.store.take(1.0, self.now);
                    self.ceiling.take(1.0, self.now);
                    self.out += 1;
                    self.result.at_once = self.result.at_once.max(self.out);
                    self.later(self.now + self.answer, What::End(n, life, id));
                }
                Action::Reject { .. } => self.result.refused += 1.0,
                Action::SetTimer { at, token } => self.later(at - clock, What::Timer(n, life, token)),
                Action::IncrementCounter { key: name, increment: add, ttl: lives } => {
                    let (at, g) = (self.now, &mut self.gateways[n]);
                    if g.pacer.as_mut().is_some_and(|p| !p.try_acquire(at)) {
                        let outcome = Outcome::Overloaded;
                        self.later(at, What::Told { limiter: n, life, name, outcome, total: 0.0, took: 0.0 });
                        continue;
                    }
                    let term = g.monitor.as_ref().map_or(0, |p| p.assessment().active.generation);
                    self.later(at + CALL / 2.0, What::Call { limiter: n, life, name, add, lives, at, term });
                }
                _ => {}
            }
        }
    }

    fn call(&mut self, n: usize, life: u32, (name, add, lives): (String, f64, f64), at: f64, term: u64) {
        let second = (self.now - 1_000.0) as usize;
        self.result.calls.resize(self.result.calls.len().max(second + 1), 0);
        self.result.calls[second] += 1;
        let post = self.gateways[n].monitor.as_ref().map(|p| p.assessment().active).unwrap_or_default();
        // One that was on its way while the keeper was changed is the old one's: its answer is nobody's.
        let (answer, took) = if post.generation == term {
            self.reach(n, post.index, &name, add, lives)
        } else {
            (CallResult::Unanswered, TIMEOUT)
        };
        let (outcome, total) = match answer {
            CallResult::Total(total) => (Outcome::Ok, total),
            _ => (Outcome::Timeout, 0.0),
        };
        if let Some(pacer) = &mut self.gateways[n].pacer {
            pacer.record_result(outcome == Outcome::Ok, at + took);
        }
        self.later(at + took, What::Told { limiter: n, life, name, outcome, total, took });
    }

    /// A call of a limiter reaches a keeper.
    fn reach(&mut self, n: usize, keeper: usize, name: &str, add: f64, lives: f64) -> (CallResult, f64) {
        let g = &self.gateways[n];
        let first = keeper == 0;
        if first && g.cut {
            return (CallResult::Unanswered, TIMEOUT);
        }
        let second = first && g.side && self.keepers[0].other.is_some();
        let keeper = match &mut self.keepers[keeper] {
            Keeper { other: Some(other), .. } if second => other,
            keeper => keeper,
        };
        if keeper.silent {
            return (CallResult::Unanswered, TIMEOUT);
        }
        let total = keeper.add(self.now, name, add, lives);
        let took = CALL + keeper.slow;
        // An answer that comes after the call was given up finds nobody; it was added all the same.
        if took > TIMEOUT || keeper.mute {
            (CallResult::Unanswered, TIMEOUT)
        } else {
            (CallResult::Total(total), took)
        }
    }

    /// Both views of the first keeper.
    fn both(&mut self, mut change: impl FnMut(&mut Keeper)) {
        change(&mut self.keepers[0]);
        if let Some(other) = &mut self.keepers[0].other {
            change(other);
        }
    }

    fn change(&mut self, change: Change) {
        let rng = &mut self.rng;
        match change {
            Change::Silent(keeper, on) => self.keepers[keeper].silent = on,
            Change::Cut(from) => {
                for (n, g) in self.gateways.iter_mut().enumerate() {
                    g.cut = from.is_some_and(|from| n >= from);
                }
            }
            Change::Mute(on) => self.both(|k| k.mute = on),
            Change::Slow(by) => self.both(|k| k.slow = by),
            Change::Stale(on) => self.both(|k| k.stale = on.then(|| k.numbers.clone())),
            Change::Doubled(on) => self.both(|k| k.doubled = on),
            Change::Lose(share) => self.keepers[0] = self.keepers[0].part(1.0 - share, rng),
            Change::Split { from, kept } => {
                let second = self.keepers[0].part(kept, rng);
                self.keepers[0].other = Some(Box::new(second));
                self.gateways.iter_mut().skip(from).for_each(|g| g.side = true);
            }
            Change::Heal { both } => {
                self.gateways.iter_mut().for_each(|g| g.side = false);
                for (name, (total, until)) in self.keepers[0].other.take().into_iter().flat_map(|k| k.numbers)
                {
                    if both {
                        self.keepers[0].numbers.entry(name).or_insert((0.0, until)).0 += total;
                    }
                }
            }
            Change::Restart(n) => {
                self.gateways[n].life += 1;
                self.gateways[n].limiter = self.fresh(n, self.gateways[n].life);
                self.gateways[n].pause_detector = PauseDetector::new(LONGEST_PAUSE, self.now);
                self.set_pace(n);
                self.start(n);
                if self.gateways[n].monitor.is_some() {
                    self.judge(n);
                }
            }
            Change::Pause(n, seconds) => self.gateways[n].paused = self.now + seconds,
        }
    }
}
