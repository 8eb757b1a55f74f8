//! The end after SIGTERM: all that was taken is answered, and the process ends before it is killed.

use super::fronts::Fronts;
use crate::cluster::Group;
use crate::events::{EventQueue, HostEvent};
use crate::listeners::admission::Admission;
use crate::log::log;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// After SIGTERM new connections go on coming for up to 0.4 s; they are accepted for at least this long, and
/// for as long as anything is open.
const ACCEPT_ON: Duration = Duration::from_millis(600);
/// SIGKILL comes so long after SIGTERM at the earliest, and the longest deadline later.
const KILLED_AFTER: Duration = Duration::from_millis(700);
/// Of the longest deadline no more than so much counts, in seconds.
const LONGEST_DEADLINE: f64 = 3.0;
/// What is not answered this long before that is answered then, since nobody answers after it.
const LAST_CALL: Duration = Duration::from_millis(300);
/// And the process ends so long before: answers have been read, and connections have been closed.
const ENDED: Duration = Duration::from_millis(50);

/// Ends the limiter, whose longest deadline is given in seconds, 0 or more.
///
/// # Errors
/// Requests were left open.
pub(super) async fn shut_down(
    fronts: &Fronts,
    gate: &Admission,
    group: Option<&Group>,
    events: &Rc<EventQueue>,
    longest_deadline: f64,
) -> Result<(), String> {
    let deadline = Duration::from_secs_f64(longest_deadline.min(LONGEST_DEADLINE));
    let killed = Instant::now() + KILLED_AFTER + deadline;
    log("liftrouter", format_args!("SIGTERM: finishing {} requests", events.owed()));
    gate.set_shutdown_deadline(killed - LAST_CALL);
    fronts.drain();
    if let Some(group) = group {
        group.leave();
    }
    spawn_local({
        let events = events.clone();
        async move {
            sleep_until(killed - LAST_CALL).await;
            events.push(HostEvent::ShutdownDeadline);
        }
    });
    sleep(ACCEPT_ON).await;
    // Connections that are left then carry no request, or one that has not come whole.
    let _ = timeout_at(killed - ENDED, fronts.all_closed()).await;
    fronts.stop_accepting();
    match events.owed() {
        0 => Ok(()),
        left => Err(format!("{left} requests were left open")),
    }
}
