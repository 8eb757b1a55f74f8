//! Selects the active counter: the first valid one of an ordered list, with failover and failback.
//!
//! Each instance decides for itself, from the same list and with the same policy. Instances stay together because all of
//! them see the same counter fail, and because a failback begins with a census, which starts at one moment for all.

use crate::Verdict;
use std::fmt;

/// When the active counter is given up, and when an earlier one is used again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailoverPolicy {
    /// Seconds for which a counter may show a fault other than unavailability before it is given up. Unavailability
    /// takes several calls in a row to establish and needs no further delay.
    pub fault_tolerance: f64,
    /// Seconds for which an earlier counter has to be valid before a failback to it. Each failover from it doubles this
    /// time, up to [`FailoverPolicy::max_recovery_period`].
    pub recovery_period: f64,
    /// Upper limit of the recovery period, in seconds.
    pub max_recovery_period: f64,
    /// Seconds over which instances spread their failover.
    pub jitter: f64,
    /// Seconds of a census: a failback begins with one.
    pub census_period: f64,
}

impl Default for FailoverPolicy {
    /// Half a minute before a failback, ten minutes at most.
    fn default() -> Self {
        FailoverPolicy {
            fault_tolerance: 5.0,
            recovery_period: 30.0,
            max_recovery_period: 600.0,
            jitter: 0.5,
            census_period: 5.0,
        }
    }
}

/// Share of a census period, from its start, over which failbacks are spread. It ends before registrations do.
const FAILBACK_SPREAD: f64 = 0.2;
/// Factor by which each failover from a counter lengthens its recovery period.
const RECOVERY_BACKOFF: f64 = 2.0;
/// Least census period that divides time, in seconds.
const MIN_CENSUS_PERIOD: f64 = 1e-3;

/// The counter that is called now. Calls carry it, because an answer to a call of an earlier generation does not belong
/// to this counter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ActiveCounter {
    /// Its index in the list.
    pub index: usize,
    /// Increases with each switch, and when the counter gets another address.
    pub generation: u64,
}

/// Why the active counter was switched.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SwitchReason {
    /// The one before showed this fault.
    Failover(Verdict),
    /// An earlier one has been valid for its recovery period.
    Failback,
}

/// A switch of the active counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Switch {
    /// Index of the counter before.
    pub from: usize,
    /// Index of the counter from now on.
    pub to: usize,
    /// Why.
    pub reason: SwitchReason,
}

impl fmt::Display for Switch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.reason {
            SwitchReason::Failover(verdict) => {
                write!(f, "in place of keeper {}, which {verdict}", self.from + 1)
            }
            SwitchReason::Failback => write!(f, "back from keeper {}", self.from + 1),
        }
    }
}

/// What is known of one counter.
#[derive(Clone, Copy, Debug)]
struct CounterStatus {
    verdict: Verdict,
    /// Whether the latest call was answered.
    is_answering: bool,
    /// When the verdict changed last.
    since: f64,
    recovery_period: f64,
}

impl CounterStatus {
    fn unknown(policy: &FailoverPolicy, now: f64) -> Self {
        let recovery_period = policy.recovery_period;
        CounterStatus { verdict: Verdict::Unknown, is_answering: true, since: now, recovery_period }
    }

    /// A valid counter whose latest call failed is no target: where several fail at once, it may be the next.
    fn is_usable(&self) -> bool {
        self.verdict == Verdict::Valid && self.is_answering
    }
}

/// Failover and failback as one instance sees them.
#[derive(Clone, Debug)]
pub struct Failover {
    policy: FailoverPolicy,
    counters: Vec<CounterStatus>,
    active: ActiveCounter,
    active_since: f64,
    /// Position of this instance in every spread, from 0 to 1.
    phase: f64,
}

impl Failover {
    /// Begins with the first of `counter_count` counters. `phase`, from 0 to 1, is drawn by each instance.
    pub fn new(policy: FailoverPolicy, counter_count: usize, phase: f64, now: f64) -> Self {
        Failover {
            policy,
            counters: vec![CounterStatus::unknown(&policy, now); counter_count.max(1)],
            active: ActiveCounter::default(),
            active_since: now,
            phase: phase.clamp(0.0, 1.0),
        }
    }

    /// The counter to call now.
    pub fn active(&self) -> ActiveCounter {
        self.active
    }

    /// Records a counter's verdict, and whether its latest call was answered.
    pub fn observe(&mut self, counter: usize, verdict: Verdict, is_answering: bool, now: f64) {
        let Some(status) = self.counters.get_mut(counter) else { return };
        status.is_answering = is_answering;
        if status.verdict != verdict {
            (status.verdict, status.since) = (verdict, now);
        }
    }

    /// A counter has another address: nothing is known of what answers there.
    pub fn address_changed(&mut self, counter: usize, now: f64) {
        if let Some(status) = self.counters.get_mut(counter) {
            *status = CounterStatus::unknown(&self.policy, now);
            if counter == self.active.index {
                self.active.generation += 1;
            }
        }
    }

    /// When the active counter is to be given up, if it shows a fault.
    fn failover_at(&self) -> Option<f64> {
        let status = self.counters[self.active.index];
        let tolerance = match status.verdict {
            Verdict::Unknown | Verdict::UnknownAfterPause | Verdict::Valid => return None,
            Verdict::Unavailable => 0.0,
            _ => self.policy.fault_tolerance,
        };
        Some(status.since + tolerance + self.phase * self.policy.jitter)
    }

    /// When a usable counter can be used again: with the first census that begins after its recovery period.
    fn failback_at(&self, counter: usize) -> f64 {
        let status = self.counters[counter];
        let census_period = self.policy.census_period.max(MIN_CENSUS_PERIOD);
        let periods = ((status.since + status.recovery_period) / census_period).ceil();
        census_period * (periods + FAILBACK_SPREAD * self.phase)
    }

    /// Switches the active counter, if that is due.
    pub fn switch_if_due(&mut self, now: f64) -> Option<Switch> {
        if self.failover_at().is_some_and(|at| now >= at) {
            return self.fail_over(now);
        }
        self.fail_back(now)
    }

    /// With no usable counter a switch would gain nothing and lose increments, so there is none.
    fn fail_over(&mut self, now: f64) -> Option<Switch> {
        let to = self.counters.iter().position(CounterStatus::is_usable)?;
        let failed = &mut self.counters[self.active.index];
        let verdict = failed.verdict;
        let was_stable = now - self.active_since >= self.policy.max_recovery_period;
        let recovery_period =
            if was_stable { self.policy.recovery_period } else { RECOVERY_BACKOFF * failed.recovery_period };
        let longest = self.policy.max_recovery_period.max(self.policy.recovery_period);
        failed.recovery_period = recovery_period.min(longest);
        Some(self.switch(to, SwitchReason::Failover(verdict), now))
    }

    fn fail_back(&mut self, now: f64) -> Option<Switch> {
        let recovered = |&n: &usize| self.counters[n].is_usable() && now >= self.failback_at(n);
        let to = (0..self.active.index).find(recovered)?;
        Some(self.switch(to, SwitchReason::Failback, now))
    }

    fn switch(&mut self, to: usize, reason: SwitchReason, now: f64) -> Switch {
        let from = std::mem::replace(&mut self.active.index, to);
        self.active.generation += 1;
        self.active_since = now;
        Switch { from, to, reason }
    }
}

#[cfg(test)]
mod tests;
