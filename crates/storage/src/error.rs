//! The error type of storage operations.

use std::io;
use thiserror::Error;

/// A failed storage operation, with the file or directory it was applied to.
#[derive(Debug, Error)]
#[error("{file}: cannot {operation}: {source}")]
pub struct StorageError {
    /// The operation as it appears in the message: `read`, `append to`, `sync` and so on.
    pub operation: &'static str,
    /// Path or name of the file or directory.
    pub file: String,
    /// The cause: an error of the operating system, or a failed check of this crate.
    pub source: io::Error,
}

impl StorageError {
    pub(crate) fn new(operation: &'static str, file: &str, source: io::Error) -> StorageError {
        StorageError { operation, file: file.into(), source }
    }
}

/// The result of a storage operation.
pub type Result<T> = std::result::Result<T, StorageError>;
