//! An append-only log. Entries are framed, numbered and checksummed, so that recovered entries are complete and in order.

mod encoding;
mod recovery;

pub use encoding::MAX_ENTRY_BYTES;
pub use recovery::{LogCorruption, LogRecovery, LogTail};

use crate::{Result, Storage, StorageError};
use encoding::HEADER_BYTES;
use std::io::{Error, ErrorKind};
use thiserror::Error as ThisError;

/// Why a log takes no further entries.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
enum NotWritable {
    #[error("broken at byte {offset}: {cause}")]
    Corrupt { offset: u64, cause: LogCorruption },
    /// A write or sync failed, so that the content of the file is not known.
    #[error("it failed before: {error}")]
    Failed { error: String },
}

#[derive(Debug, ThisError)]
#[error("an entry of {len} bytes, expected {MAX_ENTRY_BYTES} at most")]
struct EntryTooLong {
    len: usize,
}

/// A log opened for appending.
#[derive(Debug)]
pub struct Log {
    name: String,
    kind: u32,
    next_sequence: u64,
    len: u64,
    /// Whether the file's name is durable.
    name_durable: bool,
    /// Set by damage or a failed write; cleared only by opening the log again or by [`Log::quarantine`].
    not_writable: Option<NotWritable>,
}

impl Log {
    /// Opens a log and recovers its entries; a file that does not exist is an empty log. A torn tail is truncated. A corrupt
    /// log is left as it is and takes no entries: see [`Log::quarantine`].
    ///
    /// # Errors
    /// The log cannot be read, or its torn tail cannot be truncated.
    pub fn open(storage: &mut dyn Storage, name: &str, kind: u32) -> Result<(Log, LogRecovery)> {
        let bytes = storage.read(name)?;
        let name_durable = bytes.as_ref().is_some_and(|bytes| bytes.len() >= HEADER_BYTES);
        let bytes = bytes.unwrap_or_default();
        let recovery = recovery::recover(&bytes, kind);
        let next_sequence = recovery.first_sequence + recovery.entries.len() as u64;
        let len = bytes.len() as u64;
        let mut log = Log { name: name.into(), kind, next_sequence, len, name_durable, not_writable: None };
        match &recovery.tail {
            LogTail::Complete => {}
            LogTail::Torn { offset, .. } => {
                storage.truncate(name, *offset)?;
                storage.sync(name)?;
                log.len = *offset;
                log.name_durable = *offset > 0;
            }
            LogTail::Corrupt { offset, cause } => {
                log.not_writable = Some(NotWritable::Corrupt { offset: *offset, cause: cause.clone() });
            }
        }
        Ok((log, recovery))
    }

    /// The sequence number of the next entry.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Length of the log, in bytes.
    pub fn len_bytes(&self) -> u64 {
        self.len
    }

    /// Sets the sequence number of the first entry; has no effect on a log that has entries. A log that replaces a
    /// quarantined or removed one continues its numbers so.
    pub fn continue_from(&mut self, sequence: u64) {
        if self.len <= HEADER_BYTES as u64 {
            self.next_sequence = sequence;
        }
    }

    fn check_writable(&self, operation: &'static str) -> Result<()> {
        match &self.not_writable {
            None => Ok(()),
            Some(cause) => {
                let source = Error::new(ErrorKind::InvalidData, cause.clone());
                Err(StorageError::new(operation, &self.name, source))
            }
        }
    }

    /// Blocks further writes after a failure: how much of the write reached the file is not known until it is opened again.
    fn block_after_failure(&mut self, result: Result<()>) -> Result<()> {
        if let Err(error) = &result {
            self.not_writable = Some(NotWritable::Failed { error: error.to_string() });
        }
        result
    }

    /// Appends an entry and returns its sequence number. It is durable once [`Log::sync`] has succeeded.
    ///
    /// # Errors
    /// The entry is longer than [`MAX_ENTRY_BYTES`], which leaves the log as it is, or cannot be written.
    pub fn append(&mut self, storage: &mut dyn Storage, entry: &[u8]) -> Result<u64> {
        self.check_writable("append to")?;
        if entry.len() > MAX_ENTRY_BYTES {
            let source = Error::new(ErrorKind::InvalidInput, EntryTooLong { len: entry.len() });
            return Err(StorageError::new("append to", &self.name, source));
        }
        let mut bytes = if self.len > 0 { Vec::new() } else { encoding::header(self.kind) };
        bytes.extend(encoding::frame(self.next_sequence, entry));
        let result = storage.append(&self.name, &bytes);
        self.block_after_failure(result)?;
        self.len += bytes.len() as u64;
        self.next_sequence += 1;
        Ok(self.next_sequence - 1)
    }

    /// Makes all appended entries durable.
    ///
    /// # Errors
    /// Durability is not known: opening the log again tells which entries are there.
    pub fn sync(&mut self, storage: &mut dyn Storage) -> Result<()> {
        self.check_writable("sync")?;
        if self.len == 0 {
            return Ok(());
        }
        let mut result = storage.sync(&self.name);
        if result.is_ok() && !self.name_durable {
            result = storage.sync_directory();
        }
        self.name_durable = true;
        self.block_after_failure(result)
    }

    /// Renames a corrupt log, so that nothing overwrites it, and continues with an empty one. Returns the new name.
    ///
    /// # Errors
    /// The file cannot be renamed.
    pub fn quarantine(&mut self, storage: &mut dyn Storage) -> Result<String> {
        let names = storage.list()?;
        let unused =
            (1..=u64::MAX).map(|n| format!("{}.damaged-{n}", self.name)).find(|name| !names.contains(name));
        let quarantined = unused.unwrap_or_default();
        storage.rename(&self.name, &quarantined)?;
        storage.sync_directory()?;
        self.len = 0;
        self.name_durable = false;
        self.not_writable = None;
        Ok(quarantined)
    }
}
