//! Load shedding: when the fleet is saturated, classes with a low priority per service time are rejected
//! first.
//!
//! The quota is checked before, so shedding does not move capacity from one customer to another. What it can
//! get wrong: of classes with equal priority, the one with the longest service times is shed first, although
//! it may be the one that clients need. Held by `tests/decision/admission.rs`,
//! `a_saturated_fleet_sheds_the_class_of_lowest_priority`.

use super::Requests;
use crate::interface::Settings;

/// Factor on the probability with which a saturated fleet sheds classes of lower value.
const SHEDDING_STRENGTH: f64 = 4.0;

impl Requests {
    /// Whether to shed a request of this class; decided at random.
    pub(super) fn should_shed(&mut self, settings: &Settings, class: usize) -> bool {
        let saturation = self.endpoints.update_saturation();
        let best =
            (0..settings.classes.len()).map(|class| self.value_density(settings, class)).fold(0.0, f64::max);
        let value = self.value_density(settings, class) / best.max(1e-9);
        SHEDDING_STRENGTH * saturation * (1.0 - value) > self.rng.f64()
    }

    /// Priority per second of service time.
    fn value_density(&self, settings: &Settings, class: usize) -> f64 {
        settings.classes[class].priority_weight / self.service_times.per_unit_s(class).max(1e-6)
    }
}
