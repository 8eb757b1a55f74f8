//! What happens when an attempt takes long: it counts against its endpoint, and is cancelled for a retry if
//! it seems lost.
//!
//! A timer expires after several usual service times. Near the latency objective the attempt frees its place
//! in the endpoint's limit, since it may hang. What it can get wrong: after a pause of this process
//! everything looks slow, which is no endpoint's fault; an endpoint that is seen rarely is not lost after one
//! slow response; and an endpoint that answered others meanwhile is slow, not gone: ejecting it would move
//! its load to the rest. Held by `tests/decision/slow_attempt.rs`.

use super::in_flight_request::InFlightRequest;
use super::service_times::ServiceTimes;
use super::Requests;
use crate::context::Context;
use crate::endpoints::Progress;
use crate::interface::{Action, EndpointId, RequestId};
use crate::timer::Timer;

/// An attempt is slow after this many usual service times ...
const SLOW_AFTER_SERVICE_TIMES: f64 = 6.0;
/// ... and within these shares of the latency objective.
const MIN_SLOW_OBJECTIVES: f64 = 0.5;
const MAX_SLOW_OBJECTIVES: f64 = 0.8;
/// Seconds after a pause of this process until attempts are looked at again.
const RECHECK_AFTER_PAUSE_SECONDS: f64 = 0.05;

/// An attempt that takes long.
struct SlowAttempt {
    endpoint: EndpointId,
    class: usize,
    number: u32,
    sent_at: f64,
    /// Usual seconds for a request of its units.
    usual: f64,
}

impl Requests {
    /// The timer after which an attempt that is sent now counts as slow, unless the request's deadline comes
    /// first.
    pub(super) fn slow_attempt_timer(
        Context { settings, now }: Context,
        id: RequestId,
        request: &InFlightRequest,
        service_times: &ServiceTimes,
    ) -> Option<Action> {
        let objective = settings.classes[request.class].latency_objective_s;
        let wait = SLOW_AFTER_SERVICE_TIMES * service_times.of_class(request.class) * request.units.max(1.0);
        let wait = wait.clamp(MIN_SLOW_OBJECTIVES * objective, MAX_SLOW_OBJECTIVES * objective);
        let is_in_time = now + wait < request.deadline;
        is_in_time.then(|| Action::SetTimer { expires_at: now + wait, token: Timer::SlowAttempt(id).token() })
    }

    /// The latest attempt of a request, if it still waits for a response.
    fn slow_attempt(&self, id: RequestId) -> Option<SlowAttempt> {
        let request = self.in_flight.get(&id).filter(|request| request.awaits_answer())?;
        let attempt = request.attempts.last().filter(|attempt| attempt.is_in_flight)?;
        Some(SlowAttempt {
            endpoint: attempt.endpoint.clone(),
            class: request.class,
            number: request.attempts.len() as u32 - 1,
            sent_at: attempt.sent_at,
            usual: self.service_times.of_class(request.class) * request.units.max(1.0),
        })
    }

    /// Handles the timer of a slow attempt. `last_pause` is the end of the latest pause of this process.
    pub fn on_slow_attempt(
        &mut self,
        context: Context,
        id: RequestId,
        last_pause: f64,
        actions: &mut Vec<Action>,
    ) {
        let Context { settings, now } = context;
        let Some(slow) = self.slow_attempt(id) else { return };
        let objective = settings.classes[slow.class].latency_objective_s;
        let elapsed_s = now - slow.sent_at;
        if elapsed_s < MIN_SLOW_OBJECTIVES * objective {
            return;
        }
        if elapsed_s >= objective {
            return self.release_place(id, slow.number);
        }
        let is_own_pause = now <= last_pause + settings.tick_interval_s && slow.sent_at < last_pause;
        let expires_at = if is_own_pause {
            now + RECHECK_AFTER_PAUSE_SECONDS
        } else {
            slow.sent_at + objective + settings.tick_interval_s
        };
        actions.push(Action::SetTimer { expires_at, token: Timer::SlowAttempt(id).token() });
        if !is_own_pause {
            self.record_slow_attempt(context, &slow, elapsed_s);
            if self.is_cancelled_for_retry(context, id, &slow) {
                // One attempt at a time: the end of this one brings the next.
                actions.push(Action::Cancel { id, attempt: slow.number });
            }
        }
    }

    fn record_slow_attempt(&mut self, context: Context, slow: &SlowAttempt, elapsed_s: f64) {
        if self.endpoints.is_silent_since(&slow.endpoint, context.now - elapsed_s) {
            self.endpoints.record_failure(context, &slow.endpoint);
        }
        let latency_ratio = elapsed_s / slow.usual.max(1e-6);
        let progress = Progress::StillWaiting;
        self.endpoints.record_latency(context, &slow.endpoint, slow.class, latency_ratio, progress);
    }

    /// Whether a retry is allowed and the attempt is more likely lost than slow: the work of a slow one would
    /// be wasted.
    fn is_cancelled_for_retry(&self, context: Context, id: RequestId, slow: &SlowAttempt) -> bool {
        let may_retry = self.in_flight.get(&id).is_some_and(|request| self.may_retry(context, request));
        may_retry && self.endpoints.seems_lost(&slow.endpoint, slow.class) && context.settings.may_cancel
    }
}
