//! A counter service that can fail.

use fastrand::Rng;
use std::collections::HashMap;

#[derive(Default, Clone)]
pub(super) struct CounterService {
    /// Totals, and when each is forgotten.
    pub(super) counts: HashMap<String, (f64, f64)>,
    pub(super) silent: bool,
    pub(super) slow: f64,
    pub(super) stale: Option<HashMap<String, (f64, f64)>>,
    pub(super) doubled: bool,
    pub(super) mute: bool,
    /// A second view of the same, which part of the limiters reach.
    pub(super) other: Option<Box<CounterService>>,
}

impl CounterService {
    pub(super) fn add(&mut self, now: f64, name: &str, add: f64, ttl_s: f64) -> f64 {
        let count = self.counts.entry(name.to_string()).or_insert((0.0, now + ttl_s));
        if count.1 <= now {
            *count = (0.0, now + ttl_s);
        }
        count.0 += if self.doubled { 2.0 * add } else { add };
        let total = count.0;
        self.stale.as_ref().map_or(total, |old| old.get(name).map_or(0.0, |n| n.0))
    }

    pub(super) fn part(&self, kept: f64, rng: &mut Rng) -> CounterService {
        let mut names: Vec<_> = self.counts.iter().collect();
        names.sort_by(|a, b| a.0.cmp(b.0));
        let counts = names.into_iter().filter(|_| rng.f64() < kept).map(|(k, v)| (k.clone(), *v)).collect();
        CounterService { counts, ..CounterService::default() }
    }
}
