//! Sentinel counters: counts that only one instance increments, so that it knows the correct totals.

use crate::Verdict;

/// Increment that creates a sentinel. Later increments are 1, so a total of 1 means a counter that restarted from zero,
/// never one that did not change.
const FIRST_INCREMENT: f64 = 2.0;
/// Increment of an existing sentinel.
const INCREMENT: f64 = 1.0;

/// The sentinel of one period of one process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sentinel {
    /// Number of the census period that the sentinel belongs to.
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

    /// Key of the count on the counter service. All versions that share a counter must use the same key.
    pub(crate) fn key(&self, instance_index: u32, incarnation: u64) -> String {
        format!("canary.{instance_index}.{incarnation:016x}.{}", self.period)
    }

    /// Starts the next call during `period`. Returns its increment and the lowest valid total.
    ///
    /// The sentinel of the previous period is read once more without an increment, so that a loss between two sentinels
    /// is detected.
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

    /// Subtracts an increment that was definitely not applied.
    pub(crate) fn cancel_increment(&mut self, increment: f64) {
        self.possible -= increment;
    }

    /// Checks the total returned by a call.
    #[allow(clippy::float_cmp, reason = "totals are sums of small whole numbers, which f64 holds exactly")]
    pub(crate) fn check(&mut self, total: f64, min_total: f64, increment: f64) -> Verdict {
        let verdict = if total > self.possible {
            Verdict::DoubleCounted
        } else if total >= min_total {
            Verdict::Valid
        } else if increment > 0.0 && (total < increment || total == self.confirmed) {
            // The increment of this call is missing.
            Verdict::Stale
        } else if total <= increment {
            Verdict::CountsLost
        } else {
            Verdict::RolledBack
        };
        match verdict {
            // A stale answer does not show the current count, so later answers are compared with the same sums.
            Verdict::Stale => {}
            Verdict::Valid => self.confirmed = total,
            _ => (self.confirmed, self.possible) = (total, total),
        }
        verdict
    }
}
