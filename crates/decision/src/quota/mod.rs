//! Whether a customer's quota allows a request.
//!
//! Each limiter has a token bucket per customer and refills it at its own share of the quota. The shares are
//! computed from usage totals that all limiters add up on the counter service: [`demand_share`] is the rule,
//! [`usage_report`] and [`counter_reply`] are the exchange with the counter. Where each limiter's share is
//! less than one request, [`probabilistic_admission`] replaces the bucket.

mod concurrency_limit;
mod counter_encoding;
mod counter_epoch;
mod counter_health;
mod counter_reply;
mod customer;
mod demand_share;
mod hard_limit;
mod idle_quota_borrowing;
mod probabilistic_admission;
mod quota_check;
mod shared_bucket;
mod token_bucket;
mod usage_report;
mod usage_totals;

pub use quota_check::QuotaExceeded;
pub use usage_report::Demand;

use crate::context::Context;
use crate::interface::Settings;
use counter_health::CounterHealth;
use customer::Customer;
use probabilistic_admission::PlanAdmission;
use std::collections::BTreeMap;
use std::sync::Arc;
use usage_report::CounterCall;

/// Seconds between two sweeps that make room for new customers: each reads all accounts.
const MAKE_ROOM_PERIOD_SECONDS: f64 = 0.5;

/// The accounts of all customers and the state of the exchange with the counter service.
pub struct Quota {
    started_at: f64,
    customers: BTreeMap<Arc<str>, Customer>,
    /// Largest number of customers with an account.
    max_customers: usize,
    /// When accounts were last evicted to make room.
    made_room_at: f64,
    /// Counter calls without a reply, by the counter's key.
    pending_calls: BTreeMap<String, CounterCall>,
    /// Fraction of each quota that is divided by totals; 0 if they are not used.
    usable_quota_ratio: f64,
    counter_health: CounterHealth,
    /// Mean admission probability by plan index, for customers whose totals were not read yet.
    plan_admissions: Vec<PlanAdmission>,
}

impl Quota {
    /// The state of a limiter that starts now, without customers.
    pub fn new(now: f64) -> Self {
        Quota {
            started_at: now,
            customers: BTreeMap::new(),
            max_customers: usize::MAX,
            made_room_at: f64::NEG_INFINITY,
            pending_calls: BTreeMap::new(),
            usable_quota_ratio: 1.0,
            counter_health: CounterHealth::new(now),
            plan_admissions: Vec::new(),
        }
    }

    /// Sets the largest number of customers with an account.
    pub fn set_max_customers(&mut self, max_customers: usize) {
        self.max_customers = max_customers;
    }

    /// Sets the fraction of each quota that the limiters with this view of the counts may divide by demand.
    pub fn set_usable_quota_ratio(&mut self, ratio: f64) {
        self.usable_quota_ratio = ratio.clamp(0.0, 1.0);
    }

    /// Creates the customer's account if there is none, and updates its plan and the number of limiters that it
    /// can reach.
    ///
    /// # Errors
    ///
    /// [`QuotaExceeded`] if there is no room for another account. Without one, the customer's quota could not be kept.
    pub fn ensure_customer(
        &mut self,
        context: Context,
        id: &Arc<str>,
        plan_index: usize,
        reachable_instances: u32,
        request_units: f64,
    ) -> Result<(), QuotaExceeded> {
        let Context { settings, now } = context;
        if self.customers.len() >= self.max_customers && !self.customers.contains_key(id) {
            self.make_room(context)?;
        }
        let started_at = self.started_at;
        let reachable_instances = f64::from(reachable_instances.clamp(1, settings.instance_count.max(1)));
        let customer = self.customers.entry(id.clone()).or_insert_with(|| {
            Customer::new(
                plan_index,
                &settings.plans[plan_index],
                reachable_instances,
                request_units,
                started_at,
                now,
            )
        });
        customer.reachable_instances = reachable_instances;
        if customer.plan_index != plan_index {
            customer.change_plan(plan_index, &settings.plans[plan_index], request_units);
        }
        Ok(())
    }

    /// Evicts accounts that may be replaced, at most once in [`MAKE_ROOM_PERIOD_SECONDS`].
    fn make_room(&mut self, Context { settings, now }: Context) -> Result<(), QuotaExceeded> {
        if now - self.made_room_at >= MAKE_ROOM_PERIOD_SECONDS {
            self.made_room_at = now;
            self.customers.retain(|_, customer| {
                !customer.is_replaceable(
                    &settings.plans[customer.plan_index],
                    settings.max_request_units,
                    now,
                )
            });
        }
        if self.customers.len() >= self.max_customers {
            return Err(QuotaExceeded { retry_after_s: MAKE_ROOM_PERIOD_SECONDS });
        }
        Ok(())
    }

    /// Draws an admitted request's units from the token bucket and the hard limit.
    pub fn draw(&mut self, settings: &Settings, id: &Arc<str>, units: f64) {
        if let Some(customer) = self.customers.get_mut(id) {
            customer.draw(&settings.plans[customer.plan_index], units);
        }
    }

    /// Counts an attempt of a customer as in flight.
    pub fn on_attempt_started(&mut self, id: &Arc<str>) {
        if let Some(customer) = self.customers.get_mut(id) {
            customer.in_flight += 1;
        }
    }

    /// Counts an attempt as ended. `correction` is the true units of the request less the estimated ones.
    pub fn on_attempt_ended(&mut self, Context { settings, now }: Context, id: &Arc<str>, correction: f64) {
        if let Some(customer) = self.customers.get_mut(id) {
            customer.in_flight = customer.in_flight.saturating_sub(1);
            if correction != 0.0 {
                customer.settle(&settings.plans[customer.plan_index], correction, now);
            }
        }
    }

    /// Removes the accounts of idle customers for which a new account would hold no more units.
    pub fn evict_idle_customers(&mut self, Context { settings, now }: Context) {
        self.customers.retain(|_, customer| {
            !customer.is_evictable(&settings.plans[customer.plan_index], settings.max_request_units, now)
        });
    }
}
