//! The module's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Unix seconds, read once and carried on by the monotonic clock. It never steps back, and all limiters mean
/// the same by it: counter names and servers' starts depend on that.
#[derive(Clone, Copy)]
pub struct Clock {
    instant: Instant,
    unix: Duration,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { instant: Instant::now(), unix }
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        (self.unix + at.saturating_duration_since(self.instant)).as_secs_f64()
    }

    pub fn instant(&self, seconds: f64) -> Instant {
        let after = (seconds - self.unix.as_secs_f64()).clamp(0.0, 1e6);
        self.instant + Duration::from_secs_f64(after)
    }
}
