//! The clock of the decision module.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Furthest point in time that is converted, in seconds after the start.
const MAX_SECONDS_AHEAD: f64 = 1e6;

/// Unix time in seconds, read once and carried on by the monotonic clock. It never steps back, and all instances mean the
/// same by it: the names of counts and the start times of servers depend on that.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    unix: Duration,
}

impl Clock {
    /// A clock that starts at the system's time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: Instant::now(), unix }
    }

    /// The Unix time of an instant, in seconds.
    pub fn seconds(&self, at: Instant) -> f64 {
        (self.unix + at.saturating_duration_since(self.started_at)).as_secs_f64()
    }

    /// The instant of a Unix time in seconds.
    pub fn instant(&self, seconds: f64) -> Instant {
        let after_start = (seconds - self.unix.as_secs_f64()).clamp(0.0, MAX_SECONDS_AHEAD);
        self.started_at + Duration::from_secs_f64(after_start)
    }
}
