//! Exponentially weighted moving average.

/// Moves an average towards a sample by the fraction `gain` of their difference.
pub fn ewma(mean: f64, sample: f64, gain: f64) -> f64 {
    mean + (sample - mean) * gain
}
