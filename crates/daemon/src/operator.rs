//! The operator's own file: what the platform does not tell. TOML, checked whole at the start; without it the
//! limiter is as the platform wants it.

use crate::membership::file::Source;
use liftrouter_inventory::{Form, Policy};
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct File {
    inventory: Option<Spanned<Inventory>>,
}

/// `[inventory]`: the nodes come from this file, and discovery is not asked.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Inventory {
    csv: Option<PathBuf>,
    yaml: Option<PathBuf>,
    quiet_ms: Option<Spanned<u64>>,
    most_removed: Option<Spanned<f64>>,
    poll_ms: Option<Spanned<u64>>,
}

/// What the operator has chosen.
#[derive(Default)]
pub struct Operator {
    /// The inventory file, in place of discovery.
    pub inventory: Option<Source>,
}

const POLL_MS: u64 = 50;

/// Reads the file and checks it.
///
/// # Errors
/// `file:line:column`, what was found and what was expected.
pub fn read(path: &Path) -> Result<Operator, String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: cannot be read: {e}"))?;
    parse(&name.to_string(), &text)
}

fn parse(name: &str, text: &str) -> Result<Operator, String> {
    let fault = |at: usize, what: String| {
        let before = text.get(..at).unwrap_or(text);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        format!("{name}:{line}:{column}: {what}")
    };
    let file: File =
        toml::from_str(text).map_err(|e| fault(e.span().map_or(0, |s| s.start), e.message().to_string()))?;
    let Some(inventory) = file.inventory else { return Ok(Operator::default()) };
    let (at, i) = (inventory.span().start, inventory.into_inner());
    let (path, form) = match (i.csv, i.yaml) {
        (Some(path), None) => (path, Form::Csv),
        (None, Some(path)) => (path, Form::Yaml),
        (Some(_), Some(_)) => {
            return Err(fault(at, "inventory names csv and yaml, expected one: they could disagree".into()));
        }
        (None, None) => return Err(fault(at, "inventory names no file, expected csv or yaml".into())),
    };
    let ms = |value: Option<Spanned<u64>>, key: &str, default: u64, least: u64| match value {
        Some(v) if !(least..=10_000).contains(v.get_ref()) => {
            let found = v.get_ref();
            Err(fault(v.span().start, format!("{key} is {found}, expected {least} to 10000 milliseconds")))
        }
        Some(v) => Ok(Duration::from_millis(v.into_inner())),
        None => Ok(Duration::from_millis(default)),
    };
    let default = Policy::default();
    let quiet = ms(i.quiet_ms, "quiet_ms", default.quiet.as_millis() as u64, 1)?;
    let poll = ms(i.poll_ms, "poll_ms", POLL_MS, 5)?;
    let most_removed = match i.most_removed {
        Some(v) if !(0.0..=1.0).contains(v.get_ref()) => {
            let found = v.get_ref();
            return Err(fault(
                v.span().start,
                format!("most_removed is {found}, expected a share from 0 to 1"),
            ));
        }
        Some(v) => v.into_inner(),
        None => default.most_removed,
    };
    let policy = Policy { quiet, most_removed };
    Ok(Operator { inventory: Some(Source { path, form, policy, poll }) })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nothing_is_chosen_by_an_empty_file() {
        assert!(parse("o.toml", "# nothing\n").expect("good").inventory.is_none());
    }

    #[test]
    fn the_sample_can_be_read() {
        let sample = include_str!("../../../deploy/sample-operator.toml");
        let source = parse("o.toml", sample).expect("good").inventory.expect("a file");
        assert_eq!((source.form, source.poll), (Form::Csv, Duration::from_millis(50)));
    }

    #[test]
    fn faults_name_their_place_what_was_found_and_what_was_expected() {
        for (text, expected) in [
            ("[inventory]\n", "o.toml:1:1: inventory names no file, expected csv or yaml"),
            ("[inventory]\ncsv = 'a'\nyaml = 'b'\n", "inventory names csv and yaml, expected one"),
            ("[inventory]\ncsv = 'a'\nquiet_ms = 0\n", "o.toml:3:12: quiet_ms is 0, expected 1 to 10000"),
            (
                "[inventory]\ncsv = 'a'\nmost_removed = 2.0\n",
                "o.toml:3:16: most_removed is 2, expected a share",
            ),
            ("[inventry]\n", "o.toml:1:2: unknown field `inventry`"),
            ("[inventory]\ncsv = \n", "o.toml:2:7"),
        ] {
            let found = parse("o.toml", text).err().unwrap_or_default();
            assert!(found.contains(expected), "{text:?}: {found:?} holds no {expected:?}");
        }
    }
}
