//! Validates one counter with the protocol's only call, which adds to a count and returns its total.
//!
//! Customers' totals do not show whether they are correct, so the validator makes additional calls: to a [`Sentinel`],
//! which reveals lost, stale and doubled counts, and to the [`Census`], which reveals how many instances use the same
//! counter. `docs/design/keeper.md` lists the faults that neither reveals.

use crate::census::Census;
use crate::sentinel::Sentinel;
use crate::{ValidationSettings, Validity, Verdict};

/// Maximum lifetime of a count on the platform's counter, in seconds.
const MAX_TTL_S: f64 = 60.0;
/// Lifetime of a sentinel or census count, in census periods.
const TTL_PERIODS: f64 = 4.0;
/// Number of steps over which the first calls of instances are spread within one call interval.
const START_PHASES: u32 = 16;

/// A validation call. Its result must be passed to [`CounterValidator::record_result`].
#[derive(Clone, Debug, PartialEq)]
pub struct ValidationCall {
    /// Key of the count.
    pub key: String,
    /// Amount to add; 0 only reads the total.
    pub increment: f64,
    /// Lifetime of the count in seconds.
    pub ttl_s: f64,
    target: Target,
}

/// The count that a call is for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Target {
    /// The sentinel of a period, with the lowest valid total.
    Sentinel { period: i64, min_total: f64 },
    /// The census of a period.
    Census { period: i64 },
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallResult {
    /// Answered with the count's total.
    Total(f64),
    /// No answer: the increment may have been applied, or may still be.
    Unanswered,
    /// Rejected or not sent: the increment was not applied.
    NotApplied,
}

/// Validates one counter for one instance.
#[derive(Clone, Debug)]
pub struct CounterValidator {
    settings: ValidationSettings,
    next_call_at: f64,
    sentinel: Option<Sentinel>,
    census: Census,
    verdict: Verdict,
    consecutive_valid: u32,
    consecutive_failures: u32,
    /// Whether this is the active counter. Instances register only in the census of their active counter.
    active: bool,
    validity: Validity,
}

impl CounterValidator {
    /// A validator of an active counter. Until the first valid answer and census, totals are not used.
    pub fn new(settings: ValidationSettings, now: f64) -> Self {
        // Spreads the calls of instances that start together.
        let phase = f64::from(settings.instance_index % START_PHASES) / f64::from(START_PHASES);
        let validity = Validity { usable_quota_ratio: 0.0, verdict: Verdict::Unknown, instances_seen: 0 };
        CounterValidator {
            next_call_at: now + settings.call_interval_s * phase,
            settings,
            sentinel: None,
            census: Census::default(),
            verdict: Verdict::Unknown,
            consecutive_valid: 0,
            consecutive_failures: 0,
            active: true,
            validity,
        }
    }

    /// Sets whether this is the active counter. A standby is checked with its sentinel only; once it is active, its totals
    /// are used after the first complete census. Returns the validity if it changed.
    pub fn set_active(&mut self, active: bool) -> Option<Validity> {
        if active != self.active {
            self.active = active;
            self.census.forget_results();
        }
        self.update_validity()
    }

    /// Restarts the validation because the counter's address changed. Returns the validity if it changed.
    pub fn address_changed(&mut self, now: f64) -> Option<Validity> {
        let (active, validity) = (self.active, self.validity);
        *self = CounterValidator { active, validity, ..CounterValidator::new(self.settings.clone(), now) };
        self.update_validity()
    }

    /// Marks the counter as unconfirmed after a pause of this process. Totals are not used until the counter has given
    /// [`ValidationSettings::required_valid_answers`] valid answers; by then the calls for customers with traffic have also
    /// been repeated. Returns the validity if it changed.
    pub fn process_resumed(&mut self, now: f64) -> Option<Validity> {
        (self.verdict, self.consecutive_valid) = (Verdict::UnknownAfterPause, 0);
        self.census.expire(self.period(now));
        self.next_call_at = self.next_call_at.min(now);
        self.update_validity()
    }

    /// The current validity of the counter's totals.
    pub fn validity(&self) -> Validity {
        self.validity
    }

    /// Whether the latest call was answered.
    pub fn is_answering(&self) -> bool {
        self.consecutive_failures == 0
    }

    /// Time at which the next call is due, in seconds.
    pub fn next_call_at(&self) -> f64 {
        self.next_call_at
    }

    /// The call that is due, if any. Its result must be recorded before the next call.
    pub fn due_call(&mut self, now: f64) -> Option<ValidationCall> {
        if now < self.next_call_at {
            return None;
        }
        self.next_call_at = now + self.settings.call_interval_s;
        Some(self.census_call(now).unwrap_or_else(|| self.sentinel_call(now)))
    }

    fn census_call(&mut self, now: f64) -> Option<ValidationCall> {
        if !self.active {
            return None;
        }
        let period = self.period(now);
        let position = (now / self.settings.census_period_s).fract();
        let increment = self.census.due_increment(period, position)?;
        let target = Target::Census { period };
        Some(ValidationCall { key: Census::key(period), increment, ttl_s: self.ttl_s(), target })
    }

    fn sentinel_call(&mut self, now: f64) -> ValidationCall {
        let period = self.period(now);
        let sentinel = self.sentinel.get_or_insert(Sentinel::new(period));
        let (increment, min_total) = sentinel.start_call(period);
        let key = sentinel.key(self.settings.instance_index, self.settings.incarnation);
        let target = Target::Sentinel { period: sentinel.period, min_total };
        ValidationCall { key, increment, ttl_s: self.ttl_s(), target }
    }

    fn period(&self, now: f64) -> i64 {
        (now / self.settings.census_period_s).floor() as i64
    }

    fn ttl_s(&self) -> f64 {
        (TTL_PERIODS * self.settings.census_period_s).min(MAX_TTL_S)
    }

    /// Records how a call ended. Returns the validity if it changed.
    pub fn record_result(&mut self, call: &ValidationCall, result: CallResult, now: f64) -> Option<Validity> {
        match result {
            CallResult::Total(total) => {
                self.consecutive_failures = 0;
                self.record_total(call, total, now);
            }
            CallResult::Unanswered => self.record_failure(),
            CallResult::NotApplied => {
                self.cancel(call);
                self.record_failure();
            }
        }
        self.update_validity()
    }

    fn record_total(&mut self, call: &ValidationCall, total: f64, now: f64) {
        match call.target {
            Target::Sentinel { period, min_total } => {
                self.check_sentinel(period, min_total, call.increment, total, now);
            }
            Target::Census { period } if self.active => {
                let instance_count = self.settings.instance_count;
                self.census.record_total(period, call.increment, total, instance_count);
            }
            Target::Census { .. } => {}
        }
    }

    fn record_failure(&mut self) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures >= self.settings.failure_threshold {
            (self.verdict, self.consecutive_valid) = (Verdict::Unavailable, 0);
        }
    }

    /// Reverts the bookkeeping of a call that was definitely not applied.
    fn cancel(&mut self, call: &ValidationCall) {
        match (call.target, &mut self.sentinel) {
            (Target::Sentinel { period, .. }, Some(sentinel)) if sentinel.period == period => {
                sentinel.cancel_increment(call.increment);
            }
            (Target::Census { period }, _) if call.increment > 0.0 => self.census.cancel_registration(period),
            _ => {}
        }
    }

    fn check_sentinel(&mut self, period: i64, min_total: f64, increment: f64, total: f64, now: f64) {
        let Some(sentinel) = self.sentinel.as_mut().filter(|s| s.period == period) else { return };
        let verdict = sentinel.check(total, min_total, increment);
        if verdict == Verdict::Valid {
            self.record_valid_answer();
        } else {
            (self.verdict, self.consecutive_valid) = (verdict, 0);
        }
        // This was the final read of an earlier period's sentinel: the next call starts that of the current period.
        if period != self.period(now) {
            self.sentinel = None;
        }
    }

    fn record_valid_answer(&mut self) {
        self.consecutive_valid = self.consecutive_valid.saturating_add(1);
        let confirmed = self.consecutive_valid >= self.settings.required_valid_answers;
        if confirmed || self.verdict == Verdict::Unknown {
            self.verdict = Verdict::Valid;
        }
    }

    fn update_validity(&mut self) -> Option<Validity> {
        let instance_count = f64::from(self.settings.instance_count.max(1));
        let instances = self.census.instances();
        let usable_quota_ratio = match (self.verdict, instances) {
            (Verdict::Valid, Some(seen)) => (f64::from(seen.max(1)) / instance_count).min(1.0),
            _ => 0.0,
        };
        let verdict = self.verdict;
        let validity = Validity { usable_quota_ratio, verdict, instances_seen: instances.unwrap_or(0) };
        let changed = validity != self.validity;
        self.validity = validity;
        changed.then_some(validity)
    }
}
