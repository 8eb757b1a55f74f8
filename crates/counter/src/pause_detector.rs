//! Detects pauses of the current process.

/// Detects from the time between two checks that the process did not run because it was stopped, its machine was
/// suspended while the clock advanced, or it got no processor time.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    /// Longest time between two checks, in seconds, that is not a pause.
    threshold_s: f64,
    last_check: f64,
}

impl PauseDetector {
    /// A detector that reports gaps above `threshold_s`. A running process must call [`PauseDetector::check`] at least
    /// once every [`PauseDetector::check_interval_s`].
    pub fn new(threshold_s: f64, now: f64) -> Self {
        PauseDetector { threshold_s, last_check: now }
    }

    /// Longest time between two checks that avoids false reports, in seconds.
    pub fn check_interval_s(&self) -> f64 {
        self.threshold_s / 2.0
    }

    /// The length in seconds of the pause that ended with this check, if there was one.
    pub fn check(&mut self, now: f64) -> Option<f64> {
        let gap = now - self.last_check;
        self.last_check = self.last_check.max(now);
        (gap > self.threshold_s).then_some(gap)
    }
}
