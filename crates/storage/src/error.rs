//! Errors of storage operations.

use std::io;
use thiserror::Error;

/// A storage operation that failed, with the file it was meant for.
#[derive(Debug, Error)]
#[error("{file}: cannot {operation}: {source}")]
pub struct StorageError {
    /// The operation: `read`, `append to`, `sync` and so on.
    pub operation: &'static str,
    /// The file, or the directory.
    pub file: String,
    /// The cause, from the operating system or from a check.
    pub source: io::Error,
}

impl StorageError {
    pub(crate) fn new(operation: &'static str, file: &str, source: io::Error) -> StorageError {
        StorageError { operation, file: file.into(), source }
    }
}

/// The result of a storage operation.
pub type Result<T> = std::result::Result<T, StorageError>;
