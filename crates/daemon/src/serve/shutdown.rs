//! Graceful shutdown after SIGTERM: answers all accepted requests and exits before the platform sends SIGKILL.

use super::error::ServeError;
use super::listeners::Listeners;
use crate::cluster::ClusterService;
use crate::events::{EventQueue, HostEvent};
use crate::listeners::admission::Admission;
use crate::log::log;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// Minimum time after SIGTERM in which connections are accepted; it is extended while any connection is open. New
/// connections keep arriving for up to 0.4 s after SIGTERM.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(600);
/// SIGKILL follows SIGTERM no earlier than after this time plus the longest deadline.
const MIN_KILL_DELAY: Duration = Duration::from_millis(700);
/// The part of the longest deadline beyond this does not delay SIGKILL.
const MAX_DEADLINE_S: f64 = 3.0;
/// How long before SIGKILL all unanswered requests receive a final answer: after SIGKILL nothing can answer them.
const FINAL_ANSWERS_BEFORE_KILL: Duration = Duration::from_millis(300);
/// How long before SIGKILL the process exits. The time since the final answers lets clients read them and connections
/// close.
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(50);

/// Shuts the limiter down. `longest_deadline_s` is the longest deadline of its classes and must not be negative.
///
/// # Errors
/// Requests were left unanswered.
pub(super) async fn shut_down(
    listeners: &Listeners,
    admission: &Admission,
    cluster: Option<&ClusterService>,
    events: &Rc<EventQueue>,
    longest_deadline_s: f64,
) -> Result<(), ServeError> {
    let deadline = Duration::from_secs_f64(longest_deadline_s.min(MAX_DEADLINE_S));
    let kill_at = Instant::now() + MIN_KILL_DELAY + deadline;
    let final_answers_at = kill_at - FINAL_ANSWERS_BEFORE_KILL;
    log("liftrouter", format_args!("SIGTERM: finishing {} requests", admission.unanswered_requests()));
    admission.shutdown_deadline().set(final_answers_at);
    listeners.drain();
    if let Some(cluster) = cluster {
        cluster.leave();
    }
    spawn_local({
        let events = events.clone();
        async move {
            sleep_until(final_answers_at).await;
            events.push(HostEvent::ShutdownDeadline);
        }
    });
    sleep(MIN_ACCEPT_TIME).await;
    // Connections that are still open after the timeout have no request, or an incomplete one.
    let _ = timeout_at(kill_at - EXIT_BEFORE_KILL, listeners.all_closed()).await;
    listeners.stop_accepting();
    match admission.unanswered_requests() {
        0 => Ok(()),
        unanswered => Err(ServeError::UnansweredRequests(unanswered)),
    }
}
