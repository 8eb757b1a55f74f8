//! Reports of a customer's demand to the counter, off the request path.
//!
//! A share of the requests calls the counter and stands for all, so that hundreds of limiters stay within its
//! capacity; for a period after a call, and while one is in flight, units are saved up for the next. What it
//! can get wrong: rare customers are reported with chance, right only on average. Held by
//! `tests/decision/counter.rs`, `requests_of_customers_seen_once_are_reported_for_all_that_do_not_call`.

use super::counter_encoding::{report_steps, units_per_step, Usage};
use super::counter_epoch::{counter_key, counter_ttl, epoch_at};
use super::Quota;
use crate::context::Context;
use crate::interface::Action;
use std::sync::Arc;

/// Least seconds between two counter calls for a customer, on average.
pub const CALL_PERIOD_SECONDS: f64 = 0.5;
/// The period is drawn from this share of it upwards, by as much as the spread, so that limiters do not call
/// in step.
const CALL_PERIOD_MIN_RATIO: f64 = 0.9;
const CALL_PERIOD_SPREAD: f64 = 0.2;

/// A request's demand, to be reported.
pub struct Demand<'a> {
    pub customer: &'a Arc<str>,
    pub units: f64,
    pub admitted: bool,
}

/// A counter call without a reply.
pub struct CounterCall {
    pub customer: Arc<str>,
    pub epoch: i64,
    /// What it adds.
    pub steps: Usage,
}

impl Quota {
    /// Notes a request's demand for the counter and calls it if a call is due.
    pub fn report_demand(
        &mut self,
        Context { settings, now }: Context,
        rng: &mut fastrand::Rng,
        demand: &Demand,
        actions: &mut Vec<Action>,
    ) {
        let Some(customer) = self.customers.get_mut(demand.customer) else { return };
        let plan = &settings.plans[customer.plan];
        if !settings.has_counter || plan.rate <= 0.0 {
            return;
        }
        let probability = self.counter_health.call_probability(demand.admitted);
        let waits =
            customer.call_in_flight || now < customer.next_call_at || self.counter_health.must_wait(now);
        if !waits && rng.f64() >= probability {
            return;
        }
        let unreported = if demand.admitted {
            &mut customer.unreported.accepted
        } else {
            &mut customer.unreported.rejected
        };
        *unreported += if waits { demand.units } else { demand.units / probability };
        if waits {
            return;
        }
        self.counter_health.on_call(now);
        let (epoch, draw) = (epoch_at(now), rng.f64());
        let baseline = customer.baseline.in_epoch(epoch);
        let callers = customer.reachable_instances * probability;
        let steps = report_steps(customer.unreported, units_per_step(plan), baseline, callers, draw);
        customer.unreported = Usage::default();
        customer.call_in_flight = true;
        customer.next_call_at =
            now + CALL_PERIOD_SECONDS * (CALL_PERIOD_MIN_RATIO + CALL_PERIOD_SPREAD * draw);
        let key = counter_key(demand.customer, epoch);
        self.calls.insert(key.clone(), CounterCall { customer: demand.customer.clone(), epoch, steps });
        actions.push(Action::IncrementCounter { key, increment: steps.pack(), ttl_s: counter_ttl() });
    }
}
