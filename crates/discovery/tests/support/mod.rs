//! A deterministic simulation of many limiters that call one discovery service.
//!
//! The service has one queue and a fixed cost per call. It refuses a call that would wait too long, at no cost, and
//! still does the work of calls whose callers have given up. While it is down, it refuses each call after a delay.

mod policy;
mod service;

pub use policy::Policy;

use fastrand::Rng;
use liftrouter_discovery::{CallFailure, CallId, Event};
use service::{Reply, Service};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// The interval between heartbeats of an open watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// When the fault begins; until then, all watches are open.
const FAULT_AT: Duration = Duration::from_secs(10);
/// How long the service is down in the scenarios with an outage.
const OUTAGE: Duration = Duration::from_secs(8);
/// The cost of one call after [`Scenario::OutageThenSlow`].
const SLOW_CALL_COST: Duration = Duration::from_millis(300);
/// The simulation ends this long after the service's return.
const HORIZON: Duration = Duration::from_secs(120);
/// The simulation ends after this number of actions per limiter, because callers without any delay would call endlessly
/// at the same simulated time.
const MAX_ACTIONS_PER_LIMITER: u64 = 20_000;

/// The simulated fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// All watches end at the same time; the service stays up.
    WatchesEnd,
    /// The service is down for 8 s; all watches end when that begins.
    Outage,
    /// Like [`Scenario::Outage`], but each call costs 0.3 s afterwards.
    OutageThenSlow,
    /// All open watches stop sending heartbeats; new calls are answered.
    Silence,
}

/// A fleet of limiters that use one service.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// The number of limiters.
    pub limiters: usize,
    /// The time that the service needs for one call of every limiter.
    pub all_calls: Duration,
    /// The simulated fault.
    pub scenario: Scenario,
    /// The seed of heartbeat phases, order and jitter.
    pub seed: u64,
}

/// The result of a simulation.
#[derive(Debug)]
pub struct Outcome {
    /// For each limiter, the time from the service's return until its list was confirmed; none if it never was.
    pub notified_after: Vec<Option<Duration>>,
    /// For each limiter, the start times of its calls.
    pub calls: Vec<Vec<Duration>>,
    /// The number of refused calls.
    pub refused: usize,
    /// For each limiter, how long its list was expired.
    pub expired: Vec<Duration>,
}

impl Outcome {
    /// The number of calls of all limiters.
    pub fn total_calls(&self) -> usize {
        self.calls.iter().map(Vec::len).sum()
    }
}

impl Fleet {
    /// The service's cost of one call.
    pub fn call_cost(&self) -> Duration {
        match self.scenario {
            Scenario::OutageThenSlow => SLOW_CALL_COST,
            _ => self.all_calls.div_f64(self.limiters as f64),
        }
    }

    /// The service's total work for one call of every limiter, with the cost of this scenario.
    pub fn min_work(&self) -> Duration {
        self.call_cost().mul_f64(self.limiters as f64)
    }

    /// Simulates the fleet. `new_policy` creates the policy of each limiter from a seed.
    pub fn simulate<P: Policy>(&self, new_policy: impl Fn(u64) -> P) -> Outcome {
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

/// An action that concerns one limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Action {
    /// The limiter checks whether its next call is due.
    Wake,
    /// The service replies to a call.
    Reply(CallId, Reply),
    /// The limiter gives up a call that is still pending.
    GiveUp(CallId),
    /// The watch that this call opened sends a heartbeat.
    Heartbeat(CallId),
}

/// A scheduled action. The order is by time, then by the order of scheduling.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Scheduled {
    at: Duration,
    number: u64,
    limiter: usize,
    action: Action,
}

struct Limiter<P> {
    policy: P,
    pending_calls: Vec<CallId>,
    watch: Option<CallId>,
    call_times: Vec<Duration>,
    notified_at: Option<Duration>,
    expired: Duration,
}

struct Simulation<P> {
    limiters: Vec<Limiter<P>>,
    service: Service,
    queue: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    last_call: CallId,
    refused: usize,
    /// The number of limiters that have not been notified since the fault.
    unnotified: usize,
    rng: Rng,
    returned_at: Duration,
}

impl<P: Policy> Simulation<P> {
    /// Creates limiters with an open watch each, whose heartbeats have random phases.
    fn new(fleet: &Fleet, new_policy: impl Fn(u64) -> P) -> Self {
        let mut rng = Rng::with_seed(fleet.seed);
        let limiters = (0..fleet.limiters)
            .map(|_| {
                let mut policy = new_policy(rng.u64(..));
                let phase = HEARTBEAT_INTERVAL.mul_f64(rng.f64());
                policy.handle(FAULT_AT.saturating_sub(phase), Event::WatchOpened);
                Limiter {
                    policy,
                    pending_calls: Vec::new(),
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
            scheduled: 0,
            last_call: 0,
            refused: 0,
            unnotified: fleet.limiters,
            rng,
            returned_at: fleet.returned_at(),
        }
    }

    fn begin_fault(&mut self, scenario: Scenario) {
        let mut order: Vec<usize> = (0..self.limiters.len()).collect();
        self.rng.shuffle(&mut order);
        for limiter in order {
            match scenario {
                Scenario::Silence => self.schedule_wake(FAULT_AT, limiter),
                _ => self.notify(FAULT_AT, limiter, Event::WatchClosed),
            }
        }
    }

    fn run(&mut self) {
        let end = self.returned_at + HORIZON;
        let max_actions = MAX_ACTIONS_PER_LIMITER * self.limiters.len() as u64;
        while let Some(Reverse(scheduled)) = self.queue.pop() {
            if scheduled.at > end || self.unnotified == 0 || self.scheduled > max_actions {
                break;
            }
            self.perform(scheduled);
        }
    }

    fn perform(&mut self, scheduled: Scheduled) {
        let Scheduled { at, limiter, action, .. } = scheduled;
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
                self.limiters[limiter].pending_calls.clear();
                self.notify(at, limiter, Event::Heartbeat);
                self.schedule(at + HEARTBEAT_INTERVAL, limiter, action);
            }
            Action::Reply(..) | Action::GiveUp(_) | Action::Heartbeat(_) => {}
        }
    }

    /// Removes a pending call; returns whether it was still pending.
    fn take_call(&mut self, limiter: usize, call: CallId) -> bool {
        let pending_calls = &mut self.limiters[limiter].pending_calls;
        let before = pending_calls.len();
        pending_calls.retain(|pending| *pending != call);
        pending_calls.len() < before
    }

    fn call_if_due(&mut self, now: Duration, limiter: usize) {
        if self.limiters[limiter].policy.next_call().is_none_or(|due| due > now) {
            return;
        }
        self.last_call += 1;
        let call = self.last_call;
        let caller = &mut self.limiters[limiter];
        caller.pending_calls.push(call);
        caller.call_times.push(now);
        let give_up_at = now + caller.policy.call_timeout();
        let (reply_at, reply) = self.service.call(now);
        self.schedule(reply_at, limiter, Action::Reply(call, reply));
        self.schedule(give_up_at, limiter, Action::GiveUp(call));
        self.notify(now, limiter, Event::CallStarted(call));
    }

    fn open_watch(&mut self, now: Duration, limiter: usize, call: CallId) {
        let caller = &mut self.limiters[limiter];
        caller.pending_calls.clear();
        caller.watch = Some(call);
        if caller.notified_at.is_none() {
            caller.notified_at = Some(now);
            self.unnotified -= 1;
            caller.expired = expired_until(now, &caller.policy);
        }
        self.schedule(now + HEARTBEAT_INTERVAL, limiter, Action::Heartbeat(call));
        self.notify(now, limiter, Event::WatchOpened);
    }

    fn notify(&mut self, now: Duration, limiter: usize, event: Event) {
        self.limiters[limiter].policy.handle(now, event);
        self.schedule_wake(now, limiter);
    }

    fn schedule_wake(&mut self, now: Duration, limiter: usize) {
        if let Some(due) = self.limiters[limiter].policy.next_call() {
            self.schedule(due.max(now), limiter, Action::Wake);
        }
    }

    fn schedule(&mut self, at: Duration, limiter: usize, action: Action) {
        self.scheduled += 1;
        self.queue.push(Reverse(Scheduled { at, number: self.scheduled, limiter, action }));
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
