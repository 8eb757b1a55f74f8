//! The record of a run, and its table.

use super::checker::Offender;
use super::lag::Lags;
use super::messages::PhaseLag;
use crate::record::{Point, Record};
use std::fmt::Write;

/// The lags of some phases together.
pub fn merged_lags(lags: &[PhaseLag], wanted: impl Fn(&str) -> bool) -> Lags {
    let mut merged = Lags::new();
    lags.iter().filter(|lag| wanted(&lag.phase)).for_each(|lag| merged.add(&lag.counts));
    merged
}

/// Points of one part of a run.
#[derive(Debug)]
pub struct PartPoints<'a> {
    /// Where they go.
    pub record: &'a mut Record,
    /// What is varied.
    pub variable: &'static str,
    /// Its value.
    pub size: usize,
    /// Number of the repetition.
    pub repetition: u32,
}

impl PartPoints<'_> {
    /// One more.
    pub fn add(&mut self, quantity: impl Into<String>, value: f64) {
        self.record.points.push(Point {
            variable: self.variable.to_owned(),
            size: self.size as f64,
            quantity: quantity.into(),
            value,
            repetition: self.repetition,
        });
    }
}

/// The points as a table: one line for each quantity and size, with all repetitions.
pub fn table(record: &Record) -> String {
    let mut rows: Vec<(String, &str, f64, Vec<f64>)> = Vec::new();
    for point in &record.points {
        let same = |row: &&mut (String, &str, f64, Vec<f64>)| row.0 == point.quantity && row.2 == point.size;
        match rows.iter_mut().find(same) {
            Some(row) => row.3.push(point.value),
            None => rows.push((point.quantity.clone(), &point.variable, point.size, vec![point.value])),
        }
    }
    rows.sort_by(|a, b| a.0.cmp(&b.0).then(a.2.total_cmp(&b.2)));
    let mut text = String::new();
    for (quantity, variable, size, values) in rows {
        let values: Vec<_> = values.iter().map(|value| format!("{value:>10.3}")).collect();
        // Writing to a string does not fail.
        let _ = writeln!(text, "{quantity:<34} {variable:>9} {size:>7} {}", values.join(" "));
    }
    text
}

/// What the checker found, one line each.
pub fn offenders(found: &[Offender]) -> String {
    found.iter().map(|offender| format!("{offender}\n")).collect()
}
