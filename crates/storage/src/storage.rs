//! The directory operations that logs and snapshot stores use.

use crate::Result;

/// The files of one directory. File names have no directory part.
///
/// Written data may be lost in a power loss until [`Storage::sync`] has succeeded for the file, and the creation, renaming
/// or removal of a file until [`Storage::sync_directory`] has succeeded. Nothing else is guaranteed: a write that was not
/// synced may be preserved in part.
pub trait Storage {
    /// Reads a whole file. Returns `None` if it does not exist.
    ///
    /// # Errors
    /// The file cannot be read.
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>>;

    /// Creates a file with this content, or replaces the content of an existing one.
    ///
    /// # Errors
    /// The file cannot be written; part of the content may have been written.
    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<()>;

    /// Appends bytes to a file, creating it if it does not exist.
    ///
    /// # Errors
    /// The bytes cannot be written; some of them may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()>;

    /// Truncates a file to `len` bytes.
    ///
    /// # Errors
    /// The file cannot be truncated or does not exist.
    fn truncate(&mut self, name: &str, len: u64) -> Result<()>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    /// It is unknown what is durable: everything written since the last successful sync must be treated as lost, even if a
    /// later call succeeds.
    fn sync(&mut self, name: &str) -> Result<()>;

    /// Makes the creation, renaming and removal of files durable.
    ///
    /// # Errors
    /// It is unknown which of these changes are durable.
    fn sync_directory(&mut self) -> Result<()>;

    /// Renames a file, replacing any existing file with the new name.
    ///
    /// # Errors
    /// The file cannot be renamed or does not exist.
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;

    /// Removes a file if it exists.
    ///
    /// # Errors
    /// The file cannot be removed.
    fn remove(&mut self, name: &str) -> Result<()>;

    /// Returns the names of all files, sorted.
    ///
    /// # Errors
    /// The directory cannot be read.
    fn list(&mut self) -> Result<Vec<String>>;
}
