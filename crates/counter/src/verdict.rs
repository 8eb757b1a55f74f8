//! The result of validating a counter: a verdict on its totals, and the ratio of each quota that may be divided by them.

use std::fmt;

/// The state of a counter according to the latest validation calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// No answer yet.
    Unknown,
    /// No answer since this process was paused.
    UnknownAfterPause,
    /// Totals are correct.
    Valid,
    /// [`ValidationSettings::failure_threshold`](crate::ValidationSettings::failure_threshold) consecutive calls failed.
    Unavailable,
    /// The sentinel counter restarted from zero: counts were lost.
    CountsLost,
    /// The sentinel counter lacks confirmed increments: the counter was restored from an older copy.
    RolledBack,
    /// The sentinel counter does not change although it is incremented.
    Stale,
    /// The sentinel counter exceeds the sum of all increments made to it.
    DoubleCounted,
}

/// The text is part of the log line that reports each change.
impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Verdict::Unknown => "has not been heard",
            Verdict::UnknownAfterPause => "has not been heard since this limiter stood still",
            Verdict::Valid => "is sound",
            Verdict::Unavailable => "gives no answers",
            Verdict::CountsLost => "has lost its counts",
            Verdict::RolledBack => "came back with older counts",
            Verdict::Stale => "answers with old totals",
            Verdict::DoubleCounted => "adds more than it is told",
        })
    }
}

/// Whether and to what extent an instance may use a counter's totals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Validity {
    /// Ratio of each quota, from 0 to 1, that the instances with the same totals may divide by demand. With 0 the totals
    /// are not used, and each instance has its even fallback share.
    pub usable_quota_ratio: f64,
    /// The verdict on the counter.
    pub verdict: Verdict,
    /// Number of instances in the latest complete census, including this one; 0 without a census.
    pub instances_seen: u32,
}

impl fmt::Display for Validity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the keeper {}; limiters on its roll: {}; share {:.2}",
            self.verdict, self.instances_seen, self.usable_quota_ratio
        )
    }
}
