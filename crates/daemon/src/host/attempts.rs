//! Attempts: started by the module's action, ended by their own task or aborted by the host.

use super::Host;
use crate::events::{Answer, AttemptResult};
use crate::upstream::attempt::{Attempt, Limits};
use liftrouter_decision::{EndpointId, Event, RequestId};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Longest timeout of an attempt, in seconds; a longer one is as good as none.
const MAX_TIMEOUT: f64 = 1e6;

/// The attempt of a request that is in flight.
pub(super) struct RunningAttempt {
    /// Its number, from 0.
    pub(super) number: u32,
    /// The server that it was sent to.
    pub(super) endpoint: EndpointId,
    started_at: Instant,
    /// Shared with its task.
    pub(super) attempt: Rc<Attempt>,
    task: JoinHandle<()>,
}

impl Host {
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
        // Enforces the rules even against the module: no attempt for a request that is answered or that its client
        // sends itself, never two attempts at once, and no more attempts than the settings allow.
        let allowed =
            open.reply.is_some() && open.running.is_none() && number < self.max_attempts && timeout_s >= 0.0;
        let Some(forward) = open.forward.clone().filter(|_| allowed) else {
            return self.pending.push_back(Event::attempt_not_sent(id, number));
        };
        let started_at = Instant::now();
        let deadline = forward.deadline;
        let give_up = if timeout_s > 0.0 {
            (started_at + Duration::from_secs_f64(timeout_s.min(MAX_TIMEOUT))).min(deadline)
        } else {
            deadline
        };
        let write_by = give_up.min(self.clock.instant(send_deadline));
        // Address and version are those of the choice: a later list must not mix in.
        let address = self.clients.servers.address(&endpoint);
        let attempt = Rc::new(Attempt::new(address, self.endpoint_list_version));
        let task = tokio::task::spawn_local(self.clients.servers.clone().attempt(
            self.events.clone(),
            (id, number),
            endpoint.clone(),
            (forward, attempt.clone()),
            Limits { write_by, give_up },
        ));
        open.running = Some(RunningAttempt { number, endpoint, started_at, attempt, task });
    }

    /// Passes on how an attempt ended: its answer to the client, and its result to the module.
    pub(super) fn attempt_ended(&mut self, id: RequestId, attempt: u32, result: AttemptResult) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(running) = open.running.take_if(|running| running.number == attempt) else { return };
        if let Some(answer) = result.answer {
            if let Some(reply) = open.reply.take() {
                reply.send(Answer::Served(answer));
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
        self.remove_if_over(id);
    }

    /// Aborts an attempt: its connection is closed when this returns, and its task runs no further. `false` if it has
    /// ended already; then its result is in the event queue.
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
