//! Monitors all counters of one instance, with a validator for each and failover between them.

use crate::{
    Assessment, CallResult, CounterValidator, Failover, FailoverPolicy, Switch, ValidationCall,
    ValidationSettings,
};

/// Validates all counters of one instance and selects the active one.
#[derive(Clone, Debug)]
pub struct CounterMonitor {
    validators: Vec<CounterValidator>,
    failover: Failover,
}

impl CounterMonitor {
    /// A monitor of `counter_count` counters, of which the first is active. Each instance draws its own `phase` from 0 to
    /// 1, which spreads failovers.
    pub fn new(
        settings: &ValidationSettings,
        policy: FailoverPolicy,
        counter_count: usize,
        phase: f64,
        now: f64,
    ) -> Self {
        let counter_count = counter_count.max(1);
        let policy = FailoverPolicy { census_period_s: settings.census_period_s, ..policy };
        let mut validators: Vec<_> =
            (0..counter_count).map(|_| CounterValidator::new(settings.clone(), now)).collect();
        for standby in &mut validators[1..] {
            standby.set_active(false);
        }
        CounterMonitor { validators, failover: Failover::new(policy, counter_count, phase, now) }
    }

    /// The current assessment.
    pub fn assessment(&self) -> Assessment {
        let active = self.failover.active();
        let validity = self.validators[active.index].validity();
        Assessment { active, counter_count: self.validators.len(), validity, switch: None }
    }

    /// Time at which the next call to a counter is due, in seconds.
    pub fn next_call_at(&self, counter: usize) -> f64 {
        self.validators[counter].next_call_at()
    }

    /// The call to a counter that is due, if any. Its result must be recorded before the next call to that counter.
    pub fn due_call(&mut self, counter: usize, now: f64) -> Option<ValidationCall> {
        self.validators[counter].due_call(now)
    }

    /// Records how a call to a counter ended. Returns the assessment if it changed.
    pub fn record_result(
        &mut self,
        counter: usize,
        call: &ValidationCall,
        result: CallResult,
        now: f64,
    ) -> Option<Assessment> {
        let before = self.assessment();
        self.validators[counter].record_result(call, result, now);
        self.observe(counter, now);
        let switch = self.failover.switch_if_due(now);
        if let Some(switch) = switch {
            self.validators[switch.from].set_active(false);
            self.validators[switch.to].set_active(true);
        }
        self.changed_since(before, switch)
    }

    /// Resets the validation of a counter whose address changed. Returns the assessment if it changed.
    pub fn address_changed(&mut self, counter: usize, now: f64) -> Option<Assessment> {
        let before = self.assessment();
        self.validators[counter].address_changed(now);
        self.failover.address_changed(counter, now);
        self.changed_since(before, None)
    }

    /// Marks all counters as unconfirmed after a pause of the process. Returns the assessment if it changed.
    pub fn process_resumed(&mut self, now: f64) -> Option<Assessment> {
        let before = self.assessment();
        for counter in 0..self.validators.len() {
            self.validators[counter].process_resumed(now);
            self.observe(counter, now);
        }
        self.changed_since(before, None)
    }

    /// Reports a counter's verdict to the failover.
    fn observe(&mut self, counter: usize, now: f64) {
        let validator = &self.validators[counter];
        self.failover.observe(counter, validator.validity().verdict, validator.is_answering(), now);
    }

    fn changed_since(&self, before: Assessment, switch: Option<Switch>) -> Option<Assessment> {
        let assessment = Assessment { switch, ..self.assessment() };
        (assessment != before).then_some(assessment)
    }
}
