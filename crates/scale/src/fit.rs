//! Least squares lines through measured values, with intervals, and what they say at other sizes.
//!
//! Intervals are 95 % by Student's t, on the usual assumption of independent errors of one variance.

use statrs::distribution::{ContinuousCDF, StudentsT};
use std::collections::BTreeMap;

/// Share of all intervals that cover the true value.
const CONFIDENCE: f64 = 0.95;
/// The least difference of the slopes of both halves, as a share of the larger, that counts as a bend: less is of no
/// consequence however sure it is.
const LEAST_BEND: f64 = 0.1;
/// Points that a line needs: one more than it has parameters, so that there is a residual.
const LEAST_POINTS: usize = 3;
/// Sizes of which each half of the bend test has at least two.
const LEAST_SIZES_FOR_BEND: usize = 3;

/// A value measured at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// The size.
    pub size: f64,
    /// The value.
    pub value: f64,
}

/// Samples through which nothing can be fitted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FitError {
    /// Too few.
    #[error("{0} points, expected {LEAST_POINTS} at least")]
    TooFewPoints(usize),
    /// All at one size.
    #[error("all points are at one size, {0}")]
    OneSize(f64),
    /// Not finite.
    #[error("a point is not a finite number")]
    NotFinite,
}

/// A value with half the width of its interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// The value.
    pub value: f64,
    /// Half the width.
    pub half: f64,
}

impl Interval {
    /// The lower end.
    pub fn low(self) -> f64 {
        self.value - self.half
    }

    /// The upper end.
    pub fn high(self) -> f64 {
        self.value + self.half
    }

    /// The same in another unit.
    pub fn times(self, factor: f64) -> Interval {
        Interval { value: self.value * factor, half: self.half * factor.abs() }
    }

    /// The sum of two; the widths are added, since errors of one machine may go together.
    pub fn plus(self, other: Interval) -> Interval {
        Interval { value: self.value + other.value, half: self.half + other.half }
    }
}

/// A line through samples.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Growth for each unit of size.
    pub slope: Interval,
    /// Value at size 0.
    pub intercept: Interval,
    /// Standard error of the residuals.
    pub residual_error: f64,
    /// Share of the variance that the line explains.
    pub r_squared: f64,
    /// The largest distance of a point from the line, as a share of the line's value there.
    pub largest_relative_residual: f64,
    /// Number of points.
    pub points: usize,
    /// The smallest size.
    pub smallest: f64,
    /// The largest size.
    pub largest: f64,
    mean_size: f64,
    size_spread: f64,
    quantile: f64,
}

/// Half the interval's width in standard errors.
fn student_quantile(degrees_of_freedom: usize) -> f64 {
    let distribution = StudentsT::new(0.0, 1.0, degrees_of_freedom as f64);
    distribution.map_or(f64::INFINITY, |t| t.inverse_cdf(0.5 + CONFIDENCE / 2.0))
}

fn mean(values: impl Iterator<Item = f64>, count: usize) -> f64 {
    values.sum::<f64>() / count as f64
}

impl Line {
    /// The least squares line.
    ///
    /// # Errors
    /// Samples through which none can be laid.
    pub fn through(samples: &[Sample]) -> Result<Line, FitError> {
        check(samples)?;
        let points = samples.len();
        let mean_size = mean(samples.iter().map(|s| s.size), points);
        let mean_value = mean(samples.iter().map(|s| s.value), points);
        let size_spread: f64 = samples.iter().map(|s| (s.size - mean_size).powi(2)).sum();
        let together: f64 = samples.iter().map(|s| (s.size - mean_size) * (s.value - mean_value)).sum();
        let slope = together / size_spread;
        let intercept = mean_value - slope * mean_size;
        let residual = |s: &Sample| s.value - (intercept + slope * s.size);
        let unexplained: f64 = samples.iter().map(|s| residual(s).powi(2)).sum();
        let total: f64 = samples.iter().map(|s| (s.value - mean_value).powi(2)).sum();
        let residual_error = (unexplained / (points - 2) as f64).sqrt();
        let quantile = student_quantile(points - 2);
        let slope_half = quantile * residual_error / size_spread.sqrt();
        let at_zero = (1.0 / points as f64 + mean_size.powi(2) / size_spread).sqrt();
        let relative =
            |s: &Sample| residual(s).abs() / (intercept + slope * s.size).abs().max(f64::MIN_POSITIVE);
        let sizes = samples.iter().map(|s| s.size);
        Ok(Line {
            slope: Interval { value: slope, half: slope_half },
            intercept: Interval { value: intercept, half: quantile * residual_error * at_zero },
            residual_error,
            r_squared: if total > 0.0 { 1.0 - unexplained / total } else { 1.0 },
            largest_relative_residual: samples.iter().map(relative).fold(0.0, f64::max),
            points,
            smallest: sizes.clone().fold(f64::INFINITY, f64::min),
            largest: sizes.fold(f64::NEG_INFINITY, f64::max),
            mean_size,
            size_spread,
            quantile,
        })
    }

    /// What one further measurement at a size would show, with its prediction interval.
    pub fn predict(&self, size: f64) -> Interval {
        let distance = (size - self.mean_size).powi(2) / self.size_spread;
        let spread = (1.0 + 1.0 / self.points as f64 + distance).sqrt();
        Interval {
            value: self.intercept.value + self.slope.value * size,
            half: self.quantile * self.residual_error * spread,
        }
    }
}

fn check(samples: &[Sample]) -> Result<(), FitError> {
    if samples.len() < LEAST_POINTS {
        return Err(FitError::TooFewPoints(samples.len()));
    }
    if samples.iter().any(|s| !s.size.is_finite() || !s.value.is_finite()) {
        return Err(FitError::NotFinite);
    }
    if samples.iter().all(|s| s.size == samples[0].size) {
        return Err(FitError::OneSize(samples[0].size));
    }
    Ok(())
}

/// Whether the samples follow a line.
#[derive(Clone, Debug, PartialEq)]
pub enum Shape {
    /// They do, as far as can be told.
    Straight,
    /// They bend.
    Bends {
        /// The exponent of the power law that fits best; none where a size or value is not positive.
        exponent: Option<Interval>,
        /// The line through the upper half of the sizes.
        upper: Line,
    },
}

/// How a value at a size was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Mean of the measurements at that very size.
    Measured,
    /// Between the means of the next smaller and next larger size.
    Interpolated,
    /// Beyond the measured sizes, by the line through all points.
    Line,
    /// Beyond them, by the line through the upper half of the sizes, since the points bend.
    UpperLine,
}

/// A value at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The value, with its interval.
    pub interval: Interval,
    /// How it was found.
    pub method: Method,
    /// The size, as a multiple of the largest one measured; at most 1 within the range.
    pub stretch: f64,
}

/// A line through samples, and how well it fits.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    /// The line through all points.
    pub line: Line,
    /// Whether it may be used.
    pub shape: Shape,
    groups: Vec<(f64, Vec<f64>)>,
}

impl Fit {
    /// Fits samples and looks for a bend.
    ///
    /// # Errors
    /// Samples through which no line can be laid.
    pub fn of(samples: &[Sample]) -> Result<Fit, FitError> {
        let line = Line::through(samples)?;
        let groups = groups(samples);
        let shape = find_bend(samples, &groups).unwrap_or(Shape::Straight);
        Ok(Fit { line, shape, groups })
    }

    /// Size and value of each point.
    pub fn points(&self) -> impl Iterator<Item = (f64, f64)> + '_ {
        self.groups.iter().flat_map(|(size, values)| values.iter().map(move |value| (*size, *value)))
    }

    /// The line to go beyond the range by.
    pub fn line_beyond(&self) -> &Line {
        match &self.shape {
            Shape::Straight => &self.line,
            Shape::Bends { upper, .. } => upper,
        }
    }

    /// The value at a size. Within the measured sizes the measurements there count, not the line, which goes by the
    /// largest of them.
    pub fn at(&self, size: f64) -> Estimate {
        let stretch = size / self.line.largest;
        let measured = self.groups.iter().find(|(at, values)| *at == size && values.len() > 1);
        if let Some((_, values)) = measured {
            return Estimate { interval: mean_interval(values), method: Method::Measured, stretch };
        }
        if size >= self.line.smallest && size <= self.line.largest {
            return Estimate { interval: self.interpolate(size), method: Method::Interpolated, stretch };
        }
        let method = if self.shape == Shape::Straight { Method::Line } else { Method::UpperLine };
        Estimate { interval: self.line_beyond().predict(size), method, stretch }
    }

    /// Linear between the means of the neighbouring sizes, with the wider of their intervals.
    fn interpolate(&self, size: f64) -> Interval {
        let above = self.groups.iter().position(|(at, _)| *at >= size).unwrap_or(self.groups.len() - 1);
        let (low_size, low) = &self.groups[above.saturating_sub(1)];
        let (high_size, high) = &self.groups[above];
        let (low, high) = (mean_interval(low), mean_interval(high));
        let part = if high_size > low_size { (size - low_size) / (high_size - low_size) } else { 1.0 };
        Interval { value: low.value + (high.value - low.value) * part, half: low.half.max(high.half) }
    }
}

/// Values by size, in the order of the sizes.
fn groups(samples: &[Sample]) -> Vec<(f64, Vec<f64>)> {
    // Sizes are finite, and those of one sign sort by their bits.
    let mut by_size: BTreeMap<u64, (f64, Vec<f64>)> = BTreeMap::new();
    for sample in samples {
        by_size.entry(sample.size.to_bits()).or_insert((sample.size, Vec::new())).1.push(sample.value);
    }
    by_size.into_values().collect()
}

/// The mean with its interval; an infinite one where there is one value alone.
pub fn mean_interval(values: &[f64]) -> Interval {
    let count = values.len();
    let average = mean(values.iter().copied(), count);
    if count < 2 {
        return Interval { value: average, half: f64::INFINITY };
    }
    let variance = values.iter().map(|v| (v - average).powi(2)).sum::<f64>() / (count - 1) as f64;
    Interval { value: average, half: student_quantile(count - 1) * (variance / count as f64).sqrt() }
}

/// Compares the slopes of the lower and the upper half of the sizes, which share the middle one.
fn find_bend(samples: &[Sample], groups: &[(f64, Vec<f64>)]) -> Option<Shape> {
    if groups.len() < LEAST_SIZES_FOR_BEND {
        return None;
    }
    let middle = groups[groups.len() / 2].0;
    let part = |keep: &dyn Fn(f64) -> bool| -> Vec<Sample> {
        samples.iter().filter(|s| keep(s.size)).copied().collect()
    };
    let lower = Line::through(&part(&|size| size <= middle)).ok()?;
    let upper = Line::through(&part(&|size| size >= middle)).ok()?;
    let difference = (upper.slope.value - lower.slope.value).abs();
    let unsure = lower.slope.half.hypot(upper.slope.half);
    let larger = upper.slope.value.abs().max(lower.slope.value.abs());
    let bends = difference > unsure && difference > LEAST_BEND * larger;
    bends.then(|| Shape::Bends { exponent: exponent(samples), upper })
}

/// The exponent of the power law that fits best.
fn exponent(samples: &[Sample]) -> Option<Interval> {
    if samples.iter().any(|s| s.size <= 0.0 || s.value <= 0.0) {
        return None;
    }
    let logarithms: Vec<Sample> =
        samples.iter().map(|s| Sample { size: s.size.ln(), value: s.value.ln() }).collect();
    Line::through(&logarithms).ok().map(|line| line.slope)
}
