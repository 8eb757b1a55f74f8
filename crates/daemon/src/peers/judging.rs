//! Runs the judge of the keeper: makes its calls, one at a time, and tells the host what to make of totals.

use super::keeper::Keeper;
use crate::inbox::{Inbox, News};
use crate::log;
use liftrouter_decision::Outcome;
use liftrouter_keeper::{Answer, Judge, Terms};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{sleep, Instant};

/// The least pause between two looks at what is due, whatever the clock does.
const LEAST_PAUSE: Duration = Duration::from_millis(5);

/// The time that all limiters share, as it goes on from the start: the system's clock may be set meanwhile.
struct Clock(Instant, f64);

impl Clock {
    fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock(Instant::now(), unix.as_secs_f64())
    }

    fn now(&self) -> f64 {
        self.1 + self.0.elapsed().as_secs_f64()
    }
}

/// Judges the keeper for as long as it is polled. Each change of view is one line of the log.
pub async fn judge(keeper: Rc<Keeper>, inbox: Rc<Inbox>, terms: Terms) {
    let clock = Clock::start();
    let mut judge = Judge::new(terms, clock.now());
    // Until the keeper has been heard, totals are not believed.
    inbox.push(News::KeeperView(judge.view().share));
    loop {
        let pause = Duration::try_from_secs_f64(judge.next() - clock.now()).unwrap_or_default();
        sleep(pause.max(LEAST_PAUSE)).await;
        let Some(call) = judge.due(clock.now()) else { continue };
        let (outcome, total) = keeper.ask(&call.name, call.add, call.lives).await;
        let answer = match outcome {
            Outcome::Ok => Answer::Total(total),
            Outcome::Timeout => Answer::None,
            _ => Answer::NotAdded,
        };
        if let Some(view) = judge.answered(&call, answer, clock.now()) {
            log("keeper", view);
            inbox.push(News::KeeperView(view.share));
        }
    }
}
