//! A chart of each slope: the points, the line with its prediction interval, and the size that it is taken to.

use crate::capacity::SlopeKey;
use crate::fit::{Fit, Line};
use crate::table::number;
use plotters::prelude::*;

const SIZE: (u32, u32) = (760, 340);
const POINT: RGBColor = RGBColor(31, 119, 180);
const LINE: RGBColor = RGBColor(209, 73, 91);
const TARGET: RGBColor = RGBColor(44, 130, 70);
/// Places at which the interval is drawn.
const STEPS: usize = 80;
/// Share of the values' range that is left free.
const MARGIN: f64 = 0.08;

/// A chart that cannot be drawn.
#[derive(Debug, thiserror::Error)]
#[error("{chart}: {reason}")]
pub struct PlotError {
    /// Which chart.
    pub chart: String,
    /// Why.
    pub reason: String,
}

/// The chart as SVG.
///
/// # Errors
/// The drawing library refuses.
pub fn chart(key: &SlopeKey, fit: &Fit) -> Result<String, PlotError> {
    let failed =
        |error: Box<dyn std::error::Error>| PlotError { chart: key.chart_name(), reason: error.to_string() };
    draw(key, fit).map_err(failed)
}

fn draw(key: &SlopeKey, fit: &Fit) -> Result<String, Box<dyn std::error::Error>> {
    let line = fit.line_beyond();
    let right = key.target.max(fit.line.largest);
    let target = fit.at(key.target).interval;
    let points: Vec<(f64, f64)> = fit.points().collect();
    let band = band(line, right);
    let drawn = points.iter().map(|(_, value)| *value).chain(band.iter().map(|(_, value)| *value));
    let (low, high) = drawn
        .chain([target.value])
        .fold((f64::INFINITY, f64::NEG_INFINITY), |(low, high), value| (low.min(value), high.max(value)));
    let margin = (high - low).max(high.abs() * 1e-3).max(1e-9) * MARGIN;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(84)
            .build_cartesian_2d(0.0..right * (1.0 + MARGIN / 2.0), low - margin..high + margin)?;
        chart
            .configure_mesh()
            .x_desc(key.variable)
            .y_desc(key.quantity)
            .x_label_formatter(&|value| number(*value))
            .y_label_formatter(&|value| number(*value))
            .light_line_style(WHITE)
            .draw()?;
        chart.draw_series(std::iter::once(Polygon::new(band, LINE.mix(0.15).filled())))?;
        let ends = [line.smallest, right].map(|size| (size, line.predict(size).value));
        chart.draw_series(LineSeries::new(ends, LINE.stroke_width(2)))?;
        chart.draw_series(points.iter().map(|at| Circle::new(*at, 3, POINT.filled())))?;
        chart.draw_series(std::iter::once(TriangleMarker::new(
            (key.target, target.value),
            6,
            TARGET.filled(),
        )))?;
        area.present()?;
    }
    Ok(svg)
}

/// The prediction interval as a polygon, along its upper end and back along its lower one.
fn band(line: &Line, right: f64) -> Vec<(f64, f64)> {
    let size = |step: usize| line.smallest + (right - line.smallest) * step as f64 / STEPS as f64;
    let upper = (0..=STEPS).map(|step| (size(step), line.predict(size(step)).high()));
    let lower = (0..=STEPS).rev().map(|step| (size(step), line.predict(size(step)).low()));
    upper.chain(lower).collect()
}
