//! A storage that injects faults into the operations of another storage.

use crate::fault::ActiveFault;
use crate::{FaultSchedule, Result, Storage, StorageError, StorageFault};
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};
use std::time::Duration;

const EIO: i32 = 5;
const ENOSPC: i32 = 28;

/// File contents by file name.
type Files = BTreeMap<String, Vec<u8>>;

/// A [`Storage`] that forwards operations to another storage and injects the active faults of a schedule.
#[derive(Debug)]
pub struct FaultInjectingStorage<S> {
    storage: S,
    schedule: FaultSchedule,
    /// The files as they were when a [`StorageFault::StaleRead`] began, by the id of the fault.
    stale_copies: BTreeMap<u32, Files>,
    /// Changes that have not reached the wrapped storage because syncs are lost: content by file name, `None` for a removed
    /// file.
    cache: BTreeMap<String, Option<Vec<u8>>>,
    /// Ids of the active [`StorageFault::DataLoss`] faults whose files have been deleted already.
    applied_data_losses: Vec<u32>,
    rng: fastrand::Rng,
}

/// Whether a write replaces the content of a file or is appended to it.
#[derive(Clone, Copy, PartialEq)]
enum WriteMode {
    Replace,
    Append,
}

fn has_fault(faults: &[ActiveFault], fault: StorageFault) -> bool {
    faults.iter().any(|active| active.fault == fault)
}

/// Returns the bytes that a write stores under the active faults, and whether it reports a failure.
fn stored_bytes<'a>(faults: &[ActiveFault], bytes: &'a [u8]) -> (&'a [u8], bool) {
    let prefix = |ratio: f64| {
        let len = (bytes.len() as f64 * ratio.clamp(0.0, 1.0)) as usize;
        &bytes[..len.min(bytes.len())]
    };
    faults
        .iter()
        .find_map(|active| match active.fault {
            StorageFault::ShortWrite { stored_ratio } => Some((prefix(stored_ratio), true)),
            StorageFault::TornWrite { stored_ratio } => Some((prefix(stored_ratio), false)),
            _ => None,
        })
        .unwrap_or((bytes, false))
}

impl<S: Storage> FaultInjectingStorage<S> {
    /// Wraps another storage. The seed determines which bits are flipped by [`StorageFault::BitFlip`].
    pub fn new(storage: S, schedule: FaultSchedule, seed: u64) -> FaultInjectingStorage<S> {
        let rng = fastrand::Rng::with_seed(seed);
        FaultInjectingStorage {
            storage,
            schedule,
            stale_copies: BTreeMap::new(),
            cache: BTreeMap::new(),
            applied_data_losses: Vec::new(),
            rng,
        }
    }

    /// Returns the wrapped storage and drops the cached changes, as the end of the process would.
    pub fn into_inner(self) -> S {
        self.storage
    }

    /// Returns the current content of all files, including cached changes.
    fn all_files(&mut self) -> Result<Files> {
        let mut files = Files::new();
        for name in self.storage.list()? {
            if let Some(bytes) = self.storage.read(&name)? {
                files.insert(name, bytes);
            }
        }
        for (name, cached) in &self.cache {
            match cached {
                Some(bytes) => drop(files.insert(name.clone(), bytes.clone())),
                None => drop(files.remove(name)),
            }
        }
        Ok(files)
    }

    /// Handles faults that have begun or ended since the last operation, then applies those that delay or fail the operation
    /// as a whole. Returns the faults that apply to the file. A directory operation passes an empty name and is affected by
    /// the faults of all files.
    fn apply_faults(
        &mut self,
        operation: &'static str,
        name: &str,
        modifies: bool,
    ) -> Result<Vec<ActiveFault>> {
        let mut faults = self.schedule.current();
        self.update_fault_state(&faults)?;
        if !has_fault(&faults, StorageFault::LostSync) {
            self.flush_cache()?;
        }
        faults.retain(|active| name.is_empty() || active.applies_to(name));
        for active in &faults {
            let error = |code| Err(StorageError::new(operation, name, Error::from_raw_os_error(code)));
            match active.fault {
                StorageFault::Stall { ms } => std::thread::sleep(Duration::from_millis(ms)),
                StorageFault::IoError => return error(EIO),
                StorageFault::NoSpace if modifies => return error(ENOSPC),
                _ => {}
            }
        }
        Ok(faults)
    }

    /// Copies the files for stale reads that have begun, deletes the files of data losses that have begun, and drops the
    /// state of faults that have ended.
    fn update_fault_state(&mut self, faults: &[ActiveFault]) -> Result<()> {
        self.stale_copies.retain(|id, _| faults.iter().any(|active| active.id == *id));
        self.applied_data_losses.retain(|id| faults.iter().any(|active| active.id == *id));
        for active in faults {
            if active.fault == StorageFault::StaleRead && !self.stale_copies.contains_key(&active.id) {
                let files = self.all_files()?;
                self.stale_copies.insert(active.id, files);
            }
            if active.fault == StorageFault::DataLoss && !self.applied_data_losses.contains(&active.id) {
                self.applied_data_losses.push(active.id);
                self.lose_data(active)?;
            }
        }
        Ok(())
    }

    /// Deletes the files to which a fault applies, and drops all cached changes.
    fn lose_data(&mut self, active: &ActiveFault) -> Result<()> {
        self.cache.clear();
        for name in self.storage.list()? {
            if active.applies_to(&name) {
                self.storage.remove(&name)?;
            }
        }
        Ok(())
    }

    /// Writes the cached changes to the wrapped storage.
    fn flush_cache(&mut self) -> Result<()> {
        for (name, cached) in std::mem::take(&mut self.cache) {
            match cached {
                Some(bytes) => self.storage.write(&name, &bytes)?,
                None => self.storage.remove(&name)?,
            }
        }
        Ok(())
    }

    /// Whether an operation on a file applies to the cache: syncs are lost, or the file is cached already.
    fn is_cached(&self, faults: &[ActiveFault], name: &str) -> bool {
        has_fault(faults, StorageFault::LostSync) || self.cache.contains_key(name)
    }

    /// Returns the files as they were when the first active stale read began.
    fn stale_files(&self, faults: &[ActiveFault]) -> Option<&Files> {
        let active = faults.iter().find(|active| active.fault == StorageFault::StaleRead)?;
        self.stale_copies.get(&active.id)
    }

    /// Returns the content of a file, including cached changes.
    fn current_content(&mut self, name: &str) -> Result<Option<Vec<u8>>> {
        match self.cache.get(name) {
            Some(cached) => Ok(cached.clone()),
            None => self.storage.read(name),
        }
    }

    /// Writes the bytes that the active faults let through, to the cache or to the wrapped storage.
    fn write_with_faults(
        &mut self,
        name: &str,
        bytes: &[u8],
        faults: &[ActiveFault],
        mode: WriteMode,
    ) -> Result<()> {
        let (stored, reports_failure) = stored_bytes(faults, bytes);
        if self.is_cached(faults, name) {
            let mut content = match mode {
                WriteMode::Append => self.current_content(name)?.unwrap_or_default(),
                WriteMode::Replace => Vec::new(),
            };
            content.extend_from_slice(stored);
            self.cache.insert(name.into(), Some(content));
        } else if mode == WriteMode::Append {
            self.storage.append(name, stored)?;
        } else {
            self.storage.write(name, stored)?;
        }
        if reports_failure {
            let message = format!("{} of {} bytes were written", stored.len(), bytes.len());
            return Err(StorageError::new("write", name, Error::new(ErrorKind::WriteZero, message)));
        }
        Ok(())
    }
}

impl<S: Storage> Storage for FaultInjectingStorage<S> {
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>> {
        let faults = self.apply_faults("read", name, false)?;
        let mut content = match self.stale_files(&faults) {
            Some(files) => files.get(name).cloned(),
            None => self.current_content(name)?,
        };
        if has_fault(&faults, StorageFault::BitFlip) {
            if let Some(bytes) = content.as_mut().filter(|bytes| !bytes.is_empty()) {
                let index = self.rng.usize(0..bytes.len());
                bytes[index] ^= 1 << self.rng.u8(0..8);
            }
        }
        Ok(content)
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let faults = self.apply_faults("write", name, true)?;
        self.write_with_faults(name, bytes, &faults, WriteMode::Replace)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let faults = self.apply_faults("append to", name, true)?;
        self.write_with_faults(name, bytes, &faults, WriteMode::Append)
    }

    fn truncate(&mut self, name: &str, len: u64) -> Result<()> {
        let faults = self.apply_faults("cut", name, true)?;
        if self.is_cached(&faults, name) {
            let mut content = self.current_content(name)?.unwrap_or_default();
            content.truncate(len as usize);
            self.cache.insert(name.into(), Some(content));
            return Ok(());
        }
        self.storage.truncate(name, len)
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        let faults = self.apply_faults("sync", name, false)?;
        if self.is_cached(&faults, name) {
            return Ok(());
        }
        self.storage.sync(name)
    }

    fn sync_directory(&mut self) -> Result<()> {
        let faults = self.apply_faults("sync", "", false)?;
        if has_fault(&faults, StorageFault::LostSync) {
            return Ok(());
        }
        self.storage.sync_directory()
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        let faults = self.apply_faults("rename", from, true)?;
        if has_fault(&faults, StorageFault::LostRename) {
            return Ok(());
        }
        if self.is_cached(&faults, from) {
            let content = self.current_content(from)?;
            self.cache.insert(to.into(), content);
            self.cache.insert(from.into(), None);
            return Ok(());
        }
        self.storage.rename(from, to)
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        let faults = self.apply_faults("remove", name, true)?;
        if self.is_cached(&faults, name) {
            self.cache.insert(name.into(), None);
            return Ok(());
        }
        self.storage.remove(name)
    }

    fn list(&mut self) -> Result<Vec<String>> {
        let faults = self.apply_faults("list", "", false)?;
        if let Some(files) = self.stale_files(&faults) {
            return Ok(files.keys().cloned().collect());
        }
        let mut names = self.storage.list()?;
        names.retain(|name| !matches!(self.cache.get(name), Some(None)));
        let cached = self.cache.iter().filter(|(_, content)| content.is_some());
        names.extend(cached.map(|(name, _)| name.clone()));
        names.sort_unstable();
        names.dedup();
        Ok(names)
    }
}
