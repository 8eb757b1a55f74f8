//! Admission: whether a request is sent on, checked in order of quota, load, concurrency limit and endpoints.
//!
//! Units are drawn only once an endpoint is found. A rejection that the quota does not cause advises a retry
//! after one service time. Held by `tests/decision/admission.rs`.

use super::in_flight_request::InFlightRequest;
use super::Requests;
use crate::context::Context;
use crate::endpoints::Constraints;
use crate::interface::{Action, EndpointId, Request};
use crate::quota::{Demand, QuotaExceeded};
use crate::timer::Timer;

/// Ticks before its deadline at which a request without a response fails, so that the client gets the answer.
const DEADLINE_MARGIN_TICKS: f64 = 2.0;

/// What an admitted request needs to be sent.
pub struct Admitted {
    /// Index of its class.
    class: usize,
    endpoint: EndpointId,
    units: f64,
}

impl Requests {
    /// Sends a request to an endpoint, or rejects it.
    pub fn admit(&mut self, context: Context, request: Request, actions: &mut Vec<Action>) {
        let Some(admitted) = self.check_admission(context, &request, true, actions) else { return };
        let Request { id, customer, deadline, .. } = request;
        let in_flight = InFlightRequest::new(customer, admitted.class, admitted.units, deadline);
        self.in_flight.insert(id, in_flight);
        let expires_at = deadline - DEADLINE_MARGIN_TICKS * context.settings.tick_interval_s;
        actions.push(Action::SetTimer { expires_at, token: Timer::RequestDeadline(id).token() });
        self.send(context, id, admitted.endpoint, actions);
    }

    /// Checks a request and draws its units; rejects it if it is not admitted. `has_capacity` is whether this
    /// limiter can keep another one of its kind.
    pub(super) fn check_admission(
        &mut self,
        context: Context,
        request: &Request,
        has_capacity: bool,
        actions: &mut Vec<Action>,
    ) -> Option<Admitted> {
        let Context { settings, .. } = context;
        let class = settings.classes.iter().position(|class| *class.name == *request.class);
        let plan = settings.plans.iter().position(|plan| *plan.name == *request.plan);
        let (Some(class), Some(plan)) = (class, plan) else {
            self.reject(context, request.id, 0.0, actions);
            return None;
        };
        let (customer, units) = (&request.customer, request.units.max(0.0));
        self.retry_budget.on_request();
        self.quota.ensure_customer(context, customer, plan, request.reachable_instances, units);
        if let Err(exceeded) = self.quota.check(context, &mut self.rng, customer, units) {
            self.reject_over_quota(context, request, units, exceeded, actions);
            return None;
        }
        let Some(endpoint) = self.find_endpoint(context, request, class, has_capacity) else {
            self.reject(context, request.id, self.service_times.overall_mean_s(), actions);
            return None;
        };
        self.quota.draw(customer, units);
        let demand = Demand { customer, units, admitted: true };
        self.quota.report_demand(context, &mut self.rng, &demand, actions);
        Some(Admitted { class, endpoint, units })
    }

    fn reject_over_quota(
        &mut self,
        context: Context,
        request: &Request,
        units: f64,
        exceeded: QuotaExceeded,
        actions: &mut Vec<Action>,
    ) {
        // The demand of a retry was counted where it first came.
        if !request.is_retry {
            let demand = Demand { customer: &request.customer, units, admitted: false };
            self.quota.report_demand(context, &mut self.rng, &demand, actions);
        }
        self.reject(context, request.id, exceeded.retry_after_s, actions);
    }

    /// The endpoint for a request within its quota, unless load or the concurrency limit forbid it.
    fn find_endpoint(
        &mut self,
        context: Context,
        request: &Request,
        class: usize,
        has_capacity: bool,
    ) -> Option<EndpointId> {
        let draw = self.rng.f64();
        let is_shed = self.should_shed(context.settings, class);
        if is_shed || !has_capacity || self.quota.is_at_concurrency_limit(context.settings, &request.customer)
        {
            return None;
        }
        let constraints = Constraints { class, binding: None, tried: Vec::new() };
        self.endpoints.select(context, &constraints, draw)
    }
}
