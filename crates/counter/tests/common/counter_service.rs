//! A counter service with injected faults.

use fastrand::Rng;
use std::collections::HashMap;

#[derive(Default, Clone)]
pub(super) struct CounterService {
    /// Total and expiry time of each count.
    pub(super) counts: HashMap<String, (f64, f64)>,
    pub(super) unavailable: bool,
    pub(super) delay_s: f64,
    /// The totals to answer with while the counter is stale.
    pub(super) stale: Option<HashMap<String, (f64, f64)>>,
    pub(super) doubles_increments: bool,
    pub(super) drops_answers: bool,
    /// The second part of a split counter, which some of the limiters call.
    pub(super) second_part: Option<Box<CounterService>>,
}

impl CounterService {
    pub(super) fn add(&mut self, now: f64, name: &str, add: f64, ttl_s: f64) -> f64 {
        let count = self.counts.entry(name.to_string()).or_insert((0.0, now + ttl_s));
        if count.1 <= now {
            *count = (0.0, now + ttl_s);
        }
        count.0 += if self.doubles_increments { 2.0 * add } else { add };
        let total = count.0;
        self.stale.as_ref().map_or(total, |old| old.get(name).map_or(0.0, |n| n.0))
    }

    /// A copy that holds each count with probability `kept`.
    pub(super) fn partial_copy(&self, kept: f64, rng: &mut Rng) -> CounterService {
        let mut names: Vec<_> = self.counts.iter().collect();
        names.sort_by(|a, b| a.0.cmp(b.0));
        let counts = names.into_iter().filter(|_| rng.f64() < kept).map(|(k, v)| (k.clone(), *v)).collect();
        CounterService { counts, ..CounterService::default() }
    }
}
