//! Outlier detection: endpoints with consecutive failures are ejected for a limited time.
//!
//! Each consecutive ejection lasts twice as long as the one before, up to a maximum. What it can get wrong: a
//! fault that all endpoints share looks like many outliers, and ejecting them would move all load to the
//! rest; therefore only some of the endpoints may be ejected at once. Held by
//! `tests/decision/outlier_detection.rs`.

use super::endpoint_set::{fleet_objective_s, EndpointSet};
use crate::context::Context;
use crate::interface::EndpointId;

/// Consecutive failures that eject an endpoint.
const EJECT_AFTER_FAILURES: u32 = 3;
/// Length of the first ejection, in latency objectives; each further consecutive one is twice as long.
const FIRST_EJECTION_OBJECTIVES: f64 = 3.0;
/// Largest number of times that the length of an ejection is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Ratio of the endpoints that may be ejected. It is above one half because a network partition may cut off
/// half of them.
const MAX_EJECTED_RATIO: f64 = 0.6;
/// Consecutive failures, or consecutive slow attempts of one class, after which an attempt without a response
/// counts as lost.
const LOST_AFTER_FAILURES: u32 = 2;

/// Failures and ejections of one endpoint.
pub struct OutlierState {
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until: f64,
    last_success_at: f64,
}

impl OutlierState {
    /// The initial state, without failures.
    pub fn healthy() -> Self {
        OutlierState {
            consecutive_failures: 0,
            consecutive_ejections: 0,
            ejected_until: f64::MIN,
            last_success_at: 0.0,
        }
    }

    /// Whether the endpoint is ejected at `now`.
    pub fn is_ejected(&self, now: f64) -> bool {
        self.ejected_until > now
    }

    /// End of the latest ejection.
    pub fn ejected_until(&self) -> f64 {
        self.ejected_until
    }

    /// Failures since the last successful response.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Whether the endpoint has enough consecutive failures to be ejected. This outlasts the ejection itself,
    /// until a response succeeds.
    pub fn is_suspect(&self) -> bool {
        self.consecutive_failures >= EJECT_AFTER_FAILURES
    }

    /// Records a successful response, which resets the counts of failures and ejections.
    pub fn record_success(&mut self, now: f64) {
        self.last_success_at = now;
        self.consecutive_failures = 0;
        self.consecutive_ejections = 0;
    }

    /// Counts a failure and returns whether it ejects the endpoint, which requires `may_eject`.
    fn record_failure(&mut self, may_eject: bool, objective_s: f64, now: f64) -> bool {
        self.consecutive_failures += 1;
        let ejects = self.is_suspect() && !self.is_ejected(now) && may_eject;
        if ejects {
            let doublings = 1u32 << self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
            self.ejected_until = now + FIRST_EJECTION_OBJECTIVES * objective_s * f64::from(doublings);
            self.consecutive_ejections += 1;
        }
        ejects
    }
}

/// How many more endpoints may be ejected.
#[derive(Default)]
pub struct EjectionBudget {
    remaining: f64,
}

impl EjectionBudget {
    /// The budget for `in_service` endpoints, of which `ejected` are ejected already.
    pub fn new(in_service: f64, ejected: f64) -> Self {
        EjectionBudget { remaining: in_service * MAX_EJECTED_RATIO - ejected }
    }
}

impl EndpointSet {
    /// Records a failure of an endpoint and ejects it if its failures and the budget call for that.
    pub fn record_failure(&mut self, Context { settings, now }: Context, id: &EndpointId) {
        let objective_s = fleet_objective_s(settings);
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let may_eject = self.ejection_budget.remaining >= 1.0;
        if endpoint.outlier.record_failure(may_eject, objective_s, now) {
            self.ejection_budget.remaining -= 1.0;
            self.fleet.on_ejection(endpoint.concurrency.limit());
        }
    }

    /// Whether a known endpoint has had no successful response since `since`.
    pub fn has_no_success_since(&self, id: &EndpointId, since: f64) -> bool {
        self.endpoints.get(id).is_some_and(|endpoint| endpoint.outlier.last_success_at < since)
    }

    /// Whether an attempt without a response is more likely lost than slow.
    pub fn is_likely_lost(&self, id: &EndpointId, class: usize) -> bool {
        self.endpoints.get(id).is_some_and(|endpoint| {
            let slow_attempts = endpoint.class_breaker.consecutive_slow_attempts(class);
            endpoint.outlier.consecutive_failures.max(slow_attempts) >= LOST_AFTER_FAILURES
        })
    }
}
