//! The operations that a log or a snapshot store needs from a directory.

use crate::Result;

/// The files of one directory. Names have no directory part.
///
/// Written data may be lost until [`Storage::sync`] has succeeded for the file, and a new, renamed or removed name until
/// [`Storage::sync_directory`] has. Nothing else is guaranteed: a write that was not synced may be there in part.
pub trait Storage {
    /// Reads a whole file; `None` if it does not exist.
    ///
    /// # Errors
    /// The file cannot be read.
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>>;

    /// Creates a file with these bytes, or replaces its content.
    ///
    /// # Errors
    /// The file cannot be written; a part may have been.
    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<()>;

    /// Appends bytes to a file, which is created if it does not exist.
    ///
    /// # Errors
    /// The bytes cannot be written; a part may have been.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()>;

    /// Truncates a file to `len` bytes.
    ///
    /// # Errors
    /// The file cannot be truncated or does not exist.
    fn truncate(&mut self, name: &str, len: u64) -> Result<()>;

    /// Makes what was written to a file durable.
    ///
    /// # Errors
    /// Durability is not known: everything written since the last successful sync must be treated as lost, even if a later
    /// call succeeds.
    fn sync(&mut self, name: &str) -> Result<()>;

    /// Makes the set of file names durable.
    ///
    /// # Errors
    /// Durability is not known.
    fn sync_directory(&mut self) -> Result<()>;

    /// Renames a file and replaces one that has the new name.
    ///
    /// # Errors
    /// The file cannot be renamed or does not exist.
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;

    /// Removes a file if it exists.
    ///
    /// # Errors
    /// The file cannot be removed.
    fn remove(&mut self, name: &str) -> Result<()>;

    /// The names of all files, sorted.
    ///
    /// # Errors
    /// The directory cannot be read.
    fn list(&mut self) -> Result<Vec<String>>;
}
