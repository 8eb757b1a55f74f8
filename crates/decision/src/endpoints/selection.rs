//! Endpoint selection: of the endpoints with capacity, an attempt goes to the one with the lowest score.
//!
//! The score is a product of named factors, see [`Scoring::score`]. What it can get wrong: if every endpoint
//! is ejected or rejects the class, excluding all of them would stop all requests; therefore the best of them
//! still gets some. Held by `tests/decision/endpoint_selection.rs`, `tests/decision/outlier_detection.rs` and
//! `tests/decision/class_breaker.rs`.

use super::endpoint::Endpoint;
use super::endpoint_set::{fleet_objective_s, EndpointSet};
use super::location::AttemptLocations;
use super::subset::GOLDEN_RATIO_FRACTION;
use crate::context::Context;
use crate::interface::{DeduplicationScope, EndpointId};

/// Factor on the score of an endpoint in another zone.
const CROSS_ZONE_PENALTY: f64 = 1.1;
/// Factor on the score of an endpoint to which the request was already sent.
const TRIED_PENALTY: f64 = 10.0;
/// Largest random addition to a score, as a ratio of it, to break ties.
const JITTER: f64 = 0.05;

/// Constraints on the endpoint of a request's next attempt.
pub struct Constraints<'a> {
    /// Index of the request's class.
    pub class: usize,
    /// Deduplication scope of the request's idempotency key.
    pub scope: DeduplicationScope,
    /// Where each attempt with the request's key may have run. Only endpoints that recognize the key of all of
    /// them are permitted.
    pub may_have_run: Vec<&'a AttemptLocations>,
    /// Endpoints of the earlier attempts.
    pub tried: Vec<&'a EndpointId>,
}

impl Constraints<'_> {
    fn allow(&self, endpoint: &Endpoint) -> bool {
        self.may_have_run.iter().all(|earlier| earlier.key_is_recognized_at(&endpoint.residence, self.scope))
    }
}

/// The candidate with the lowest score so far; of equal scores the first one wins.
#[derive(Default)]
struct LowestScore<'a>(Option<(f64, &'a EndpointId)>);

impl<'a> LowestScore<'a> {
    fn offer(&mut self, score: f64, id: &'a EndpointId) {
        if self.0.is_none_or(|(lowest, _)| score < lowest) {
            self.0 = Some((score, id));
        }
    }
}

/// The candidates found during one selection.
#[derive(Default)]
struct Candidates<'a> {
    /// Number of endpoints of the subset that were considered.
    considered: f64,
    /// Number of considered endpoints whose breaker is closed for the class.
    accepting: u32,
    best: LowestScore<'a>,
    /// Best endpoint whose breaker is open; used if all considered endpoints reject the class.
    rejecting: LowestScore<'a>,
    /// The ejected endpoint without attempts in flight whose ejection ends first; used if no endpoint was
    /// considered.
    ejected: LowestScore<'a>,
}

impl<'a> Candidates<'a> {
    fn selected(self) -> Option<&'a EndpointId> {
        let Candidates { considered, accepting, best, rejecting, ejected } = self;
        let best = best.0.or(if accepting > 0 { None } else { rejecting.0 });
        best.or(if considered > 0.0 { None } else { ejected.0 }).map(|(_, id)| id)
    }
}

/// Inputs to the scores that are the same for all endpoints of one selection.
struct Scoring<'a> {
    context: Context<'a>,
    /// The fleet's latency objective in seconds.
    objective_s: f64,
    /// Index of the request's class.
    class: usize,
}

impl Scoring<'_> {
    /// The score of an endpoint, lower is better: its expected latency with one more attempt in flight, times
    /// penalties for another zone, slow attempts, rejections, failures and an earlier attempt of this
    /// request.
    fn score(&self, endpoint: &Endpoint, slow_start_factor: f64, is_tried: bool, tie_break: f64) -> f64 {
        let &Scoring { context: Context { settings, now }, objective_s, class } = self;
        let capacity = slow_start_factor * endpoint.weight;
        let load = endpoint.latency.decayed(objective_s, now) * f64::from(endpoint.in_flight + 1) / capacity;
        let zone =
            if *endpoint.residence.location().zone == *settings.zone { 1.0 } else { CROSS_ZONE_PENALTY };
        let slow_attempts = endpoint.class_breaker.slow_attempt_penalty(class, objective_s, now);
        let rejections = endpoint.class_breaker.rejection_penalty(class, objective_s, now);
        let failures = f64::from(1 + endpoint.outlier.consecutive_failures());
        let tried = if is_tried { TRIED_PENALTY } else { 1.0 };
        let jitter = 1.0 + JITTER * tie_break;
        load * zone * slow_attempts * rejections * (failures * tried) * jitter
    }
}

impl EndpointSet {
    /// The best endpoint for a request, or `None` if no eligible endpoint has capacity. `draw` is a random
    /// number from 0 to 1 that breaks ties.
    pub fn select(&self, context: Context, constraints: &Constraints, draw: f64) -> Option<EndpointId> {
        let Context { settings, now } = context;
        let objective_s = fleet_objective_s(settings);
        let scoring = Scoring { context, objective_s, class: constraints.class };
        let fleet_has_capacity = self.fleet.has_capacity();
        let class_limit_factor = self.class_limit_factor(constraints.class);
        let mut candidates = Candidates::default();
        let endpoints = self.subset.order().iter().map(|id| (id, &self.endpoints[id]));
        let eligible =
            endpoints.filter(|(_, endpoint)| endpoint.is_in_service() && constraints.allow(endpoint));
        for (id, endpoint) in eligible {
            if endpoint.outlier.is_ejected(now) {
                if endpoint.in_flight == 0 {
                    candidates.ejected.offer(endpoint.outlier.ejected_until(), id);
                }
                continue;
            }
            if candidates.considered >= self.subset.size() {
                break;
            }
            candidates.considered += 1.0;
            let rejects = endpoint.class_breaker.is_open(constraints.class, objective_s, now);
            candidates.accepting += u32::from(!rejects);
            let slow_start_factor = endpoint.slow_start_factor(settings, now);
            let limit = endpoint.effective_limit(slow_start_factor, class_limit_factor);
            if !endpoint.has_capacity(limit, fleet_has_capacity)
                || !self.has_slow_start_budget(context, id, endpoint)
            {
                continue;
            }
            let tie_break = (draw + GOLDEN_RATIO_FRACTION * candidates.considered).fract();
            let is_tried = constraints.tried.contains(&id);
            let score = scoring.score(endpoint, slow_start_factor, is_tried, tie_break);
            let lowest = if rejects { &mut candidates.rejecting } else { &mut candidates.best };
            lowest.offer(score, id);
        }
        candidates.selected().cloned()
    }

    /// Whether the constraints permit an attempt at this endpoint, whatever its capacity.
    pub fn permits(&self, constraints: &Constraints, id: &EndpointId) -> bool {
        self.endpoints.get(id).is_some_and(|endpoint| constraints.allow(endpoint))
    }

    /// Records for one request whether the fleet's limit is reached, and returns the ratio of requests that
    /// found it reached.
    pub fn update_saturation(&mut self) -> f64 {
        self.fleet.update_saturation()
    }
}

impl Endpoint {
    /// Limit of attempts in flight, with slow start and the class factor applied. A suspect endpoint gets one
    /// attempt at a time.
    fn effective_limit(&self, slow_start_factor: f64, class_limit_factor: f64) -> f64 {
        if self.outlier.is_suspect() {
            1.0
        } else {
            self.concurrency.limit() * slow_start_factor * class_limit_factor
        }
    }

    /// Whether one more attempt fits the limit. A limit below one permits one attempt only while the fleet's
    /// limit has capacity, since one attempt from each of many limiters can overload an endpoint.
    fn has_capacity(&self, limit: f64, fleet_has_capacity: bool) -> bool {
        let is_full = f64::from(self.in_flight) + 1.0 > limit.max(1.0);
        let is_fleet_limited = limit < 1.0 && !fleet_has_capacity;
        !is_full && !is_fleet_limited
    }
}
