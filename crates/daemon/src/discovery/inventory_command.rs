//! The commands `liftrouter inventory check`, `convert` and `diff`.

use liftrouter_inventory::{diff, read, write, Fault, Format, Inventory, MAX_BYTES};
use std::fs::File;
use std::io::{self, Read};
use std::path::Path;
use thiserror::Error;

/// Exit code of a command that did its work.
const DONE: u8 = 0;
/// Exit code where a file has faults.
const HAS_FAULTS: u8 = 1;

/// Why a file that the command line names cannot be read.
#[derive(Debug, Error)]
pub enum InventoryFileError {
    /// The name does not say which form the file has.
    #[error("{path}: expected a name that ends in .csv, .yaml or .yml")]
    UnknownFormat {
        /// The file.
        path: String,
    },
    /// The system cannot read the file.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
}

/// An inventory, or its faults.
type Parsed = Result<Inventory, Vec<Fault>>;

/// Reads a file named on the command line.
///
/// # Errors
/// The file cannot be read.
fn load(path: &Path) -> Result<Parsed, InventoryFileError> {
    let name = path.display().to_string();
    let Some(format) = Format::from_file_name(&name) else {
        return Err(InventoryFileError::UnknownFormat { path: name });
    };
    match read_up_to_limit(path) {
        Ok(bytes) => Ok(read(&name, format, &bytes)),
        Err(source) => Err(InventoryFileError::Unreadable { path: name, source }),
    }
}

/// One byte more than the limit is enough for the file to be refused.
fn read_up_to_limit(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.take(MAX_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// `liftrouter inventory check`: exit code 0 valid, 1 faults.
///
/// # Errors
/// The file cannot be read.
pub fn check(path: &Path, json: bool) -> Result<u8, InventoryFileError> {
    match load(path)? {
        Ok(inventory) => {
            if json {
                println!("[]");
            } else {
                let version =
                    inventory.version.map_or(String::new(), |version| format!(", version {version}"));
                println!("{}: good, {} nodes{version}", path.display(), inventory.nodes.len());
            }
            Ok(DONE)
        }
        Err(faults) => {
            print_faults(&faults, json);
            Ok(HAS_FAULTS)
        }
    }
}

/// The faults on standard output, as lines or as JSON.
fn print_faults(faults: &[Fault], json: bool) {
    if json {
        println!("{}", serde_json::to_string_pretty(faults).unwrap_or_default());
    } else {
        for fault in faults {
            println!("{fault}");
        }
    }
}

fn print_faults_to_stderr(faults: &[Fault]) {
    for fault in faults {
        eprintln!("{fault}");
    }
}

/// `liftrouter inventory convert`.
///
/// # Errors
/// The file cannot be read.
pub fn convert(path: &Path, to: Format) -> Result<u8, InventoryFileError> {
    match load(path)? {
        Ok(inventory) => {
            print!("{}", write(&inventory, to));
            Ok(DONE)
        }
        Err(faults) => {
            print_faults_to_stderr(&faults);
            Ok(HAS_FAULTS)
        }
    }
}

/// `liftrouter inventory diff`: what adopting the new one over the old one does to each node.
///
/// # Errors
/// A file cannot be read.
pub fn compare(old: &Path, new: &Path, json: bool) -> Result<u8, InventoryFileError> {
    let (old, new) = match (load(old)?, load(new)?) {
        (Ok(old), Ok(new)) => (old, new),
        (old, new) => {
            for faults in [old.err(), new.err()].into_iter().flatten() {
                print_faults_to_stderr(&faults);
            }
            return Ok(HAS_FAULTS);
        }
    };
    let changes = diff(&old, &new);
    if json {
        println!("{}", serde_json::to_string_pretty(&changes).unwrap_or_default());
        return Ok(DONE);
    }
    for change in &changes {
        let effects: Vec<_> = change.effects.iter().map(ToString::to_string).collect();
        println!("{}: {}", change.id, effects.join("; "));
    }
    if changes.is_empty() {
        println!("no change");
    }
    Ok(DONE)
}
