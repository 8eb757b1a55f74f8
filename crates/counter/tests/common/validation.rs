//! Validation of the counters by every instance.

use super::counter_service::CounterService;
use super::schedule::SimulationEvent;
use super::World;
use liftrouter_counter::{CallResult, CounterMonitor, FailoverPolicy, ValidationCall, ValidationSettings};
use liftrouter_decision::Event;

impl World {
    /// Every limiter validates its counter.
    pub fn validated(self) -> World {
        self.with_standbys(0)
    }

    /// Every limiter validates its counters, of which there are `standbys` beside the first.
    pub fn with_standbys(mut self, standbys: usize) -> World {
        self.counters.resize(1 + standbys, CounterService::default());
        (0..self.instances.len()).for_each(|n| self.validate(n));
        self
    }

    /// Settings of the validation.
    pub fn settings(limiters: usize) -> ValidationSettings {
        ValidationSettings { instance_count: limiters as u32, ..ValidationSettings::default() }
    }

    pub(super) fn validate(&mut self, n: usize) {
        let incarnation = self.instances[n].incarnation;
        let settings = ValidationSettings {
            instance_index: n as u32,
            incarnation: self.seed << 16 | (n as u64) << 8 | u64::from(incarnation),
            ..World::settings(self.instances.len())
        };
        let skew = self.instances[n].skew;
        let order = FailoverPolicy { recovery_period: 10.0, ..FailoverPolicy::default() };
        let monitor =
            CounterMonitor::new(&settings, order, self.counters.len(), self.rng.f64(), self.now + skew);
        let share = monitor.assessment().validity.usable_quota_ratio;
        for counter in 0..self.counters.len() {
            self.schedule(
                monitor.next_call_at(counter) - skew,
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
        if self.instances[n].paused > self.now {
            let at = self.instances[n].paused;
            return self.schedule(at, SimulationEvent::Validate(n, incarnation, counter));
        }
        self.check_for_pause(n);
        let instance = &mut self.instances[n];
        let (clock, skew) = (self.now + instance.skew, instance.skew);
        let Some(monitor) = &mut instance.monitor else { return };
        let call = monitor.due_call(counter, clock);
        let next = monitor.next_call_at(counter) - skew;
        if let Some(call) = call {
            let (answer, elapsed_s) = self.reach(n, counter, &call.key, call.increment, call.ttl);
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
        if let Some(assessment) = monitor.record_result(counter, call, answer, now + instance.skew) {
            if let Some(pacer) = instance.pacer.as_mut().filter(|_| assessment.active != before) {
                pacer.start_ramp(now);
            }
            self.dispatch(
                n,
                Event::CounterValidity { usable_quota_ratio: assessment.validity.usable_quota_ratio },
            );
        }
    }

    /// A host looks at its clock before it hears anything.
    pub(super) fn check_for_pause(&mut self, n: usize) {
        let (now, instance) = (self.now, &mut self.instances[n]);
        if let (Some(monitor), Some(_)) = (&mut instance.monitor, instance.pause_detector.check(now)) {
            if let Some(assessment) = monitor.process_resumed(now + instance.skew) {
                self.dispatch(
                    n,
                    Event::CounterValidity { usable_quota_ratio: assessment.validity.usable_quota_ratio },
                );
            }
        }
    }
}
