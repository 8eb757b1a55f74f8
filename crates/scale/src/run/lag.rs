//! Histograms of lags by phase.

use super::messages::{LagCount, PhaseLag};
use hdrhistogram::Histogram;

/// Digits that a histogram keeps of each value.
const DIGITS: u8 = 3;

/// Lags in milliseconds.
#[derive(Clone)]
pub struct Lags(Histogram<u64>);

impl Lags {
    /// None so far.
    pub fn new() -> Self {
        // Three digits are always valid.
        Lags(Histogram::new(DIGITS).unwrap_or_else(|_| unreachable!("a histogram of three digits")))
    }

    /// One more.
    pub fn record(&mut self, lag_ms: u64) {
        self.record_many(lag_ms, 1);
    }

    fn record_many(&mut self, lag_ms: u64, count: u64) {
        // It grows with what is recorded, so nothing is out of its range.
        let _ = self.0.record_n(lag_ms, count);
    }

    /// Takes in what a process reported.
    pub fn add(&mut self, counts: &[LagCount]) {
        for LagCount { lag_ms, count } in counts {
            self.record_many(*lag_ms, *count);
        }
    }

    /// How often each lag was seen.
    pub fn counts(&self) -> Vec<LagCount> {
        let recorded = self.0.iter_recorded();
        recorded
            .map(|step| LagCount {
                lag_ms: step.value_iterated_to(),
                count: step.count_since_last_iteration(),
            })
            .collect()
    }

    /// The lag that this share of changes did not exceed.
    pub fn quantile(&self, share: f64) -> f64 {
        self.0.value_at_quantile(share) as f64
    }

    /// The longest lag.
    pub fn last(&self) -> f64 {
        self.0.max() as f64
    }

    /// How many lags there are.
    pub fn len(&self) -> u64 {
        self.0.len()
    }

    /// The same as a process reports it.
    pub fn report(&self, phase: &str) -> PhaseLag {
        PhaseLag { phase: phase.to_owned(), counts: self.counts() }
    }
}
