//! The instance census: one count for each period, which every instance increments once and reads once.
//!
//! An instance that reads fewer than there are instances shares its counter with that many only, so the counter is
//! split or some instances cannot reach it.

/// Position in the period, from 0 to 1, up to which an instance registers.
const REGISTRATION_END: f64 = 0.4;
/// Position in the period, from 0 to 1, from which the census is read.
const READING_START: f64 = 0.6;
/// Periods after which the latest reading is too old to be used after a process pause.
const MAX_AGE_PERIODS: i64 = 2;

/// The highest total that was seen of one period's census.
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
    /// Latest period whose census was read to its end.
    completed: Option<i64>,
    latest: Option<Reading>,
    /// Result of the latest complete census.
    instances: Option<u32>,
}

impl Census {
    /// Name of a period's count on the counter service. All versions that share a counter have to agree on it.
    pub(crate) fn key(period: i64) -> String {
        format!("roll.{period}")
    }

    /// The increment of the call that is due at a position of a period, from 0 to 1: 1 registers, 0 reads.
    pub(crate) fn due_increment(&mut self, period: i64, position: f64) -> Option<f64> {
        if position < REGISTRATION_END && self.registered_in != Some(period) {
            self.registered_in = Some(period);
            return Some(1.0);
        }
        let registered = self.registered_in == Some(period);
        let readable = position >= READING_START && registered && self.completed != Some(period);
        readable.then_some(0.0)
    }

    /// Registers once more in this period, because the registration was certainly not applied.
    pub(crate) fn cancel_registration(&mut self, period: i64) {
        if self.registered_in == Some(period) {
            self.registered_in = None;
        }
    }

    /// Takes in the total that answered a call, of `instance_count` instances in all.
    pub(crate) fn record_total(&mut self, period: i64, increment: f64, total: f64, instance_count: u32) {
        let seen = total.clamp(0.0, f64::from(instance_count)) as u32;
        let before = self.latest.filter(|reading| reading.period == period);
        let instances = before.map_or(seen, |reading| reading.instances.max(seen));
        self.latest = Some(Reading { period, instances });
        let reads = increment == 0.0;
        if reads {
            self.completed = Some(period);
        }
        // The answer to a registration shows who registered earlier; only if that is everybody is it a result.
        if reads || seen >= instance_count {
            self.instances = Some(instances);
        }
    }

    /// Number of instances in the latest complete census.
    pub(crate) fn instances(&self) -> Option<u32> {
        self.instances
    }

    /// Forgets the results, but not in which periods this instance registered.
    pub(crate) fn forget_results(&mut self) {
        (self.instances, self.latest) = (None, None);
    }

    /// Forgets the result if it is old at `period`.
    pub(crate) fn expire(&mut self, period: i64) {
        if self.latest.is_none_or(|reading| period - reading.period > MAX_AGE_PERIODS) {
            self.instances = None;
        }
    }
}
