//! Slow start: a recently started endpoint gets a limited budget of attempts in each overload window.
//!
//! The settings give the capacity at the start, the time to full capacity, and the multiple of the current
//! capacity at which an endpoint fails if the load lasts for the overload window. The budget is a fixed ratio
//! of that multiple, relative to the throughput of warm endpoints. What it can get wrong: with a budget below
//! one attempt for each limiter, one attempt from each would exceed it. Therefore a limiter with a budget of,
//! say, 0.2 sends one attempt in a fifth of its windows, and the windows of the limiters are offset against
//! each other. Held by `tests/decision/slow_start.rs`.

use super::endpoint::Endpoint;
use super::endpoint_set::EndpointSet;
use crate::context::Context;
use crate::hash::fnv1a;
use crate::interface::{EndpointId, Settings};
use std::collections::VecDeque;

/// Ratio of the budget allowed by the settings that is used.
const BUDGET_USE_RATIO: f64 = 0.6;
/// Least number of attempts in an overload window, over all limiters. It is the whole budget where no warm
/// endpoint shows what an endpoint can serve.
const MIN_WINDOW_ATTEMPTS: f64 = 4.0;

/// Recent throughput of the warm endpoints of the subset, from which slow-start budgets are derived.
pub struct SlowStartBudget {
    /// When this limiter started; attempts sent before a restart are not known.
    started_at: f64,
    /// Times of successful responses of warm endpoints within the last overload window.
    warm_responses: VecDeque<f64>,
    /// Total weight of the warm endpoints in use.
    warm_weight: f64,
}

impl SlowStartBudget {
    /// The budget of a limiter that starts now.
    pub fn new(now: f64) -> Self {
        SlowStartBudget { started_at: now, warm_responses: VecDeque::new(), warm_weight: 0.0 }
    }

    /// Counts a successful response of a warm endpoint.
    pub fn on_warm_response(&mut self, now: f64) {
        self.warm_responses.push_back(now);
    }

    /// Attempts in an overload window that this limiter may send to an endpoint. `factor` is the endpoint's
    /// slow-start factor, and `instances` the number of limiters that use it.
    fn window_attempts(&self, settings: &Settings, weight: f64, factor: f64, instances: f64) -> f64 {
        let responses = self.warm_responses.len() as f64;
        let proportional_attempts =
            if self.warm_weight > 0.0 { responses / self.warm_weight * weight * factor } else { 0.0 };
        (proportional_attempts * settings.overload_multiple * BUDGET_USE_RATIO)
            .max(MIN_WINDOW_ATTEMPTS / instances)
    }
}

impl Endpoint {
    /// Ratio of its full capacity that an endpoint has at least at its age; 1 once slow start is over.
    pub fn slow_start_factor(&self, settings: &Settings, now: f64) -> f64 {
        let progress = self
            .started_at
            .map_or(1.0, |started_at| (now - started_at).max(0.0) / settings.slow_start_duration_s.max(1e-9));
        settings.slow_start_capacity + (1.0 - settings.slow_start_capacity) * progress.min(1.0)
    }

    /// Records the send time of an attempt during slow start.
    pub fn note_slow_start_send(&mut self, settings: &Settings, now: f64) {
        if self.slow_start_factor(settings, now) < 1.0 {
            self.slow_start_sends.retain(|sent| now - sent <= settings.overload_window_s);
            self.slow_start_sends.push(now);
        }
    }
}

impl EndpointSet {
    /// Updates the throughput of the warm endpoints of the subset, once a tick.
    pub(super) fn refresh_slow_start(&mut self, Context { settings, now }: Context) {
        let used = self.subset.order().iter().map(|id| &self.endpoints[id]);
        let used = used.filter(|endpoint| endpoint.is_serving(now)).take(self.subset.size() as usize);
        let warm = used.filter(|endpoint| endpoint.slow_start_factor(settings, now) >= 1.0);
        self.slow_start.warm_weight = warm.map(|endpoint| endpoint.weight).sum();
        self.slow_start.warm_responses.retain(|response| now - response <= settings.overload_window_s);
    }

    /// Whether this limiter may send one more attempt to an endpoint within the overload window.
    ///
    /// With a budget below one attempt, a limiter sends one attempt in that ratio of its windows, chosen at
    /// random. The windows of each limiter start at a different phase, so that the attempts of all limiters
    /// are spread evenly, and any interval of a window's length gets the budget of one window. The first
    /// window is the first that starts after the endpoint was listed. After a restart of this limiter, which
    /// loses the record of sent attempts, the budget of whole attempts grows from zero over one window.
    pub(super) fn has_slow_start_budget(
        &self,
        Context { settings, now }: Context,
        id: &EndpointId,
        endpoint: &Endpoint,
    ) -> bool {
        let factor = endpoint.slow_start_factor(settings, now);
        if factor >= 1.0 {
            return true;
        }
        let instances = self.subset.instances_per_endpoint();
        let budget = self.slow_start.window_attempts(settings, endpoint.weight, factor, instances);
        let window_s = settings.overload_window_s.max(settings.tick_interval_s);
        let recent = endpoint.slow_start_sends.iter().filter(|sent| now - **sent <= window_s).count() as f64;
        if recent + 1.0 <= budget * ((now - self.slow_start.started_at) / window_s).min(1.0) {
            return true;
        }
        let seed = fnv1a(id) ^ u64::from(settings.instance_index) << 32;
        let phase = fastrand::Rng::with_seed(seed).f64();
        let window_index = (now / window_s + phase).floor();
        let has_started = (window_index - phase) * window_s >= endpoint.listed_at;
        recent < 1.0 && has_started && fastrand::Rng::with_seed(seed ^ window_index as u64).f64() < budget
    }
}
