//! A simulation of many limiters that call one discovery service, in simulated time and from a seed.
//!
//! The service has one queue and a fixed cost per call. It refuses a call that would wait too long, at no cost, and
//! still does the work of calls whose callers have given up. While it is down it refuses each call after a wait.

mod policy;
mod service;

pub use policy::Policy;

use fastrand::Rng;
use liftrouter_discovery::{CallFailure, CallId, Event};
use service::{Reply, Service};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Interval of the heartbeats of an open watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// When the fault begins; all watches are open before.
const FAULT_AT: Duration = Duration::from_secs(10);
/// How long the service is down in the scenarios with an outage.
const OUTAGE: Duration = Duration::from_secs(8);
/// Cost of one call after [`Scenario::OutageThenSlow`].
const SLOW_CALL_COST: Duration = Duration::from_millis(300);
/// The simulation ends so long after the service's return.
const HORIZON: Duration = Duration::from_secs(120);
/// Callers without any pause would call for ever at one instant: the simulation ends after so many actions for each.
const MOST_ACTIONS: u64 = 20_000;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// All watches end in the same instant; the service stays up.
    WatchesEnd,
    /// The service is down for 8 s; all watches end at its start.
    Outage,
    /// As [`Scenario::Outage`], and afterwards each call costs 0.3 s.
    OutageThenSlow,
    /// No watch gives a heartbeat any more; new calls are answered.
    Silence,
}

/// A fleet of limiters before one service.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Number of limiters.
    pub limiters: usize,
    /// Time the service needs for one call of every limiter.
    pub all_calls: Duration,
    /// What goes wrong.
    pub scenario: Scenario,
    /// Seed of phases, order and jitter.
    pub seed: u64,
}

/// What became of a fleet.
#[derive(Debug)]
pub struct Outcome {
    /// For each limiter, the time from the service's return until its list was confirmed; none if it never was.
    pub notified_after: Vec<Option<Duration>>,
    /// For each limiter, when it began calls.
    pub calls: Vec<Vec<Duration>>,
    /// Calls that were refused.
    pub refused: usize,
    /// For each limiter, for how long its list was expired.
    pub expired: Vec<Duration>,
}

impl Outcome {
    /// Calls begun by all limiters.
    pub fn total_calls(&self) -> usize {
        self.calls.iter().map(Vec::len).sum()
    }
}

impl Fleet {
    /// Cost of one call at the service.
    pub fn call_cost(&self) -> Duration {
        match self.scenario {
            Scenario::OutageThenSlow => SLOW_CALL_COST,
            _ => self.all_calls.div_f64(self.limiters as f64),
        }
    }

    /// Time of the work for one call of every limiter.
    pub fn min_work(&self) -> Duration {
        self.call_cost().mul_f64(self.limiters as f64)
    }

    /// Plays the fleet with limiters that `new_policy` makes from their seeds.
    pub fn play<P: Policy>(&self, new_policy: impl Fn(u64) -> P) -> Outcome {
        let mut simulation = Simulation::new(self, new_policy);
        simulation.begin_fault(self.scenario);
        simulation.run();
        simulation.outcome()
    }

    fn returned_at(&self) -> Duration {
        match self.scenario {
            Scenario::WatchesEnd | Scenario::Silence => FAULT_AT,
            Scenario::Outage | Scenario::OutageThenSlow => FAULT_AT + OUTAGE,
        }
    }
}

/// What happens at a moment to a limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Action {
    /// Its next call may be due.
    Wake,
    /// The service replies to a call.
    Reply(CallId, Reply),
    /// A call is given up if it is still out.
    GiveUp(CallId),
    /// The watch that this call opened gives a heartbeat.
    Heartbeat(CallId),
}

/// Ordered by time, then by the order in which they were planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Planned {
    at: Duration,
    number: u64,
    limiter: usize,
    action: Action,
}

struct Limiter<P> {
    policy: P,
    calls_out: Vec<CallId>,
    watch: Option<CallId>,
    call_times: Vec<Duration>,
    notified_at: Option<Duration>,
    expired: Duration,
}

struct Simulation<P> {
    limiters: Vec<Limiter<P>>,
    service: Service,
    queue: BinaryHeap<Reverse<Planned>>,
    planned: u64,
    last_call: CallId,
    refused: usize,
    /// Limiters that have not been notified since the fault.
    untold: usize,
    rng: Rng,
    returned_at: Duration,
}

impl<P: Policy> Simulation<P> {
    /// All limiters have an open watch, with heartbeats in different phases.
    fn new(fleet: &Fleet, new_policy: impl Fn(u64) -> P) -> Self {
        let mut rng = Rng::with_seed(fleet.seed);
        let limiters = (0..fleet.limiters)
            .map(|_| {
                let mut policy = new_policy(rng.u64(..));
                let phase = HEARTBEAT_INTERVAL.mul_f64(rng.f64());
                policy.handle(FAULT_AT.saturating_sub(phase), Event::WatchOpened);
                Limiter {
                    policy,
                    calls_out: Vec::new(),
                    watch: None,
                    call_times: Vec::new(),
                    notified_at: None,
                    expired: Duration::ZERO,
                }
            })
            .collect();
        Simulation {
            limiters,
            service: Service::new(fleet.call_cost(), FAULT_AT, fleet.returned_at()),
            queue: BinaryHeap::new(),
            planned: 0,
            last_call: 0,
            refused: 0,
            untold: fleet.limiters,
            rng,
            returned_at: fleet.returned_at(),
        }
    }

    fn begin_fault(&mut self, scenario: Scenario) {
        let mut order: Vec<usize> = (0..self.limiters.len()).collect();
        self.rng.shuffle(&mut order);
        for limiter in order {
            match scenario {
                Scenario::Silence => self.plan_wake(FAULT_AT, limiter),
                _ => self.notify(FAULT_AT, limiter, Event::WatchClosed),
            }
        }
    }

    fn run(&mut self) {
        let end = self.returned_at + HORIZON;
        let most_actions = MOST_ACTIONS * self.limiters.len() as u64;
        while let Some(Reverse(planned)) = self.queue.pop() {
            if planned.at > end || self.untold == 0 || self.planned > most_actions {
                break;
            }
            self.carry_out(planned);
        }
    }

    fn carry_out(&mut self, planned: Planned) {
        let Planned { at, limiter, action, .. } = planned;
        match action {
            Action::Wake => self.call_if_due(at, limiter),
            Action::Reply(call, Reply::Answered) if self.take_call(limiter, call) => {
                self.open_watch(at, limiter, call);
            }
            Action::Reply(call, Reply::Refused) if self.take_call(limiter, call) => {
                self.refused += 1;
                let refusal = CallFailure::Refused { retry_after: None };
                self.notify(at, limiter, Event::CallFailed(call, refusal));
            }
            Action::GiveUp(call) if self.take_call(limiter, call) => {
                self.notify(at, limiter, Event::CallFailed(call, CallFailure::Failed));
            }
            Action::Heartbeat(watch) if self.limiters[limiter].watch == Some(watch) => {
                self.limiters[limiter].calls_out.clear();
                self.notify(at, limiter, Event::Heartbeat);
                self.plan(at + HEARTBEAT_INTERVAL, limiter, action);
            }
            Action::Reply(..) | Action::GiveUp(_) | Action::Heartbeat(_) => {}
        }
    }

    /// Whether the call was still out.
    fn take_call(&mut self, limiter: usize, call: CallId) -> bool {
        let calls_out = &mut self.limiters[limiter].calls_out;
        let before = calls_out.len();
        calls_out.retain(|out| *out != call);
        calls_out.len() < before
    }

    fn call_if_due(&mut self, now: Duration, limiter: usize) {
        if self.limiters[limiter].policy.next_call().is_none_or(|due| due > now) {
            return;
        }
        self.last_call += 1;
        let call = self.last_call;
        let caller = &mut self.limiters[limiter];
        caller.calls_out.push(call);
        caller.call_times.push(now);
        let give_up_at = now + caller.policy.call_timeout();
        let (reply_at, reply) = self.service.call(now);
        self.plan(reply_at, limiter, Action::Reply(call, reply));
        self.plan(give_up_at, limiter, Action::GiveUp(call));
        self.notify(now, limiter, Event::CallStarted(call));
    }

    fn open_watch(&mut self, now: Duration, limiter: usize, call: CallId) {
        let caller = &mut self.limiters[limiter];
        caller.calls_out.clear();
        caller.watch = Some(call);
        if caller.notified_at.is_none() {
            caller.notified_at = Some(now);
            self.untold -= 1;
            caller.expired = expired_until(now, &caller.policy);
        }
        self.plan(now + HEARTBEAT_INTERVAL, limiter, Action::Heartbeat(call));
        self.notify(now, limiter, Event::WatchOpened);
    }

    fn notify(&mut self, now: Duration, limiter: usize, event: Event) {
        self.limiters[limiter].policy.handle(now, event);
        self.plan_wake(now, limiter);
    }

    fn plan_wake(&mut self, now: Duration, limiter: usize) {
        if let Some(due) = self.limiters[limiter].policy.next_call() {
            self.plan(due.max(now), limiter, Action::Wake);
        }
    }

    fn plan(&mut self, at: Duration, limiter: usize, action: Action) {
        self.planned += 1;
        self.queue.push(Reverse(Planned { at, number: self.planned, limiter, action }));
    }

    fn outcome(self) -> Outcome {
        let returned_at = self.returned_at;
        let notified_after = |limiter: &Limiter<P>| {
            let after = |at: Duration| at.checked_sub(returned_at).expect("notified after the return");
            limiter.notified_at.map(after)
        };
        let expired = |limiter: &Limiter<P>| match limiter.notified_at {
            Some(_) => limiter.expired,
            None => expired_until(returned_at + HORIZON, &limiter.policy),
        };
        Outcome {
            notified_after: self.limiters.iter().map(notified_after).collect(),
            expired: self.limiters.iter().map(expired).collect(),
            calls: self.limiters.into_iter().map(|limiter| limiter.call_times).collect(),
            refused: self.refused,
        }
    }
}

fn expired_until(now: Duration, policy: &impl Policy) -> Duration {
    policy.expires_at().map_or(Duration::ZERO, |expires_at| now.saturating_sub(expires_at))
}
