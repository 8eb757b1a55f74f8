//! A disk in memory, whose power can be cut at any step.

use crate::{Disk, Fault, Result};
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};

/// One step that has not been made to last: what a power cut may or may not leave of it.
#[derive(Clone, Debug)]
enum Step {
    /// A file is these bytes; the number it has had since it was made.
    Write(u64, Vec<u8>),
    Append(u64, Vec<u8>),
    Cut(u64, u64),
}

/// What is there, by name: the number of the file.
type Names = BTreeMap<String, u64>;

/// A disk in memory. What was not synced may be lost in a power cut: whole, in part, or not at all, by draws from a seed.
#[derive(Clone, Debug)]
pub struct Memory {
    /// As a reader sees it, and as it would be after the worst power cut.
    names: Names,
    kept_names: Names,
    files: BTreeMap<u64, Vec<u8>>,
    kept_files: BTreeMap<u64, Vec<u8>>,
    /// What has been done since, by order.
    open: Vec<Step>,
    next: u64,
    rng: fastrand::Rng,
    steps: u64,
    /// After so many further steps everything fails, as for a process that is killed there.
    pub dies_after: Option<u64>,
}

impl Memory {
    /// An empty one; power cuts are drawn from the seed.
    pub fn new(seed: u64) -> Memory {
        Memory {
            names: Names::new(),
            kept_names: Names::new(),
            files: BTreeMap::new(),
            kept_files: BTreeMap::new(),
            open: Vec::new(),
            next: 0,
            rng: fastrand::Rng::with_seed(seed),
            steps: 0,
            dies_after: None,
        }
    }

    /// Steps that changed something or made it last, so far.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// The power is cut and comes back: what was made to last is there; of the rest each step may be there, in part, or not.
    pub fn power_cut(&mut self) {
        self.dies_after = None;
        let mut files = std::mem::take(&mut self.kept_files);
        for step in std::mem::take(&mut self.open) {
            match (step, self.rng.u8(0..3)) {
                (_, 0) => {}
                (Step::Write(n, bytes), all) => {
                    let part = if all == 1 { bytes.len() } else { self.rng.usize(0..=bytes.len()) };
                    files.insert(n, bytes[..part].to_vec());
                }
                (Step::Append(n, bytes), all) => {
                    let part = if all == 1 { bytes.len() } else { self.rng.usize(0..=bytes.len()) };
                    files.entry(n).or_default().extend_from_slice(&bytes[..part]);
                }
                (Step::Cut(n, len), _) => files.entry(n).or_default().truncate(len as usize),
            }
        }
        // Names come to the disk in their order or not at all: the folder is written as one.
        if self.rng.bool() {
            self.kept_names = self.names.clone();
        }
        self.names = self.kept_names.clone();
        files.retain(|n, _| self.names.values().any(|m| m == n));
        for n in self.names.values() {
            files.entry(*n).or_default();
        }
        self.files = files.clone();
        self.kept_files = files;
    }

    fn step(&mut self, doing: &'static str, name: &str) -> Result<()> {
        if self.dies_after == Some(0) {
            return Err(Fault::of(doing, name, Error::new(ErrorKind::Interrupted, "the process is dead")));
        }
        self.dies_after = self.dies_after.map(|left| left - 1);
        self.steps += 1;
        Ok(())
    }

    fn missing(doing: &'static str, name: &str) -> Fault {
        Fault::of(doing, name, Error::new(ErrorKind::NotFound, "it is not there"))
    }

    fn number(&mut self, name: &str) -> u64 {
        let next = &mut self.next;
        *self.names.entry(name.into()).or_insert_with(|| {
            *next += 1;
            *next
        })
    }
}

impl Disk for Memory {
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>> {
        Ok(self.names.get(name).map(|n| self.files.get(n).cloned().unwrap_or_default()))
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.step("write", name)?;
        let n = self.number(name);
        self.files.insert(n, bytes.to_vec());
        self.open.push(Step::Write(n, bytes.to_vec()));
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.step("append to", name)?;
        let n = self.number(name);
        self.files.entry(n).or_default().extend_from_slice(bytes);
        self.open.push(Step::Append(n, bytes.to_vec()));
        Ok(())
    }

    fn cut(&mut self, name: &str, len: u64) -> Result<()> {
        self.step("cut", name)?;
        let n = *self.names.get(name).ok_or_else(|| Self::missing("cut", name))?;
        let file = self.files.entry(n).or_default();
        file.resize(len as usize, 0);
        self.open.push(Step::Cut(n, len));
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.step("sync", name)?;
        let n = *self.names.get(name).ok_or_else(|| Self::missing("sync", name))?;
        let now = self.files.get(&n).cloned().unwrap_or_default();
        self.kept_files.insert(n, now);
        self.open.retain(
            |step| !matches!(step, Step::Write(m, _) | Step::Append(m, _) | Step::Cut(m, _) if *m == n),
        );
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<()> {
        self.step("sync", "")?;
        self.kept_names = self.names.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.step("rename", from)?;
        let n = self.names.remove(from).ok_or_else(|| Self::missing("rename", from))?;
        self.names.insert(to.into(), n);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        self.step("remove", name)?;
        self.names.remove(name);
        Ok(())
    }

    fn list(&mut self) -> Result<Vec<String>> {
        Ok(self.names.keys().cloned().collect())
    }
}
