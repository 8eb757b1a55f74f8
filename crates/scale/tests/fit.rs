//! Lines through synthetic values, whose slope, noise and bend are known.

use liftrouter_scale::fit::{mean_interval, Fit, FitError, Line, Method, Sample, Shape};

const SIZES: [f64; 7] = [100.0, 300.0, 1_000.0, 3_000.0, 10_000.0, 30_000.0, 61_000.0];
const REPETITIONS: usize = 3;

/// Three values at each size, with noise from -1 to 1 times `noise`.
fn samples(value: impl Fn(f64) -> f64, noise: f64, seed: u64) -> Vec<Sample> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let sizes = SIZES.iter().flat_map(|size| [*size; REPETITIONS]);
    sizes.map(|size| Sample { size, value: value(size) + noise * (rng.f64() * 2.0 - 1.0) }).collect()
}

fn close(found: f64, expected: f64, share: f64) {
    assert!((found - expected).abs() <= share * expected.abs(), "{found}, expected {expected}");
}

#[test]
fn a_known_line_has_its_textbook_figures() {
    // By hand: slope 0.6, intercept 2.2, sum of squared residuals 2.4, t(0.975, 3) = 3.18245.
    let values = [2.0, 4.0, 5.0, 4.0, 5.0];
    let points: Vec<Sample> =
        values.iter().enumerate().map(|(n, v)| Sample { size: n as f64 + 1.0, value: *v }).collect();
    let line = Line::through(&points).expect("a line");
    close(line.slope.value, 0.6, 1e-9);
    close(line.intercept.value, 2.2, 1e-9);
    close(line.residual_error, 0.8f64.sqrt(), 1e-9);
    close(line.r_squared, 0.6, 1e-9);
    close(line.slope.half, 3.182_446 * (0.8f64 / 10.0).sqrt(), 1e-6);
    close(line.intercept.half, 3.182_446 * (0.8f64 * (0.2 + 0.9)).sqrt(), 1e-6);
    close(line.largest_relative_residual, 0.8 / 2.8, 1e-9);
    // Prediction at 6: variance 0.8 * (1 + 1/5 + 9/10).
    close(line.predict(6.0).value, 5.8, 1e-9);
    close(line.predict(6.0).half, 3.182_446 * (0.8f64 * 2.1).sqrt(), 1e-6);
}

#[test]
fn a_straight_line_is_found_straight_and_is_followed_beyond_its_range() {
    let fit = Fit::of(&samples(|size| 5.0 + 0.25 * size, 20.0, 1)).expect("a fit");
    assert_eq!(fit.shape, Shape::Straight);
    assert!((fit.line.slope.value - 0.25).abs() <= fit.line.slope.half, "{:?}", fit.line.slope);
    let estimate = fit.at(180_000.0);
    assert_eq!(estimate.method, Method::Line);
    close(estimate.stretch, 180_000.0 / 61_000.0, 1e-9);
    let expected = 5.0 + 0.25 * 180_000.0;
    assert!((estimate.interval.value - expected).abs() <= estimate.interval.half, "{estimate:?}");
}

#[test]
fn a_square_bends_and_its_exponent_is_found() {
    let fit = Fit::of(&samples(|size| 1e-3 * size * size, 0.5, 2)).expect("a fit");
    let Shape::Bends { exponent: Some(exponent), upper } = &fit.shape else { panic!("{:?}", fit.shape) };
    assert!((1.9..2.1).contains(&exponent.value), "{exponent:?}");
    assert!(exponent.half < 0.1, "{exponent:?}");
    assert!(upper.slope.value > fit.line.slope.value, "{upper:?}");
    assert_eq!(fit.at(100_000.0).method, Method::UpperLine);
    assert_eq!(fit.at(45_000.0).method, Method::Interpolated);
}

#[test]
fn a_cost_that_grows_only_beyond_a_size_bends() {
    let fit = Fit::of(&samples(|size| 1.5f64.max(size / 900.0), 0.05, 3)).expect("a fit");
    assert!(matches!(fit.shape, Shape::Bends { .. }), "{:?}", fit.shape);
    // Beyond the range the upper part is followed.
    close(fit.at(122_000.0).interval.value, 122_000.0 / 900.0, 0.02);
}

#[test]
fn a_difference_of_no_consequence_is_no_bend() {
    // Two digits more in a few numbers: certain, and of 1 %.
    let fit = Fit::of(&samples(|size| 180.0 * size + if size > 2_000.0 { 1.8 * size } else { 0.0 }, 0.0, 4));
    assert_eq!(fit.expect("a fit").shape, Shape::Straight);
}

#[test]
fn noise_without_growth_has_no_slope() {
    for seed in 0..20 {
        let fit = Fit::of(&samples(|_| 50.0, 10.0, seed)).expect("a fit");
        // Five in a hundred intervals miss; three times their width none of these does.
        assert!(fit.line.slope.value.abs() <= 3.0 * fit.line.slope.half, "seed {seed}: {:?}", fit.line.slope);
        assert!(fit.line.r_squared < 0.5, "seed {seed}: {}", fit.line.r_squared);
    }
}

#[test]
fn ninety_five_intervals_in_a_hundred_cover_the_true_slope() {
    let covers = |seed| {
        let line = Line::through(&samples(|size| 3.0 * size, 500.0, seed)).expect("a line");
        (line.slope.value - 3.0).abs() <= line.slope.half
    };
    let covered = (0..1_000).filter(|seed| covers(*seed)).count();
    assert!((930..=970).contains(&covered), "{covered} of 1000");
}

#[test]
fn straight_but_noisy_lines_are_seldom_called_bent() {
    let bends = |seed| {
        let fit = Fit::of(&samples(|size| 100.0 + size, 3_000.0, seed)).expect("a fit");
        fit.shape != Shape::Straight
    };
    let bent = (0..400).filter(|seed| bends(*seed)).count();
    assert!(bent <= 40, "{bent} of 400");
}

#[test]
fn a_measured_size_has_the_mean_of_its_measurements() {
    let mut points = samples(|size| size, 0.0, 5);
    points.retain(|sample| sample.size != 61_000.0);
    points.extend([1.0, 2.0, 3.0].map(|value| Sample { size: 61_000.0, value }));
    let estimate = Fit::of(&points).expect("a fit").at(61_000.0);
    assert_eq!(estimate.method, Method::Measured);
    close(estimate.interval.value, 2.0, 1e-12);
    // t(0.975, 2) = 4.302653, standard deviation 1.
    close(estimate.interval.half, 4.302_653 / 3f64.sqrt(), 1e-6);
    assert!(mean_interval(&[1.0]).half.is_infinite());
}

#[test]
fn samples_without_a_line_are_refused() {
    let at = |size, value| Sample { size, value };
    assert_eq!(Line::through(&[at(1.0, 1.0), at(2.0, 2.0)]), Err(FitError::TooFewPoints(2)));
    assert_eq!(Line::through(&[at(4.0, 1.0), at(4.0, 2.0), at(4.0, 3.0)]), Err(FitError::OneSize(4.0)));
    let infinite = [at(1.0, 1.0), at(2.0, f64::NAN), at(3.0, 2.0)];
    assert_eq!(Line::through(&infinite), Err(FitError::NotFinite));
}
