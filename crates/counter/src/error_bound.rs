//! Bounds on the error of a quota, from its parameters and the timing of the calls to the counter alone.
//!
//! `docs/design/keeper.md` derives them.

/// A quota and the instances that spend it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units a second; above 0.
    pub rate: f64,
    /// Units that may be used at once; 0 or above.
    pub burst: f64,
    /// Units of the largest request.
    pub max_request_units: f64,
    /// Instances that the customer reaches, at least 1.
    pub instance_count: u32,
    /// The hard limit as a multiple of rate and burst; 0 if there is none.
    pub hard_limit_factor: f64,
}

impl Quota {
    fn instances(&self) -> f64 {
        f64::from(self.instance_count.max(1))
    }

    /// Share of the quota that one instance's even share leaves to the others.
    fn others_share(&self) -> f64 {
        (self.instances() - 1.0) / self.instances()
    }

    fn has_hard_limit(&self) -> bool {
        self.hard_limit_factor > 0.0
    }
}

/// When instances call the counter, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Longest time between two calls for a customer with traffic at an instance.
    pub call_interval: f64,
    /// Time after which a call counts as unanswered.
    pub timeout: f64,
    /// Consecutive unanswered calls after which the counter is unavailable.
    pub max_misses: u32,
    /// Longest time over which totals are averaged.
    pub averaging_window: f64,
}

impl Default for Timing {
    /// The decision module's figures, with the platform's timeout.
    fn default() -> Self {
        Timing { call_interval: 0.55, timeout: 0.05, max_misses: 3, averaging_window: 10.0 }
    }
}

impl Timing {
    /// Time until an instance that calls for one customer only detects that the counter is unavailable.
    fn detection_time(&self) -> f64 {
        f64::from(self.max_misses) * (self.call_interval + self.timeout)
    }

    /// Time until totals reflect a shift of the load.
    fn shift_time(&self) -> f64 {
        self.averaging_window + self.call_interval
    }
}

/// A fault of the counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// It works.
    None,
    /// It answers nothing, or rejects calls.
    Unavailable {
        /// How long.
        seconds: f64,
    },
    /// Some instances cannot reach it.
    Partitioned {
        /// How many of the customer's instances, at least 1.
        instances: u32,
        /// How long.
        seconds: f64,
    },
    /// It forgets counts once, this customer's among them or not.
    CountsLost,
    /// It answers late, but within the callers' timeout.
    Slow {
        /// How late.
        seconds: f64,
    },
    /// It answers with the totals of the start of the fault, and keeps what is added.
    Stale {
        /// How long.
        seconds: f64,
    },
    /// It is several counters, each of which some of the instances call.
    SplitBrain {
        /// How many, at least 2.
        partitions: u32,
        /// How long.
        seconds: f64,
    },
    /// It applies every increment twice.
    DoubleCounted {
        /// How long.
        seconds: f64,
    },
    /// It behaves arbitrarily, wrong totals included: the bound that holds without any trust in it.
    Arbitrary {
        /// How long.
        seconds: f64,
    },
}

/// The most by which a customer's use may leave its quota, in units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ErrorBound {
    /// Forwarded beyond `burst + rate * interval` in any interval that contains the fault.
    pub overshoot: f64,
    /// Rejected of what a customer asked within its quota, in an interval that contains the fault and in which each
    /// instance's share of the customer's load changes at most once. [`RANDOM_REJECTION_RATIO`] comes on top.
    pub undershoot: f64,
    /// Rejected each second in addition. A hard limit is divided evenly, so a customer that reaches fewer instances
    /// than it could has a lower one.
    pub undershoot_per_second: f64,
}

/// Share of the quota that random variation may reject in addition to [`ErrorBound::undershoot`]: the load of a single
/// instance varies more than the sum, and shares follow the mean. Measured, not derived.
pub const RANDOM_REJECTION_RATIO: f64 = 0.15;

/// Most that an instance lends, as a share of the burst. The decision module lends 0.3 of its own bucket, or this share
/// where the bucket holds less than one request.
const MAX_LOAN_RATIO: f64 = 0.7;
/// Most that a bucket can hold of the burst, its loan included.
const MAX_BUCKET_RATIO: f64 = 1.3;

impl ErrorBound {
    /// The bound under a fault.
    ///
    /// It rests on three facts about an instance that hold whatever the counter says: its limit never exceeds the rate;
    /// its bucket never holds more than that limit gives in `burst / rate` seconds, or one request; and it lends at most
    /// 0.3 of its own bucket, or 0.7 of the burst where the bucket holds less than one request.
    pub fn under(quota: &Quota, timing: &Timing, fault: Fault) -> ErrorBound {
        // The hard limit's bucket starts empty on each instance, so it may reject what the quota's burst would allow.
        let empty_hard_limit = if quota.has_hard_limit() { quota.burst } else { 0.0 };
        let undershoot_per_second = if quota.has_hard_limit() {
            quota.rate * (1.0 - quota.hard_limit_factor / quota.instances()).max(0.0)
        } else {
            0.0
        };
        ErrorBound {
            overshoot: overshoot(quota, timing, fault),
            undershoot: empty_hard_limit + undershoot(quota, timing, fault),
            undershoot_per_second,
        }
    }

    /// The most that is rejected, in `seconds`, of what a customer asked within its quota.
    pub fn undershoot_within(&self, quota: &Quota, seconds: f64) -> f64 {
        self.undershoot + (self.undershoot_per_second + RANDOM_REJECTION_RATIO * quota.rate) * seconds
    }

    /// The bound if `restarts` instances restart in the interval: each begins with its even share of the burst and
    /// without totals.
    pub fn with_restarts(self, quota: &Quota, timing: &Timing, restarts: u32) -> ErrorBound {
        let (instances, restarts) = (quota.instances(), f64::from(restarts));
        let shift_time = timing.shift_time();
        let bucket = (quota.burst / instances).max(quota.max_request_units);
        let missing = quota.others_share() * quota.rate * shift_time + quota.burst;
        ErrorBound {
            overshoot: self.overshoot + restarts * (bucket + quota.rate / instances * shift_time),
            undershoot: self.undershoot + restarts * missing,
            ..self
        }
    }

    /// The bound with a further fault in the interval.
    pub fn with_fault(self, quota: &Quota, timing: &Timing, fault: Fault) -> ErrorBound {
        let without = ErrorBound::under(quota, timing, Fault::None);
        let with = ErrorBound::under(quota, timing, fault);
        ErrorBound {
            overshoot: self.overshoot + with.overshoot - without.overshoot,
            undershoot: self.undershoot + with.undershoot - without.undershoot,
            ..self
        }
    }
}

/// The overshoot without a fault.
fn usual_overshoot(quota: &Quota, timing: &Timing) -> f64 {
    let instances = quota.instances();
    let others = instances - 1.0;
    // Shares lag behind shifts of the load for as long as totals are averaged. Meanwhile each of the others may spend at
    // its fallback share what the busiest still spends.
    let lag = quota.rate * others / instances * timing.shift_time();
    // Each bucket holds at least one request, and may be full when shares shift.
    let buckets = 2.0 * quota.burst + instances * quota.max_request_units;
    let loans = MAX_LOAN_RATIO * quota.burst * instances;
    lag + buckets + loans - quota.burst
}

fn overshoot(quota: &Quota, timing: &Timing, fault: Fault) -> f64 {
    let instances = quota.instances();
    let usual = usual_overshoot(quota, timing);
    // While the limits of all instances add up to a multiple of the quota.
    let excess = |multiple: f64, seconds: f64| quota.rate * (multiple - 1.0) * seconds;
    match fault {
        // Totals are late by no more than they are averaged; doubled ones halve each instance's weight.
        Fault::None | Fault::Slow { .. } | Fault::DoubleCounted { .. } => usual,
        // Old shares hold until the fault is detected. Then each instance has its fallback share; these add up to the
        // quota.
        Fault::Unavailable { .. } => usual + excess(2.0, timing.detection_time()),
        // The others divide the whole quota, and those that are cut off have their fallback share beside it.
        Fault::Partitioned { instances: cut_off, seconds } => {
            let ratio = f64::from(cut_off.min(quota.instance_count)) / instances;
            let beside = quota.rate * ratio * (seconds + timing.averaging_window);
            usual + beside + excess(2.0, timing.detection_time())
        }
        // A count's own increments are missing at once; what others lost is seen within the averaging window.
        Fault::CountsLost => usual + excess(instances, timing.shift_time()),
        // Totals without an instance's own increments count as missing, which leaves its fallback share. Instances that
        // added nothing see no use by others: they take the quota for idle, and lend.
        Fault::Stale { seconds } => usual + excess(2.0, seconds + timing.averaging_window),
        Fault::SplitBrain { partitions, seconds } => {
            let partitions = f64::from(partitions.max(1)).min(instances);
            let lasting = excess(partitions, seconds + timing.averaging_window);
            usual + lasting + (partitions - 1.0) * quota.burst
        }
        Fault::Arbitrary { seconds } => {
            let others = instances - 1.0;
            let lasting = excess(instances, seconds + timing.averaging_window);
            usual + lasting + others * (MAX_BUCKET_RATIO * quota.burst + quota.max_request_units)
        }
    }
}

/// An instance has at least its even share of rate and burst under every fault without wrong totals. So at most the rest
/// of both is missing, for as long as shares are wrong.
fn undershoot(quota: &Quota, timing: &Timing, fault: Fault) -> f64 {
    let rest = quota.others_share();
    let shift_time = timing.shift_time();
    let missing = |seconds: f64| rest * (quota.rate * seconds + quota.burst);
    match fault {
        Fault::None | Fault::Slow { .. } => missing(shift_time),
        // An instance knows its own increments, which are not doubled, and the total, which is: all weights are halved.
        // Where the fault is detected, the fallback share.
        Fault::DoubleCounted { seconds } => missing(2.0 * shift_time) + rest.max(0.5) * quota.rate * seconds,
        // The fallback share until the next difference of totals, and then their mean anew.
        Fault::CountsLost => missing(2.0 * shift_time),
        // The fallback share throughout, and then the mean anew.
        Fault::Unavailable { seconds } | Fault::Partitioned { seconds, .. } | Fault::Stale { seconds } => {
            missing(seconds + timing.detection_time() + 2.0 * shift_time)
        }
        // On each side demand decides. Validation gives each side its share, which is no less than the even one.
        Fault::SplitBrain { seconds, .. } => missing(seconds + 2.0 * shift_time),
        // Wrong totals can take the even share too.
        Fault::Arbitrary { seconds } => quota.rate * (seconds + 2.0 * shift_time) + quota.burst,
    }
}
