//! Whether a customer's quota and hard limit allow a request now, and if not, when the client should retry.
//!
//! The order is: probabilistic admission where each limiter's share is below one token, otherwise the token
//! bucket with what it may borrow, then the hard limit. No units are drawn here, so that a request that no
//! endpoint can take costs none. Held by `tests/decision/quota_share.rs` and
//! `tests/decision/quota_shared_bucket.rs`.

use super::customer::Customer;
use super::demand_share;
use super::idle_quota_borrowing::borrowable_units;
use super::probabilistic_admission::admission_probability;
use super::usage_report::CALL_PERIOD_SECONDS;
use super::usage_totals::UsageTotals;
use super::Quota;
use crate::context::Context;
use crate::interface::Plan;
use std::sync::Arc;

/// Lower bound of the refill rate, in units a second, when a wait is computed.
const MIN_REFILL_RATE: f64 = 1e-3;

/// A request is rejected because of its customer's quota or hard limit.
#[derive(Clone, Copy, Debug)]
pub struct QuotaExceeded {
    /// Seconds after which a retry may be admitted; 0: unknown.
    pub retry_after_s: f64,
}

/// Outcome of refilling a customer's bucket.
struct RefillResult {
    /// Refill rate in units a second.
    rate: f64,
    /// Units that may be borrowed.
    borrowable: f64,
}

impl Quota {
    /// Checks a request of `units`.
    ///
    /// # Errors
    ///
    /// [`QuotaExceeded`] if the customer's share of its quota or of the hard limit is used up.
    pub fn check(
        &mut self,
        Context { settings, now }: Context,
        rng: &mut fastrand::Rng,
        id: &Arc<str>,
        units: f64,
    ) -> Result<(), QuotaExceeded> {
        let usable_ratio = if self.counter_health.is_down() { 0.0 } else { self.usable_quota_ratio };
        let Some(customer) = self.customers.get_mut(id) else {
            return Err(QuotaExceeded { retry_after_s: 0.0 });
        };
        let plan = &settings.plans[customer.plan_index];
        let totals = customer.usable_totals(usable_ratio, now);
        let refilled = customer.refill(plan, units, usable_ratio, totals, now);
        let is_below_one_token = plan.rate > 0.0 && customer.is_below_one_token(plan);
        // If each limiter admitted a first request, they would exceed the burst several times. Without totals
        // for this customer the mean probability of its plan decides; a rejected request is reported to the
        // counter too, whose reply brings the totals.
        if is_below_one_token && usable_ratio > 0.0 && customer.totals.is_none() {
            let admission = self.plan_admissions.get(customer.plan_index);
            if admission.is_some_and(|admission| rng.f64() >= admission.mean_probability()) {
                return Err(QuotaExceeded { retry_after_s: CALL_PERIOD_SECONDS });
            }
        }
        if let Some(totals) = totals.filter(|_| is_below_one_token) {
            let probability = admission_probability(plan, usable_ratio, &customer.shared_bucket, totals);
            if rng.f64() >= probability {
                let shortfall = units + plan.burst - customer.shared_bucket.level();
                let retry_after_s = (shortfall / (plan.rate * usable_ratio)).max(CALL_PERIOD_SECONDS);
                return Err(QuotaExceeded { retry_after_s });
            }
            // The request is covered by the shared bucket. The local bucket, which is used while totals are
            // missing, must not go into debt for it.
            customer.bucket.ensure_at_least(units);
        } else if plan.rate > 0.0 {
            customer.check_bucket(units, &refilled, now)?;
        }
        match customer.hard_limit.retry_after_s(plan, customer.reachable_instances, units) {
            Some(retry_after_s) => Err(QuotaExceeded { retry_after_s }),
            None => Ok(()),
        }
    }
}

impl Customer {
    /// Adds the tokens accrued by `now` to the customer's bucket and to its share of the hard limit.
    fn refill(
        &mut self,
        plan: &Plan,
        units: f64,
        usable_ratio: f64,
        totals: Option<UsageTotals>,
        now: f64,
    ) -> RefillResult {
        let rate = demand_share::limit(plan.rate, usable_ratio, self.reachable_instances, units, totals);
        let burst = rate * plan.burst / plan.rate.max(1e-9);
        let elapsed_s = self.bucket.refill(rate, burst.max(units), now);
        self.hard_limit.refill(plan, self.reachable_instances, elapsed_s);
        RefillResult { rate, borrowable: borrowable_units(plan, burst, units, usable_ratio, totals) }
    }

    /// Checks whether the bucket and the units that it may borrow cover a request.
    fn check_bucket(&self, units: f64, refilled: &RefillResult, now: f64) -> Result<(), QuotaExceeded> {
        let is_short = self.bucket.tokens() + refilled.borrowable < units;
        if !is_short {
            return Ok(());
        }
        if self.known_totals().is_none() {
            return Err(QuotaExceeded { retry_after_s: 0.0 });
        }
        let refill_wait_s =
            (units - self.bucket.tokens() - refilled.borrowable) / refilled.rate.max(MIN_REFILL_RATE);
        // While part of the quota is idle, the next totals may allow the request: no need to wait longer.
        let max_wait_s =
            if refilled.borrowable > 0.0 { (self.next_call_at - now).max(0.0) } else { refill_wait_s };
        Err(QuotaExceeded { retry_after_s: refill_wait_s.min(max_wait_s) })
    }
}
