//! Accepted and rejected units packed into the one total that the counter keeps for a key.
//!
//! The counter is exact to seven digits. Steps below [`REJECTED_STEP_VALUE`] are units accepted, multiples of it
//! units rejected; a step stands for as many units as the plan's use in an epoch needs. What it can get
//! wrong: accepted units that run over into the rejected ones. Therefore a call adds at most its part of half
//! the steps that were free at the last reply. Held by `tests/decision/counter.rs`,
//! `no_demand_runs_over_from_one_packed_number_into_the_other`.

use super::counter_epoch::EPOCH_SECONDS;
use crate::interface::Plan;

/// Value of one rejected step; accepted steps stay below it.
const REJECTED_STEP_VALUE: f64 = 2_000.0;
/// Most accepted steps in an epoch.
const MAX_ACCEPTED_STEPS: f64 = REJECTED_STEP_VALUE - 1.0;
/// Most rejected steps in an epoch.
const MAX_REJECTED_STEPS: f64 = 4_999.0;
/// Multiple of the quota's use in an epoch that the accepted steps have room for.
const QUOTA_HEADROOM_FACTOR: f64 = 3.0;

/// Accepted and rejected demand, in units or in steps.
#[derive(Clone, Copy, Default)]
pub struct Usage {
    pub accepted: f64,
    pub rejected: f64,
}

impl Usage {
    /// The counter's number for these steps.
    pub fn pack(self) -> f64 {
        self.accepted + self.rejected * REJECTED_STEP_VALUE
    }

    /// The steps of a counter's number.
    pub fn unpack(total: f64) -> Self {
        Usage {
            accepted: (total % REJECTED_STEP_VALUE).max(0.0),
            rejected: (total / REJECTED_STEP_VALUE).floor().max(0.0),
        }
    }
}

/// The steps that the counter had at the last reply.
#[derive(Clone, Copy)]
pub struct Baseline {
    pub epoch: i64,
    pub steps: Usage,
}

impl Baseline {
    /// Before the first reply.
    pub fn none() -> Self {
        Baseline { epoch: i64::MIN, steps: Usage::default() }
    }

    /// The steps in an epoch: none if the last reply was for another.
    pub fn in_epoch(&self, epoch: i64) -> Usage {
        if self.epoch == epoch {
            self.steps
        } else {
            Usage::default()
        }
    }
}

/// Units that one step of a plan stands for.
pub fn units_per_step(plan: &Plan) -> f64 {
    ((EPOCH_SECONDS * plan.rate * QUOTA_HEADROOM_FACTOR + plan.burst) / REJECTED_STEP_VALUE).max(1.0)
}

/// The steps of a call that reports these units, with `callers` limiters that call for the same key. A part
/// of a step is rounded at random (`random`, from 0 to 1), so that the mean is right.
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
