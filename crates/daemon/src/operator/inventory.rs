//! `[inventory]`: the nodes come from a file, and discovery is not called.

use super::error::{Fault, OperatorError};
use super::source::{NumberKey, SourceText};
use crate::discovery::inventory_file::InventorySource;
use liftrouter_inventory::{Format, Policy};
use serde::Deserialize;
use std::path::PathBuf;
use std::time::Duration;
use toml::Spanned;

/// How often the file is polled where the operator does not say.
const DEFAULT_POLL_MS: u64 = 50;

/// The section as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct InventorySection {
    csv: Option<PathBuf>,
    yaml: Option<PathBuf>,
    quiet_ms: Option<Spanned<u64>>,
    #[serde(rename = "most_removed")]
    max_removed: Option<Spanned<f64>>,
    poll_ms: Option<Spanned<u64>>,
}

/// Checks the section.
pub(super) fn check(
    source: &SourceText,
    section: Spanned<InventorySection>,
) -> Result<InventorySource, OperatorError> {
    let (offset, section) = (section.span().start, section.into_inner());
    let (path, format) = match (section.csv, section.yaml) {
        (Some(path), None) => (path, Format::Csv),
        (None, Some(path)) => (path, Format::Yaml),
        (Some(_), Some(_)) => return Err(source.error(offset, Fault::TwoInventoryFiles)),
        (None, None) => return Err(source.error(offset, Fault::NoInventoryFile)),
    };
    let milliseconds = |value, key, default: u64, least: u64| {
        let number = source.number(value, NumberKey::milliseconds(key), least..=10_000, default);
        number.map(Duration::from_millis)
    };
    let default = Policy::default();
    let quiet_period =
        milliseconds(section.quiet_ms, "quiet_ms", default.quiet_period.as_millis() as u64, 1)?;
    let poll_interval = milliseconds(section.poll_ms, "poll_ms", DEFAULT_POLL_MS, 5)?;
    let max_removed_ratio = match section.max_removed {
        None => default.max_removed_ratio,
        Some(share) if (0.0..=1.0).contains(share.get_ref()) => share.into_inner(),
        Some(share) => return Err(source.error(share.span().start, Fault::NotAShare(*share.get_ref()))),
    };
    Ok(InventorySource { path, format, policy: Policy { quiet_period, max_removed_ratio }, poll_interval })
}
