//! Knows that its own process stood still.

/// Sees from the time between two looks that nothing ran meanwhile: a stopped process, a suspended machine whose
/// clock goes on, a host without processor time.
#[derive(Clone, Copy, Debug)]
pub struct Wake {
    longest: f64,
    last: f64,
}

impl Wake {
    /// Looks come at least every `longest / 2` seconds while the process runs.
    pub fn new(longest: f64, now: f64) -> Self {
        Wake { longest, last: now }
    }

    /// Seconds until the next look is due.
    pub fn beat(&self) -> f64 {
        self.longest / 2.0
    }

    /// How long it stood still before this look, if it did.
    pub fn look(&mut self, now: f64) -> Option<f64> {
        let gap = now - self.last;
        self.last = self.last.max(now);
        (gap > self.longest).then_some(gap)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_a_gap_that_no_running_process_has_is_a_pause() {
        let mut wake = Wake::new(1.0, 10.0);
        for at in [10.5, 11.0, 12.0, 12.9] {
            assert_eq!(wake.look(at), None);
        }
        assert!(wake.look(15.0).is_some_and(|gap| (gap - 2.1).abs() < 1e-9));
        assert_eq!(wake.look(15.1), None, "told once");
        assert_eq!(wake.look(3.0), None, "a clock that is set back is no pause");
    }
}
