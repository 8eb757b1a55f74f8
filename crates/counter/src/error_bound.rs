//! Bounds on the error of a quota, computed only from its parameters and the timing of the calls to the counter.
//!
//! `docs/design/keeper.md` derives them.

/// A quota and the number of instances that share it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units per second; above 0.
    pub rate: f64,
    /// Units that may be used in one burst; 0 or above.
    pub burst: f64,
    /// Units of the largest request.
    pub max_request_units: f64,
    /// Instances that serve the customer, at least 1.
    pub instance_count: u32,
    /// The hard limit as a multiple of rate and burst; 0 without a hard limit.
    pub hard_limit_factor: f64,
}

impl Quota {
    fn instances(&self) -> f64 {
        f64::from(self.instance_count.max(1))
    }

    /// Ratio of the quota that remains for the others after one instance's even share.
    fn others_ratio(&self) -> f64 {
        (self.instances() - 1.0) / self.instances()
    }

    fn has_hard_limit(&self) -> bool {
        self.hard_limit_factor > 0.0
    }
}

/// Timing of the calls to the counter, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Longest time between two calls of an instance for a customer with traffic.
    pub call_interval_s: f64,
    /// Time after which a call counts as unanswered.
    pub timeout_s: f64,
    /// Consecutive unanswered calls after which the counter is unavailable.
    pub failure_threshold: u32,
    /// Longest time over which totals are averaged.
    pub averaging_window_s: f64,
}

impl Default for Timing {
    /// The values that the decision module uses, with the timeout of the platform's counter.
    fn default() -> Self {
        Timing { call_interval_s: 0.55, timeout_s: 0.05, failure_threshold: 3, averaging_window_s: 10.0 }
    }
}

impl Timing {
    /// Longest time until an instance detects that the counter is unavailable, which is that of an instance with calls for
    /// a single customer.
    fn detection_time_s(&self) -> f64 {
        f64::from(self.failure_threshold) * (self.call_interval_s + self.timeout_s)
    }

    /// Time until totals reflect a shift of load between instances.
    fn shift_time_s(&self) -> f64 {
        self.averaging_window_s + self.call_interval_s
    }
}

/// A fault of the counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// No fault.
    None,
    /// The counter does not answer, or rejects calls.
    Unavailable {
        /// Duration of the fault, in seconds.
        duration_s: f64,
    },
    /// Some instances cannot reach the counter.
    Partitioned {
        /// Number of the customer's instances that cannot reach it, at least 1.
        instances: u32,
        /// Duration of the fault, in seconds.
        duration_s: f64,
    },
    /// The counter loses some or all counts once.
    CountsLost,
    /// The counter answers late, but within the timeout.
    Slow {
        /// Delay of each answer, in seconds.
        delay_s: f64,
    },
    /// The counter answers with the totals from the start of the fault, but applies increments.
    Stale {
        /// Duration of the fault, in seconds.
        duration_s: f64,
    },
    /// The counter has split into several, each of which serves a part of the instances.
    SplitBrain {
        /// Number of parts, at least 2.
        partitions: u32,
        /// Duration of the fault, in seconds.
        duration_s: f64,
    },
    /// The counter applies every increment twice.
    DoubleCounted {
        /// Duration of the fault, in seconds.
        duration_s: f64,
    },
    /// The counter behaves arbitrarily and may return wrong totals. Its bound holds whatever the counter does.
    Arbitrary {
        /// Duration of the fault, in seconds.
        duration_s: f64,
    },
}

/// Upper bounds on the deviation of a customer's use from its quota, in units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ErrorBound {
    /// Units forwarded beyond `burst + rate * interval`, in any interval that contains the fault.
    pub overshoot: f64,
    /// Units rejected although they were within the quota, in an interval that contains the fault and in which the
    /// customer's load shifts between instances at most once. [`RANDOM_REJECTION_RATIO`] is not included.
    pub undershoot: f64,
    /// Units rejected per second in addition to [`ErrorBound::undershoot`]. A hard limit is divided evenly among the
    /// instances, so a customer whose requests reach only some of them has a lower one.
    pub undershoot_per_second: f64,
}

/// Ratio of the quota that random variation may reject in addition to [`ErrorBound::undershoot`]: the load of a single
/// instance varies more than the total, and shares follow the mean. The value is measured, not derived.
pub const RANDOM_REJECTION_RATIO: f64 = 0.15;

/// Most that an instance lends, as a ratio of the burst. The decision module lends 0.3 of an instance's bucket, or this
/// ratio of the burst if the bucket holds less than one request.
const MAX_LOAN_RATIO: f64 = 0.7;
/// Most that a bucket can hold including its loan, as a ratio of the burst.
const MAX_BUCKET_RATIO: f64 = 1.3;

impl ErrorBound {
    /// The bound under a fault.
    ///
    /// It relies on three properties of an instance that hold whatever totals the counter returns: its limit never
    /// exceeds the rate; its bucket never holds more than the larger of one request and what that limit yields in
    /// `burst / rate` seconds; and it lends at most 0.3 of its bucket, or 0.7 of the burst if the bucket holds less than
    /// one request.
    pub fn under(quota: &Quota, timing: &Timing, fault: Fault) -> ErrorBound {
        // The hard limit's bucket starts empty on each instance, so it may reject requests within the quota's burst.
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

    /// Upper bound on the units rejected within `duration_s` although they were within the quota.
    pub fn undershoot_within(&self, quota: &Quota, duration_s: f64) -> f64 {
        self.undershoot + (self.undershoot_per_second + RANDOM_REJECTION_RATIO * quota.rate) * duration_s
    }

    /// The bound if `restarts` instances restart in the interval. Each starts with its even share of the burst and without
    /// totals.
    pub fn with_restarts(self, quota: &Quota, timing: &Timing, restarts: u32) -> ErrorBound {
        let (instances, restarts) = (quota.instances(), f64::from(restarts));
        let shift_time_s = timing.shift_time_s();
        let bucket = (quota.burst / instances).max(quota.max_request_units);
        let missing = quota.others_ratio() * quota.rate * shift_time_s + quota.burst;
        ErrorBound {
            overshoot: self.overshoot + restarts * (bucket + quota.rate / instances * shift_time_s),
            undershoot: self.undershoot + restarts * missing,
            ..self
        }
    }

    /// The bound with an additional fault in the interval.
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
    // Shares lag behind a shift of load by the averaging window. Until then the instance that was busiest keeps its
    // share, and each of the others may already use its fallback share.
    let lag = quota.rate * others / instances * timing.shift_time_s();
    // Each bucket holds at least one request, and may be full when shares change.
    let buckets = 2.0 * quota.burst + instances * quota.max_request_units;
    let loans = MAX_LOAN_RATIO * quota.burst * instances;
    lag + buckets + loans - quota.burst
}

fn overshoot(quota: &Quota, timing: &Timing, fault: Fault) -> f64 {
    let instances = quota.instances();
    let usual = usual_overshoot(quota, timing);
    // Excess while the limits of all instances add up to a multiple of the quota.
    let excess = |multiple: f64, duration_s: f64| quota.rate * (multiple - 1.0) * duration_s;
    match fault {
        // A slow counter delays totals by less than the averaging window; doubled totals halve each instance's weight.
        Fault::None | Fault::Slow { .. } | Fault::DoubleCounted { .. } => usual,
        // Old shares remain until the fault is detected. Then each instance uses its fallback share, and these add up to
        // the quota.
        Fault::Unavailable { .. } => usual + excess(2.0, timing.detection_time_s()),
        // The connected instances divide the whole quota, and the isolated ones add their fallback shares.
        Fault::Partitioned { instances: isolated, duration_s } => {
            let ratio = f64::from(isolated.min(quota.instance_count)) / instances;
            let fallback = quota.rate * ratio * (duration_s + timing.averaging_window_s);
            usual + fallback + excess(2.0, timing.detection_time_s())
        }
        // An instance notices at once that its own increments are missing; lost increments of others show within the
        // averaging window.
        Fault::CountsLost => usual + excess(instances, timing.shift_time_s()),
        // An instance treats totals without its own increments as missing and uses its fallback share. An instance that
        // added nothing sees no use by others, takes the quota for idle and lends.
        Fault::Stale { duration_s } => usual + excess(2.0, duration_s + timing.averaging_window_s),
        Fault::SplitBrain { partitions, duration_s } => {
            let partitions = f64::from(partitions.max(1)).min(instances);
            let sustained = excess(partitions, duration_s + timing.averaging_window_s);
            usual + sustained + (partitions - 1.0) * quota.burst
        }
        Fault::Arbitrary { duration_s } => {
            let others = instances - 1.0;
            let sustained = excess(instances, duration_s + timing.averaging_window_s);
            usual + sustained + others * (MAX_BUCKET_RATIO * quota.burst + quota.max_request_units)
        }
    }
}

/// Under every fault without wrong totals an instance has at least its even share of rate and burst, so at most the rest
/// of both is missing while shares are wrong.
fn undershoot(quota: &Quota, timing: &Timing, fault: Fault) -> f64 {
    let rest = quota.others_ratio();
    let shift_time_s = timing.shift_time_s();
    let missing = |duration_s: f64| rest * (quota.rate * duration_s + quota.burst);
    match fault {
        Fault::None | Fault::Slow { .. } => missing(shift_time_s),
        // An instance compares its own increments, which are not doubled, with the total, which is, so all weights are
        // halved. Once the fault is detected, each instance uses its fallback share.
        Fault::DoubleCounted { duration_s } => {
            missing(2.0 * shift_time_s) + rest.max(0.5) * quota.rate * duration_s
        }
        // The fallback share until the next difference of totals, then a new averaging window.
        Fault::CountsLost => missing(2.0 * shift_time_s),
        // The fallback share during the fault, then a new averaging window.
        Fault::Unavailable { duration_s }
        | Fault::Partitioned { duration_s, .. }
        | Fault::Stale { duration_s } => missing(duration_s + timing.detection_time_s() + 2.0 * shift_time_s),
        // Each part divides by demand. Validation gives each part its share, which is at least the even one.
        Fault::SplitBrain { duration_s, .. } => missing(duration_s + 2.0 * shift_time_s),
        // Wrong totals can reduce even the even share.
        Fault::Arbitrary { duration_s } => quota.rate * (duration_s + 2.0 * shift_time_s) + quota.burst,
    }
}
