//! The result of monitoring all counters of one instance: the active counter and its validity.

use crate::{ActiveCounter, ErrorBound, Fault, Quota, Switch, Timing, ValidationSettings, Validity, Verdict};
use std::fmt;

/// Census periods until a fault is detected that only the census shows, such as a split counter.
const DETECTION_PERIODS: f64 = 2.0;

/// The active counter and its validity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assessment {
    /// The counter that receives the calls for customers' quotas.
    pub active: ActiveCounter,
    /// Number of configured counters.
    pub counter_count: usize,
    /// How far the active counter's totals may be relied on.
    pub validity: Validity,
    /// The switch of the active counter that caused this assessment, if any.
    pub switch: Option<Switch>,
}

impl fmt::Display for Assessment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.validity)?;
        if self.counter_count > 1 {
            write!(f, "; keeper {} of {}", self.active.index + 1, self.counter_count)?;
        }
        self.switch.map_or(Ok(()), |switch| write!(f, " {switch}"))
    }
}

impl Assessment {
    /// The fault to assume for the error bound. Its duration is that of the detected fault, or the detection time if the
    /// fault is one that is only detected with a delay.
    pub fn assumed_fault(&self, settings: &ValidationSettings) -> Fault {
        let detection_s = DETECTION_PERIODS * settings.census_period_s;
        let Validity { usable_quota_ratio, verdict, instances_seen } = self.validity;
        match verdict {
            // Valid, but before the first complete census: each instance uses its fallback share.
            Verdict::Valid if usable_quota_ratio == 0.0 => Fault::Unavailable { duration_s: detection_s },
            Verdict::Valid if instances_seen < settings.instance_count => {
                let partitions = settings.instance_count.div_ceil(instances_seen.max(1));
                Fault::SplitBrain { partitions, duration_s: detection_s }
            }
            Verdict::Valid => Fault::None,
            Verdict::Unknown | Verdict::UnknownAfterPause | Verdict::Unavailable => {
                Fault::Unavailable { duration_s: detection_s }
            }
            Verdict::CountsLost => Fault::CountsLost,
            Verdict::RolledBack | Verdict::Stale => {
                let duration_s = f64::from(settings.required_valid_answers) * settings.call_interval_s;
                Fault::Stale { duration_s }
            }
            Verdict::DoubleCounted => Fault::DoubleCounted { duration_s: detection_s },
        }
    }

    /// Bound on the deviation of a customer's use from its quota under the assumed fault.
    pub fn error_bound(&self, quota: &Quota, timing: &Timing, settings: &ValidationSettings) -> ErrorBound {
        ErrorBound::under(quota, timing, self.assumed_fault(settings))
    }
}
