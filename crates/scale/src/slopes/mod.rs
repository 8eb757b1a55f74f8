//! Slopes: how the cost of single parts grows with their input.
//!
//! Each module measures one part at several sizes. [`run`] stores what was measured as one [`Record`] for each slope.
//! Processor time is that of the process; memory is measured in a child process of its own.

mod child;
mod decision;
mod discovery_calls;
mod gossip;
mod list_bytes;
mod list_memory;
mod plan;
mod process;
mod quota;
mod settings;
mod tenants;
mod workload;

pub use child::{ChildJob, ChildKind};
pub use plan::Slope;
pub use process::{MeasureError, Reading};

use crate::record::{Point, Record};
use clap::{Args, ValueEnum};
use std::path::{Path, PathBuf};
use std::process::Command;

/// Measures how the cost of single parts grows with their input.
#[derive(Args, Clone, Debug)]
pub struct SlopesArgs {
    /// The slopes; all where none is named.
    #[arg(value_enum)]
    pub slopes: Vec<Slope>,
    /// Seed of all that is drawn.
    #[arg(long, default_value_t = 7_100)]
    pub seed: u64,
    /// How often each size is measured, each time with another seed.
    #[arg(long, default_value_t = 3)]
    pub repetitions: u32,
    /// Where the records go.
    #[arg(long, value_name = "FOLDER", default_value = "docs/capacity")]
    pub out: PathBuf,
    /// Measures one size in this process and writes the readings as JSON; for the program's own use.
    #[arg(long, value_enum, hide = true)]
    pub child: Option<ChildKind>,
    /// The child's size.
    #[arg(long, default_value_t = 1, hide = true)]
    pub size: usize,
    /// The child's width.
    #[arg(long, default_value_t = 1, hide = true)]
    pub width: u32,
}

/// Measures and stores what the arguments name.
///
/// # Errors
/// A measurement failed, or a record cannot be written.
pub fn run(arguments: &SlopesArgs) -> Result<(), MeasureError> {
    if let Some(kind) = arguments.child {
        let job = ChildJob { kind, size: arguments.size, width: arguments.width, seed: arguments.seed };
        println!("{}", serde_json::to_string(&job.run()?)?);
        return Ok(());
    }
    let all = Slope::value_variants();
    let slopes = if arguments.slopes.is_empty() { all } else { &arguments.slopes };
    for slope in slopes {
        let record = measure(*slope, arguments)?;
        write(&arguments.out, &record)?;
        println!("{}: {} points", record.name, record.points.len());
    }
    Ok(())
}

fn measure(slope: Slope, arguments: &SlopesArgs) -> Result<Record, MeasureError> {
    let mut points = Vec::new();
    if slope == Slope::DiscoveryCalls {
        points = discovery_calls::points();
    }
    for repetition in 0..arguments.repetitions {
        for size in slope.sizes() {
            let readings = slope.readings(*size, arguments.seed + u64::from(repetition))?;
            points.extend(readings.into_iter().map(|reading| Point {
                variable: slope.variable().into(),
                size: *size as f64,
                quantity: reading.quantity,
                value: reading.value,
                repetition,
            }));
        }
    }
    Ok(Record {
        name: slope.record_name(),
        command: format!("liftrouter-scale slopes {} --seed {}", slope.argument(), arguments.seed),
        revision: revision(),
        seed: arguments.seed,
        parameters: slope.parameters().into_iter().collect(),
        points,
    })
}

fn write(folder: &Path, record: &Record) -> Result<(), MeasureError> {
    std::fs::create_dir_all(folder)?;
    let text = serde_json::to_string_pretty(record)? + "\n";
    std::fs::write(folder.join(format!("{}.json", record.name)), text)?;
    Ok(())
}

/// The revision of the program, as git describes it.
fn revision() -> String {
    let output = Command::new("git").args(["describe", "--always", "--dirty"]).output();
    let text = output.map(|output| String::from_utf8_lossy(&output.stdout).trim().to_owned());
    text.ok().filter(|text| !text.is_empty()).unwrap_or_else(|| "unknown".into())
}
