//! Circuit breaker per endpoint and class: an endpoint may fail one class and serve the others.
//!
//! The first rejection of a class is taken as a sign that the endpoint is overloaded. A second consecutive
//! one, without a successful response of that class in between, opens the breaker for this class only. While
//! it is open, the limits of the other endpoints are raised for the class. What it can get wrong: an endpoint
//! that was only overloaded, but rejected twice in a row, is avoided until the breaker closes; a class that
//! all endpoints reject still gets some attempts through. Held by `tests/decision/class_breaker.rs`.

use super::endpoint_set::{fleet_objective_s, EndpointSet};
use super::latency::AttemptStatus;
use crate::context::Context;
use crate::interface::EndpointId;

/// Consecutive rejections that open the breaker.
const OPEN_AFTER_REJECTIONS: u32 = 2;
/// Time for which the breaker stays open after the latest rejection, in latency objectives.
const OPEN_OBJECTIVES: f64 = 4.0;
/// Upper bound of the factor on the limits of the other endpoints while a breaker is open.
const MAX_LIMIT_FACTOR: f64 = 2.0;
/// Penalty added to the endpoint's score factor for each slow or rejected attempt of a class.
const PENALTY: f64 = 4.0;
/// Time constant with which a penalty decays, in latency objectives for each attempt of the streak.
const PENALTY_OBJECTIVES: f64 = 8.0;
/// Latency ratio recorded for a rejection: its actual, short latency would make the endpoint look idle.
const REJECTION_LATENCY_RATIO: f64 = 10.0;

/// Consecutive slow or rejected attempts of a class.
#[derive(Clone, Copy)]
struct Streak {
    count: u32,
    latest_at: f64,
}

impl Streak {
    fn none(now: f64) -> Self {
        Streak { count: 0, latest_at: now }
    }

    /// Factor on the endpoint's score; decays to 1 with time.
    fn penalty(&self, objective_s: f64, now: f64) -> f64 {
        if self.count == 0 {
            return 1.0;
        }
        let count = f64::from(self.count);
        let time_constant = PENALTY_OBJECTIVES * objective_s * count;
        1.0 + PENALTY * count * (-(now - self.latest_at) / time_constant).exp()
    }
}

/// The streaks of slow and rejected attempts at one endpoint, per class.
#[derive(Default)]
pub struct ClassBreaker {
    slow_attempts: Vec<Streak>,
    rejections: Vec<Streak>,
}

impl ClassBreaker {
    /// Whether the breaker is open for a class after consecutive recent rejections.
    pub fn is_open(&self, class: usize, objective_s: f64, now: f64) -> bool {
        self.rejections.get(class).is_some_and(|rejections| {
            rejections.count >= OPEN_AFTER_REJECTIONS
                && now - rejections.latest_at < OPEN_OBJECTIVES * objective_s
        })
    }

    /// Factor on the endpoint's score for slow attempts of a class.
    pub fn slow_attempt_penalty(&self, class: usize, objective_s: f64, now: f64) -> f64 {
        self.slow_attempts.get(class).map_or(1.0, |slow| slow.penalty(objective_s, now))
    }

    /// Factor on the endpoint's score for rejections of a class.
    pub fn rejection_penalty(&self, class: usize, objective_s: f64, now: f64) -> f64 {
        self.rejections.get(class).map_or(1.0, |rejections| rejections.penalty(objective_s, now))
    }

    /// Number of consecutive slow attempts of a class.
    pub fn consecutive_slow_attempts(&self, class: usize) -> u32 {
        self.slow_attempts.get(class).map_or(0, |slow| slow.count)
    }

    fn consecutive_rejections(&self, class: usize) -> u32 {
        self.rejections.get(class).map_or(0, |rejections| rejections.count)
    }

    /// Records a response, which resets both streaks of its class, or a slow attempt, which extends one.
    pub fn record(&mut self, class: usize, class_count: usize, status: AttemptStatus, now: f64) {
        self.slow_attempts.resize(class_count, Streak::none(now));
        self.rejections.resize(class_count, Streak::none(now));
        if status == AttemptStatus::Pending {
            let count = self.slow_attempts[class].count + 1;
            self.slow_attempts[class] = Streak { count, latest_at: now };
        } else {
            self.slow_attempts[class] = Streak::none(now);
            self.rejections[class] = Streak::none(now);
        }
    }
}

impl EndpointSet {
    /// Records that an endpoint rejected an attempt as overloaded. Returns whether this is the first
    /// rejection of a streak.
    pub fn record_rejection(&mut self, context: Context, id: &EndpointId, class: usize) -> bool {
        let endpoint = self.endpoints.get(id);
        let previous_rejections =
            endpoint.map_or(0, |endpoint| endpoint.class_breaker.consecutive_rejections(class));
        if previous_rejections == 0 {
            self.record_latency(context, id, class, REJECTION_LATENCY_RATIO, AttemptStatus::Responded);
        }
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            let rejections = &mut endpoint.class_breaker.rejections;
            rejections.resize(context.settings.classes.len(), Streak::none(context.now));
            rejections[class] = Streak { count: previous_rejections + 1, latest_at: context.now };
        }
        previous_rejections == 0
    }

    /// Recomputes the limit factor of each class: endpoints in service divided by those that accept the
    /// class.
    pub(super) fn refresh_class_limit_factors(
        &mut self,
        Context { settings, now }: Context,
        in_service: f64,
    ) {
        let objective_s = fleet_objective_s(settings);
        let accepting = |class| {
            let endpoints = self.endpoints.values().filter(|endpoint| endpoint.is_in_service());
            endpoints.filter(|endpoint| !endpoint.class_breaker.is_open(class, objective_s, now)).count()
                as f64
        };
        self.class_limit_factors = (0..settings.classes.len())
            .map(|class| (in_service / accepting(class).max(1.0)).clamp(1.0, MAX_LIMIT_FACTOR))
            .collect();
    }

    /// Factor on the endpoints' limits for a class.
    pub(super) fn class_limit_factor(&self, class: usize) -> f64 {
        self.class_limit_factors.get(class).copied().unwrap_or(1.0)
    }
}
