//! A log of entries: each framed, numbered and checked, so that what is read back was written, whole and in that order.

use crate::{array, Disk, Fault, Result};
use std::io::{Error, ErrorKind};

/// The longest entry, in bytes: what says of itself that it is longer was not written by a log.
pub const LONGEST_ENTRY: usize = 16 * 1024 * 1024;

const MAGIC: &[u8; 4] = b"LRlg";
const VERSION: u16 = 1;
/// Magic, version, kind, and the check of these.
const HEAD: usize = 4 + 2 + 4 + 4;
/// Length, number, and the check of these and the bytes.
const FRAME: usize = 4 + 8 + 4;

/// How a log that was found ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tail {
    /// With its last entry.
    Whole,
    /// With a part of one that was being written: so many bytes from a place on. Nothing that was made to last is missing,
    /// if the disk told the truth.
    Torn {
        /// The byte at which it begins.
        at: u64,
        /// How many there are.
        bytes: u64,
    },
    /// In its midst: there are whole entries behind what cannot be read, or the head is another's. What follows is not given.
    Broken {
        /// The byte.
        at: u64,
        /// What was found, and what was expected.
        what: String,
    },
}

/// What was found at the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// The entries, up to where the log breaks.
    pub entries: Vec<Vec<u8>>,
    /// The number of the first of them.
    pub first: u64,
    /// How it ends.
    pub tail: Tail,
}

/// A log that is being written.
#[derive(Debug)]
pub struct Log {
    name: String,
    kind: u32,
    next: u64,
    len: u64,
    /// That the file is there lasts.
    made: bool,
    /// Something could not be written or made to last, or the log is broken: nothing more is written until it is opened anew.
    failed: Option<String>,
}

fn head(kind: u32) -> Vec<u8> {
    let mut bytes = [&MAGIC[..], &VERSION.to_le_bytes(), &kind.to_le_bytes()].concat();
    bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
    bytes
}

fn frame(number: u64, entry: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME + entry.len());
    bytes.extend((entry.len() as u32).to_le_bytes());
    bytes.extend(number.to_le_bytes());
    let mut check = crc32fast::Hasher::new();
    check.update(&bytes);
    check.update(entry);
    bytes.extend(check.finalize().to_le_bytes());
    bytes.extend(entry);
    bytes
}

/// The entry at a place, with its number and where the next begins.
fn entry(bytes: &[u8], at: usize) -> Option<(u64, &[u8], usize)> {
    let len = u32::from_le_bytes(array(bytes, at)?) as usize;
    if len > LONGEST_ENTRY {
        return None;
    }
    let number = u64::from_le_bytes(array(bytes, at + 4)?);
    let said = u32::from_le_bytes(array(bytes, at + 12)?);
    let body = bytes.get(at + FRAME..at + FRAME + len)?;
    let mut check = crc32fast::Hasher::new();
    check.update(&bytes[at..at + 12]);
    check.update(body);
    (check.finalize() == said).then_some((number, body, at + FRAME + len))
}

/// Reads the whole of a log.
fn read(bytes: &[u8], kind: u32) -> Found {
    let mut found = Found { entries: Vec::new(), first: 0, tail: Tail::Whole };
    let expected = head(kind);
    if bytes.len() < HEAD && expected.starts_with(bytes) {
        if !bytes.is_empty() {
            found.tail = Tail::Torn { at: 0, bytes: bytes.len() as u64 };
        }
        return found;
    }
    if !bytes.starts_with(&expected) {
        found.tail = Tail::Broken { at: 0, what: foreign(bytes, kind) };
        return found;
    }
    let (mut at, mut next) = (HEAD, None);
    while at < bytes.len() {
        match entry(bytes, at) {
            Some((number, body, behind)) if next.is_none_or(|next| next == number) => {
                if next.is_none() {
                    found.first = number;
                }
                found.entries.push(body.to_vec());
                (next, at) = (Some(number + 1), behind);
            }
            Some((number, ..)) => {
                let what = format!("entry {number}, expected {}", next.unwrap_or_default());
                found.tail = Tail::Broken { at: at as u64, what };
                return found;
            }
            None => {
                found.tail = ends(bytes, at, next);
                return found;
            }
        }
    }
    found
}

/// What it is that cannot be read: the last entry, half written, or one with others behind it.
fn ends(bytes: &[u8], at: usize, next: Option<u64>) -> Tail {
    let behind = (at + 1..bytes.len()).find_map(|n| Some((n, entry(bytes, n)?.0)));
    match behind {
        Some((n, number)) if next.is_none_or(|next| number >= next) => {
            let expected = next.map_or("the first entry".into(), |next| format!("entry {next}"));
            let what =
                format!("{} bytes that are no entry before entry {number}, expected {expected}", n - at);
            Tail::Broken { at: at as u64, what }
        }
        _ => Tail::Torn { at: at as u64, bytes: (bytes.len() - at) as u64 },
    }
}

fn foreign(bytes: &[u8], kind: u32) -> String {
    if !bytes.starts_with(MAGIC) {
        return "it does not begin as a log does".into();
    }
    let version = array(bytes, 4).map(u16::from_le_bytes);
    match (version, array(bytes, 6).map(u32::from_le_bytes)) {
        (Some(version), _) if version != VERSION => format!("a log of version {version}, expected {VERSION}"),
        (_, Some(other)) if other != kind => format!("a log of kind {other}, expected {kind}"),
        _ => "its head is damaged".into(),
    }
}

impl Log {
    /// Opens a log, or makes one. A torn tail is cut off; a broken log is left as it is and can't be written: see
    /// [`Log::set_aside`].
    ///
    /// # Errors
    /// It cannot be read, or the tail not be cut.
    pub fn open(disk: &mut dyn Disk, name: &str, kind: u32) -> Result<(Log, Found)> {
        let bytes = disk.read(name)?;
        let made = bytes.as_ref().is_some_and(|bytes| bytes.len() >= HEAD);
        let bytes = bytes.unwrap_or_default();
        let found = read(&bytes, kind);
        let next = found.first + found.entries.len() as u64;
        let mut log = Log { name: name.into(), kind, next, len: bytes.len() as u64, made, failed: None };
        match &found.tail {
            Tail::Whole => {}
            Tail::Torn { at, .. } => {
                disk.cut(name, *at)?;
                disk.sync(name)?;
                (log.len, log.made) = (*at, *at > 0);
            }
            Tail::Broken { at, what } => log.failed = Some(format!("broken at byte {at}: {what}")),
        }
        Ok((log, found))
    }

    /// The number that the next entry gets.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// How many bytes there are.
    pub fn bytes(&self) -> u64 {
        self.len
    }

    /// The next entry gets this number, if the log has none yet: it goes on where another was set aside or thrown away.
    pub fn go_on_from(&mut self, number: u64) {
        if self.len <= HEAD as u64 {
            self.next = number;
        }
    }

    fn usable(&self, doing: &'static str) -> Result<()> {
        match &self.failed {
            None => Ok(()),
            Some(why) => Err(Fault::of(doing, &self.name, Error::new(ErrorKind::InvalidData, why.clone()))),
        }
    }

    /// Notes a failure, after which the log must be opened anew: what it holds is not known.
    fn failing(&mut self, done: Result<()>) -> Result<()> {
        if let Err(fault) = &done {
            self.failed = Some(format!("it failed before: {fault}"));
        }
        done
    }

    /// Puts an entry behind the others. It lasts once [`Log::sync`] has said yes.
    ///
    /// # Errors
    /// It cannot be written, or is too long (which leaves the log as it is).
    pub fn append(&mut self, disk: &mut dyn Disk, entry: &[u8]) -> Result<u64> {
        self.usable("append to")?;
        if entry.len() > LONGEST_ENTRY {
            let what = format!("an entry of {} bytes, expected {LONGEST_ENTRY} at most", entry.len());
            return Err(Fault::of("append to", &self.name, Error::new(ErrorKind::InvalidInput, what)));
        }
        let mut bytes = if self.len > 0 { Vec::new() } else { head(self.kind) };
        bytes.extend(frame(self.next, entry));
        let done = disk.append(&self.name, &bytes);
        self.failing(done)?;
        self.len += bytes.len() as u64;
        self.next += 1;
        Ok(self.next - 1)
    }

    /// What was appended lasts from now on.
    ///
    /// # Errors
    /// It may not: the log must be opened anew, which tells what is there.
    pub fn sync(&mut self, disk: &mut dyn Disk) -> Result<()> {
        self.usable("sync")?;
        if self.len == 0 {
            return Ok(());
        }
        let mut done = disk.sync(&self.name);
        if done.is_ok() && !self.made {
            done = disk.sync_folder();
        }
        self.made = true;
        self.failing(done)
    }

    /// Gives a broken log another name, under which nothing touches it, and goes on with an empty one.
    ///
    /// # Errors
    /// It cannot be renamed.
    pub fn set_aside(&mut self, disk: &mut dyn Disk) -> Result<String> {
        let names = disk.list()?;
        let free = (1u64..).map(|n| format!("{}.damaged-{n}", self.name)).find(|name| !names.contains(name));
        let aside = free.unwrap_or_default();
        disk.rename(&self.name, &aside)?;
        disk.sync_folder()?;
        (self.len, self.made, self.failed) = (0, false, None);
        Ok(aside)
    }
}
