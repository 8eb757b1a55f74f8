//! A simulation of limiters and counters in simulated time: the real decision module, counters with injected faults, and a
//! customer whose use is compared with the token bucket that its plan defines.
#![allow(dead_code, reason = "each test program uses only some of it")]

mod counter_service;
mod faults;
mod scenario;
mod schedule;
mod validation;

pub use scenario::{Demand, Injection, RunResult};

use counter_service::CounterService;
use fastrand::Rng;
use liftrouter_counter::{CallResult, CounterMonitor, Pacer, PacingSettings, PauseDetector, TokenBucket};
use liftrouter_decision::*;
use schedule::{Scheduled, SimulationEvent};
use std::collections::BinaryHeap;

pub const CUSTOMER: &str = "00000000000000a1";
/// Longest time between two checks of the clock that is not a pause, in seconds.
const MAX_GAP_S: f64 = 1.0;
/// Duration of an attempt, in seconds.
const ATTEMPT_DURATION_S: f64 = 0.004;
/// Round trip of a call to a counter without a fault, in seconds.
const CALL_DURATION_S: f64 = 0.002;
/// Timeout of a call to a counter, in seconds.
const TIMEOUT_S: f64 = 0.05;

struct Instance {
    limiter: Limiter,
    incarnation: u32,
    paused_until: f64,
    clock_skew_s: f64,
    /// Whether it calls the second part of a split first counter.
    on_second_part: bool,
    /// Whether it cannot reach the first counter.
    isolated: bool,
    monitor: Option<CounterMonitor>,
    pacer: Option<Pacer>,
    pause_detector: PauseDetector,
}

pub struct Simulation {
    now: f64,
    seq: u64,
    next_id: u64,
    queue: BinaryHeap<Scheduled>,
    settings: Settings,
    seed: u64,
    rng: Rng,
    instances: Vec<Instance>,
    counters: Vec<CounterService>,
    demand: Demand,
    end_at: f64,
    quota_bucket: TokenBucket,
    hard_limit_bucket: TokenBucket,
    /// The requests made so far, which a demand within the quota must not overdraw.
    demand_bucket: TokenBucket,
    in_flight: i64,
    attempt_duration_s: f64,
    pacing: Option<PacingSettings>,
    result: RunResult,
}

/// A plan with a quota and, if `hard` is above 1, a hard limit of `hard` times rate and burst.
pub fn plan(rate: f64, burst: f64, hard: f64) -> Plan {
    let hard_limit_factor = if hard > 1.0 { hard } else { 0.0 };
    Plan {
        name: "plan".into(),
        rate,
        burst,
        hard_limit_rate: rate * hard_limit_factor,
        hard_limit_burst: burst * hard_limit_factor,
        weight_multiplier: 1.0,
        ..Plan::default()
    }
}

/// Limiter settings with one class and one plan.
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
        counter_timeout_s: TIMEOUT_S,
        slow_start_capacity: 1.0,
        max_attempts: 2,
        ..Settings::default()
    }
}

impl Simulation {
    /// Limiters in front of a server that accepts every attempt, with clocks up to `max_clock_skew_s` apart.
    pub fn new(
        plan: Plan,
        limiters: usize,
        seed: u64,
        max_clock_skew_s: f64,
        demand: Demand,
        duration_s: f64,
    ) -> Simulation {
        let (rate, burst) = (plan.rate, plan.burst);
        let (hard_rate, hard_burst) = (plan.hard_limit_rate, plan.hard_limit_burst);
        let settings = settings(plan, limiters);
        let mut rng = Rng::with_seed(seed);
        let mut simulation = Simulation {
            now: 1_000.0,
            seq: 0,
            next_id: 0,
            queue: BinaryHeap::new(),
            seed,
            instances: Vec::new(),
            counters: vec![CounterService::default()],
            demand,
            end_at: 1_000.0 + duration_s,
            quota_bucket: TokenBucket::new(rate, burst, 1_000.0),
            hard_limit_bucket: TokenBucket::new(hard_rate.max(1e-9), hard_burst, 1_000.0),
            demand_bucket: TokenBucket::new(rate, burst, 1_000.0),
            in_flight: 0,
            attempt_duration_s: ATTEMPT_DURATION_S,
            pacing: None,
            result: RunResult::default(),
            settings,
            rng: rng.fork(),
        };
        for n in 0..limiters {
            let limiter = simulation.new_limiter(n, 0);
            let clock_skew_s = max_clock_skew_s * rng.f64();
            simulation.instances.push(Instance {
                limiter,
                incarnation: 0,
                paused_until: 0.0,
                clock_skew_s,
                on_second_part: false,
                isolated: false,
                monitor: None,
                pacer: None,
                pause_detector: PauseDetector::new(MAX_GAP_S, 1_000.0),
            });
        }
        (0..limiters).for_each(|n| simulation.send_endpoint_list(n));
        simulation.schedule_next_arrival();
        simulation
    }

    /// Sets the total duration of the run, in seconds.
    pub fn running_for(mut self, seconds: f64) -> Simulation {
        self.end_at = 1_000.0 + seconds;
        self
    }

    /// Sets the duration of an attempt, in seconds.
    pub fn with_attempt_duration(mut self, seconds: f64) -> Simulation {
        self.attempt_duration_s = seconds;
        self
    }

    /// Limits the rate of the limiters' calls to the counter.
    pub fn with_pacing(mut self, pacing: PacingSettings) -> Simulation {
        self.pacing = Some(pacing);
        (0..self.instances.len()).for_each(|n| self.start_pacer(n));
        self
    }

    fn start_pacer(&mut self, n: usize) {
        let (phase, now) = (self.rng.f64(), self.now);
        self.instances[n].pacer = self.pacing.map(|pacing| Pacer::new(pacing, phase, now));
    }

    fn new_limiter(&self, n: usize, incarnation: u32) -> Limiter {
        let settings = Settings { instance_index: n as u32, ..self.settings.clone() };
        Limiter::new(settings, self.seed ^ (n as u64) << 8 ^ u64::from(incarnation), self.now)
    }

    fn send_endpoint_list(&mut self, n: usize) {
        let entry = |k: usize| EndpointEntry {
            id: format!("10.0.0.{k}:1").into(),
            address: None,
            zone: "".into(),
            machine_type: "std".into(),
            cell: None,
            state: EndpointState::InService,
            weight: 1.0,
            started_at: None,
        };
        self.dispatch(n, Event::EndpointList((1..=4).map(entry).collect()));
    }

    fn schedule(&mut self, at: f64, what: SimulationEvent) {
        self.seq += 1;
        self.queue.push(Scheduled(at.max(self.now), self.seq, what));
    }

    /// Schedules an injection at `seconds` after the start.
    pub fn at(&mut self, seconds: f64, injection: Injection) {
        self.schedule(1_000.0 + seconds, SimulationEvent::Inject(injection));
    }

    fn schedule_next_arrival(&mut self) {
        let gap = -self.rng.f64().max(1e-12).ln() / (self.demand.rate * self.demand.customers as f64);
        let count = self.instances.len();
        let busiest = ((self.now / self.demand.shift_interval_s) as usize) % count;
        let limiter =
            if self.rng.f64() < self.demand.busiest_ratio { busiest } else { self.rng.usize(0..count) };
        self.schedule(self.now + gap, SimulationEvent::NextArrival(limiter));
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> RunResult {
        while let Some(Scheduled(at, _, what)) = self.queue.pop() {
            if at > self.end_at {
                break;
            }
            self.now = at;
            self.process(what);
        }
        self.result.overshoot = self.quota_bucket.max_overshoot();
        self.result.hard_limit_overshoot = self.hard_limit_bucket.max_overshoot();
        let active = |instance: &Instance| {
            instance.monitor.as_ref().map_or(0, |monitor| monitor.assessment().active.index)
        };
        self.result.active_counters = self.instances.iter().map(active).collect();
        self.result
    }

    fn process(&mut self, what: SimulationEvent) {
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
                self.deliver(n, incarnation, Event::Timer { token });
            }
            SimulationEvent::AttemptEnded(n, incarnation, id) => {
                self.in_flight -= 1;
                let event = Event::AttemptEnded {
                    id,
                    attempt: 0,
                    request_finished: true,
                    outcome: Outcome::Ok,
                    elapsed_s: ATTEMPT_DURATION_S,
                    units: None,
                    report: LoadReport::default(),
                };
                self.deliver(n, incarnation, event);
            }
            SimulationEvent::CounterCall { limiter, incarnation, name, add, ttl_s, at, generation } => {
                self.handle_counter_call(limiter, incarnation, (name, add, ttl_s), at, generation);
            }
            SimulationEvent::CounterReply { limiter, incarnation, name, outcome, total, elapsed_s } => {
                self.deliver(
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
            SimulationEvent::Inject(injection) => self.inject(injection),
        }
    }

    fn submit_request(&mut self, n: usize) {
        let paused = self.instances[n].paused_until;
        if paused > self.now {
            // The request waits in the limiter's socket until the process resumes.
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
            deadline: self.now + self.instances[n].clock_skew_s + 4.0,
        };
        self.dispatch(n, Event::Request(request));
    }

    /// Delivers an event to a limiter once it is not paused, and drops it if the limiter has restarted since.
    fn deliver(&mut self, n: usize, incarnation: u32, event: Event) {
        let instance = &self.instances[n];
        if instance.incarnation != incarnation {
            return;
        }
        if instance.paused_until > self.now {
            let at = instance.paused_until;
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
        let (clock_skew_s, incarnation) = (instance.clock_skew_s, instance.incarnation);
        instance.limiter.handle(self.now + clock_skew_s, event, &mut out);
        for action in out {
            match action {
                Action::Send { id, .. } => {
                    self.result.forwarded += 1.0;
                    self.quota_bucket.take(1.0, self.now);
                    self.hard_limit_bucket.take(1.0, self.now);
                    self.in_flight += 1;
                    self.result.max_in_flight = self.result.max_in_flight.max(self.in_flight);
                    self.schedule(
                        self.now + self.attempt_duration_s,
                        SimulationEvent::AttemptEnded(n, incarnation, id),
                    );
                }
                Action::Reject { .. } => self.result.rejected += 1.0,
                Action::SetTimer { expires_at, token } => {
                    self.schedule(expires_at - clock_skew_s, SimulationEvent::Timer(n, incarnation, token));
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
        self.schedule(at + CALL_DURATION_S / 2.0, call);
    }

    fn handle_counter_call(
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
        let active =
            self.instances[n].monitor.as_ref().map(|monitor| monitor.assessment().active).unwrap_or_default();
        // A call that was sent before a switch went to the previous counter, whose answer is not used.
        let (answer, elapsed_s) = if active.generation == generation {
            self.call_counter(n, active.index, &name, add, ttl_s)
        } else {
            (CallResult::Unanswered, TIMEOUT_S)
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
