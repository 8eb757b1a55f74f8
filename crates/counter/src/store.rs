//! The store that a quota is defined by, as one limiter that saw everything would keep it.

/// A store of units: starts full, fills at its rate, holds its burst at most. What is sent on beyond it is
/// counted as the depth below nothing that it would have had to reach.
#[derive(Clone, Copy, Debug)]
pub struct Store {
    rate: f64,
    burst: f64,
    level: f64,
    at: f64,
    worst: f64,
}

impl Store {
    /// A full store at a time: units a second, units held.
    pub fn new(rate: f64, burst: f64, now: f64) -> Self {
        Store { rate, burst, level: burst, at: now, worst: burst }
    }

    /// What it holds at a time; below 0 by what was taken too much. Times never run backwards.
    pub fn level(&self, now: f64) -> f64 {
        (self.level + self.rate * (now - self.at).max(0.0)).min(self.burst)
    }

    /// Takes units out, whether it holds them or not.
    pub fn take(&mut self, units: f64, now: f64) {
        self.level = self.level(now) - units;
        self.at = self.at.max(now);
        self.worst = self.worst.min(self.level);
    }

    /// The most units by which what was taken in any stretch of time exceeded `burst + rate * stretch`.
    pub fn over(&self) -> f64 {
        (-self.worst).max(0.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_is_over_by_the_worst_stretch_alone() {
        let mut store = Store::new(2.0, 10.0, 0.0);
        store.take(10.0, 0.0);
        assert_eq!(store.over(), 0.0);
        store.take(4.0, 1.0);
        assert_eq!(store.over(), 2.0);
        // Four units in two seconds bring it back to 2 - 1 over at the end, which is no worse.
        store.take(3.0, 3.0);
        assert_eq!(store.over(), 2.0);
        assert_eq!(store.level(100.0), 10.0);
    }
}
