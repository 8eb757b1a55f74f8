//! The lifecycle of a request: admission or rejection, attempts, retries, and exactly one answer.
//!
//! [`Requests`] holds the requests in flight. It uses [`crate::quota`] to check a customer's quota and
//! [`crate::endpoints`] to select an endpoint. Those two modules do not depend on each other or on this one.

mod admission;
mod attempt;
mod authorization;
mod completion;
mod idempotency;
mod in_flight_request;
mod load_shedding;
mod outcome;
mod relocation;
mod retry;
mod retry_budget;
mod service_times;
mod slow_attempt;

pub use outcome::AttemptEnd;

use crate::endpoints::EndpointSet;
use crate::interface::{RequestId, Settings};
use crate::quota::Quota;
use authorization::MAX_AUTHORIZATIONS;
use in_flight_request::InFlightRequest;
use retry_budget::RetryBudget;
use service_times::ServiceTimes;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The requests in flight, with the quotas, endpoints and budgets that decide on them.
pub struct Requests {
    pub quota: Quota,
    pub endpoints: EndpointSet,
    rng: fastrand::Rng,
    service_times: ServiceTimes,
    retry_budget: RetryBudget,
    in_flight: BTreeMap<RequestId, InFlightRequest>,
    /// Customers whose authorized calls may still be in flight.
    authorizations: BTreeMap<RequestId, Arc<str>>,
    /// Largest number of authorized calls tracked as in flight.
    max_authorizations: usize,
}

impl Requests {
    /// Creates an empty set of requests; the seed determines all random draws.
    pub fn new(settings: &Settings, seed: u64, now: f64) -> Self {
        Requests {
            quota: Quota::new(now),
            endpoints: EndpointSet::new(settings.instance_count, now),
            rng: fastrand::Rng::with_seed(seed),
            service_times: ServiceTimes::new(settings),
            retry_budget: RetryBudget::full(),
            in_flight: BTreeMap::new(),
            authorizations: BTreeMap::new(),
            max_authorizations: MAX_AUTHORIZATIONS,
        }
    }

    /// Sets the largest number of customers that are tracked, and with it that of authorized calls.
    pub fn set_max_customers(&mut self, max_customers: usize) {
        self.quota.set_max_customers(max_customers);
        self.max_authorizations = MAX_AUTHORIZATIONS.min(max_customers);
    }
}
