//! Packs accepted and rejected units into the single total that the counter keeps for a key.
//!
//! The counter is exact to seven digits. Units are counted in steps: accepted steps are the part of the total
//! below [`REJECTED_STEP_VALUE`], rejected steps its multiples. The units per step grow with the plan's
//! quota, so that the usage of an epoch fits. What it can get wrong: accepted steps can overflow into the
//! rejected ones. Therefore a call adds at most its part of half the steps that were free at the last reply,
//! but may always add one while at most half are used. Held by `tests/decision/counter.rs`,
//! `accepted_steps_never_overflow_into_rejected_steps`.

use super::counter_epoch::EPOCH_SECONDS;
use crate::interface::Plan;

/// What one rejected step adds to the total; accepted steps stay below it.
const REJECTED_STEP_VALUE: f64 = 2_000.0;
/// Largest number of accepted steps in an epoch.
const MAX_ACCEPTED_STEPS: f64 = REJECTED_STEP_VALUE - 1.0;
/// Largest number of rejected steps in an epoch; with it the total stays within seven digits.
const MAX_REJECTED_STEPS: f64 = 4_999.0;
/// The accepted steps of an epoch can hold this multiple of the quota, plus the burst.
const QUOTA_HEADROOM_FACTOR: f64 = 3.0;

/// Accepted and rejected demand, in units or in steps.
#[derive(Clone, Copy, Default)]
pub struct Usage {
    pub accepted: f64,
    pub rejected: f64,
}

impl Usage {
    /// Whether there is no demand.
    pub fn is_zero(self) -> bool {
        self.accepted == 0.0 && self.rejected == 0.0
    }

    /// Encodes steps as a counter total.
    pub fn pack(self) -> f64 {
        self.accepted + self.rejected * REJECTED_STEP_VALUE
    }

    /// Decodes the steps of a counter total.
    pub fn unpack(total: f64) -> Self {
        Usage {
            accepted: (total % REJECTED_STEP_VALUE).max(0.0),
            rejected: (total / REJECTED_STEP_VALUE).floor().max(0.0),
        }
    }
}

/// The steps in the counter at the last reply, with which the next reply is compared.
#[derive(Clone, Copy)]
pub struct Baseline {
    pub epoch: i64,
    pub steps: Usage,
}

impl Baseline {
    /// The baseline before the first reply; it belongs to no epoch.
    pub fn none() -> Self {
        Baseline { epoch: i64::MIN, steps: Usage::default() }
    }

    /// The steps of an epoch: zero if the last reply was for another one.
    pub fn in_epoch(&self, epoch: i64) -> Usage {
        if self.epoch == epoch {
            self.steps
        } else {
            Usage::default()
        }
    }
}

/// Number of units that one step stands for on a plan.
pub fn units_per_step(plan: &Plan) -> f64 {
    ((EPOCH_SECONDS * plan.rate * QUOTA_HEADROOM_FACTOR + plan.burst) / REJECTED_STEP_VALUE).max(1.0)
}

/// The steps by which a call reports these units, where `callers` limiters report to the same key. Fractions
/// of a step are rounded up or down by `random` (uniform in 0 to 1), so that the mean is exact.
pub fn report_steps(units: Usage, units_per_step: f64, baseline: Usage, callers: f64, random: f64) -> Usage {
    let steps = |units: f64, counted: f64, capacity: f64| {
        let min_steps = if counted > capacity / 2.0 { 0.0 } else { 1.0 };
        let max_steps = ((capacity - counted) / 2.0 / callers).floor().max(min_steps);
        let rounding = if units % units_per_step == 0.0 { 0.0 } else { random };
        (units / units_per_step + rounding).floor().clamp(0.0, max_steps)
    };
    Usage {
        accepted: steps(units.accepted, baseline.accepted, MAX_ACCEPTED_STEPS),
        rejected: steps(units.rejected, baseline.rejected, MAX_REJECTED_STEPS),
    }
}
