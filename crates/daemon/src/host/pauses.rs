//! Pauses of the process: what the module learned before one is out of date after it.

use super::Host;
use crate::log;
use liftrouter_counter::PauseDetector;
use liftrouter_decision::Event;
use tokio::time::Instant;

/// Longest time between two checks of the clock, in seconds, that is not a pause: longer than any work of the process
/// takes, and shares of quotas change little in less.
const MAX_GAP: f64 = 1.0;

impl Host {
    /// Detects pauses, so that shares of quotas learned before one are not used after it.
    pub fn with_pause_detection(mut self) -> Self {
        self.pause_detector = Some(PauseDetector::new(MAX_GAP, self.clock.seconds(Instant::now())));
        self
    }

    /// Checks whether the process was paused. This comes before any event is handled, or old shares would be used.
    pub(super) fn check_for_pause(&mut self) {
        let now = self.clock.seconds(Instant::now());
        if let Some(gap) = self.pause_detector.as_mut().and_then(|detector| detector.check(now)) {
            log("liftrouter", format_args!("stood still for {gap:.1} s: shares of quotas are learned anew"));
            self.clients.counters.process_resumed();
            self.dispatch(Event::CounterValidity { usable_quota_ratio: 0.0 });
        }
    }
}
