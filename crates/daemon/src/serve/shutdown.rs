//! The graceful shutdown after SIGTERM: requests that were taken are answered, and the process ends before SIGKILL.

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

/// After SIGTERM new connections go on coming for up to 0.4 s; they are accepted for at least this long, and
/// for as long as anything is open.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(600);
/// SIGKILL comes this long after SIGTERM at the earliest, and the longest deadline later.
const MIN_KILL_DELAY: Duration = Duration::from_millis(700);
/// No more than this of the longest deadline counts, in seconds.
const MAX_DEADLINE_SECONDS: f64 = 3.0;
/// Requests without an answer this long before SIGKILL are answered then, since nobody answers after it.
const FINAL_ANSWERS_BEFORE_KILL: Duration = Duration::from_millis(300);
/// The process ends this long before SIGKILL: answers have been read, and connections have been closed.
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(50);

/// Ends the limiter, whose longest deadline is given in seconds, 0 or more.
///
/// # Errors
/// Requests were left open.
pub(super) async fn shut_down(
    listeners: &Listeners,
    admission: &Admission,
    cluster: Option<&ClusterService>,
    events: &Rc<EventQueue>,
    longest_deadline: f64,
) -> Result<(), ServeError> {
    let deadline = Duration::from_secs_f64(longest_deadline.min(MAX_DEADLINE_SECONDS));
    let kill_at = Instant::now() + MIN_KILL_DELAY + deadline;
    let final_answers_at = kill_at - FINAL_ANSWERS_BEFORE_KILL;
    log("liftrouter", format_args!("SIGTERM: finishing {} requests", events.unanswered_requests()));
    admission.set_shutdown_deadline(final_answers_at);
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
    // Connections that are left then carry no request, or one that is incomplete.
    let _ = timeout_at(kill_at - EXIT_BEFORE_KILL, listeners.all_closed()).await;
    listeners.stop_accepting();
    match events.unanswered_requests() {
        0 => Ok(()),
        left => Err(ServeError::OpenRequests(left)),
    }
}
