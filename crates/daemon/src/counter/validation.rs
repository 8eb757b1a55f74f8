//! Runs the validation of the counters: makes its calls, one at a time to each counter, and reports which counter is
//! active and how far its totals may be relied on.

use super::pool::{ChangeCounts, CounterPool};
use crate::events::{EventQueue, HostEvent};
use crate::log;
use liftrouter_counter::{
    Assessment, CallResult, CounterMonitor, FailoverPolicy, Quota, Timing, ValidationSettings,
};
use liftrouter_decision::{Outcome, Settings};
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Shortest sleep between two checks for a due call, whatever the clock does.
const MIN_SLEEP: Duration = Duration::from_millis(5);
/// 2^64 divided by the golden ratio: an odd number whose multiples differ in all their bits.
const PHASE_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Bits of the hashed seed that become the phase.
const PHASE_BITS: u32 = 24;

/// Unix time, read once and carried on by the monotonic clock: all instances mean the same by it, and it does not follow
/// later changes of the system clock.
struct ValidationClock {
    started_at: Instant,
    unix_seconds: f64,
}

impl ValidationClock {
    fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        ValidationClock { started_at: Instant::now(), unix_seconds: unix.as_secs_f64() }
    }

    fn now(&self) -> f64 {
        self.unix_seconds + self.started_at.elapsed().as_secs_f64()
    }
}

/// A plan whose error bound is logged with each change.
struct ReportedPlan {
    name: String,
    quota: Quota,
}

/// Validates all counters for one instance.
pub struct CounterValidation {
    pool: Rc<CounterPool>,
    events: Rc<EventQueue>,
    clock: ValidationClock,
    settings: ValidationSettings,
    monitor: RefCell<CounterMonitor>,
    /// What the monitor knows of [`CounterPool::changes`].
    known: Cell<ChangeCounts>,
    plans: Vec<ReportedPlan>,
    timing: Timing,
}

impl CounterValidation {
    /// A validation of the pool's counters. The instance, its incarnation and the number of instances come from
    /// `settings` and `seed`, the rest from `validation`. `seed` differs from instance to instance.
    pub fn new(
        pool: Rc<CounterPool>,
        events: Rc<EventQueue>,
        validation: &ValidationSettings,
        policy: FailoverPolicy,
        settings: &Settings,
        seed: u64,
    ) -> Rc<Self> {
        let clock = ValidationClock::start();
        // A process that restarts with the same seed must not take its predecessor's sentinel for its own.
        let incarnation = seed ^ (clock.unix_seconds * 1e6) as u64;
        let instance_index = settings.instance_index;
        let instance_count = settings.instance_count.max(1);
        let validation =
            ValidationSettings { instance_index, instance_count, incarnation, ..validation.clone() };
        // Hashed from the seed, so that instances with the same view switch at different moments.
        let hash = seed.wrapping_mul(PHASE_MULTIPLIER) >> (u64::BITS - PHASE_BITS);
        let phase = hash as f64 / f64::from(1u32 << PHASE_BITS);
        let monitor = CounterMonitor::new(&validation, policy, pool.clients().len(), phase, clock.now());
        Rc::new(CounterValidation {
            pool,
            events,
            clock,
            settings: validation,
            monitor: RefCell::new(monitor),
            known: Cell::default(),
            plans: reported_plans(settings, instance_count),
            timing: Timing { timeout: settings.counter_timeout_s.max(0.0), ..Timing::default() },
        })
    }

    /// Validates for as long as it is polled. Each change is one line of the log.
    pub async fn run(self: Rc<Self>) {
        // Until a counter has answered, totals are not used.
        let initial = self.monitor.borrow().assessment();
        self.report(initial);
        for counter in 0..self.pool.clients().len() {
            spawn_local(self.clone().validate(counter));
        }
        loop {
            self.pool.changed().await;
            self.apply_changes();
        }
    }

    /// Validates one counter.
    async fn validate(self: Rc<Self>, counter: usize) {
        let Some(client) = self.pool.clients().get(counter).cloned() else { return };
        loop {
            let next = self.monitor.borrow().next_call_at(counter);
            let until = Duration::try_from_secs_f64(next - self.clock.now()).unwrap_or_default();
            sleep(until.max(MIN_SLEEP)).await;
            let call = self.monitor.borrow_mut().due_call(counter, self.clock.now());
            let Some(call) = call else { continue };
            let (outcome, total) = client.add(&call.key, call.increment, call.ttl).await;
            let result = match outcome {
                Outcome::Ok => CallResult::Total(total),
                Outcome::Timeout => CallResult::Unanswered,
                _ => CallResult::NotApplied,
            };
            // A pause of the process during the call has to be known before the answer.
            self.apply_changes();
            let assessment =
                self.monitor.borrow_mut().record_result(counter, &call, result, self.clock.now());
            self.report_change(assessment);
        }
    }

    /// Passes on to the monitor what has happened to the process and to the first counter.
    fn apply_changes(&self) {
        let (now, changes) = (self.clock.now(), self.pool.changes());
        let known = self.known.replace(changes);
        if changes.address_changes != known.address_changes {
            let assessment = self.monitor.borrow_mut().address_changed(0, now);
            self.report_change(assessment);
        }
        if changes.pauses != known.pauses {
            let assessment = self.monitor.borrow_mut().process_resumed(now);
            self.report_change(assessment);
        }
    }

    fn report_change(&self, assessment: Option<Assessment>) {
        if let Some(assessment) = assessment {
            self.report(assessment);
        }
    }

    fn report(&self, assessment: Assessment) {
        self.pool.set_active(assessment.active);
        log("keeper", self.log_line(&assessment));
        self.events.push(HostEvent::CounterValidity {
            usable_quota_ratio: assessment.validity.usable_quota_ratio,
            pauses: self.known.get().pauses,
        });
    }

    fn log_line(&self, assessment: &Assessment) -> String {
        let mut line = assessment.to_string();
        let client = self.pool.clients().get(assessment.active.index);
        if let Some(address) = client.and_then(|client| client.address()) {
            let _ = write!(line, "; at {address}");
        }
        for (index, plan) in self.plans.iter().enumerate() {
            let bound = assessment.error_bound(&plan.quota, &self.timing, &self.settings);
            let before = if index == 0 { "; off by at most, in units:" } else { "," };
            let (name, overshoot, undershoot) = (&plan.name, bound.overshoot, bound.undershoot);
            let _ = write!(line, "{before} {name} +{overshoot:.0} -{undershoot:.0}");
        }
        line
    }
}

/// The plans that have a quota.
fn reported_plans(settings: &Settings, instance_count: u32) -> Vec<ReportedPlan> {
    let plans = settings.plans.iter().filter(|plan| plan.rate > 0.0);
    let reported = plans.map(|plan| ReportedPlan {
        name: plan.name.clone(),
        quota: Quota {
            rate: plan.rate,
            burst: plan.burst,
            max_request_units: settings.max_request_units,
            instance_count,
            hard_limit_factor: plan.hard_limit_rate / plan.rate,
        },
    });
    reported.collect()
}
