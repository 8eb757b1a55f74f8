//! Attempts. The module's actions start them; they end with their own task, or the host aborts them.

use super::Host;
use crate::events::{Answer, AttemptResult};
use crate::upstream::attempt::{Attempt, AttemptDeadlines, AttemptParameters};
use liftrouter_decision::{EndpointId, Event, Outcome, RequestId};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Longest timeout of an attempt, in seconds. A longer one is shortened to this, which has the same effect as no
/// timeout.
const MAX_TIMEOUT_S: f64 = 1e6;

/// An attempt that is in flight.
pub(super) struct RunningAttempt {
    /// The attempt's number within its request, from 0.
    pub(super) number: u32,
    /// The server that the attempt is made at.
    pub(super) endpoint: EndpointId,
    started_at: Instant,
    /// State shared with the attempt's task.
    pub(super) attempt: Rc<Attempt>,
    task: JoinHandle<()>,
}

impl Host {
    /// Starts an attempt, or reports that it was not sent if it is not allowed.
    pub(super) fn start_attempt(
        &mut self,
        id: RequestId,
        endpoint: EndpointId,
        timeout_s: f64,
        send_deadline: f64,
    ) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let number = open.attempts;
        open.attempts += 1;
        // These invariants hold even if the module violates them: no attempt for an answered request or for an
        // authorization, at most one attempt of a request at a time, and no more attempts than the settings allow.
        let allowed =
            open.reply.is_some() && open.running.is_none() && number < self.max_attempts && timeout_s >= 0.0;
        let Some(forward) = open.forward.clone().filter(|_| allowed) else {
            return self.pending.push_back(Event::attempt_not_sent(id, number));
        };
        let started_at = Instant::now();
        let deadline = forward.deadline;
        let response_deadline = if timeout_s > 0.0 {
            (started_at + Duration::from_secs_f64(timeout_s.min(MAX_TIMEOUT_S))).min(deadline)
        } else {
            deadline
        };
        let write_deadline = response_deadline.min(self.clock.instant(send_deadline));
        // The process and the inventory version are those of the list from which the module chose the endpoint, even if
        // the list changes before the request is sent.
        let process = self.clients.servers.process(&endpoint);
        let attempt = Rc::new(Attempt::new(process, self.inventory_version));
        let parameters = AttemptParameters {
            id,
            number,
            endpoint: endpoint.clone(),
            forward,
            attempt: attempt.clone(),
            deadlines: AttemptDeadlines { write_deadline, response_deadline },
        };
        let running = self.clients.servers.clone().run_attempt(self.events.clone(), parameters);
        let task = tokio::task::spawn_local(running);
        open.running = Some(RunningAttempt { number, endpoint, started_at, attempt, task });
    }

    /// Handles the end of an attempt: sends its response to the client and reports the result to the module.
    pub(super) fn attempt_ended(&mut self, id: RequestId, attempt: u32, result: AttemptResult) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(running) = open.running.take_if(|running| running.number == attempt) else { return };
        let is_written = running.attempt.is_reported() || running.attempt.is_sent();
        let is_without_effect =
            matches!(result.outcome, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent);
        open.may_have_run |= is_written && !is_without_effect;
        if let Some(response) = result.response {
            if let Some(reply) = open.reply.take() {
                reply.send(Answer::Served(response));
            }
        }
        self.pending.push_back(Event::AttemptEnded {
            id,
            attempt,
            request_finished: open.reply.is_none(),
            outcome: result.outcome,
            elapsed_s: running.started_at.elapsed().as_secs_f64(),
            units: result.units,
            report: result.report,
        });
        self.remove_if_finished(id);
    }

    /// Aborts an attempt if its request has not been written completely. The server then never executes it, whether it
    /// supports cancellation or not. An attempt that is written stays in flight until it ends.
    pub(super) fn withdraw_attempt(&mut self, id: RequestId, attempt: u32) {
        let running = self.requests.get(&id).and_then(|open| open.running.as_ref());
        if running.is_some_and(|running| !running.attempt.is_sent()) && self.abort_attempt(id, attempt) {
            self.attempt_ended(id, attempt, AttemptResult::without_response(Outcome::NotSent));
        }
    }

    /// Aborts an attempt: closes its connection before returning, and stops its task. Returns `false` if the attempt is
    /// not in flight, or has ended already and its result is in the event queue.
    pub(super) fn abort_attempt(&self, id: RequestId, attempt: u32) -> bool {
        let running = self.requests.get(&id).and_then(|open| open.running.as_ref());
        let Some(running) = running.filter(|r| r.number == attempt && !r.attempt.is_reported()) else {
            return false;
        };
        running.attempt.abort();
        running.task.abort();
        true
    }
}
