//! The clock that supplies the decision module with Unix time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Latest point in time that is converted to an `Instant`, in seconds after the start; later ones are clamped to it.
const MAX_SECONDS_AHEAD: f64 = 1e6;

/// Unix time in seconds: the system time at the start, advanced by the monotonic clock. It never steps back, and it is
/// the same on all instances up to the error of their system clocks. The keys of counts and the start times of servers
/// depend on that.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    unix: Duration,
}

impl Clock {
    /// Reads the system time and starts the clock.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: Instant::now(), unix }
    }

    /// Converts an instant to Unix time in seconds.
    pub fn seconds(&self, at: Instant) -> f64 {
        (self.unix + at.saturating_duration_since(self.started_at)).as_secs_f64()
    }

    /// Converts a Unix time in seconds to an instant.
    pub fn instant(&self, seconds: f64) -> Instant {
        let after_start = (seconds - self.unix.as_secs_f64()).clamp(0.0, MAX_SECONDS_AHEAD);
        self.started_at + Duration::from_secs_f64(after_start)
    }
}
