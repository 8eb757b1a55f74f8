//! The result of validating a counter: a verdict on its totals, and the share of each quota that they may divide.

use std::fmt;

/// What the latest validation calls showed of a counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// No answer yet.
    Unknown,
    /// No answer since this process was paused.
    UnknownAfterPause,
    /// Totals are what they have to be.
    Valid,
    /// Several calls in a row got no answer.
    Unavailable,
    /// The sentinel counter started again from zero: counts were lost.
    CountsLost,
    /// The sentinel counter lacks increments that it had: the counter was restored from an older copy.
    RolledBack,
    /// The sentinel counter is incremented and does not change.
    Stale,
    /// The sentinel counter exceeds everything that was ever added to it.
    DoubleCounted,
}

/// The text is part of the log line that states each change.
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

/// How far an instance may rely on a counter's totals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Validity {
    /// Share of each quota, from 0 to 1, that the instances which see the same totals may divide by demand. With 0 the
    /// totals are not used, and each instance has its even fallback share.
    pub usable_quota_ratio: f64,
    /// The verdict behind it.
    pub verdict: Verdict,
    /// Instances in the latest census, this one among them; 0 if there was none.
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
