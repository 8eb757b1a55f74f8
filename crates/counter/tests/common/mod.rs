//! Limiters and counters in one process and in simulated time: the decision module as it is, a counter that can fail,
//! and a customer whose use is held against the token bucket that its plan defines.
#![allow(dead_code, reason = "each test program uses a part")]

mod counter_service;
mod faults;
mod scenario;
mod schedule;
mod validation;

pub use scenario::{Demand, Injection, Result};

use counter_service::CounterService;
use fastrand::Rng;
use liftrouter_counter::{CallResult, CounterMonitor, Pacer, PacingSettings, PauseDetector, TokenBucket};
use liftrouter_decision::*;
use schedule::{Scheduled, SimulationEvent};
use std::collections::BinaryHeap;

pub const CUSTOMER: &str = "00000000000000a1";
/// Longest time between two checks of the clock that is not a pause, in seconds.
const MAX_GAP: f64 = 1.0;
/// Seconds that an attempt takes, and a call to a counter that is well, there and back.
const ATTEMPT_SECONDS: f64 = 0.004;
const CALL_SECONDS: f64 = 0.002;
const TIMEOUT: f64 = 0.05;

struct Instance {
    limiter: Limiter,
    incarnation: u32,
    paused: f64,
    skew: f64,
    /// It reaches the second view of the first counter, or none.
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
    due: BinaryHeap<Scheduled>,
    settings: Settings,
    seed: u64,
    rng: Rng,
    instances: Vec<Instance>,
    counters: Vec<CounterService>,
    demand: Demand,
    until: f64,
    quota_bucket: TokenBucket,
    hard_limit_bucket: TokenBucket,
    /// What the customer has asked, as its quota would have it.
    demand_bucket: TokenBucket,
    in_flight: i64,
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
        latency_objective_s: 1.0,
        deadline_s: 4.0,
        priority_weight: 1.0,
        ..Class::default()
    };
    Settings {
        instance_count: limiters as u32,
        tick_interval_s: 0.002,
        classes: vec![class],
        plans: vec![plan],
        max_request_units: 1.0,
        has_counter: true,
        counter_timeout_s: TIMEOUT,
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
            instances: Vec::new(),
            counters: vec![CounterService::default()],
            demand,
            until: 1_000.0 + until,
            quota_bucket: TokenBucket::new(rate, burst, 1_000.0),
            hard_limit_bucket: TokenBucket::new(hard_rate.max(1e-9), hard_burst, 1_000.0),
            demand_bucket: TokenBucket::new(rate, burst, 1_000.0),
            in_flight: 0,
            answer: ATTEMPT_SECONDS,
            pacing: None,
            result: Result::default(),
            settings,
            rng: rng.fork(),
        };
        for n in 0..limiters {
            let limiter = world.new_limiter(n, 0);
            let skew = skew * rng.f64();
            world.instances.push(Instance {
                limiter,
                incarnation: 0,
                paused: 0.0,
                skew,
                side: false,
                cut: false,
                monitor: None,
                pacer: None,
                pause_detector: PauseDetector::new(MAX_GAP, 1_000.0),
            });
        }
        (0..limiters).for_each(|n| world.start(n));
        world.schedule_next_arrival();
        world
    }

    /// Plays on for so many seconds in all.
    pub fn until(mut self, seconds: f64) -> World {
        self.until = 1_000.0 + seconds;
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
        (0..self.instances.len()).for_each(|n| self.start_pacer(n));
        self
    }

    fn start_pacer(&mut self, n: usize) {
        let (part, now) = (self.rng.f64(), self.now);
        self.instances[n].pacer = self.pacing.map(|pace| Pacer::new(pace, part, now));
    }

    fn new_limiter(&self, n: usize, incarnation: u32) -> Limiter {
        let settings = Settings { instance_index: n as u32, ..self.settings.clone() };
        Limiter::new(settings, self.seed ^ (n as u64) << 8 ^ u64::from(incarnation), self.now)
    }

    fn start(&mut self, n: usize) {
        let entry = |k: usize| EndpointEntry {
            id: format!("10.0.0.{k}:1").into(),
            zone: "".into(),
            machine_type: "std".into(),
            cell: 0,
            state: EndpointState::InService,
            weight: 1.0,
            started_at: None,
        };
        self.dispatch(n, Event::EndpointList((1..=4).map(entry).collect()));
    }

    fn schedule(&mut self, at: f64, what: SimulationEvent) {
        self.seq += 1;
        self.due.push(Scheduled(at.max(self.now), self.seq, what));
    }

    /// Makes something happen so many seconds after the start.
    pub fn at(&mut self, seconds: f64, change: Injection) {
        self.schedule(1_000.0 + seconds, SimulationEvent::Inject(change));
    }

    fn schedule_next_arrival(&mut self) {
        let gap = -self.rng.f64().max(1e-12).ln() / (self.demand.rate * self.demand.customers as f64);
        let count = self.instances.len();
        let busiest = ((self.now / self.demand.shift) as usize) % count;
        let limiter = if self.rng.f64() < self.demand.skew { busiest } else { self.rng.usize(0..count) };
        self.schedule(self.now + gap, SimulationEvent::NextArrival(limiter));
    }

    /// Plays to the end.
    pub fn play(mut self) -> Result {
        while let Some(Scheduled(at, _, what)) = self.due.pop() {
            if at > self.until {
                break;
            }
            self.now = at;
            self.happen(what);
        }
        self.result.overshoot = self.quota_bucket.max_overshoot();
        self.result.hard_limit_overshoot = self.hard_limit_bucket.max_overshoot();
        let post = |instance: &Instance| instance.monitor.as_ref().map_or(0, |p| p.assessment().active.index);
        self.result.active_counters = self.instances.iter().map(post).collect();
        self.result
    }

    fn happen(&mut self, what: SimulationEvent) {
        match what {
            SimulationEvent::NextArrival(n) => {
                self.schedule_next_arrival();
                if !self.demand.within_quota || self.demand_bucket.level(self.now) >= 1.0 {
                    self.demand_bucket.take(1.0, self.now);
                    self.submit_request(n);
                }
            }
            SimulationEvent::DelayedArrival(n) => self.submit_request(n),
            SimulationEvent::Timer(n, incarnation, token) => {
                self.notify(n, incarnation, Event::Timer { token });
            }
            SimulationEvent::AttemptEnded(n, incarnation, id) => {
                self.in_flight -= 1;
                let event = Event::AttemptEnded {
                    id,
                    attempt: 0,
                    request_finished: true,
                    outcome: Outcome::Ok,
                    elapsed_s: ATTEMPT_SECONDS,
                    units: None,
                    report: LoadReport::default(),
                };
                self.notify(n, incarnation, event);
            }
            SimulationEvent::CounterCall { limiter, incarnation, name, add, ttl_s, at, generation } => {
                self.call(limiter, incarnation, (name, add, ttl_s), at, generation);
            }
            SimulationEvent::CounterReply { limiter, incarnation, name, outcome, total, elapsed_s } => {
                self.notify(
                    limiter,
                    incarnation,
                    Event::CounterReply { key: name, outcome, total, elapsed_s },
                );
            }
            SimulationEvent::Validate(n, incarnation, counter) => {
                self.start_validation_call(n, incarnation, counter);
            }
            SimulationEvent::ValidationEnded { limiter, incarnation, counter, call, answer } => {
                self.end_validation_call(limiter, incarnation, counter, &call, answer);
            }
            SimulationEvent::Inject(change) => self.change(change),
        }
    }

    fn submit_request(&mut self, n: usize) {
        let paused = self.instances[n].paused;
        if paused > self.now {
            // It lies in the limiter's socket until that goes on.
            return self.schedule(paused, SimulationEvent::DelayedArrival(n));
        }
        self.check_for_pause(n);
        self.next_id += 1;
        let request = Request {
            id: self.next_id,
            customer: format!("{:016x}", 0xa1 + self.rng.usize(0..self.demand.customers)).into(),
            plan: "plan".into(),
            class: "read".into(),
            units: 1.0,
            reachable_instances: self.instances.len() as u32,
            is_retry: false,
            deadline: self.now + self.instances[n].skew + 4.0,
        };
        self.dispatch(n, Event::Request(request));
    }

    /// Tells a limiter of something that is its own, if it is still the same, once it is awake.
    fn notify(&mut self, n: usize, incarnation: u32, event: Event) {
        let instance = &self.instances[n];
        if instance.incarnation != incarnation {
            return;
        }
        if instance.paused > self.now {
            let at = instance.paused;
            return match event {
                Event::Timer { token } => self.schedule(at, SimulationEvent::Timer(n, incarnation, token)),
                Event::AttemptEnded { id, .. } => {
                    self.schedule(at, SimulationEvent::AttemptEnded(n, incarnation, id));
                }
                Event::CounterReply { key: name, outcome, total, elapsed_s } => {
                    let elapsed_s = elapsed_s + at - self.now;
                    self.schedule(
                        at,
                        SimulationEvent::CounterReply {
                            limiter: n,
                            incarnation,
                            name,
                            outcome,
                            total,
                            elapsed_s,
                        },
                    );
                }
                _ => {}
            };
        }
        self.dispatch(n, event);
    }

    fn dispatch(&mut self, n: usize, event: Event) {
        let mut out = Vec::new();
        let instance = &mut self.instances[n];
        let (clock, incarnation) = (instance.skew, instance.incarnation);
        instance.limiter.handle(self.now + clock, event, &mut out);
        for action in out {
            match action {
                Action::Send { id, .. } => {
                    self.result.forwarded += 1.0;
                    self.quota_bucket.take(1.0, self.now);
                    self.hard_limit_bucket.take(1.0, self.now);
                    self.in_flight += 1;
                    self.result.max_in_flight = self.result.max_in_flight.max(self.in_flight);
                    self.schedule(self.now + self.answer, SimulationEvent::AttemptEnded(n, incarnation, id));
                }
                Action::Reject { .. } => self.result.rejected += 1.0,
                Action::SetTimer { expires_at, token } => {
                    self.schedule(expires_at - clock, SimulationEvent::Timer(n, incarnation, token));
                }
                Action::IncrementCounter { key, increment, ttl_s } => {
                    self.start_call(n, key, increment, ttl_s);
                }
                _ => {}
            }
        }
    }

    /// Sends a customer's call to the active counter, if the pacer allows it.
    fn start_call(&mut self, n: usize, name: String, add: f64, ttl_s: f64) {
        let (at, instance) = (self.now, &mut self.instances[n]);
        let (limiter, incarnation) = (n, instance.incarnation);
        if instance.pacer.as_mut().is_some_and(|pacer| !pacer.try_acquire(at)) {
            let (outcome, total, elapsed_s) = (Outcome::Overloaded, 0.0, 0.0);
            let reply =
                SimulationEvent::CounterReply { limiter, incarnation, name, outcome, total, elapsed_s };
            return self.schedule(at, reply);
        }
        let monitor = instance.monitor.as_ref();
        let generation = monitor.map_or(0, |monitor| monitor.assessment().active.generation);
        let call = SimulationEvent::CounterCall { limiter, incarnation, name, add, ttl_s, at, generation };
        self.schedule(at + CALL_SECONDS / 2.0, call);
    }

    fn call(
        &mut self,
        n: usize,
        incarnation: u32,
        (name, add, ttl_s): (String, f64, f64),
        at: f64,
        generation: u64,
    ) {
        let second = (self.now - 1_000.0) as usize;
        self.result.calls.resize(self.result.calls.len().max(second + 1), 0);
        self.result.calls[second] += 1;
        let post = self.instances[n].monitor.as_ref().map(|p| p.assessment().active).unwrap_or_default();
        // One that was on its way while the counter was changed is the old one's: its answer is nobody's.
        let (answer, elapsed_s) = if post.generation == generation {
            self.reach(n, post.index, &name, add, ttl_s)
        } else {
            (CallResult::Unanswered, TIMEOUT)
        };
        let (outcome, total) = match answer {
            CallResult::Total(total) => (Outcome::Ok, total),
            _ => (Outcome::Timeout, 0.0),
        };
        if let Some(pacer) = &mut self.instances[n].pacer {
            pacer.record_result(outcome == Outcome::Ok, at + elapsed_s);
        }
        self.schedule(
            at + elapsed_s,
            SimulationEvent::CounterReply { limiter: n, incarnation, name, outcome, total, elapsed_s },
        );
    }
}
