//! Admission control: a request must pass quota, load shedding, the concurrency limit and endpoint selection,
//! in this order.
//!
//! Units are drawn only after an endpoint was found. A rejection for another reason than the quota advises a
//! retry after one service time. Held by `tests/decision/admission.rs`.

use super::in_flight_request::InFlightRequest;
use super::Requests;
use crate::context::Context;
use crate::endpoints::Constraints;
use crate::interface::{Action, DeduplicationScope, EndpointId, Request};
use crate::quota::{Demand, QuotaExceeded};
use crate::timer::Timer;

/// A request without a response fails this many ticks before its deadline, so that the answer reaches the
/// client in time.
const DEADLINE_MARGIN_TICKS: f64 = 2.0;

/// Class, endpoint and units of a request that passed admission.
pub struct Admitted {
    /// Index of the request's class.
    class: usize,
    endpoint: EndpointId,
    units: f64,
}

impl Requests {
    /// Admits a request and sends its first attempt, or rejects it.
    pub fn admit(&mut self, context: Context, request: Request, actions: &mut Vec<Action>) {
        let Some(admitted) = self.check_admission(context, &request, true, actions) else { return };
        let Request { id, customer, deadline, .. } = request;
        let in_flight = InFlightRequest::new(customer, admitted.class, admitted.units, deadline);
        self.in_flight.insert(id, in_flight);
        let expires_at = deadline - DEADLINE_MARGIN_TICKS * context.settings.tick_interval_s;
        actions.push(Action::SetTimer { expires_at, token: Timer::RequestDeadline(id).token() });
        self.send(context, id, admitted.endpoint, actions);
    }

    /// Checks a request and draws its units, or rejects it. `has_capacity` is whether this limiter can track
    /// another request of this kind.
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
        let account = self.quota.ensure_customer(context, customer, plan, request.reachable_instances, units);
        if let Err(exceeded) = account {
            self.reject(context, request.id, exceeded.retry_after_s, actions);
            return None;
        }
        if let Err(exceeded) = self.quota.check(context, &mut self.rng, customer, units) {
            self.reject_over_quota(context, request, units, exceeded, actions);
            return None;
        }
        let Some(endpoint) = self.find_endpoint(context, request, class, has_capacity) else {
            self.reject(context, request.id, self.service_times.overall_mean_s(), actions);
            return None;
        };
        self.quota.draw(settings, customer, units);
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
        // The limiter that got the first try of this request has already counted its demand.
        if !request.is_retry {
            let demand = Demand { customer: &request.customer, units, admitted: false };
            self.quota.report_demand(context, &mut self.rng, &demand, actions);
        }
        self.reject(context, request.id, exceeded.retry_after_s, actions);
    }

    /// The endpoint for a request within its quota, or `None` if load shedding, the concurrency limit or the
    /// endpoints' capacity do not permit it.
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
        let scope = DeduplicationScope::All;
        let constraints = Constraints { class, scope, may_have_run: Vec::new(), tried: Vec::new() };
        self.endpoints.select(context, &constraints, draw)
    }
}
