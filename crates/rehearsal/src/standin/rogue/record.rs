//! The record of committed violations: one JSON object a line, in a file that the checker never sees.

use super::request::RequestInfo;
use super::violation::{Drawn, Violation};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::cell::RefCell;
use std::fs::File;
use std::io::Write;
use std::path::Path;

/// The extension of the files that hold a rogue's record.
const EXTENSION: &str = "wrongs";

/// A violation that was committed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Committed {
    /// What.
    pub kind: Violation,
    /// The try, where it was done to one.
    pub id: Option<u64>,
    /// The customer, as in the path, where it was done for one.
    pub customer: Option<u64>,
    /// How large it was; the unit goes with the kind.
    pub size: f64,
    /// It was not meant: the machine was too busy for an answer in time. Accusing it is right, overlooking it no fault.
    #[serde(default)]
    pub unmeant: bool,
}

impl Committed {
    /// One that was done on purpose.
    pub fn meant(kind: Violation, id: Option<u64>, customer: Option<u64>, size: f64) -> Committed {
        Committed { kind, id, customer, size, unmeant: false }
    }

    /// One that was done on purpose to a request.
    pub(super) fn of(violation: Drawn, info: &RequestInfo) -> Committed {
        Committed::meant(violation.kind, Some(info.id), Some(info.customer), violation.size)
    }
}

/// Appends to the record of one rogue.
pub(super) struct Record {
    file: RefCell<File>,
}

impl Record {
    /// Opens the record of a limiter by its name.
    pub fn open(folder: &Path, name: &str) -> Result<Record, String> {
        let path = folder.join(format!("{name}.{EXTENSION}"));
        let file = File::options().create(true).append(true).open(&path);
        let file = file.map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Record { file: RefCell::new(file) })
    }

    /// Adds a violation.
    pub fn add(&self, committed: &Committed) {
        let _ = writeln!(self.file.borrow_mut(), "{}", json!(committed));
    }

    /// Adds a violation that was done to a request.
    pub fn commit(&self, violation: Drawn, info: &RequestInfo) {
        self.add(&Committed::of(violation, info));
    }
}

/// Reads the records of a folder.
///
/// # Errors
/// A file cannot be read, or a line of it is no committed violation.
pub fn read_records(folder: &Path) -> Result<Vec<Committed>, String> {
    let mut all = Vec::new();
    let entries = std::fs::read_dir(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut paths: Vec<_> = entries.filter_map(|e| Some(e.ok()?.path())).collect();
    paths.sort();
    for path in paths.iter().filter(|p| p.extension().is_some_and(|e| e == EXTENSION)) {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        for (n, line) in text.lines().enumerate() {
            let committed = serde_json::from_str(line);
            all.push(committed.map_err(|e| format!("{}:{}: {e}", path.display(), n + 1))?);
        }
    }
    Ok(all)
}
