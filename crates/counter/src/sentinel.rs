//! Sentinel counters: counts that a single instance increments, so that it knows what their totals have to be.

use crate::Verdict;

/// Increment that creates a sentinel. Later increments are 1, so a total of 1 shows a counter that started again and
/// never one that did not change.
const FIRST_INCREMENT: f64 = 2.0;
/// Increment of an existing sentinel.
const INCREMENT: f64 = 1.0;

/// The sentinel of one period of one process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sentinel {
    /// Number of the period that it belongs to.
    pub(crate) period: i64,
    /// Sum of the increments that are known to have been applied.
    confirmed: f64,
    /// Sum of the increments that may have been applied.
    possible: f64,
}

impl Sentinel {
    /// A sentinel without increments.
    pub(crate) fn new(period: i64) -> Self {
        Sentinel { period, ..Sentinel::default() }
    }

    /// Name of the count on the counter service. All versions that share a counter have to agree on it.
    pub(crate) fn key(&self, instance_index: u32, incarnation: u64) -> String {
        format!("canary.{instance_index}.{incarnation:016x}.{}", self.period)
    }

    /// Starts the next call during `period`: its increment, and the least total that a valid answer has.
    ///
    /// The sentinel of the previous period is only read, once, so that no loss falls between two sentinels.
    pub(crate) fn start_call(&mut self, period: i64) -> (f64, f64) {
        let increment = match (self.period == period, self.possible > 0.0) {
            (false, _) => 0.0,
            (true, false) => FIRST_INCREMENT,
            (true, true) => INCREMENT,
        };
        let min_total = self.confirmed + increment;
        self.possible += increment;
        (increment, min_total)
    }

    /// Takes back an increment that was certainly not applied.
    pub(crate) fn cancel_increment(&mut self, increment: f64) {
        self.possible -= increment;
    }

    /// Checks the total that answered a call.
    #[allow(clippy::float_cmp, reason = "totals are sums of small whole numbers, which f64 holds exactly")]
    pub(crate) fn check(&mut self, total: f64, min_total: f64, increment: f64) -> Verdict {
        let verdict = if total > self.possible {
            Verdict::DoubleCounted
        } else if total >= min_total {
            Verdict::Valid
        } else if increment > 0.0 && (total < increment || total == self.confirmed) {
            // The increment of this very call is missing.
            Verdict::Stale
        } else if total <= increment {
            Verdict::CountsLost
        } else {
            Verdict::RolledBack
        };
        match verdict {
            // A stale answer does not show what the counter holds: later answers are compared with the same sums.
            Verdict::Stale => {}
            Verdict::Valid => self.confirmed = total,
            _ => (self.confirmed, self.possible) = (total, total),
        }
        verdict
    }
}
