//! Detects pauses of the process, after which quota shares learned before them are out of date.

use super::Host;
use crate::log;
use liftrouter_counter::PauseDetector;
use liftrouter_decision::Event;
use tokio::time::Instant;

/// Longest time between two checks of the clock, in seconds, that is not taken for a pause. No task of the process runs
/// for that long, and quota shares change little within it.
const MAX_CHECK_GAP_S: f64 = 1.0;

impl Host {
    /// Enables the detection of pauses, so that quota shares learned before a pause are not used after it.
    pub fn with_pause_detection(mut self) -> Self {
        self.pause_detector = Some(PauseDetector::new(MAX_CHECK_GAP_S, self.clock.seconds(Instant::now())));
        self
    }

    /// Checks whether the process was paused. Called before any event is handled, since the event would otherwise be
    /// decided with outdated quota shares.
    pub(super) fn check_for_pause(&mut self) {
        let now = self.clock.seconds(Instant::now());
        if let Some(gap) = self.pause_detector.as_mut().and_then(|detector| detector.check(now)) {
            log("liftrouter", format_args!("stood still for {gap:.1} s: relearning quota shares"));
            self.clients.counters.process_resumed();
            self.dispatch(Event::CounterValidity { usable_quota_ratio: 0.0 });
        }
    }
}
