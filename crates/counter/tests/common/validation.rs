//! Validation of the counters by every limiter.

use super::counter_service::CounterService;
use super::schedule::SimulationEvent;
use super::Simulation;
use liftrouter_counter::{CallResult, CounterMonitor, FailoverPolicy, ValidationCall, ValidationSettings};
use liftrouter_decision::Event;

impl Simulation {
    /// Makes every limiter validate the counter.
    pub fn with_validation(self) -> Simulation {
        self.with_standbys(0)
    }

    /// Adds `standbys` counters to the first, and makes every limiter validate all of them.
    pub fn with_standbys(mut self, standbys: usize) -> Simulation {
        self.counters.resize(1 + standbys, CounterService::default());
        (0..self.instances.len()).for_each(|n| self.start_validation(n));
        self
    }

    /// Validation settings for this number of limiters.
    pub fn settings(limiters: usize) -> ValidationSettings {
        ValidationSettings { instance_count: limiters as u32, ..ValidationSettings::default() }
    }

    pub(super) fn start_validation(&mut self, n: usize) {
        let incarnation = self.instances[n].incarnation;
        let settings = ValidationSettings {
            instance_index: n as u32,
            incarnation: self.seed << 16 | (n as u64) << 8 | u64::from(incarnation),
            ..Simulation::settings(self.instances.len())
        };
        let clock_skew_s = self.instances[n].clock_skew_s;
        let policy = FailoverPolicy { recovery_period_s: 10.0, ..FailoverPolicy::default() };
        let monitor = CounterMonitor::new(
            &settings,
            policy,
            self.counters.len(),
            self.rng.f64(),
            self.now + clock_skew_s,
        );
        let share = monitor.assessment().validity.usable_quota_ratio;
        for counter in 0..self.counters.len() {
            self.schedule(
                monitor.next_call_at(counter) - clock_skew_s,
                SimulationEvent::Validate(n, incarnation, counter),
            );
        }
        self.instances[n].monitor = Some(monitor);
        self.dispatch(n, Event::CounterValidity { usable_quota_ratio: share });
    }

    pub(super) fn start_validation_call(&mut self, n: usize, incarnation: u32, counter: usize) {
        if self.instances[n].incarnation != incarnation {
            return;
        }
        if self.instances[n].paused_until > self.now {
            let at = self.instances[n].paused_until;
            return self.schedule(at, SimulationEvent::Validate(n, incarnation, counter));
        }
        self.check_for_pause(n);
        let instance = &mut self.instances[n];
        let (clock, clock_skew_s) = (self.now + instance.clock_skew_s, instance.clock_skew_s);
        let Some(monitor) = &mut instance.monitor else { return };
        let call = monitor.due_call(counter, clock);
        let next = monitor.next_call_at(counter) - clock_skew_s;
        if let Some(call) = call {
            let (answer, elapsed_s) = self.call_counter(n, counter, &call.key, call.increment, call.ttl_s);
            self.schedule(
                self.now + elapsed_s,
                SimulationEvent::ValidationEnded { limiter: n, incarnation, counter, call, answer },
            );
        }
        self.schedule(next.max(self.now + 0.001), SimulationEvent::Validate(n, incarnation, counter));
    }

    pub(super) fn end_validation_call(
        &mut self,
        n: usize,
        incarnation: u32,
        counter: usize,
        call: &ValidationCall,
        answer: CallResult,
    ) {
        if self.instances[n].incarnation != incarnation {
            return;
        }
        self.check_for_pause(n);
        let (now, instance) = (self.now, &mut self.instances[n]);
        let Some(monitor) = &mut instance.monitor else { return };
        let before = monitor.assessment().active;
        if let Some(assessment) = monitor.record_result(counter, call, answer, now + instance.clock_skew_s) {
            if let Some(pacer) = instance.pacer.as_mut().filter(|_| assessment.active != before) {
                pacer.start_ramp(now);
            }
            self.dispatch(
                n,
                Event::CounterValidity { usable_quota_ratio: assessment.validity.usable_quota_ratio },
            );
        }
    }

    /// Checks for a pause of the process, which the host does before it handles any event.
    pub(super) fn check_for_pause(&mut self, n: usize) {
        let (now, instance) = (self.now, &mut self.instances[n]);
        if let (Some(monitor), Some(_)) = (&mut instance.monitor, instance.pause_detector.check(now)) {
            if let Some(assessment) = monitor.process_resumed(now + instance.clock_skew_s) {
                self.dispatch(
                    n,
                    Event::CounterValidity { usable_quota_ratio: assessment.validity.usable_quota_ratio },
                );
            }
        }
    }
}
