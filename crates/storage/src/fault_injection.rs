//! Storage that injects faults into the operations of another one.

use crate::fault::ActiveFault;
use crate::{FaultSchedule, Result, Storage, StorageError, StorageFault};
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};
use std::time::Duration;

const EIO: i32 = 5;
const ENOSPC: i32 = 28;

/// Content by file name.
type Files = BTreeMap<String, Vec<u8>>;

/// Storage that forwards to another one and injects the active faults of a schedule.
#[derive(Debug)]
pub struct FaultInjectingStorage<S> {
    storage: S,
    schedule: FaultSchedule,
    /// Content from when a [`StorageFault::StaleRead`] began, by the id of the fault.
    stale: BTreeMap<u32, Files>,
    /// The cache while syncs are lost: content by file name, `None` for a removed file.
    cache: BTreeMap<String, Option<Vec<u8>>>,
    /// Ids of the [`StorageFault::DataLoss`] faults that have been carried out.
    data_lost: Vec<u32>,
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

/// The part of the bytes that a write stores, and whether the write reports a failure.
fn stored_part<'a>(faults: &[ActiveFault], bytes: &'a [u8]) -> (&'a [u8], bool) {
    let part = |ratio: f64| {
        let len = (bytes.len() as f64 * ratio.clamp(0.0, 1.0)) as usize;
        &bytes[..len.min(bytes.len())]
    };
    faults
        .iter()
        .find_map(|active| match active.fault {
            StorageFault::ShortWrite { stored_ratio } => Some((part(stored_ratio), true)),
            StorageFault::TornWrite { stored_ratio } => Some((part(stored_ratio), false)),
            _ => None,
        })
        .unwrap_or((bytes, false))
}

impl<S: Storage> FaultInjectingStorage<S> {
    /// Wraps another storage; what the faults leave open is drawn from the seed.
    pub fn new(storage: S, schedule: FaultSchedule, seed: u64) -> FaultInjectingStorage<S> {
        let rng = fastrand::Rng::with_seed(seed);
        FaultInjectingStorage {
            storage,
            schedule,
            stale: BTreeMap::new(),
            cache: BTreeMap::new(),
            data_lost: Vec::new(),
            rng,
        }
    }

    /// The wrapped storage, without what is in the cache.
    pub fn into_inner(self) -> S {
        self.storage
    }

    /// The current content of all files, the cache included.
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

    /// Carries out what faults do at their begin and end, then those that affect every operation. Returns the faults that
    /// apply to the file; a directory operation has an empty name and meets the faults of any file.
    fn apply_faults(
        &mut self,
        operation: &'static str,
        name: &str,
        writes: bool,
    ) -> Result<Vec<ActiveFault>> {
        let mut faults = self.schedule.current();
        self.begin_faults(&faults)?;
        if !has_fault(&faults, StorageFault::LostSync) {
            self.flush_cache()?;
        }
        faults.retain(|active| name.is_empty() || active.applies_to(name));
        for active in &faults {
            let error = |code| Err(StorageError::new(operation, name, Error::from_raw_os_error(code)));
            match active.fault {
                StorageFault::Stall { ms } => std::thread::sleep(Duration::from_millis(ms)),
                StorageFault::IoError => return error(EIO),
                StorageFault::NoSpace if writes => return error(ENOSPC),
                _ => {}
            }
        }
        Ok(faults)
    }

    fn begin_faults(&mut self, faults: &[ActiveFault]) -> Result<()> {
        self.stale.retain(|id, _| faults.iter().any(|active| active.id == *id));
        self.data_lost.retain(|id| faults.iter().any(|active| active.id == *id));
        for active in faults {
            if active.fault == StorageFault::StaleRead && !self.stale.contains_key(&active.id) {
                let files = self.all_files()?;
                self.stale.insert(active.id, files);
            }
            if active.fault == StorageFault::DataLoss && !self.data_lost.contains(&active.id) {
                self.data_lost.push(active.id);
                self.lose_data(active)?;
            }
        }
        Ok(())
    }

    fn lose_data(&mut self, active: &ActiveFault) -> Result<()> {
        self.cache.clear();
        for name in self.storage.list()? {
            if active.applies_to(&name) {
                self.storage.remove(&name)?;
            }
        }
        Ok(())
    }

    fn flush_cache(&mut self) -> Result<()> {
        for (name, cached) in std::mem::take(&mut self.cache) {
            match cached {
                Some(bytes) => self.storage.write(&name, &bytes)?,
                None => self.storage.remove(&name)?,
            }
        }
        Ok(())
    }

    /// Whether an operation on a file stays in the cache: syncs are lost, or the file is in the cache already.
    fn is_cached(&self, faults: &[ActiveFault], name: &str) -> bool {
        has_fault(faults, StorageFault::LostSync) || self.cache.contains_key(name)
    }

    fn stale_files(&self, faults: &[ActiveFault]) -> Option<&Files> {
        let active = faults.iter().find(|active| active.fault == StorageFault::StaleRead)?;
        self.stale.get(&active.id)
    }

    fn current_content(&mut self, name: &str) -> Result<Option<Vec<u8>>> {
        match self.cache.get(name) {
            Some(cached) => Ok(cached.clone()),
            None => self.storage.read(name),
        }
    }

    fn store(&mut self, name: &str, bytes: &[u8], faults: &[ActiveFault], mode: WriteMode) -> Result<()> {
        let (part, reports_failure) = stored_part(faults, bytes);
        if self.is_cached(faults, name) {
            let mut content = match mode {
                WriteMode::Append => self.current_content(name)?.unwrap_or_default(),
                WriteMode::Replace => Vec::new(),
            };
            content.extend_from_slice(part);
            self.cache.insert(name.into(), Some(content));
        } else if mode == WriteMode::Append {
            self.storage.append(name, part)?;
        } else {
            self.storage.write(name, part)?;
        }
        if reports_failure {
            let message = format!("{} of {} bytes were written", part.len(), bytes.len());
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
        self.store(name, bytes, &faults, WriteMode::Replace)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let faults = self.apply_faults("append to", name, true)?;
        self.store(name, bytes, &faults, WriteMode::Append)
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
