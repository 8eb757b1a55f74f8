//! What a disk could not do.

use std::fmt;
use std::io;

/// What could not be done, to which file, and why.
#[derive(Debug)]
pub struct Fault {
    /// `read`, `append`, `sync` and so on.
    pub doing: &'static str,
    /// The file, or the folder.
    pub file: String,
    /// What the system said.
    pub why: io::Error,
}

impl Fault {
    pub(crate) fn of(doing: &'static str, file: &str, why: io::Error) -> Fault {
        Fault { doing, file: file.into(), why }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: cannot {}: {}", self.file, self.doing, self.why)
    }
}

impl std::error::Error for Fault {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.why)
    }
}

/// What is asked of a disk.
pub type Result<T> = std::result::Result<T, Fault>;
