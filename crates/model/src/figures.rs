//! What is taken for the real parts' times, and the draws from them.

use liftrouter_stage::schedule::Micros;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use serde::{Deserialize, Serialize};

/// Times of the real parts. Defaults are those of the kit's installation on one machine: see the design note for how each
/// was measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Figures {
    /// One way over a link: the median in microseconds, and the standard deviation of its logarithm.
    pub wire_us: f64,
    /// The standard deviation of the logarithm of the same.
    pub wire_spread: f64,
    /// A limiter's own time in microseconds for a request until it is sent on, for an answer, and for any other news.
    pub request_us: f64,
    /// For an answer.
    pub answer_us: f64,
    /// For other news.
    pub news_us: f64,
    /// From a limiter's start until it takes clients, in milliseconds.
    pub start_ms: f64,
    /// Clocks of limiters differ by so many milliseconds at most.
    pub clocks_ms: f64,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            wire_us: 80.0,
            wire_spread: 0.5,
            request_us: 110.0,
            answer_us: 70.0,
            news_us: 25.0,
            start_ms: 60.0,
            clocks_ms: 0.0,
        }
    }
}

impl Figures {
    /// Whether they can be times.
    ///
    /// # Errors
    /// The first that cannot, and what was expected.
    pub fn check(&self) -> Result<(), String> {
        let all = [
            ("wire_us", self.wire_us, 1.0, 1e8),
            ("wire_spread", self.wire_spread, 0.0, 3.0),
            ("request_us", self.request_us, 0.0, 1e6),
            ("answer_us", self.answer_us, 0.0, 1e6),
            ("news_us", self.news_us, 0.0, 1e6),
            ("start_ms", self.start_ms, 0.0, 1e6),
            ("clocks_ms", self.clocks_ms, 0.0, 1e4),
        ];
        match all.into_iter().find(|(_, value, least, most)| !(*least..=*most).contains(value)) {
            Some((name, value, least, most)) => Err(format!("{name} is {value}, expected {least} to {most}")),
            None => Ok(()),
        }
    }
}

/// Draws of one part. Each part has its own, so that what one draws leaves the others as they are.
pub struct Draws {
    rng: ChaCha8Rng,
    wire: Option<LogNormal<f64>>,
}

impl Draws {
    /// From a seed and a part's name. ChaCha gives the same numbers on every machine and in every version.
    pub fn new(seed: u64, part: &str, figures: &Figures) -> Draws {
        let mut key = [0; 32];
        key[..8].copy_from_slice(&seed.to_le_bytes());
        for (n, byte) in part.bytes().take(24).enumerate() {
            key[8 + n] = byte;
        }
        let wire = LogNormal::new(figures.wire_us.max(1e-3).ln(), figures.wire_spread.max(0.0));
        Draws { rng: ChaCha8Rng::from_seed(key), wire: wire.ok() }
    }

    /// One way over a link.
    pub fn wire(&mut self) -> Micros {
        self.wire.map_or(0, |wire| wire.sample(&mut self.rng).clamp(1.0, 1e9) as Micros)
    }

    /// Evenly from 0 to 1.
    pub fn even(&mut self) -> f64 {
        rand_distr::StandardUniform.sample(&mut self.rng)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parts_draw_apart_and_the_same_each_time() {
        let draw = |part: &str| {
            let mut draws = Draws::new(7, part, &Figures::default());
            (0..1_000).map(|_| draws.wire()).collect::<Vec<_>>()
        };
        assert_eq!(draw("a"), draw("a"));
        assert_ne!(draw("a"), draw("b"));
        let mut all = draw("a");
        all.sort_unstable();
        assert!((70..90).contains(&all[500]), "the median is {}", all[500]);
    }
}
