//! Detects that the own process was paused.

/// Detects from the time between two checks that the process did not run: it was stopped, its machine was suspended
/// while the clock went on, or it got no processor time.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    /// Longest time between two checks, in seconds, that is not a pause.
    threshold: f64,
    last_check: f64,
}

impl PauseDetector {
    /// A detector that reports gaps above `threshold` seconds. A running process has to call [`PauseDetector::check`]
    /// at least once every [`PauseDetector::check_interval`].
    pub fn new(threshold: f64, now: f64) -> Self {
        PauseDetector { threshold, last_check: now }
    }

    /// Seconds until the next check is due.
    pub fn check_interval(&self) -> f64 {
        self.threshold / 2.0
    }

    /// The length in seconds of the pause that ended with this check, if there was one.
    pub fn check(&mut self, now: f64) -> Option<f64> {
        let gap = now - self.last_check;
        self.last_check = self.last_check.max(now);
        (gap > self.threshold).then_some(gap)
    }
}
