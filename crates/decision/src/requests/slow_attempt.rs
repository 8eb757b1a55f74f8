//! Slow attempts: an attempt without a response after several mean service times is recorded against its
//! endpoint, and cancelled for a retry if it is likely lost.
//!
//! Once the latency objective has passed, the attempt frees its slot in the endpoint's limit, since it may
//! hang. What it can get wrong: after a pause of this process all attempts look slow, so they are checked
//! again later; one slow response of a rarely used endpoint does not mean that it is lost; and an endpoint
//! that answered other attempts meanwhile is slow but alive, so it gets no failure, as its ejection would
//! move its load to the rest. Held by `tests/decision/slow_attempt.rs`.

use super::in_flight_request::InFlightRequest;
use super::service_times::ServiceTimes;
use super::Requests;
use crate::context::Context;
use crate::endpoints::AttemptStatus;
use crate::interface::{Action, EndpointId, RequestId};
use crate::timer::Timer;

/// Number of mean service times after which an attempt is slow.
const SLOW_AFTER_SERVICE_TIMES: f64 = 6.0;
/// Bounds of that time, in latency objectives.
const MIN_SLOW_OBJECTIVES: f64 = 0.5;
const MAX_SLOW_OBJECTIVES: f64 = 0.8;
/// Delay after a pause of this process before an attempt is checked again, in seconds.
const RECHECK_AFTER_PAUSE_S: f64 = 0.05;

/// A pending attempt whose timer has expired.
struct SlowAttempt {
    endpoint: EndpointId,
    class: usize,
    attempt_index: u32,
    sent_at: f64,
    /// Mean service time for the request's units.
    expected_s: f64,
}

impl Requests {
    /// The timer after which an attempt that is sent now counts as slow, or `None` if the request's deadline
    /// comes first.
    pub(super) fn slow_attempt_timer(
        Context { settings, now }: Context,
        id: RequestId,
        request: &InFlightRequest,
        service_times: &ServiceTimes,
    ) -> Option<Action> {
        let objective_s = settings.classes[request.class].latency_objective_s;
        let wait_s =
            SLOW_AFTER_SERVICE_TIMES * service_times.per_unit_s(request.class) * request.units.max(1.0);
        let wait_s = wait_s.clamp(MIN_SLOW_OBJECTIVES * objective_s, MAX_SLOW_OBJECTIVES * objective_s);
        let is_in_time = now + wait_s < request.deadline;
        is_in_time
            .then(|| Action::SetTimer { expires_at: now + wait_s, token: Timer::SlowAttempt(id).token() })
    }

    /// The latest attempt of a request, if it is pending.
    fn slow_attempt(&self, id: RequestId) -> Option<SlowAttempt> {
        let request = self.in_flight.get(&id).filter(|request| request.awaits_answer())?;
        let attempt = request.attempts.last().filter(|attempt| attempt.is_in_flight)?;
        Some(SlowAttempt {
            endpoint: attempt.endpoint.clone(),
            class: request.class,
            attempt_index: request.attempts.len() as u32 - 1,
            sent_at: attempt.sent_at,
            expected_s: self.service_times.per_unit_s(request.class) * request.units.max(1.0),
        })
    }

    /// Handles the expiry of a slow-attempt timer. `last_pause_ended_at` is the end of the latest pause of
    /// this process.
    pub fn on_slow_attempt(
        &mut self,
        context: Context,
        id: RequestId,
        last_pause_ended_at: f64,
        actions: &mut Vec<Action>,
    ) {
        let Context { settings, now } = context;
        let Some(slow) = self.slow_attempt(id) else { return };
        let objective_s = settings.classes[slow.class].latency_objective_s;
        let elapsed_s = now - slow.sent_at;
        if elapsed_s < MIN_SLOW_OBJECTIVES * objective_s {
            return;
        }
        if elapsed_s >= objective_s {
            return self.release_slot(id, slow.attempt_index);
        }
        let is_affected_by_pause =
            now <= last_pause_ended_at + settings.tick_interval_s && slow.sent_at < last_pause_ended_at;
        let expires_at = if is_affected_by_pause {
            now + RECHECK_AFTER_PAUSE_S
        } else {
            slow.sent_at + objective_s + settings.tick_interval_s
        };
        actions.push(Action::SetTimer { expires_at, token: Timer::SlowAttempt(id).token() });
        if !is_affected_by_pause {
            self.record_slow_attempt(context, &slow, elapsed_s);
            if self.should_cancel_for_retry(context, id, &slow) {
                // Attempts of a request do not overlap: the retry is sent once this attempt has ended.
                actions.push(Action::Cancel { id, attempt: slow.attempt_index });
            }
        }
    }

    fn record_slow_attempt(&mut self, context: Context, slow: &SlowAttempt, elapsed_s: f64) {
        if self.endpoints.has_no_success_since(&slow.endpoint, context.now - elapsed_s) {
            self.endpoints.record_failure(context, &slow.endpoint);
        }
        let latency_ratio = elapsed_s / slow.expected_s.max(1e-6);
        let status = AttemptStatus::Pending;
        self.endpoints.record_latency(context, &slow.endpoint, slow.class, latency_ratio, status);
    }

    /// Whether to cancel the attempt for a retry. This requires that it is more likely lost than slow, since
    /// cancelling a slow attempt wastes the work done.
    fn should_cancel_for_retry(&self, context: Context, id: RequestId, slow: &SlowAttempt) -> bool {
        let may_retry = self.in_flight.get(&id).is_some_and(|request| self.may_retry(context, request));
        may_retry && self.endpoints.is_likely_lost(&slow.endpoint, slow.class) && context.settings.may_cancel
    }
}
