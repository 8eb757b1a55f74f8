//! `[inventory]`: the endpoint list comes from an inventory file, and discovery is not called.

use super::error::{Fault, OperatorConfigError};
use super::source::{NumberKey, SourceText};
use crate::discovery::inventory_file::InventorySource;
use liftrouter_inventory::{Format, Policy};
use serde::Deserialize;
use std::path::PathBuf;
use std::time::Duration;
use toml::Spanned;

/// Default interval between polls of the file.
const DEFAULT_POLL_MS: u64 = 50;

/// The section as parsed, before validation.
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

/// Validates the section and applies the defaults.
pub(super) fn check(
    source: &SourceText,
    section: Spanned<InventorySection>,
) -> Result<InventorySource, OperatorConfigError> {
    let (offset, section) = (section.span().start, section.into_inner());
    let (path, format) = match (section.csv, section.yaml) {
        (Some(path), None) => (path, Format::Csv),
        (None, Some(path)) => (path, Format::Yaml),
        (Some(_), Some(_)) => return Err(source.error(offset, Fault::MultipleInventoryFiles)),
        (None, None) => return Err(source.error(offset, Fault::MissingInventoryFile)),
    };
    let milliseconds = |value, key, default: u64, min: u64| {
        let number = source.number(value, NumberKey::milliseconds(key), min..=10_000, default);
        number.map(Duration::from_millis)
    };
    let default = Policy::default();
    let quiet_period =
        milliseconds(section.quiet_ms, "quiet_ms", default.quiet_period.as_millis() as u64, 1)?;
    let poll_interval = milliseconds(section.poll_ms, "poll_ms", DEFAULT_POLL_MS, 5)?;
    let max_removed_ratio = match section.max_removed {
        None => default.max_removed_ratio,
        Some(ratio) if (0.0..=1.0).contains(ratio.get_ref()) => ratio.into_inner(),
        Some(ratio) => return Err(source.error(ratio.span().start, Fault::RatioOutOfRange(*ratio.get_ref()))),
    };
    Ok(InventorySource { path, format, policy: Policy { quiet_period, max_removed_ratio }, poll_interval })
}
