//! An append-only log. Entries are framed, numbered and checksummed, so that recovered entries are complete and in order.

mod encoding;
mod recovery;

pub use encoding::MAX_ENTRY_BYTES;
pub use recovery::{LogCorruption, LogRecovery, LogTail};

use crate::{Result, Storage, StorageError};
use encoding::HEADER_BYTES;
use std::io::{Error, ErrorKind};
use thiserror::Error as ThisError;

/// Why a log does not accept further entries.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
enum NotWritable {
    #[error("corrupt at byte {offset}: {cause}")]
    Corrupt { offset: u64, cause: LogCorruption },
    /// A write or sync failed, so the content of the file is unknown.
    #[error("an earlier operation failed: {error}")]
    Failed { error: String },
}

#[derive(Debug, ThisError)]
#[error("entry of {len} bytes is longer than the maximum of {MAX_ENTRY_BYTES}")]
struct EntryTooLong {
    len: usize,
}

/// An append-only log that has been opened and recovered.
#[derive(Debug)]
pub struct Log {
    name: String,
    kind: u32,
    next_sequence: u64,
    len: u64,
    /// Whether the directory entry of the file is durable.
    is_name_durable: bool,
    /// Set if the log is corrupt or a write or sync has failed. Only opening the log again or [`Log::quarantine`] clears it.
    not_writable: Option<NotWritable>,
}

impl Log {
    /// Opens a log and recovers its entries. A file that does not exist is an empty log. A torn tail is truncated. A corrupt
    /// log is left unchanged and accepts no entries: see [`Log::quarantine`].
    ///
    /// # Errors
    /// The log cannot be read, or its torn tail cannot be truncated.
    pub fn open(storage: &mut dyn Storage, name: &str, kind: u32) -> Result<(Log, LogRecovery)> {
        let bytes = storage.read(name)?;
        let is_name_durable = bytes.as_ref().is_some_and(|bytes| bytes.len() >= HEADER_BYTES);
        let bytes = bytes.unwrap_or_default();
        let recovery = recovery::recover(&bytes, kind);
        let next_sequence = recovery.first_sequence + recovery.entries.len() as u64;
        let len = bytes.len() as u64;
        let mut log =
            Log { name: name.into(), kind, next_sequence, len, is_name_durable, not_writable: None };
        match &recovery.tail {
            LogTail::Complete => {}
            LogTail::Torn { offset, .. } => {
                storage.truncate(name, *offset)?;
                storage.sync(name)?;
                log.len = *offset;
                log.is_name_durable = *offset > 0;
            }
            LogTail::Corrupt { offset, cause } => {
                log.not_writable = Some(NotWritable::Corrupt { offset: *offset, cause: cause.clone() });
            }
        }
        Ok((log, recovery))
    }

    /// Returns the sequence number that the next appended entry will get.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Returns the length of the log file, in bytes.
    pub fn len_bytes(&self) -> u64 {
        self.len
    }

    /// Sets the sequence number of the first entry, so that a log that replaces a quarantined or removed one continues its
    /// numbering. Has no effect on a log that has entries.
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

    /// Blocks further writes after a failure, since it is unknown how much of the write reached the file until the log is
    /// opened again.
    fn block_after_failure(&mut self, result: Result<()>) -> Result<()> {
        if let Err(error) = &result {
            self.not_writable = Some(NotWritable::Failed { error: error.to_string() });
        }
        result
    }

    /// Appends an entry and returns its sequence number. The entry is durable once [`Log::sync`] has succeeded.
    ///
    /// # Errors
    /// The entry is longer than [`MAX_ENTRY_BYTES`], which leaves the log unchanged; or it cannot be written, which blocks
    /// the log until it is opened again.
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
    /// It is unknown which entries are durable. The log is blocked; opening it again recovers the entries that the file
    /// contains.
    pub fn sync(&mut self, storage: &mut dyn Storage) -> Result<()> {
        self.check_writable("sync")?;
        if self.len == 0 {
            return Ok(());
        }
        let mut result = storage.sync(&self.name);
        if result.is_ok() && !self.is_name_durable {
            result = storage.sync_directory();
        }
        self.is_name_durable = true;
        self.block_after_failure(result)
    }

    /// Renames the file of a corrupt log, so that its content is preserved, and continues with an empty log. Returns the new
    /// name of the file.
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
        self.is_name_durable = false;
        self.not_writable = None;
        Ok(quarantined)
    }
}
