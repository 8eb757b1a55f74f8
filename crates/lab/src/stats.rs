//! Means with intervals, and whether two variants differ.

use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, StandardUniform};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// The share of false alarms that is taken, over all responses that are compared at once.
pub const ALPHA: f64 = 0.05;
/// Resamples of a bootstrap.
const RESAMPLES: usize = 2_000;

/// A mean and its 95 % interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    /// How many values.
    pub n: usize,
    /// Their mean.
    pub mean: f64,
    /// Half the interval's width; infinite for fewer than two values.
    pub half: f64,
}

fn moments(values: &[f64]) -> (f64, f64) {
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n.max(1.0);
    let squares = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>();
    (mean, if values.len() > 1 { squares / (n - 1.0) } else { f64::INFINITY })
}

/// Student's t: both sides, with so many degrees of freedom.
fn quantile(freedom: f64, alpha: f64) -> f64 {
    StudentsT::new(0.0, 1.0, freedom).map_or(f64::INFINITY, |t| t.inverse_cdf(1.0 - alpha / 2.0))
}

/// The mean of values that are independent, with Student's interval: fit for means of plays, each of which sums up
/// thousands of requests.
pub fn mean(values: &[f64]) -> Mean {
    let (mean, variance) = moments(values);
    let n = values.len();
    let half =
        if n < 2 { f64::INFINITY } else { quantile((n - 1) as f64, ALPHA) * (variance / n as f64).sqrt() };
    Mean { n, mean, half }
}

/// The 95 % interval of a statistic by the percentile bootstrap (Efron), for those that are no means; drawn from a seed.
pub fn bootstrap(values: &[f64], statistic: impl Fn(&[f64]) -> f64, seed: u64) -> (f64, f64) {
    if values.is_empty() {
        return (f64::NAN, f64::NAN);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut sample = vec![0.0; values.len()];
    let mut all: Vec<f64> = (0..RESAMPLES)
        .map(|_| {
            for slot in &mut sample {
                let part: f64 = StandardUniform.sample(&mut rng);
                *slot = values[((part * values.len() as f64) as usize).min(values.len() - 1)];
            }
            statistic(&sample)
        })
        .collect();
    all.sort_by(f64::total_cmp);
    let at = |share: f64| all[((share * RESAMPLES as f64) as usize).min(RESAMPLES - 1)];
    (at(ALPHA / 2.0), at(1.0 - ALPHA / 2.0))
}

/// The median.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let n = sorted.len();
    match n {
        0 => f64::NAN,
        _ if n % 2 == 1 => sorted[n / 2],
        _ => (sorted[n / 2 - 1] + sorted[n / 2]) / 2.0,
    }
}

/// Two variants over the same seeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Difference {
    /// Mean of the differences, the second less the first, and its 95 % interval by itself.
    pub by: Mean,
    /// The chance of so large a difference where there is none.
    pub p: f64,
    /// Whether it is shown, after the correction for all that were compared at once.
    pub shown: bool,
}

/// Pairs of values of the same seed: their differences vary less than the values do (common random numbers).
pub fn paired(pairs: &[(f64, f64)]) -> Difference {
    let differences: Vec<f64> = pairs.iter().map(|(a, b)| b - a).collect();
    let by = mean(&differences);
    let (_, variance) = moments(&differences);
    let n = differences.len() as f64;
    let p = if by.n < 2 {
        1.0
    } else if variance <= 0.0 {
        // The same difference with every seed: none at all, or one beyond doubt.
        f64::from(u8::from(by.mean == 0.0))
    } else {
        let t = (by.mean / (variance / n).sqrt()).abs();
        StudentsT::new(0.0, 1.0, n - 1.0).map_or(1.0, |d| 2.0 * (1.0 - d.cdf(t)))
    };
    Difference { by, p, shown: p <= ALPHA }
}

/// Holm's correction: of all that are compared at once, a false alarm in any comes with [`ALPHA`] at most.
pub fn correct(differences: &mut [Difference]) {
    let mut order: Vec<usize> = (0..differences.len()).collect();
    order.sort_by(|a, b| differences[*a].p.total_cmp(&differences[*b].p));
    let (all, mut still) = (order.len(), true);
    for (rank, n) in order.into_iter().enumerate() {
        still &= differences[n].p <= ALPHA / (all - rank) as f64;
        differences[n].shown = still;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_distr::{Distribution, Exp1, StandardNormal};

    fn normal(rng: &mut ChaCha8Rng) -> f64 {
        StandardNormal.sample(rng)
    }

    #[test]
    fn an_interval_holds_the_mean_in_its_share_of_the_trials() {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut holds = |n: usize| {
            let trials = 2_000;
            let hit = (0..trials)
                .filter(|_| {
                    let values: Vec<f64> = (0..n).map(|_| 3.0 + 2.0 * normal(&mut rng)).collect();
                    let m = mean(&values);
                    (m.mean - 3.0).abs() <= m.half
                })
                .count();
            hit as f64 / f64::from(trials)
        };
        for n in [3, 10, 40] {
            let share = holds(n);
            assert!((0.935..0.965).contains(&share), "{n} values: {share}");
        }
        assert_eq!(mean(&[1.0]).half, f64::INFINITY);
    }

    #[test]
    fn the_bootstrap_holds_the_median_of_skewed_values() {
        let mut rng = ChaCha8Rng::seed_from_u64(2);
        let trials = 400;
        let hit = (0..trials)
            .filter(|n| {
                let values: Vec<f64> = (0..40).map(|_| Exp1.sample(&mut rng)).collect();
                let (low, high) = bootstrap(&values, median, *n);
                (low..=high).contains(&2.0f64.ln())
            })
            .count() as f64
            / trials as f64;
        assert!((0.91..=0.98).contains(&hit), "{hit}");
    }

    /// Ten responses of two variants that do not differ, or of which one does.
    fn trial(rng: &mut ChaCha8Rng, moved: f64) -> Vec<Difference> {
        let mut all: Vec<Difference> = (0..10)
            .map(|response| {
                let pairs: Vec<(f64, f64)> = (0..12)
                    .map(|_| {
                        let common = 5.0 * normal(rng);
                        let by = if response == 0 { moved } else { 0.0 };
                        (common + normal(rng), common + by + normal(rng))
                    })
                    .collect();
                paired(&pairs)
            })
            .collect();
        correct(&mut all);
        all
    }

    #[test]
    fn where_nothing_differs_false_alarms_keep_to_the_stated_share_over_a_thousand_trials() {
        let mut rng = ChaCha8Rng::seed_from_u64(3);
        let alarms = (0..1_000).filter(|_| trial(&mut rng, 0.0).iter().any(|d| d.shown)).count();
        // Five in a hundred, and what chance leaves over a thousand trials at three standard deviations.
        assert!((20..=71).contains(&alarms), "{alarms} of 1,000");
        // Each for itself would cry out far more often.
        let mut rng = ChaCha8Rng::seed_from_u64(3);
        let alone = (0..1_000).filter(|_| trial(&mut rng, 0.0).iter().any(|d| d.p <= ALPHA)).count();
        assert!(alone > 300, "{alone} of 1,000 without the correction");
    }

    #[test]
    fn a_difference_that_is_there_is_found_though_the_values_vary_far_more() {
        let mut rng = ChaCha8Rng::seed_from_u64(4);
        let found = (0..200).filter(|_| trial(&mut rng, 2.5)[0].shown).count();
        assert!(found >= 190, "{found} of 200");
    }

    #[test]
    fn the_same_difference_with_every_seed_is_none_or_beyond_doubt() {
        assert!(!paired(&[(1.0, 1.0), (2.0, 2.0)]).shown);
        assert!(paired(&[(1.0, 1.5), (2.0, 2.5)]).shown);
        assert!(!paired(&[(1.0, 9.0)]).shown, "one pair shows nothing");
    }
}
