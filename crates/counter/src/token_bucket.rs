//! The token bucket that defines a quota, as one instance that saw every request would keep it.

/// A token bucket that may be overdrawn: it starts full, refills at its rate and holds at most its burst.
///
/// The deepest overdraft is the amount by which the requests exceeded the quota.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    updated_at: f64,
    lowest_level: f64,
}

impl TokenBucket {
    /// A full bucket at `now` (seconds), with `rate` in units a second and `burst` in units.
    pub fn new(rate: f64, burst: f64, now: f64) -> Self {
        TokenBucket { rate, burst, level: burst, updated_at: now, lowest_level: burst }
    }

    /// Units available at `now`, negative if the bucket is overdrawn. `now` must not decrease between calls.
    pub fn level(&self, now: f64) -> f64 {
        (self.level + self.rate * (now - self.updated_at).max(0.0)).min(self.burst)
    }

    /// Takes units out, whether they are available or not.
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
