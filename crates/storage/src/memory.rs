//! An in-memory storage that simulates a process kill or a power loss after any operation.

use crate::{Result, Storage, StorageError};
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};

/// Identifies a file independently of its name, as an inode does.
type FileId = u64;

/// The directory: file ids by file name.
type Names = BTreeMap<String, FileId>;

/// A change that is not durable yet. A power loss preserves all of it, part of it, or nothing.
#[derive(Clone, Debug)]
enum Change {
    Write(FileId, Vec<u8>),
    Append(FileId, Vec<u8>),
    Truncate(FileId, u64),
}

impl Change {
    fn file(&self) -> FileId {
        match self {
            Change::Write(file, _) | Change::Append(file, _) | Change::Truncate(file, _) => *file,
        }
    }
}

/// A [`Storage`] in memory for tests. A power loss preserves all, part or nothing of each change that was not synced, drawn
/// from a seeded random generator.
#[derive(Clone, Debug)]
pub struct MemoryStorage {
    names: Names,
    durable_names: Names,
    files: BTreeMap<FileId, Vec<u8>>,
    durable_files: BTreeMap<FileId, Vec<u8>>,
    /// Changes to files since their last sync, in order.
    unsynced: Vec<Change>,
    last_file_id: FileId,
    rng: fastrand::Rng,
    operations: u64,
    /// Counts down with each operation that [`MemoryStorage::operations`] counts. At 0 all of them fail, as if the process
    /// had been killed; [`MemoryStorage::power_loss`] resets it to `None`, which means no failures.
    pub operations_until_failure: Option<u64>,
}

impl MemoryStorage {
    /// Creates an empty storage. The seed determines which unsynced changes a power loss preserves.
    pub fn new(seed: u64) -> MemoryStorage {
        MemoryStorage {
            names: Names::new(),
            durable_names: Names::new(),
            files: BTreeMap::new(),
            durable_files: BTreeMap::new(),
            unsynced: Vec::new(),
            last_file_id: 0,
            rng: fastrand::Rng::with_seed(seed),
            operations: 0,
            operations_until_failure: None,
        }
    }

    /// Returns the number of operations so far that modify files, the directory or their durable state, without those that
    /// [`MemoryStorage::operations_until_failure`] made fail.
    pub fn operations(&self) -> u64 {
        self.operations
    }

    /// Simulates a power loss and a restart. Synced data is preserved; each unsynced change is preserved completely, in
    /// part, or not at all.
    pub fn power_loss(&mut self) {
        self.operations_until_failure = None;
        let mut files = std::mem::take(&mut self.durable_files);
        for change in std::mem::take(&mut self.unsynced) {
            match (change, self.rng.u8(0..3)) {
                (_, 0) => {}
                (Change::Write(file, bytes), extent) => {
                    let kept = self.surviving_len(extent, bytes.len());
                    files.insert(file, bytes[..kept].to_vec());
                }
                (Change::Append(file, bytes), extent) => {
                    let kept = self.surviving_len(extent, bytes.len());
                    files.entry(file).or_default().extend_from_slice(&bytes[..kept]);
                }
                (Change::Truncate(file, len), _) => files.entry(file).or_default().truncate(len as usize),
            }
        }
        // Unsynced changes to the directory are preserved all together or not at all.
        if self.rng.bool() {
            self.durable_names = self.names.clone();
        }
        self.names = self.durable_names.clone();
        files.retain(|file, _| self.names.values().any(|named| named == file));
        for file in self.names.values() {
            files.entry(*file).or_default();
        }
        self.files = files.clone();
        self.durable_files = files;
    }

    /// Returns how many of `len` written bytes a power loss preserves: all if `extent` is 1, otherwise a random number.
    fn surviving_len(&mut self, extent: u8, len: usize) -> usize {
        if extent == 1 {
            len
        } else {
            self.rng.usize(0..=len)
        }
    }

    /// Counts an operation, or fails it if the simulated process has been killed.
    fn count_operation(&mut self, operation: &'static str, name: &str) -> Result<()> {
        if self.operations_until_failure == Some(0) {
            let source = Error::new(ErrorKind::Interrupted, "simulated process kill");
            return Err(StorageError::new(operation, name, source));
        }
        self.operations_until_failure = self.operations_until_failure.map(|remaining| remaining - 1);
        self.operations += 1;
        Ok(())
    }

    fn existing(&self, operation: &'static str, name: &str) -> Result<FileId> {
        let missing =
            || StorageError::new(operation, name, Error::new(ErrorKind::NotFound, "file does not exist"));
        self.names.get(name).copied().ok_or_else(missing)
    }

    fn existing_or_new(&mut self, name: &str) -> FileId {
        let last_file_id = &mut self.last_file_id;
        *self.names.entry(name.into()).or_insert_with(|| {
            *last_file_id += 1;
            *last_file_id
        })
    }
}

impl Storage for MemoryStorage {
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>> {
        Ok(self.names.get(name).map(|file| self.files.get(file).cloned().unwrap_or_default()))
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.count_operation("write", name)?;
        let file = self.existing_or_new(name);
        self.files.insert(file, bytes.to_vec());
        self.unsynced.push(Change::Write(file, bytes.to_vec()));
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.count_operation("append to", name)?;
        let file = self.existing_or_new(name);
        self.files.entry(file).or_default().extend_from_slice(bytes);
        self.unsynced.push(Change::Append(file, bytes.to_vec()));
        Ok(())
    }

    fn truncate(&mut self, name: &str, len: u64) -> Result<()> {
        self.count_operation("cut", name)?;
        let file = self.existing("cut", name)?;
        self.files.entry(file).or_default().resize(len as usize, 0);
        self.unsynced.push(Change::Truncate(file, len));
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.count_operation("sync", name)?;
        let file = self.existing("sync", name)?;
        let content = self.files.get(&file).cloned().unwrap_or_default();
        self.durable_files.insert(file, content);
        self.unsynced.retain(|change| change.file() != file);
        Ok(())
    }

    fn sync_directory(&mut self) -> Result<()> {
        self.count_operation("sync", "")?;
        self.durable_names = self.names.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.count_operation("rename", from)?;
        let file = self.existing("rename", from)?;
        self.names.remove(from);
        self.names.insert(to.into(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        self.count_operation("remove", name)?;
        self.names.remove(name);
        Ok(())
    }

    fn list(&mut self) -> Result<Vec<String>> {
        Ok(self.names.keys().cloned().collect())
    }
}
