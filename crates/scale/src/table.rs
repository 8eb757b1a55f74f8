//! Markdown tables of slopes, needs and rankings.

use crate::budget::{ratio_text, Verdict};
use crate::capacity::{Carries, Need, RecordError, Records, Role, SlopeKey};
use crate::fit::{Fit, Interval, Shape};
use crate::record::{Point, Record};
use std::fmt::Write as _;

/// Significant digits of a number.
const DIGITS: i32 = 4;

/// A number with four significant digits, and commas between thousands.
pub fn number(value: f64) -> String {
    if !value.is_finite() {
        return "∞".into();
    }
    if value == 0.0 {
        return "0".into();
    }
    let exponent = value.abs().log10().floor() as i32;
    let places = DIGITS - 1 - exponent;
    if places > 8 {
        return format!("{value:.3e}");
    }
    let factor = 10f64.powi(places);
    let rounded = (value * factor).round() / factor;
    let text = format!("{rounded:.*}", places.max(0) as usize);
    let text =
        if text.contains('.') { text.trim_end_matches('0').trim_end_matches('.').to_owned() } else { text };
    with_commas(&text)
}

fn with_commas(text: &str) -> String {
    let (sign, digits) = text.strip_prefix('-').map_or(("", text), |rest| ("-", rest));
    let (whole, part) = digits.split_once('.').map_or((digits, None), |(whole, part)| (whole, Some(part)));
    let mut grouped = String::new();
    for (place, digit) in whole.chars().enumerate() {
        if place > 0 && (whole.len() - place).is_multiple_of(3) {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    part.map_or(format!("{sign}{grouped}"), |part| format!("{sign}{grouped}.{part}"))
}

/// A value and half its interval.
pub fn with_interval(interval: Interval) -> String {
    if interval.half == 0.0 {
        return number(interval.value);
    }
    format!("{} ± {}", number(interval.value), number(interval.half))
}

/// A row of a table.
pub fn row(cells: &[String]) -> String {
    format!("| {} |\n", cells.join(" | "))
}

/// The head of a table and the line below it.
pub fn head(names: &[&str]) -> String {
    let names: Vec<String> = names.iter().map(|name| (*name).to_owned()).collect();
    let line: Vec<String> = names.iter().map(|_| "---".to_owned()).collect();
    row(&names) + &row(&line)
}

/// The records: command, revision and seed of each.
pub fn records(all: &Records) -> String {
    let mut text = head(&["record", "command", "revision", "seed", "points"]);
    for record in all.iter() {
        text += &row(&[
            format!("`{}`", record.name),
            format!("`{}`", record.command),
            record.revision.clone(),
            record.seed.to_string(),
            record.points.len().to_string(),
        ]);
    }
    text
}

fn shape(fit: &Fit) -> String {
    match &fit.shape {
        Shape::Straight => "straight".into(),
        Shape::Bends { exponent, .. } => {
            let exponent = exponent.map_or("none".into(), with_interval);
            format!("**bends**, exponent {exponent}")
        }
    }
}

/// A slope as a row; where the points bend, slope and intercept are those of the upper half of the sizes.
fn slope(key: &SlopeKey, fit: Option<&Fit>) -> String {
    let mut cells = [key.record, key.quantity, key.variable].map(|name| format!("`{name}`")).to_vec();
    let Some(fit) = fit else {
        cells.extend(["not run".to_owned(), String::new(), String::new(), String::new(), String::new()]);
        cells.extend([String::new(), number(key.target), "not run".to_owned(), String::new()]);
        return row(&cells);
    };
    let used = fit.line_beyond();
    let estimate = fit.at(key.target);
    cells.extend([
        format!("{} to {}, {} points", number(fit.line.smallest), number(fit.line.largest), fit.line.points),
        with_interval(used.slope),
        with_interval(used.intercept),
        format!("{}, {}", number(used.residual_error), number(used.r_squared)),
        format!("{} %", number(used.largest_relative_residual * 100.0)),
        shape(fit),
        number(key.target),
        with_interval(estimate.interval),
        number(estimate.stretch),
    ]);
    row(&cells)
}

/// All slopes.
///
/// # Errors
/// A record that cannot be fitted.
pub fn slopes(all: &Records, keys: &[SlopeKey]) -> Result<String, RecordError> {
    let mut text = head(&[
        "record",
        "quantity",
        "variable",
        "measured",
        "slope",
        "intercept",
        "residual error, R²",
        "largest residual",
        "shape",
        "taken to",
        "value there",
        "stretch",
    ]);
    for key in keys {
        let fit = all.fit(key.record, key.quantity, key.variable)?;
        text += &slope(key, fit.as_ref());
    }
    Ok(text)
}

fn amount(value: Option<Interval>) -> String {
    value.map_or("not run".into(), with_interval)
}

/// Needs of one or all roles.
pub fn needs(all: &[Need], wanted: impl Fn(&Need) -> bool) -> String {
    let mut text =
        head(&["role", "what", "need", "budget", "unit", "verdict, need to budget", "worked out", "today"]);
    for need in all.iter().filter(|need| wanted(need)) {
        let paper = if need.is_paper() { "paper: " } else { "" };
        text += &row(&[
            need.role.name().into(),
            need.what.clone(),
            amount(need.term.value),
            need.budget.map_or("none given".into(), number),
            need.unit.into(),
            need.verdict().to_string(),
            format!("{paper}{}", need.term.working),
            need.carries.name().into(),
        ]);
    }
    text
}

/// Needs that do not hold, or whose line says so, the worst first.
pub fn ranking(all: &[Need], wanted: impl Fn(Carries) -> bool) -> String {
    let over = |need: &&Need| need.verdict().ratio().is_some_and(|ratio| ratio > 1.0) && wanted(need.carries);
    let mut rows: Vec<&Need> = all.iter().filter(over).collect();
    let ratio = |need: &Need| need.verdict().ratio().unwrap_or(0.0);
    rows.sort_by(|a, b| ratio(b).total_cmp(&ratio(a)));
    let mut text = head(&["need to budget", "verdict", "role", "what", "mechanism today"]);
    for need in rows {
        let verdict = need.verdict();
        let word = if matches!(verdict, Verdict::DoesNot { .. }) { "does not" } else { "not known" };
        text += &row(&[
            ratio_text(ratio(need)),
            word.into(),
            need.role.name().into(),
            need.what.clone(),
            need.mechanism.into(),
        ]);
    }
    text
}

/// Records and quantities of faults that were played on loopback, by whole lists and by service.
const PLAYED: [&str; 2] = ["whole-faults", "service-faults"];
const PLAYED_PREFIX: &str = "fault.";

/// Faults as they were played, at the size of the run: each quantity with its values, one for each repetition.
pub fn faults_played(all: &Records) -> String {
    let text = head(&["record", "quantity", "variable", "size", "values"]);
    PLAYED.iter().fold(text, |text, name| text + &faults_of(name, all.get(name)))
}

fn faults_of(name: &str, record: Option<&Record>) -> String {
    let Some(record) = record else {
        return row(&[format!("`{name}`"), "not run".into(), String::new(), String::new(), String::new()]);
    };
    let mut text = String::new();
    let mut rows: Vec<(&Point, Vec<String>)> = Vec::new();
    for point in record.points.iter().filter(|point| point.quantity.starts_with(PLAYED_PREFIX)) {
        let same = |known: &&mut (&Point, Vec<String>)| {
            (&known.0.quantity, known.0.size) == (&point.quantity, point.size)
        };
        match rows.iter_mut().find(same) {
            Some((_, values)) => values.push(number(point.value)),
            None => rows.push((point, vec![number(point.value)])),
        }
    }
    for (point, values) in rows {
        text += &row(&[
            format!("`{name}`"),
            format!("`{}`", point.quantity),
            format!("`{}`", point.variable),
            number(point.size),
            values.join("; "),
        ]);
    }
    text
}

/// Roles of the summary, in order.
const ROLES: [Role; 13] = [
    Role::RequestPath,
    Role::Routes,
    Role::List,
    Role::Tenants,
    Role::Counter,
    Role::Probes,
    Role::Membership,
    Role::Limiter,
    Role::Discovery,
    Role::Control,
    Role::Source,
    Role::Servers,
    Role::Fault,
];

/// Units by column of the summary.
const COLUMNS: [(&str, &[&str]); 4] = [
    ("bytes", &["B/s", "B"]),
    ("processor time", &["us/s", "us", "% of a core"]),
    ("memory", &["KB"]),
    (
        "time and counts",
        &["s", "ms", "calls/s", "messages/s", "probes/s", "members", "connections", "limiters", "times"],
    ),
];

/// One row for each role: its largest need by unit, and its worst verdict.
pub fn roles(all: &[Need]) -> String {
    let mut names = vec!["role"];
    names.extend(COLUMNS.iter().map(|(name, _)| *name));
    names.extend(["worst verdict", "mechanism"]);
    let mut text = head(&names);
    for role in ROLES {
        let own: Vec<&Need> = all.iter().filter(|need| need.role == role).collect();
        let mut cells = vec![role.name().to_owned()];
        cells.extend(COLUMNS.iter().map(|(_, units)| column(&own, units)));
        let Some(worst) = worst(&own) else { continue };
        cells.push(format!("{} ({})", worst.verdict(), worst.what));
        cells.push(worst.mechanism.into());
        text += &row(&cells);
    }
    text
}

/// The need of these units that is the largest against its budget, with need and budget.
fn column(own: &[&Need], units: &[&str]) -> String {
    let of_unit: Vec<&Need> = own.iter().filter(|need| units.contains(&need.unit)).copied().collect();
    let Some(need) = worst(&of_unit) else { return "-".into() };
    let most = need.budget.map_or(String::new(), |budget| format!(" of {}", number(budget)));
    format!("{}{most} {}", amount(need.term.value), need.unit)
}

/// The worst of today's needs, or of all where none is today's.
fn worst<'a>(own: &[&'a Need]) -> Option<&'a Need> {
    let today: Vec<&Need> = own.iter().filter(|need| need.carries == Carries::Today).copied().collect();
    let among = if today.is_empty() { own } else { &today };
    // Without a ratio a need is worse than none, and better than any that has one.
    let ratio = |need: &Need| need.verdict().ratio().unwrap_or(-1.0);
    among.iter().copied().max_by(|a, b| ratio(a).total_cmp(&ratio(b)))
}

/// Which commands make what, for a reader of the page.
pub fn mechanisms(all: &[Need]) -> String {
    let mut names: Vec<&str> = Vec::new();
    for need in all {
        if !names.contains(&need.mechanism) {
            names.push(need.mechanism);
        }
    }
    let mut text = String::new();
    for name in names {
        // Writing to a string does not fail.
        let _ = writeln!(text, "- {name}");
    }
    text
}
