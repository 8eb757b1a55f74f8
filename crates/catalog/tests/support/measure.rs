//! Measurements: traffic to the replicas, and quantiles of durations.

use super::{Micros, MILLISECOND, SECOND};

/// The total traffic to one replica.
#[derive(Clone, Copy, Default)]
pub struct Traffic {
    pub bytes: u64,
    pub messages: u64,
}

impl Traffic {
    pub fn add(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
        self.messages += 1;
    }
}

/// Bytes and messages received by a replica per second of simulated time.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficRates {
    pub mean_bytes: f64,
    /// The rate of the replica that received the most.
    pub max_bytes: f64,
    pub mean_messages: f64,
}

impl TrafficRates {
    pub fn of(replicas: &[Traffic], duration: Micros) -> Self {
        let seconds = duration as f64 / SECOND as f64;
        let per_replica = seconds * replicas.len() as f64;
        let bytes: u64 = replicas.iter().map(|traffic| traffic.bytes).sum();
        let messages: u64 = replicas.iter().map(|traffic| traffic.messages).sum();
        let largest = replicas.iter().map(|traffic| traffic.bytes).max().unwrap_or(0);
        TrafficRates {
            mean_bytes: bytes as f64 / per_replica,
            max_bytes: largest as f64 / seconds,
            mean_messages: messages as f64 / per_replica,
        }
    }
}

/// A sample of durations.
#[derive(Default)]
pub struct Durations(Vec<Micros>);

/// Quantiles of a sample of durations, in milliseconds; zero for an empty sample.
#[derive(Clone, Copy, Debug, Default)]
pub struct DurationSummary {
    pub count: usize,
    pub p50: f64,
    pub p99: f64,
    pub p999: f64,
    pub max: f64,
}

impl Durations {
    pub fn add(&mut self, time: Micros) {
        self.0.push(time);
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }

    pub fn summary(&mut self) -> DurationSummary {
        self.0.sort_unstable();
        DurationSummary {
            count: self.0.len(),
            p50: self.quantile(0.5),
            p99: self.quantile(0.99),
            p999: self.quantile(0.999),
            max: self.quantile(1.0),
        }
    }

    /// The smallest duration that at least this ratio of the sorted sample does not exceed.
    fn quantile(&self, ratio: f64) -> f64 {
        let rank = (ratio * self.0.len() as f64).ceil() as usize;
        let time = rank.checked_sub(1).map_or(0, |index| self.0[index]);
        time as f64 / MILLISECOND as f64
    }
}
