//! The commands `liftrouter inventory check`, `convert` and `diff`.

use liftrouter_inventory::{diff, read, write, Fault, Format, Inventory, MAX_BYTES};
use std::fs::File;
use std::io::{self, Read};
use std::path::Path;
use thiserror::Error;

/// Exit code of a command that succeeded.
const DONE: u8 = 0;
/// Exit code if a file has faults.
const HAS_FAULTS: u8 = 1;

/// Why a file given on the command line cannot be read.
#[derive(Debug, Error)]
pub enum InventoryFileError {
    /// The file name has no extension that determines the file format.
    #[error("{path}: expected a name that ends in .csv, .yaml or .yml")]
    UnknownFormat {
        /// The file.
        path: String,
    },
    /// Opening or reading the file failed.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The underlying I/O error.
        source: io::Error,
    },
}

/// A valid inventory, or the faults of the file.
type Parsed = Result<Inventory, Vec<Fault>>;

/// Reads and parses a file given on the command line.
///
/// # Errors
/// The file cannot be read, or its name does not determine the file format.
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

/// Reads a file, but at most one byte more than the limit, which is enough for the parser to refuse it.
fn read_up_to_limit(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.take(MAX_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// `liftrouter inventory check`: prints whether a file is valid, or its faults. Returns the exit code: 0 if the file is
/// valid, 1 if it has faults.
///
/// # Errors
/// The file cannot be read, or its name does not determine the file format.
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

/// Prints faults to standard output, one per line or as JSON.
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

/// `liftrouter inventory convert`: prints an inventory in another file format. Returns the exit code.
///
/// # Errors
/// The file cannot be read, or its name does not determine the file format.
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

/// `liftrouter inventory diff`: prints what adopting the new inventory in place of the old one changes for each node.
/// Returns the exit code.
///
/// # Errors
/// A file cannot be read, or its name does not determine the file format.
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
