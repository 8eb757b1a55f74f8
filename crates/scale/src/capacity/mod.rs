//! The capacity page: what each part of the fleet needs at the operators' size, worked out from stored records.
//!
//! [`Records`] gives estimates, [`needs`] turns them into needs with verdicts, and [`render`] writes them as tables into
//! the marked blocks of a page. What stands outside of the blocks is left alone.

mod blocks;
mod comparison;
mod formula;
mod needs;
mod records;
mod slope_list;

pub use blocks::{blocks, render, Block, PageError};
pub use needs::{needs, Carries, Need, Role};
pub use records::{RecordError, Records};
pub use slope_list::{slope_list, SlopeKey};

use crate::budget::{Budget, BudgetError};
use crate::plot::{self, PlotError};
use clap::Args;
use std::path::{Path, PathBuf};

/// Works the tables of the capacity page out anew from the stored records, and draws the slopes.
#[derive(Args, Clone, Debug)]
pub struct ReportArgs {
    /// The records, and where charts go.
    #[arg(long, value_name = "FOLDER", default_value = "docs/capacity")]
    pub records: PathBuf,
    /// The operators' figures.
    #[arg(long, value_name = "FILE", default_value = "deploy/capacity-budget.toml")]
    pub budget: PathBuf,
    /// The page.
    #[arg(long, value_name = "FILE", default_value = "docs/CAPACITY.md")]
    pub page: PathBuf,
}

/// A report that cannot be made.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// The budget.
    #[error(transparent)]
    Budget(#[from] BudgetError),
    /// A record.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The page.
    #[error(transparent)]
    Page(#[from] PageError),
    /// A chart.
    #[error(transparent)]
    Plot(#[from] PlotError),
    /// A file.
    #[error("{path}: {error}")]
    File {
        /// Which.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
}

fn at<T>(path: &Path, result: std::io::Result<T>) -> Result<T, ReportError> {
    result.map_err(|error| ReportError::File { path: path.to_owned(), error })
}

/// Rewrites the page's blocks and draws the charts.
///
/// # Errors
/// A file cannot be read or written, or the page has other blocks than are known.
pub fn report(arguments: &ReportArgs) -> Result<(), ReportError> {
    let budget = Budget::read(&arguments.budget)?;
    let records = Records::read(&arguments.records)?;
    let page = at(&arguments.page, std::fs::read_to_string(&arguments.page))?;
    let rendered = render(&page, &blocks(&records, &budget)?)?;
    at(&arguments.page, std::fs::write(&arguments.page, rendered))?;
    for key in slope_list(&budget) {
        let Some(fit) = records.fit(key.record, key.quantity, key.variable)? else { continue };
        let path = arguments.records.join(key.chart_name());
        at(&path, std::fs::write(&path, plot::chart(&key, &fit)?))?;
    }
    Ok(())
}
