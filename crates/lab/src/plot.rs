//! Results as one HTML page: a table of means with intervals, and for each response a chart over the first factor, with a
//! heat map where there are two.

use crate::results::Results;
use crate::stats::{mean, Mean};
use plotters::prelude::*;
use std::fmt::Write as _;

const SIZE: (u32, u32) = (760, 340);
const COLORS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(209, 73, 91),
    RGBColor(44, 130, 70),
    RGBColor(237, 142, 25),
    RGBColor(110, 80, 160),
    RGBColor(90, 105, 115),
];

/// A response over the cells.
struct Course<'a> {
    results: &'a Results,
    response: &'a str,
    means: Vec<Mean>,
}

impl Course<'_> {
    /// Numbers on the first factor's axis: its values, or their places where they are no numbers.
    fn axis(&self) -> Vec<f64> {
        let Some((_, values)) = self.results.head.factors.first() else { return Vec::new() };
        let numbers: Option<Vec<f64>> = values.iter().map(|v| v.trim_matches('"').parse().ok()).collect();
        numbers.unwrap_or_else(|| (0..values.len()).map(|n| n as f64).collect())
    }

    /// Cells beside one another: how many to each value of the first factor.
    fn beside(&self) -> usize {
        self.results.head.factors.iter().skip(1).map(|(_, values)| values.len()).product()
    }

    /// What lines are called: the other factors' values.
    fn line_name(&self, line: usize) -> String {
        let mut rest = line;
        let mut words = Vec::new();
        for (key, values) in self.results.head.factors.iter().skip(1).rev() {
            words.push(format!("{key} = {}", values[rest % values.len()]));
            rest /= values.len();
        }
        words.reverse();
        words.join(", ")
    }

    fn chart(&self) -> Result<String, Box<dyn std::error::Error>> {
        let (axis, beside) = (self.axis(), self.beside());
        let ends =
            |m: &Mean| if m.half.is_finite() { (m.mean - m.half, m.mean + m.half) } else { (m.mean, m.mean) };
        let known: Vec<&Mean> = self.means.iter().filter(|m| m.n > 0).collect();
        let low = known.iter().map(|m| ends(m).0).fold(f64::INFINITY, f64::min);
        let high = known.iter().map(|m| ends(m).1).fold(f64::NEG_INFINITY, f64::max);
        if known.is_empty() || axis.is_empty() {
            return Ok(String::new());
        }
        let margin = (high - low).max(1e-6 + high.abs() * 1e-3) * 0.08;
        let (left, right) =
            axis.iter().fold((f64::INFINITY, f64::NEG_INFINITY), |(a, b), x| (a.min(*x), b.max(*x)));
        let wide = (right - left).max(1.0) * 0.04;
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
            area.fill(&WHITE)?;
            let key = &self.results.head.factors[0].0;
            let mut chart = ChartBuilder::on(&area)
                .margin(12)
                .x_label_area_size(36)
                .y_label_area_size(64)
                .build_cartesian_2d(left - wide..right + wide, low - margin..high + margin)?;
            chart
                .configure_mesh()
                .x_desc(key.as_str())
                .y_desc(self.response)
                .light_line_style(WHITE)
                .draw()?;
            for line in 0..beside.max(1) {
                let color = COLORS[line % COLORS.len()];
                let points: Vec<(f64, Mean)> = axis
                    .iter()
                    .enumerate()
                    .filter_map(|(n, x)| Some((*x, *self.means.get(n * beside.max(1) + line)?)))
                    .filter(|(_, m)| m.n > 0)
                    .collect();
                let course = points.iter().map(|(x, m)| (*x, m.mean));
                let drawn = chart.draw_series(LineSeries::new(course, color.stroke_width(2)))?;
                if beside > 1 {
                    drawn.label(self.line_name(line)).legend(move |(x, y)| {
                        PathElement::new(vec![(x, y), (x + 18, y)], color.stroke_width(2))
                    });
                }
                chart.draw_series(points.iter().map(|(x, m)| {
                    let (low, high) = ends(m);
                    ErrorBar::new_vertical(*x, low, m.mean, high, color.filled(), 8)
                }))?;
            }
            if beside > 1 {
                chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
            }
            area.present()?;
        }
        Ok(svg)
    }

    /// Two factors: a field for each cell, the darker the higher.
    fn heat(&self) -> Result<String, Box<dyn std::error::Error>> {
        let factors = &self.results.head.factors;
        let [(first, rows), (second, columns)] = factors.as_slice() else { return Ok(String::new()) };
        let known = self.means.iter().filter(|m| m.n > 0).map(|m| m.mean);
        let (low, high) = known.fold((f64::INFINITY, f64::NEG_INFINITY), |(a, b), x| (a.min(x), b.max(x)));
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
            area.fill(&WHITE)?;
            let mut chart = ChartBuilder::on(&area)
                .margin(12)
                .x_label_area_size(36)
                .y_label_area_size(64)
                .build_cartesian_2d(0.0..rows.len() as f64, 0.0..columns.len() as f64)?;
            let named = |values: &[String], at: &f64| {
                let place = at - 0.5;
                let whole = (place - place.round()).abs() < 1e-6 && place >= 0.0;
                values.get(place.round() as usize).filter(|_| whole).cloned().unwrap_or_default()
            };
            chart
                .configure_mesh()
                .disable_mesh()
                .x_labels(2 * rows.len() + 1)
                .y_labels(2 * columns.len() + 1)
                .x_label_formatter(&|at| named(rows, at))
                .y_label_formatter(&|at| named(columns, at))
                .x_desc(first.as_str())
                .y_desc(second.as_str())
                .draw()?;
            for (n, m) in self.means.iter().enumerate().filter(|(_, m)| m.n > 0) {
                let (x, y) = ((n / columns.len()) as f64, (n % columns.len()) as f64);
                let part = if high > low { (m.mean - low) / (high - low) } else { 0.0 };
                let shade = |light: f64, dark: f64| (light + (dark - light) * part) as u8;
                let color = RGBColor(shade(236.0, 20.0), shade(242.0, 70.0), shade(248.0, 120.0));
                let field = Rectangle::new([(x, y), (x + 1.0, y + 1.0)], color.filled());
                chart.draw_series(std::iter::once(field))?;
                let ink = if part > 0.55 { WHITE } else { BLACK };
                let text = Text::new(
                    figure(m.mean),
                    (x + 0.42, y + 0.55),
                    ("sans-serif", 13).into_font().color(&ink),
                );
                chart.draw_series(std::iter::once(text))?;
            }
            area.present()?;
        }
        Ok(svg)
    }
}

/// A number with as many places as say something.
pub fn figure(value: f64) -> String {
    match value.abs() {
        v if v >= 1_000.0 => format!("{value:.0}"),
        v if v >= 100.0 => format!("{value:.1}"),
        v if v >= 10.0 => format!("{value:.2}"),
        _ => format!("{value:.3}"),
    }
}

/// A mean with half its interval.
pub fn with_half(m: &Mean) -> String {
    match (m.n, m.half.is_finite()) {
        (0, _) => "-".into(),
        (_, true) => format!("{} ± {}", figure(m.mean), figure(m.half)),
        _ => figure(m.mean),
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn means(results: &Results, response: &str) -> Vec<Mean> {
    (0..results.head.cells.len())
        .map(|cell| mean(&results.values(cell, response).iter().map(|(_, value)| *value).collect::<Vec<_>>()))
        .collect()
}

/// The table as text.
pub fn table(results: &Results) -> String {
    let wide = results.head.cells.iter().map(|c| c.chars().count()).max().unwrap_or(0).max(4);
    let mut text = format!("{:wide$} {:>6}", "cell", "seeds");
    for response in &results.head.responses {
        let _ = write!(text, " {response:>20}");
    }
    text.push('\n');
    let columns: Vec<Vec<Mean>> = results.head.responses.iter().map(|r| means(results, r)).collect();
    for (cell, name) in results.head.cells.iter().enumerate() {
        let seeds = columns.first().map_or(0, |c| c[cell].n);
        let _ = write!(text, "{name:wide$} {seeds:>6}");
        for column in &columns {
            let _ = write!(text, " {:>20}", with_half(&column[cell]));
        }
        text.push('\n');
    }
    text
}

/// The page.
///
/// # Errors
/// A chart cannot be drawn.
pub fn page(results: &Results) -> Result<String, String> {
    let head = &results.head;
    let mut t = format!(
        "<!doctype html><html lang=en><meta charset=utf-8><meta name=viewport content=\"width=device-width\">\
         <title>{0}</title><style>body{{font:15px/1.45 system-ui,sans-serif;max-width:1100px;margin:24px auto;padding:0 \
         16px;color:#22313a}}h1{{font-weight:400}}h2{{font-size:16px;margin:26px 0 2px}}td,th{{padding:4px 14px 4px 0;\
         text-align:right}}td:first-child,th:first-child{{text-align:left}}svg{{max-width:100%;height:auto}}\
         .small{{color:#51616b;font-size:13px}}</style><h1>{0}</h1><p class=small>{1} runs, 95 % intervals of the mean \
         over seeds. Model {2:08x}, experiment {3:08x}.</p><table><tr><th>cell<th>seeds",
        escape(&head.experiment),
        results.runs.len(),
        head.model,
        head.mark
    );
    for response in &head.responses {
        let _ = write!(t, "<th>{}", escape(response));
    }
    let columns: Vec<Vec<Mean>> = head.responses.iter().map(|r| means(results, r)).collect();
    for (cell, name) in head.cells.iter().enumerate() {
        let seeds = columns.first().map_or(0, |c| c[cell].n);
        let name = if name.is_empty() { "the scenario as it is" } else { name };
        let _ = write!(t, "<tr><td>{}<td>{seeds}", escape(name));
        for column in &columns {
            let _ = write!(t, "<td>{}", with_half(&column[cell]));
        }
    }
    t.push_str("</table>");
    for (response, means) in head.responses.iter().zip(columns) {
        let course = Course { results, response, means };
        let drawn = |e: Box<dyn std::error::Error>| format!("{response}: {e}");
        let _ = write!(
            t,
            "<h2>{}</h2>{}{}",
            escape(response),
            course.chart().map_err(drawn)?,
            course.heat().map_err(drawn)?
        );
    }
    t.push_str("</html>\n");
    Ok(t)
}
