//! Spreads calls to a keeper: all limiters together stay within its stated rate, and calls come back slowly after a
//! silence.

/// What a keeper takes, and from how many.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Calls a second that the keeper takes from all limiters; above 0.
    pub calls_per_s: f64,
    /// Limiters among which that is divided evenly, from 1.
    pub limiters: u32,
    /// Seconds over which the rate rises to its whole after a silence.
    pub rise: f64,
}

/// Share of the rate with which a return begins.
const FIRST: f64 = 0.1;
/// Calls without an answer in a row after which an answer is a return.
const MISSES: u32 = 3;
/// Calls that may be saved up, in seconds of the rate, and at least.
const SAVED: (f64, f64) = (0.05, 1.0);

/// A bucket of calls. Limiters share nothing at a keeper's return, so each has its even part of the rate: that holds
/// the sum whatever they do, and leaves unused what limiters with little to count do not need.
#[derive(Clone, Debug)]
pub struct Pacer {
    pace: Pace,
    calls: f64,
    at: f64,
    /// When the keeper was heard again.
    returned: f64,
    held_back: u64,
    part: f64,
    /// Calls in a row without an answer.
    misses: u32,
}

impl Pacer {
    /// One that has its whole rate. `part` from 0 to 1, drawn by each limiter, keeps limiters that start or hear the
    /// keeper at one moment from calling at one.
    pub fn new(pace: Pace, part: f64, now: f64) -> Self {
        let part = part.clamp(0.0, 1.0);
        Pacer { pace, calls: part, at: now, returned: f64::MIN, held_back: 0, part, misses: 0 }
    }

    /// Calls a second at a time.
    pub fn rate(&self, now: f64) -> f64 {
        let whole = self.pace.calls_per_s / f64::from(self.pace.limiters.max(1));
        let risen = if self.pace.rise > 0.0 { (now - self.returned) / self.pace.rise } else { 1.0 };
        whole * (FIRST + (1.0 - FIRST) * risen).clamp(FIRST, 1.0)
    }

    /// A call has ended. Where it is the first answer after a silence, what was saved up is not called at once.
    pub fn ended(&mut self, answered: bool, now: f64) {
        let misses = if answered { 0 } else { self.misses.saturating_add(1) };
        if std::mem::replace(&mut self.misses, misses) >= MISSES && answered {
            self.returned(now);
        }
    }

    /// Another keeper is called from now on: to it, all limiters come at about one time.
    pub fn returned(&mut self, now: f64) {
        (self.returned, self.at, self.calls) = (now, now, self.part);
    }

    /// Takes a call, if one is left.
    pub fn take(&mut self, now: f64) -> bool {
        let rate = self.rate(now);
        let most = (rate * SAVED.0).max(SAVED.1);
        self.calls = (self.calls + rate * (now - self.at).max(0.0)).min(most);
        self.at = self.at.max(now);
        let may = self.calls >= 1.0;
        if may {
            self.calls -= 1.0;
        } else {
            self.held_back += 1;
        }
        may
    }

    /// Calls that were held back so far.
    pub fn held_back(&self) -> u64 {
        self.held_back
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PACE: Pace = Pace { calls_per_s: 400.0, limiters: 4, rise: 5.0 };

    /// Calls in each second of ten, by limiters that would call a thousand times a second each.
    fn greedy(mut pacers: Vec<Pacer>) -> Vec<u32> {
        let count = |second: u32, pacers: &mut Vec<Pacer>| {
            let times = (0..1_000).map(|ms| f64::from(second) + f64::from(ms) / 1e3);
            times.map(|at| pacers.iter_mut().filter_map(|p| p.take(at).then_some(())).count() as u32).sum()
        };
        (0..10).map(|second| count(second, &mut pacers)).collect()
    }

    fn pacers() -> Vec<Pacer> {
        (0..4).map(|n| Pacer::new(PACE, f64::from(n) / 4.0, 0.0)).collect()
    }

    #[test]
    fn all_together_call_at_the_stated_rate_and_no_faster() {
        let calls = greedy(pacers());
        assert!(calls.iter().all(|n| (380..=404).contains(n)), "{calls:?}");
    }

    #[test]
    fn after_a_silence_calls_rise_over_the_stated_time() {
        let mut all = pacers();
        for pacer in &mut all {
            (0..3).for_each(|_| pacer.ended(false, 0.0));
            pacer.ended(true, 0.0);
        }
        let calls = greedy(all);
        assert!(calls[0] < 100, "{calls:?}");
        assert!(calls.windows(2).take(5).all(|w| w[0] < w[1]), "{calls:?}");
        assert!(calls[6..].iter().all(|n| (380..=404).contains(n)), "{calls:?}");
    }

    #[test]
    fn what_was_saved_up_in_a_silence_is_not_called_at_once() {
        let mut pacer = Pacer::new(PACE, 1.0, 0.0);
        let at_once = (0..1_000).filter(|_| pacer.take(3_600.0)).count();
        assert_eq!(at_once, 5, "a twentieth of a second's");
        assert_eq!(pacer.held_back(), 995);
        pacer.returned(3_601.0);
        assert!(pacer.take(3_601.0) && !pacer.take(3_601.0), "its own part and no more");
        // One call that went wrong is no silence.
        let mut pacer = Pacer::new(PACE, 0.0, 0.0);
        pacer.ended(false, 1.0);
        pacer.ended(true, 1.0);
        assert_eq!(pacer.rate(1.0), 100.0);
    }
}
