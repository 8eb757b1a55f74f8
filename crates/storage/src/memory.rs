//! Storage in memory whose power can be cut at any step.

use crate::{Result, Storage, StorageError};
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};

/// Identifies a file independently of its name, as an inode does.
type FileId = u64;

/// The directory: file by name.
type Names = BTreeMap<String, FileId>;

/// A change that is not durable yet: a power loss keeps all of it, a part, or nothing.
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

/// Storage in memory. What was not synced may be lost on a power loss: all of it, a part, or nothing, drawn from a seed.
#[derive(Clone, Debug)]
pub struct MemoryStorage {
    names: Names,
    durable_names: Names,
    files: BTreeMap<FileId, Vec<u8>>,
    durable_files: BTreeMap<FileId, Vec<u8>>,
    /// Changes since the files were last synced, in order.
    unsynced: Vec<Change>,
    last_file: FileId,
    rng: fastrand::Rng,
    operations: u64,
    /// After this many further operations every operation fails, as if the process had been killed there.
    pub operations_until_failure: Option<u64>,
}

impl MemoryStorage {
    /// Empty storage; the effects of power losses are drawn from the seed.
    pub fn new(seed: u64) -> MemoryStorage {
        MemoryStorage {
            names: Names::new(),
            durable_names: Names::new(),
            files: BTreeMap::new(),
            durable_files: BTreeMap::new(),
            unsynced: Vec::new(),
            last_file: 0,
            rng: fastrand::Rng::with_seed(seed),
            operations: 0,
            operations_until_failure: None,
        }
    }

    /// Successful operations so far that changed something or made it durable.
    pub fn operations(&self) -> u64 {
        self.operations
    }

    /// Cuts the power and restores it. Synced data is there; of the rest each change may be there, in part, or not.
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
        // The directory is written as one: its changes survive in their order or not at all.
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

    /// How many of `len` written bytes survive: all of them for an extent of 1, otherwise a random part.
    fn surviving_len(&mut self, extent: u8, len: usize) -> usize {
        if extent == 1 {
            len
        } else {
            self.rng.usize(0..=len)
        }
    }

    fn count_operation(&mut self, operation: &'static str, name: &str) -> Result<()> {
        if self.operations_until_failure == Some(0) {
            let source = Error::new(ErrorKind::Interrupted, "the process is dead");
            return Err(StorageError::new(operation, name, source));
        }
        self.operations_until_failure = self.operations_until_failure.map(|left| left - 1);
        self.operations += 1;
        Ok(())
    }

    fn existing(&self, operation: &'static str, name: &str) -> Result<FileId> {
        let missing =
            || StorageError::new(operation, name, Error::new(ErrorKind::NotFound, "it is not there"));
        self.names.get(name).copied().ok_or_else(missing)
    }

    fn existing_or_new(&mut self, name: &str) -> FileId {
        let last_file = &mut self.last_file;
        *self.names.entry(name.into()).or_insert_with(|| {
            *last_file += 1;
            *last_file
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
