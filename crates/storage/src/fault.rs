//! Storage faults, and the schedule of the faults that are currently active.

use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A disk fault to inject. The serialized names are part of the fault file format: see [`FaultSchedule::from_file`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "lie")]
pub enum StorageFault {
    /// A write stores only part of its bytes and reports a failure.
    ShortWrite {
        /// Stored bytes as a ratio of the bytes of the write, from 0 to 1.
        #[serde(rename = "share")]
        stored_ratio: f64,
    },
    /// A write stores only part of its bytes and reports success.
    TornWrite {
        /// Stored bytes as a ratio of the bytes of the write, from 0 to 1.
        #[serde(rename = "share")]
        stored_ratio: f64,
    },
    /// A sync reports success but makes nothing durable: written data can be read until the process ends, then it is lost.
    #[serde(rename = "empty-sync")]
    LostSync,
    /// Every operation fails with EIO.
    #[serde(rename = "io")]
    IoError,
    /// Every operation that modifies a file or the directory fails with ENOSPC; reads and syncs work.
    #[serde(rename = "full")]
    NoSpace,
    /// Every operation is delayed.
    Stall {
        /// Length of the delay, in milliseconds.
        ms: u64,
    },
    /// Reads return the content that the file had when the fault began.
    #[serde(rename = "old")]
    StaleRead,
    /// Reads return the content with one bit flipped.
    #[serde(rename = "flip")]
    BitFlip,
    /// A rename reports success but has no effect.
    LostRename,
    /// All files to which the fault applies are deleted once, when it begins.
    #[serde(rename = "gone")]
    DataLoss,
}

/// An active fault, and the files to which it applies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ActiveFault {
    pub(crate) id: u32,
    #[serde(flatten)]
    pub(crate) fault: StorageFault,
    /// The fault applies to files whose names start with this prefix, or to all files if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "file")]
    file_prefix: Option<String>,
}

impl ActiveFault {
    pub(crate) fn applies_to(&self, name: &str) -> bool {
        self.file_prefix.as_ref().is_none_or(|prefix| name.starts_with(prefix))
    }
}

/// The set of active faults. A test of the same process sets them directly; another process passes them through a file.
/// Clones share the faults that were set directly.
#[derive(Clone, Debug, Default)]
pub struct FaultSchedule {
    active: Arc<Mutex<Vec<ActiveFault>>>,
    file: Option<PathBuf>,
}

impl FaultSchedule {
    /// Creates a schedule without active faults.
    pub fn new() -> FaultSchedule {
        FaultSchedule::default()
    }

    /// Creates a schedule that is read from a file again at each operation. Each line of the file is one fault:
    /// `{"id": 1, "lie": "torn-write", "share": 0.5, "file": "record"}`. If the file does not exist, no faults are active. A
    /// line that cannot be parsed is reported on standard error and ignored, since only the test kit writes this file.
    pub fn from_file(path: &Path) -> FaultSchedule {
        FaultSchedule { active: Arc::default(), file: Some(path.into()) }
    }

    fn active(&self) -> MutexGuard<'_, Vec<ActiveFault>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Activates a fault for all files whose names start with `file_prefix`, or for all files if it is `None`.
    pub fn begin(&self, id: u32, fault: StorageFault, file_prefix: Option<&str>) {
        self.active().push(ActiveFault { id, fault, file_prefix: file_prefix.map(Into::into) });
    }

    /// Deactivates the faults with this id.
    pub fn end(&self, id: u32) {
        self.active().retain(|active| active.id != id);
    }

    /// Writes the active faults to a file for another process. The file is replaced atomically, by a rename.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn write_to(&self, path: &Path) -> std::io::Result<()> {
        let lines: Vec<String> =
            self.active().iter().filter_map(|active| serde_json::to_string(active).ok()).collect();
        let temporary = path.with_extension("new");
        std::fs::write(&temporary, lines.join("\n"))?;
        std::fs::rename(temporary, path)
    }

    /// Returns the faults that are active now, including those of the file.
    pub(crate) fn current(&self) -> Vec<ActiveFault> {
        let mut faults = self.active().clone();
        let text = self.file.as_ref().and_then(|path| std::fs::read_to_string(path).ok()).unwrap_or_default();
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match serde_json::from_str(line) {
                Ok(fault) => faults.push(fault),
                Err(error) => eprintln!("liftrouter: ignoring invalid storage fault: {line}: {error}"),
            }
        }
        faults
    }
}
