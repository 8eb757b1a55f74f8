//! What a run measured, as it is stored.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One measured value of a quantity at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// What was varied, such as `servers` or `limiters`.
    pub variable: String,
    /// Its value.
    pub size: f64,
    /// What was measured, such as `decision.cpu_us`; the unit is its last part.
    pub quantity: String,
    /// The measured value.
    pub value: f64,
    /// Number of the repetition, from 0.
    pub repetition: u32,
}

/// All that a run measured, and how to run it again.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the run; the page refers to it.
    pub name: String,
    /// The command that made it.
    pub command: String,
    /// The revision of the program.
    pub revision: String,
    /// Seed of all that was drawn.
    pub seed: u64,
    /// Values that held for the whole run, such as the number of services.
    pub parameters: BTreeMap<String, f64>,
    /// The measured values.
    pub points: Vec<Point>,
}
