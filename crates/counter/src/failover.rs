//! Selects the active counter: the first valid one of an ordered list, with failover and failback.
//!
//! Each instance decides independently, with the same list and the same policy. Instances agree because all of them
//! observe the same failures, and because a failback is aligned to the start of a census, which is the same for all.

use crate::Verdict;
use std::fmt;

/// Policy for leaving the active counter and for returning to an earlier one in the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailoverPolicy {
    /// Seconds for which a counter may show a fault other than unavailability before a failover. Unavailability needs no
    /// further delay, because it is only established after several consecutive failed calls.
    pub fault_tolerance_s: f64,
    /// Seconds for which an earlier counter must be valid before a failback to it. Each failover from it doubles this
    /// time, up to [`FailoverPolicy::max_recovery_period_s`].
    pub recovery_period_s: f64,
    /// Upper limit of the recovery period, in seconds.
    pub max_recovery_period_s: f64,
    /// Seconds over which the instances' failovers are spread.
    pub jitter_s: f64,
    /// Length of a census period in seconds; failbacks are aligned to its start.
    pub census_period_s: f64,
}

impl Default for FailoverPolicy {
    /// A recovery period of 30 seconds, at most ten minutes.
    fn default() -> Self {
        FailoverPolicy {
            fault_tolerance_s: 5.0,
            recovery_period_s: 30.0,
            max_recovery_period_s: 600.0,
            jitter_s: 0.5,
            census_period_s: 5.0,
        }
    }
}

/// Fraction of a census period, from its start, over which failbacks are spread. It ends before the registration window.
const FAILBACK_SPREAD: f64 = 0.2;
/// Factor by which each failover from a counter lengthens its recovery period.
const RECOVERY_BACKOFF: f64 = 2.0;
/// Lower limit of the census period in seconds, which avoids a division by zero.
const MIN_CENSUS_PERIOD_S: f64 = 1e-3;

/// The active counter. Calls carry it, because an answer to a call of an earlier generation may come from another
/// counter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ActiveCounter {
    /// Index in the list of counters.
    pub index: usize,
    /// Increases with each switch, and when the address of the active counter changes.
    pub generation: u64,
}

/// Why the active counter was switched.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SwitchReason {
    /// The previous counter showed this fault.
    Failover(Verdict),
    /// An earlier counter in the list has been valid for its recovery period.
    Failback,
}

/// A switch of the active counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Switch {
    /// Index of the previous counter.
    pub from: usize,
    /// Index of the new counter.
    pub to: usize,
    /// Reason for the switch.
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

/// The observed status of one counter.
#[derive(Clone, Copy, Debug)]
struct CounterStatus {
    verdict: Verdict,
    /// Whether the latest call was answered.
    is_answering: bool,
    /// When the verdict last changed.
    since: f64,
    recovery_period_s: f64,
}

impl CounterStatus {
    fn unknown(policy: &FailoverPolicy, now: f64) -> Self {
        let recovery_period_s = policy.recovery_period_s;
        CounterStatus { verdict: Verdict::Unknown, is_answering: true, since: now, recovery_period_s }
    }

    /// Whether a failover may select this counter. One whose latest call failed is excluded even if its verdict is still
    /// valid, because several counters may be failing at once.
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
    /// Position of this instance within the spread of failovers and failbacks, from 0 to 1.
    phase: f64,
}

impl Failover {
    /// Starts with the first of `counter_count` counters active. Each instance draws its own `phase` from 0 to 1.
    pub fn new(policy: FailoverPolicy, counter_count: usize, phase: f64, now: f64) -> Self {
        Failover {
            policy,
            counters: vec![CounterStatus::unknown(&policy, now); counter_count.max(1)],
            active: ActiveCounter::default(),
            active_since: now,
            phase: phase.clamp(0.0, 1.0),
        }
    }

    /// The active counter.
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

    /// Resets the status of a counter whose address changed.
    pub fn address_changed(&mut self, counter: usize, now: f64) {
        if let Some(status) = self.counters.get_mut(counter) {
            *status = CounterStatus::unknown(&self.policy, now);
            if counter == self.active.index {
                self.active.generation += 1;
            }
        }
    }

    /// When a failover from the active counter is due, if it shows a fault.
    fn failover_at(&self) -> Option<f64> {
        let status = self.counters[self.active.index];
        let tolerance = match status.verdict {
            Verdict::Unknown | Verdict::UnknownAfterPause | Verdict::Valid => return None,
            Verdict::Unavailable => 0.0,
            _ => self.policy.fault_tolerance_s,
        };
        Some(status.since + tolerance + self.phase * self.policy.jitter_s)
    }

    /// When a failback to a usable counter is due: at the first census that starts after its recovery period.
    fn failback_at(&self, counter: usize) -> f64 {
        let status = self.counters[counter];
        let census_period_s = self.policy.census_period_s.max(MIN_CENSUS_PERIOD_S);
        let periods = ((status.since + status.recovery_period_s) / census_period_s).ceil();
        census_period_s * (periods + FAILBACK_SPREAD * self.phase)
    }

    /// Switches the active counter if a failover or failback is due.
    pub fn switch_if_due(&mut self, now: f64) -> Option<Switch> {
        if self.failover_at().is_some_and(|at| now >= at) {
            return self.fail_over(now);
        }
        self.fail_back(now)
    }

    /// Fails over to the first usable counter. Without one there is no switch, which would only lose increments.
    fn fail_over(&mut self, now: f64) -> Option<Switch> {
        let to = self.counters.iter().position(CounterStatus::is_usable)?;
        let failed = &mut self.counters[self.active.index];
        let verdict = failed.verdict;
        let was_stable = now - self.active_since >= self.policy.max_recovery_period_s;
        let recovery_period_s = if was_stable {
            self.policy.recovery_period_s
        } else {
            RECOVERY_BACKOFF * failed.recovery_period_s
        };
        let longest = self.policy.max_recovery_period_s.max(self.policy.recovery_period_s);
        failed.recovery_period_s = recovery_period_s.min(longest);
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
