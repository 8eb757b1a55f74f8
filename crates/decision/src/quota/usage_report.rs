//! Reports a customer's demand to the counter, off the request path.
//!
//! Only a random sample of the requests calls the counter, so that hundreds of limiters stay within its
//! capacity; the units of a sampled request are scaled up to represent the others. While a call is in flight
//! and for a period after it, units are accumulated for the next call. What it can get wrong: reports of rare
//! customers are random and right only on average. Held by
//! `tests/decision/counter.rs`, `calls_for_customers_seen_once_also_report_requests_without_a_call`.

use super::counter_encoding::{report_steps, units_per_step, Usage};
use super::counter_epoch::{counter_key, counter_ttl_s, epoch_at};
use super::Quota;
use crate::context::Context;
use crate::interface::Action;
use std::sync::Arc;

/// Mean of the minimum time, in seconds, between two counter calls for a customer.
pub const CALL_PERIOD_SECONDS: f64 = 0.5;
/// Each period is drawn between this multiple of the mean and this multiple plus the spread, so that limiters
/// do not call in lockstep.
const CALL_PERIOD_MIN_RATIO: f64 = 0.9;
const CALL_PERIOD_SPREAD: f64 = 0.2;

/// The demand of one request, to be reported to the counter.
pub struct Demand<'a> {
    pub customer: &'a Arc<str>,
    pub units: f64,
    pub admitted: bool,
}

/// A counter call that waits for its reply.
pub struct CounterCall {
    pub customer: Arc<str>,
    pub epoch: i64,
    /// The steps that it adds.
    pub steps: Usage,
}

impl Quota {
    /// Accumulates a request's demand while no call may be made; otherwise calls the counter if the request
    /// is sampled.
    pub fn report_demand(
        &mut self,
        Context { settings, now }: Context,
        rng: &mut fastrand::Rng,
        demand: &Demand,
        actions: &mut Vec<Action>,
    ) {
        let Some(customer) = self.customers.get_mut(demand.customer) else { return };
        let plan = &settings.plans[customer.plan_index];
        if !settings.has_counter || plan.rate <= 0.0 {
            return;
        }
        let probability = self.counter_health.call_probability(demand.admitted);
        let is_deferred =
            customer.call_in_flight || now < customer.next_call_at || self.counter_health.is_backing_off(now);
        if !is_deferred && rng.f64() >= probability {
            return;
        }
        let unreported = if demand.admitted {
            &mut customer.unreported.accepted
        } else {
            &mut customer.unreported.rejected
        };
        *unreported += if is_deferred { demand.units } else { demand.units / probability };
        if is_deferred {
            return;
        }
        self.counter_health.on_call(now);
        let (epoch, random) = (epoch_at(now), rng.f64());
        let baseline = customer.baseline.in_epoch(epoch);
        let callers = customer.reachable_instances * probability;
        let steps = report_steps(customer.unreported, units_per_step(plan), baseline, callers, random);
        customer.unreported = Usage::default();
        customer.call_in_flight = true;
        customer.next_call_at =
            now + CALL_PERIOD_SECONDS * (CALL_PERIOD_MIN_RATIO + CALL_PERIOD_SPREAD * random);
        let key = counter_key(demand.customer, epoch);
        self.pending_calls
            .insert(key.clone(), CounterCall { customer: demand.customer.clone(), epoch, steps });
        actions.push(Action::IncrementCounter { key, increment: steps.pack(), ttl_s: counter_ttl_s() });
    }
}
