//! What one instance makes of all its counters: the active one, and how far its totals may be relied on.

use crate::{ActiveCounter, ErrorBound, Fault, Quota, Switch, Timing, ValidationSettings, Validity, Verdict};
use std::fmt;

/// Census periods within which a fault that an instance cannot see by itself is detected.
const DETECTION_PERIODS: f64 = 2.0;

/// The active counter and its validity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assessment {
    /// The counter that customers are counted at.
    pub active: ActiveCounter,
    /// How many counters there are.
    pub counter_count: usize,
    /// How far the active counter's totals may be relied on.
    pub validity: Validity,
    /// The switch that led to this assessment, if it was one.
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
    /// The fault that an instance has to assume. Its duration is how long it lasts where it is detected, and how long
    /// its detection takes where it is not.
    pub fn assumed_fault(&self, settings: &ValidationSettings) -> Fault {
        let detection = DETECTION_PERIODS * settings.census_period;
        let Validity { usable_quota_ratio, verdict, instances_seen } = self.validity;
        match verdict {
            // Valid, but before the first census: the fallback share.
            Verdict::Valid if usable_quota_ratio == 0.0 => Fault::Unavailable { seconds: detection },
            Verdict::Valid if instances_seen < settings.instance_count => {
                let partitions = settings.instance_count.div_ceil(instances_seen.max(1));
                Fault::SplitBrain { partitions, seconds: detection }
            }
            Verdict::Valid => Fault::None,
            Verdict::Unknown | Verdict::UnknownAfterPause | Verdict::Unavailable => {
                Fault::Unavailable { seconds: detection }
            }
            Verdict::CountsLost => Fault::CountsLost,
            Verdict::RolledBack | Verdict::Stale => {
                let seconds = f64::from(settings.required_valid_answers) * settings.call_interval;
                Fault::Stale { seconds }
            }
            Verdict::DoubleCounted => Fault::DoubleCounted { seconds: detection },
        }
    }

    /// How far a customer's use may leave its quota under the assumed fault.
    pub fn error_bound(&self, quota: &Quota, timing: &Timing, settings: &ValidationSettings) -> ErrorBound {
        ErrorBound::under(quota, timing, self.assumed_fault(settings))
    }
}
