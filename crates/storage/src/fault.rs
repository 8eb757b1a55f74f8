//! Storage faults and the schedule that says which of them are active.

use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A fault of a disk. The serialized names are those of the fault file: see [`FaultSchedule::from_file`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "lie")]
pub enum StorageFault {
    /// A write stores this share of its bytes and reports a failure.
    ShortWrite {
        /// From 0 to 1.
        #[serde(rename = "share")]
        stored_ratio: f64,
    },
    /// A write stores this share of its bytes and reports success.
    TornWrite {
        /// From 0 to 1.
        #[serde(rename = "share")]
        stored_ratio: f64,
    },
    /// A sync reports success and makes nothing durable: written data is there until the process ends.
    #[serde(rename = "empty-sync")]
    LostSync,
    /// Every operation fails with EIO.
    #[serde(rename = "io")]
    IoError,
    /// Every operation that writes fails with ENOSPC.
    #[serde(rename = "full")]
    NoSpace,
    /// Every operation is delayed.
    Stall {
        /// Milliseconds.
        ms: u64,
    },
    /// Reads return the content from when the fault began.
    #[serde(rename = "old")]
    StaleRead,
    /// Reads return one flipped bit.
    #[serde(rename = "flip")]
    BitFlip,
    /// A rename reports success and does nothing.
    LostRename,
    /// All content is lost when the fault begins.
    #[serde(rename = "gone")]
    DataLoss,
}

/// A fault that is active, and for which files.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ActiveFault {
    pub(crate) id: u32,
    #[serde(flatten)]
    pub(crate) fault: StorageFault,
    /// Files whose names begin with this; all files if it is missing.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "file")]
    file_prefix: Option<String>,
}

impl ActiveFault {
    pub(crate) fn applies_to(&self, name: &str) -> bool {
        self.file_prefix.as_ref().is_none_or(|prefix| name.starts_with(prefix))
    }
}

/// The active faults: set by a test of this process, or read from a file that another process writes.
#[derive(Clone, Debug, Default)]
pub struct FaultSchedule {
    active: Arc<Mutex<Vec<ActiveFault>>>,
    file: Option<PathBuf>,
}

impl FaultSchedule {
    /// A schedule without active faults.
    pub fn new() -> FaultSchedule {
        FaultSchedule::default()
    }

    /// A schedule read from a file at each operation, one fault a line:
    /// `{"id": 1, "lie": "torn-write", "share": 0.5, "file": "record"}`. A missing file has no faults. A line that cannot be
    /// parsed is reported on standard error and ignored: only the test kit writes this file.
    pub fn from_file(path: &Path) -> FaultSchedule {
        FaultSchedule { active: Arc::default(), file: Some(path.into()) }
    }

    fn active(&self) -> MutexGuard<'_, Vec<ActiveFault>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Activates a fault for files whose names begin with a prefix, or for all files.
    pub fn begin(&self, id: u32, fault: StorageFault, file_prefix: Option<&str>) {
        self.active().push(ActiveFault { id, fault, file_prefix: file_prefix.map(Into::into) });
    }

    /// Ends the faults with this id.
    pub fn end(&self, id: u32) {
        self.active().retain(|active| active.id != id);
    }

    /// Writes the active faults to a file for another process; the file is replaced as a whole.
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

    /// The faults active now, those of the file included.
    pub(crate) fn current(&self) -> Vec<ActiveFault> {
        let mut faults = self.active().clone();
        let text = self.file.as_ref().and_then(|path| std::fs::read_to_string(path).ok()).unwrap_or_default();
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match serde_json::from_str(line) {
                Ok(fault) => faults.push(fault),
                Err(error) => eprintln!("liftrouter: a lie of the disk that is none: {line}: {error}"),
            }
        }
        faults
    }
}
