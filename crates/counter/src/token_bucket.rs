//! The token bucket that defines a quota, as a single instance that handles every request would apply it.

/// A token bucket that may be overdrawn: it starts full, refills at its rate and holds at most its burst.
///
/// The lowest level shows by how much the requests exceeded the quota.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    updated_at: f64,
    lowest_level: f64,
}

impl TokenBucket {
    /// A full bucket at `now` (seconds), with `rate` in units per second and `burst` in units.
    pub fn new(rate: f64, burst: f64, now: f64) -> Self {
        TokenBucket { rate, burst, level: burst, updated_at: now, lowest_level: burst }
    }

    /// Units available at `now`, negative if the bucket is overdrawn. `now` must not decrease between calls.
    pub fn level(&self, now: f64) -> f64 {
        (self.level + self.rate * (now - self.updated_at).max(0.0)).min(self.burst)
    }

    /// Takes units even if they are not available.
    pub fn take(&mut self, units: f64, now: f64) {
        self.level = self.level(now) - units;
        self.updated_at = self.updated_at.max(now);
        self.lowest_level = self.lowest_level.min(self.level);
    }

    /// The largest number of units by which the use in any interval exceeded `burst + rate * interval`.
    pub fn max_overshoot(&self) -> f64 {
        (-self.lowest_level).max(0.0)
    }
}
