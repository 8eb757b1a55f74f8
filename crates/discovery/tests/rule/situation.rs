//! What a limiter knows of discovery, and the limits of its retries, stated plainly.

use liftrouter_discovery::{CallFailure, CallId, Event};
use std::time::Duration;

/// A watch without a heartbeat for so long is silent.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The longest pause after the first failure, and after any; the least pause is half of it.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_millis(1_500);
/// Advice to retry later counts up to this time.
const LONGEST_ADVICE: Duration = Duration::from_secs(30);
/// Calls that may be made at once, and how many more in each second.
const BUDGET_DEPTH: f64 = 4.0;
const BUDGET_RATE: f64 = 0.8;

/// A call that is out.
#[derive(Debug)]
pub struct CallOut {
    pub id: CallId,
    pub started_at: Duration,
    pub answered: bool,
}

/// A call that came to nothing.
#[derive(Debug)]
pub struct Failure {
    pub at: Duration,
    pub advice: Option<Duration>,
    /// The longest pause after it.
    pub pause: Duration,
}

/// What has happened so far, as far as it still counts.
#[derive(Debug, Default)]
pub struct Situation {
    pub last_sign_of_life: Option<Duration>,
    /// Moves since the last heartbeat.
    pub moves_since: Vec<Duration>,
    pub watch_open: bool,
    pub calls_out: Vec<CallOut>,
    /// Failures since the last heartbeat or move.
    pub failures: Vec<Failure>,
    /// Starts of all calls: a move gives no new budget.
    pub starts: Vec<Duration>,
    /// The latest start since the last move.
    pub last_started: Option<Duration>,
}

impl Situation {
    /// Takes in an event.
    pub fn note(&mut self, at: Duration, event: Event) {
        match event {
            Event::CallStarted(id) => {
                self.calls_out.push(CallOut { id, started_at: at, answered: false });
                self.starts.push(at);
                self.last_started = Some(at);
            }
            Event::CallAnswered(id) => {
                self.calls_out.iter_mut().filter(|call| call.id == id).for_each(|call| call.answered = true);
            }
            Event::CallFailed(id, failure) => {
                self.calls_out.retain(|call| call.id != id);
                self.note_failure(at, failure);
            }
            Event::WatchOpened | Event::Heartbeat => {
                self.last_sign_of_life = Some(at);
                self.moves_since.clear();
                self.watch_open = true;
                self.calls_out.clear();
                self.failures.clear();
            }
            Event::WatchClosed => self.watch_open = false,
            Event::Moved => {
                self.moves_since.push(at);
                self.watch_open = false;
                self.calls_out.clear();
                self.failures.clear();
                self.last_started = None;
            }
        }
    }

    fn note_failure(&mut self, at: Duration, failure: CallFailure) {
        let advice = match failure {
            CallFailure::Refused { retry_after } => retry_after.map(|advice| advice.min(LONGEST_ADVICE)),
            CallFailure::Failed => None,
        };
        let last_pause = self.failures.last().map(|failure| failure.pause);
        let pause = last_pause.map_or(FIRST_PAUSE, |pause| (pause * 2).min(LONGEST_PAUSE));
        self.failures.push(Failure { at, advice, pause });
    }

    /// When the open watch becomes silent; zero if there is none.
    pub fn watch_silent_at(&self) -> Duration {
        let alive_at = self.last_sign_of_life.filter(|_| self.watch_open);
        alive_at.map_or(Duration::ZERO, |at| at + HEARTBEAT_TIMEOUT)
    }

    /// No call may begin before it, by backoff and advice.
    pub fn earliest_retry(&self) -> Duration {
        let earliest =
            |failure: &Failure| failure.at + failure.advice.unwrap_or_default().max(failure.pause / 2);
        self.failures.iter().map(earliest).max().unwrap_or_default()
    }

    /// A call must be due by then, by backoff and advice.
    pub fn latest_retry(&self) -> Duration {
        let latest = |failure: &Failure| failure.at + failure.advice.unwrap_or_default() + failure.pause;
        self.failures.iter().map(latest).max().unwrap_or_default()
    }

    /// The earliest time at which one more call leaves every window within the budget.
    pub fn earliest_in_budget(&self) -> Duration {
        let earliest = |(position, from): (usize, &Duration)| {
            let calls_with_next = (self.starts.len() - position + 1) as f64;
            *from + Duration::from_secs_f64((calls_with_next - BUDGET_DEPTH).max(0.0) / BUDGET_RATE)
        };
        self.starts.iter().enumerate().map(earliest).max().unwrap_or_default()
    }
}
