//! Client-side rate limiting of calls to a counter: all instances together stay within its stated rate, and calls
//! ramp up slowly after an outage.

/// The call rate of a counter and the number of instances that share it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PacingSettings {
    /// Calls per second that the counter accepts from all instances together; above 0.
    pub calls_per_second: f64,
    /// Instances among which the rate is divided evenly, at least 1.
    pub instance_count: u32,
    /// Seconds over which the rate ramps up to its full value after an outage.
    pub ramp_up_s: f64,
}

/// Ratio of the full rate at the start of the ramp.
const INITIAL_RATE_RATIO: f64 = 0.1;
/// Consecutive failed calls that count as an outage, which ends with the next answer.
const OUTAGE_FAILURE_THRESHOLD: u32 = 3;
/// Burst of the bucket, as seconds at the current rate.
const BURST_DURATION_S: f64 = 0.05;
/// Lower limit of the bucket's burst, in calls.
const MIN_BURST_CALLS: f64 = 1.0;

/// A token bucket of calls.
///
/// Instances do not coordinate when a counter recovers, so each has an even share of the rate. That bounds the total
/// rate at the cost of capacity that instances with few customers leave unused.
#[derive(Clone, Debug)]
pub struct Pacer {
    settings: PacingSettings,
    available_calls: f64,
    updated_at: f64,
    ramp_started_at: f64,
    throttled_calls: u64,
    phase: f64,
    consecutive_failures: u32,
}

impl Pacer {
    /// A pacer at its full rate. Each instance draws its own `phase` from 0 to 1, so that instances that start, or see the
    /// counter recover, at the same moment do not call in step.
    pub fn new(settings: PacingSettings, phase: f64, now: f64) -> Self {
        let phase = phase.clamp(0.0, 1.0);
        Pacer {
            settings,
            available_calls: phase,
            updated_at: now,
            ramp_started_at: f64::MIN,
            throttled_calls: 0,
            phase,
            consecutive_failures: 0,
        }
    }

    /// The rate of this instance at `now`, in calls per second.
    pub fn rate(&self, now: f64) -> f64 {
        let full_rate = self.settings.calls_per_second / f64::from(self.settings.instance_count.max(1));
        let ramp_up_s = self.settings.ramp_up_s;
        let progress = if ramp_up_s > 0.0 { (now - self.ramp_started_at) / ramp_up_s } else { 1.0 };
        let ratio = INITIAL_RATE_RATIO + (1.0 - INITIAL_RATE_RATIO) * progress;
        full_rate * ratio.clamp(INITIAL_RATE_RATIO, 1.0)
    }

    /// Records the end of a call. The first answer after an outage starts the ramp, so that instances do not spend
    /// their saved-up calls at once.
    pub fn record_result(&mut self, answered: bool, now: f64) {
        let failures = if answered { 0 } else { self.consecutive_failures.saturating_add(1) };
        let previous_failures = std::mem::replace(&mut self.consecutive_failures, failures);
        if previous_failures >= OUTAGE_FAILURE_THRESHOLD && answered {
            self.start_ramp(now);
        }
    }

    /// Starts the ramp after a switch of the active counter, which all instances make at about the same time.
    pub fn start_ramp(&mut self, now: f64) {
        (self.ramp_started_at, self.updated_at, self.available_calls) = (now, now, self.phase);
    }

    /// Takes one call from the bucket; `false` if none is available.
    pub fn try_acquire(&mut self, now: f64) -> bool {
        let rate = self.rate(now);
        let burst = (rate * BURST_DURATION_S).max(MIN_BURST_CALLS);
        self.available_calls = (self.available_calls + rate * (now - self.updated_at).max(0.0)).min(burst);
        self.updated_at = self.updated_at.max(now);
        let allowed = self.available_calls >= 1.0;
        if allowed {
            self.available_calls -= 1.0;
        } else {
            self.throttled_calls += 1;
        }
        allowed
    }

    /// Number of calls rejected so far.
    pub fn throttled_calls(&self) -> u64 {
        self.throttled_calls
    }
}
