//! A disk that lies on command.

use crate::{Disk, Fault, Result};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// What a disk does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "lie")]
pub enum Lie {
    /// Writes this share of the bytes and says that it failed.
    ShortWrite {
        /// From 0 to 1.
        share: f64,
    },
    /// Writes this share of the bytes and says yes.
    TornWrite {
        /// From 0 to 1.
        share: f64,
    },
    /// Says yes to a sync and keeps nothing: what is written is there until the process ends.
    EmptySync,
    /// Fails with EIO whatever is asked.
    Io,
    /// Fails with ENOSPC whatever is written.
    Full,
    /// Takes so long for whatever is asked.
    Stall {
        /// Milliseconds.
        ms: u64,
    },
    /// Gives back what was there when the lie began.
    Old,
    /// Flips a bit of whatever is read.
    Flip,
    /// Says yes to a rename and does nothing.
    LostRename,
    /// All is gone, from the moment on at which the lie began.
    Gone,
}

/// A lie that holds, and for which files.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Told {
    id: u32,
    #[serde(flatten)]
    lie: Lie,
    /// Files whose names begin with this; all where it is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    file: Option<String>,
}

impl Told {
    fn strikes(&self, name: &str) -> bool {
        self.file.as_ref().is_none_or(|file| name.starts_with(file))
    }
}

/// Whether a lie is among these.
fn tells(here: &[Told], lie: Lie) -> bool {
    here.iter().any(|told| told.lie == lie)
}

/// The lies that hold now: told by a test of this process, or by a file that another process writes.
#[derive(Clone, Debug, Default)]
pub struct Lies {
    told: Arc<Mutex<Vec<Told>>>,
    file: Option<PathBuf>,
}

impl Lies {
    /// None yet.
    pub fn new() -> Lies {
        Lies::default()
    }

    /// Those of a file, read at each step: a line for each, `{"id": 1, "lie": "torn-write", "share": 0.5, "file": "record"}`.
    /// A file that is not there holds none. One that cannot be read or understood is none either, and said on the log: it is
    /// written by the kit's own hand.
    pub fn from_file(path: &Path) -> Lies {
        Lies { told: Arc::default(), file: Some(path.into()) }
    }

    fn told(&self) -> MutexGuard<'_, Vec<Told>> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A lie holds from now on, for files whose names begin so.
    pub fn begin(&self, id: u32, lie: Lie, file: Option<&str>) {
        self.told().push(Told { id, lie, file: file.map(Into::into) });
    }

    /// What began under this number is over.
    pub fn end(&self, id: u32) {
        self.told().retain(|told| told.id != id);
    }

    /// Writes those that hold to a file for another process, whole or not at all.
    ///
    /// # Errors
    /// It cannot be written.
    pub fn write_to(&self, path: &Path) -> std::io::Result<()> {
        let lines: Vec<String> =
            self.told().iter().filter_map(|told| serde_json::to_string(told).ok()).collect();
        let new = path.with_extension("new");
        std::fs::write(&new, lines.join("\n"))?;
        std::fs::rename(new, path)
    }

    fn now(&self) -> Vec<Told> {
        let mut all = self.told().clone();
        let text = self.file.as_ref().and_then(|path| std::fs::read_to_string(path).ok()).unwrap_or_default();
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match serde_json::from_str(line) {
                Ok(told) => all.push(told),
                Err(e) => eprintln!("liftrouter: a lie of the disk that is none: {line}: {e}"),
            }
        }
        all
    }
}

/// What was there when a lie began.
type Before = BTreeMap<String, Vec<u8>>;

/// A disk before another one, which lies while it is told to.
#[derive(Debug)]
pub struct Lying<D> {
    disk: D,
    lies: Lies,
    /// By the number of the lie: what was there when it began, for those that give it back.
    before: BTreeMap<u32, Before>,
    /// What is written while syncs keep nothing: whole files, or none where one was removed.
    held: BTreeMap<String, Option<Vec<u8>>>,
    /// Lies that have made everything go.
    went: Vec<u32>,
    rng: fastrand::Rng,
}

impl<D: Disk> Lying<D> {
    /// Before a disk; what is left open is drawn from the seed.
    pub fn new(disk: D, lies: Lies, seed: u64) -> Lying<D> {
        let rng = fastrand::Rng::with_seed(seed);
        Lying { disk, lies, before: BTreeMap::new(), held: BTreeMap::new(), went: Vec::new(), rng }
    }

    /// The disk behind it, as it is without what was held back.
    pub fn into_inner(self) -> D {
        self.disk
    }

    /// Everything as it is now, as this disk shows it.
    fn all(&mut self) -> Result<Before> {
        let mut all = Before::new();
        for name in self.disk.list()? {
            if let Some(bytes) = self.disk.read(&name)? {
                all.insert(name, bytes);
            }
        }
        for (name, bytes) in &self.held {
            match bytes {
                Some(bytes) => drop(all.insert(name.clone(), bytes.clone())),
                None => drop(all.remove(name)),
            }
        }
        Ok(all)
    }

    /// The lies for a file, after what holds for any step is done: stalls, failures, what begins and ends.
    fn step(&mut self, doing: &'static str, name: &str, writes: bool) -> Result<Vec<Told>> {
        let now = self.lies.now();
        self.before.retain(|id, _| now.iter().any(|told| told.id == *id));
        self.went.retain(|id| now.iter().any(|told| told.id == *id));
        for told in &now {
            if told.lie == Lie::Old && !self.before.contains_key(&told.id) {
                let all = self.all()?;
                self.before.insert(told.id, all);
            }
            if told.lie == Lie::Gone && !self.went.contains(&told.id) {
                self.went.push(told.id);
                self.held.clear();
                for name in self.disk.list()? {
                    if told.strikes(&name) {
                        self.disk.remove(&name)?;
                    }
                }
            }
        }
        if !tells(&now, Lie::EmptySync) && !self.held.is_empty() {
            // The cache comes to the disk after all.
            for (name, bytes) in std::mem::take(&mut self.held) {
                match bytes {
                    Some(bytes) => self.disk.write(&name, &bytes)?,
                    None => self.disk.remove(&name)?,
                }
            }
        }
        // What is done to the folder meets the lies for any file.
        let here: Vec<Told> = now.into_iter().filter(|told| name.is_empty() || told.strikes(name)).collect();
        for told in &here {
            match told.lie {
                Lie::Stall { ms } => std::thread::sleep(Duration::from_millis(ms)),
                Lie::Io => return Err(Fault::of(doing, name, Error::from_raw_os_error(5))),
                Lie::Full if writes => return Err(Fault::of(doing, name, Error::from_raw_os_error(28))),
                _ => {}
            }
        }
        Ok(here)
    }

    /// Whether what is done to a file stays in the cache: it is to keep nothing, or holds the file already.
    fn holds(&self, here: &[Told], name: &str) -> bool {
        tells(here, Lie::EmptySync) || self.held.contains_key(name)
    }

    /// What there was when a lie that gives it back began.
    fn old(&self, here: &[Told]) -> Option<&Before> {
        let told = here.iter().find(|told| told.lie == Lie::Old)?;
        self.before.get(&told.id)
    }

    fn current(&mut self, name: &str) -> Result<Option<Vec<u8>>> {
        match self.held.get(name) {
            Some(held) => Ok(held.clone()),
            None => self.disk.read(name),
        }
    }

    /// The part of the bytes that is written, and whether that is told as a failure.
    fn part<'a>(here: &[Told], bytes: &'a [u8]) -> (&'a [u8], bool) {
        let cut =
            |share: f64| &bytes[..((bytes.len() as f64 * share.clamp(0.0, 1.0)) as usize).min(bytes.len())];
        here.iter()
            .find_map(|told| match told.lie {
                Lie::ShortWrite { share } => Some((cut(share), true)),
                Lie::TornWrite { share } => Some((cut(share), false)),
                _ => None,
            })
            .unwrap_or((bytes, false))
    }

    fn put(&mut self, name: &str, bytes: &[u8], here: &[Told], appends: bool) -> Result<()> {
        let (part, fails) = Self::part(here, bytes);
        if self.holds(here, name) {
            let mut whole = if appends { self.current(name)?.unwrap_or_default() } else { Vec::new() };
            whole.extend_from_slice(part);
            self.held.insert(name.into(), Some(whole));
        } else if appends {
            self.disk.append(name, part)?;
        } else {
            self.disk.write(name, part)?;
        }
        if fails {
            let what = format!("{} of {} bytes were written", part.len(), bytes.len());
            return Err(Fault::of("write", name, Error::new(ErrorKind::WriteZero, what)));
        }
        Ok(())
    }
}

impl<D: Disk> Disk for Lying<D> {
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>> {
        let here = self.step("read", name, false)?;
        let mut bytes = match self.old(&here) {
            Some(before) => before.get(name).cloned(),
            None => self.current(name)?,
        };
        if tells(&here, Lie::Flip) {
            if let Some(bytes) = bytes.as_mut().filter(|bytes| !bytes.is_empty()) {
                let at = self.rng.usize(0..bytes.len());
                bytes[at] ^= 1 << self.rng.u8(0..8);
            }
        }
        Ok(bytes)
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let here = self.step("write", name, true)?;
        self.put(name, bytes, &here, false)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let here = self.step("append to", name, true)?;
        self.put(name, bytes, &here, true)
    }

    fn cut(&mut self, name: &str, len: u64) -> Result<()> {
        let here = self.step("cut", name, true)?;
        if self.holds(&here, name) {
            let mut bytes = self.current(name)?.unwrap_or_default();
            bytes.truncate(len as usize);
            self.held.insert(name.into(), Some(bytes));
            return Ok(());
        }
        self.disk.cut(name, len)
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        let here = self.step("sync", name, false)?;
        if self.holds(&here, name) {
            return Ok(());
        }
        self.disk.sync(name)
    }

    fn sync_folder(&mut self) -> Result<()> {
        let here = self.step("sync", "", false)?;
        if tells(&here, Lie::EmptySync) {
            return Ok(());
        }
        self.disk.sync_folder()
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        let here = self.step("rename", from, true)?;
        if tells(&here, Lie::LostRename) {
            return Ok(());
        }
        if self.holds(&here, from) {
            let bytes = self.current(from)?;
            self.held.insert(to.into(), bytes);
            self.held.insert(from.into(), None);
            return Ok(());
        }
        self.disk.rename(from, to)
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        let here = self.step("remove", name, true)?;
        if self.holds(&here, name) {
            self.held.insert(name.into(), None);
            return Ok(());
        }
        self.disk.remove(name)
    }

    fn list(&mut self) -> Result<Vec<String>> {
        let here = self.step("list", "", false)?;
        if let Some(before) = self.old(&here) {
            return Ok(before.keys().cloned().collect());
        }
        let mut names: Vec<String> = self.disk.list()?;
        names.retain(|name| !matches!(self.held.get(name), Some(None)));
        names.extend(self.held.iter().filter(|(_, bytes)| bytes.is_some()).map(|(name, _)| name.clone()));
        names.sort_unstable();
        names.dedup();
        Ok(names)
    }
}
