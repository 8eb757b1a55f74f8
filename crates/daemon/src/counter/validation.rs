//! Runs the validation of the counters: makes the validation calls, one at a time to each counter, and reports the active
//! counter and the validity of its totals.

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

/// Lower limit of the sleep between two checks for a due call, which prevents a busy loop.
const MIN_SLEEP: Duration = Duration::from_millis(5);
/// 2^64 divided by the golden ratio, for multiplicative (Fibonacci) hashing of the seed.
const PHASE_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Number of upper bits of the hashed seed that become the phase.
const PHASE_BITS: u32 = 24;

/// Unix time, read once at the start and advanced by the monotonic clock. It is comparable between instances and does
/// not follow later changes of the system clock.
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
    /// The [`CounterPool::changes`] that were already passed to the monitor.
    applied_changes: Cell<ChangeCounts>,
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
        // A process that restarts with the same seed must not reuse the sentinel of its predecessor.
        let incarnation = seed ^ (clock.unix_seconds * 1e6) as u64;
        let instance_index = settings.instance_index;
        let instance_count = settings.instance_count.max(1);
        let validation =
            ValidationSettings { instance_index, instance_count, incarnation, ..validation.clone() };
        // Derived from the seed, so that instances with the same observations switch at different moments.
        let hash = seed.wrapping_mul(PHASE_MULTIPLIER) >> (u64::BITS - PHASE_BITS);
        let phase = hash as f64 / f64::from(1u32 << PHASE_BITS);
        let monitor = CounterMonitor::new(&validation, policy, pool.clients().len(), phase, clock.now());
        Rc::new(CounterValidation {
            pool,
            events,
            clock,
            settings: validation,
            monitor: RefCell::new(monitor),
            applied_changes: Cell::default(),
            plans: reported_plans(settings, instance_count),
            timing: Timing { timeout_s: settings.counter_timeout_s.max(0.0), ..Timing::default() },
        })
    }

    /// Runs the validation until the future is dropped. Each change of the assessment is logged in one line.
    pub async fn run(self: Rc<Self>) {
        // The initial assessment: totals are not used until a counter has answered.
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

    /// Makes the validation calls to one counter.
    async fn validate(self: Rc<Self>, counter: usize) {
        let Some(client) = self.pool.clients().get(counter).cloned() else { return };
        loop {
            let next = self.monitor.borrow().next_call_at(counter);
            let until = Duration::try_from_secs_f64(next - self.clock.now()).unwrap_or_default();
            sleep(until.max(MIN_SLEEP)).await;
            let call = self.monitor.borrow_mut().due_call(counter, self.clock.now());
            let Some(call) = call else { continue };
            let (outcome, total) = client.add(&call.key, call.increment, call.ttl_s).await;
            let result = match outcome {
                Outcome::Ok => CallResult::Total(total),
                Outcome::Timeout => CallResult::Unanswered,
                _ => CallResult::NotApplied,
            };
            // A pause of the process during the call must be applied before its result.
            self.apply_changes();
            let assessment =
                self.monitor.borrow_mut().record_result(counter, &call, result, self.clock.now());
            self.report_change(assessment);
        }
    }

    /// Passes pauses of the process and changes of the first counter's address to the monitor.
    fn apply_changes(&self) {
        let (now, changes) = (self.clock.now(), self.pool.changes());
        let applied = self.applied_changes.replace(changes);
        if changes.address_changes != applied.address_changes {
            let assessment = self.monitor.borrow_mut().address_changed(0, now);
            self.report_change(assessment);
        }
        if changes.pauses != applied.pauses {
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
            pauses: self.applied_changes.get().pauses,
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
            let separator = if index == 0 { "; off by at most, in units:" } else { "," };
            let (name, overshoot, undershoot) = (&plan.name, bound.overshoot, bound.undershoot);
            let _ = write!(line, "{separator} {name} +{overshoot:.0} -{undershoot:.0}");
        }
        line
    }
}

/// The plans with a quota.
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
