//! The instance census: one count per period, which every instance increments once and reads once.
//!
//! A total below the configured number of instances means that the counter service is split into parts with separate
//! counts, or that some instances cannot reach the service.

/// End of the registration window, as a fraction of the period.
const REGISTRATION_END: f64 = 0.4;
/// Start of the reading window, as a fraction of the period.
const READING_START: f64 = 0.6;
/// Age in periods above which the latest reading is discarded after a process pause.
const MAX_AGE_PERIODS: i64 = 2;

/// The highest total seen in the census of one period.
#[derive(Clone, Copy, Debug)]
struct Reading {
    period: i64,
    instances: u32,
}

/// The census as one instance sees it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Census {
    /// Latest period in which this instance registered.
    registered_in: Option<i64>,
    /// Latest period whose census was read in its reading window.
    completed: Option<i64>,
    latest: Option<Reading>,
    /// Result of the latest complete census.
    instances: Option<u32>,
}

impl Census {
    /// Key of a period's count on the counter service. All versions that share a counter must use the same key.
    pub(crate) fn key(period: i64) -> String {
        format!("roll.{period}")
    }

    /// The increment of the call that is due at `position`, a fraction of the period: 1 registers, 0 reads.
    pub(crate) fn due_increment(&mut self, period: i64, position: f64) -> Option<f64> {
        if position < REGISTRATION_END && self.registered_in != Some(period) {
            self.registered_in = Some(period);
            return Some(1.0);
        }
        let registered = self.registered_in == Some(period);
        let readable = position >= READING_START && registered && self.completed != Some(period);
        readable.then_some(0.0)
    }

    /// Makes the registration of this period due again, because the call was definitely not applied.
    pub(crate) fn cancel_registration(&mut self, period: i64) {
        if self.registered_in == Some(period) {
            self.registered_in = None;
        }
    }

    /// Records the total returned by a call. `instance_count` is the configured number of instances.
    pub(crate) fn record_total(&mut self, period: i64, increment: f64, total: f64, instance_count: u32) {
        let seen = total.clamp(0.0, f64::from(instance_count)) as u32;
        let before = self.latest.filter(|reading| reading.period == period);
        let instances = before.map_or(seen, |reading| reading.instances.max(seen));
        self.latest = Some(Reading { period, instances });
        let reads = increment == 0.0;
        if reads {
            self.completed = Some(period);
        }
        // The answer to a registration counts only earlier registrations, so it is a result only if it is complete.
        if reads || seen >= instance_count {
            self.instances = Some(instances);
        }
    }

    /// Number of instances in the latest complete census.
    pub(crate) fn instances(&self) -> Option<u32> {
        self.instances
    }

    /// Discards the results. Registrations are kept, so that this instance is not counted twice in a period.
    pub(crate) fn forget_results(&mut self) {
        (self.instances, self.latest) = (None, None);
    }

    /// Discards the result if it is more than [`MAX_AGE_PERIODS`] old at `period`.
    pub(crate) fn expire(&mut self, period: i64) {
        if self.latest.is_none_or(|reading| period - reading.period > MAX_AGE_PERIODS) {
            self.instances = None;
        }
    }
}
