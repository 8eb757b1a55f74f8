//! `[inventory]`: the nodes come from a file, and discovery is not asked.

use super::Place;
use crate::discovery::file::Source;
use liftrouter_inventory::{Form, Policy};
use serde::Deserialize;
use std::path::PathBuf;
use std::time::Duration;
use toml::Spanned;

/// How often a file is looked at where nothing else is said.
const POLL_MS: u64 = 50;

/// The section as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct InventoryFile {
    csv: Option<PathBuf>,
    yaml: Option<PathBuf>,
    quiet_ms: Option<Spanned<u64>>,
    most_removed: Option<Spanned<f64>>,
    poll_ms: Option<Spanned<u64>>,
}

/// Checks the section.
pub(super) fn check(place: &Place, inventory: Spanned<InventoryFile>) -> Result<Source, String> {
    let (at, i) = (inventory.span().start, inventory.into_inner());
    let (path, form) = match (i.csv, i.yaml) {
        (Some(path), None) => (path, Form::Csv),
        (None, Some(path)) => (path, Form::Yaml),
        (Some(_), Some(_)) => {
            let what = "inventory names csv and yaml, expected one: they could disagree";
            return Err(place.fault(at, what.into()));
        }
        (None, None) => {
            return Err(place.fault(at, "inventory names no file, expected csv or yaml".into()));
        }
    };
    let ms = |value, key, default: u64, least: u64| {
        place.number(value, (key, "milliseconds"), least..=10_000, default).map(Duration::from_millis)
    };
    let default = Policy::default();
    let quiet = ms(i.quiet_ms, "quiet_ms", default.quiet.as_millis() as u64, 1)?;
    let poll = ms(i.poll_ms, "poll_ms", POLL_MS, 5)?;
    let most_removed = match i.most_removed {
        Some(v) if !(0.0..=1.0).contains(v.get_ref()) => {
            let found = v.get_ref();
            let what = format!("most_removed is {found}, expected a share from 0 to 1");
            return Err(place.fault(v.span().start, what));
        }
        Some(v) => v.into_inner(),
        None => default.most_removed,
    };
    Ok(Source { path, form, policy: Policy { quiet, most_removed }, poll })
}
