//! Snapshots in two generations: a new one takes the place of the older, so that the newer is there whatever happens.

use crate::{array, Disk, Fault, Result};
use std::io::{Error, ErrorKind};

const MAGIC: &[u8; 4] = b"LRsn";
const VERSION: u16 = 1;
/// Magic, format's version, kind, the kind's own version, generation, length.
const HEAD: usize = 4 + 2 + 4 + 2 + 8 + 8;

/// Snapshots of one kind, under one name.
#[derive(Debug)]
pub struct Snapshots {
    name: String,
    kind: u32,
    version: u16,
    /// The generation of the last one that is known.
    last: u64,
}

/// A snapshot that was found whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Whole {
    /// Counts up from 1 with each that is stored.
    pub generation: u64,
    /// What was stored.
    pub bytes: Vec<u8>,
}

/// One that was refused, whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The file.
    pub file: String,
    /// What was found, and what was expected.
    pub what: String,
}

/// So many bytes of what is known to be long enough.
fn word<const N: usize>(bytes: &[u8], at: usize) -> [u8; N] {
    array(bytes, at).unwrap_or([0; N])
}

impl Snapshots {
    /// Those under a name. `kind` tells them from other stores', `version` from those of other versions of the program.
    pub fn new(name: &str, kind: u32, version: u16) -> Snapshots {
        Snapshots { name: name.into(), kind, version, last: 0 }
    }

    fn file(&self, generation: u64) -> String {
        format!("{}.{}", self.name, generation % 2)
    }

    fn whole(&self, generation: u64, bytes: &[u8]) -> Vec<u8> {
        let mut all = Vec::with_capacity(HEAD + bytes.len() + 4);
        all.extend(MAGIC);
        all.extend(VERSION.to_le_bytes());
        all.extend(self.kind.to_le_bytes());
        all.extend(self.version.to_le_bytes());
        all.extend(generation.to_le_bytes());
        all.extend((bytes.len() as u64).to_le_bytes());
        all.extend(bytes);
        all.extend(crc32fast::hash(&all).to_le_bytes());
        all
    }

    /// What a file holds, or why it is refused.
    fn check(&self, all: &[u8]) -> std::result::Result<Whole, String> {
        if all.len() < HEAD + 4 {
            return Err(format!("{} bytes, expected {} at least: it is torn", all.len(), HEAD + 4));
        }
        if !all.starts_with(MAGIC) {
            return Err("it does not begin as a snapshot does".into());
        }
        let version = u16::from_le_bytes(word(all, 4));
        if version != VERSION {
            return Err(format!("a snapshot of format {version}, expected {VERSION}"));
        }
        let len = u64::from_le_bytes(word(all, 20));
        let expected = len.saturating_add(HEAD as u64 + 4);
        if all.len() as u64 != expected {
            return Err(format!("{} bytes, expected {expected}: it is torn", all.len()));
        }
        let said = u32::from_le_bytes(word(all, all.len() - 4));
        let found = crc32fast::hash(&all[..all.len() - 4]);
        if said != found {
            return Err(format!("its checksum is {found:08x}, expected {said:08x}: bytes of it are changed"));
        }
        let kind = u32::from_le_bytes(word(all, 6));
        if kind != self.kind {
            return Err(format!("a snapshot of kind {kind}, expected {}: it is another store's", self.kind));
        }
        let version = u16::from_le_bytes(word(all, 10));
        if version != self.version {
            let which = if version > self.version { "a later" } else { "an earlier" };
            return Err(format!("it is of version {version}, expected {}: {which} program's", self.version));
        }
        let generation = u64::from_le_bytes(word(all, 12));
        Ok(Whole { generation, bytes: all[HEAD..all.len() - 4].to_vec() })
    }

    /// The newest that is whole, and all that are refused. Whether a disk gave back an old one as the newest, it alone cannot
    /// tell: hold the generation against what others know.
    ///
    /// # Errors
    /// A file cannot be read, and no other is whole.
    pub fn load(&mut self, disk: &mut dyn Disk) -> Result<(Option<Whole>, Vec<Refused>)> {
        let (mut newest, mut refused, mut failed) = (None::<Whole>, Vec::new(), None);
        for parity in 0..2 {
            let file = self.file(parity);
            match disk.read(&file) {
                Ok(None) => {}
                Ok(Some(all)) => match self.check(&all) {
                    Ok(whole) if whole.generation % 2 != parity => {
                        let what =
                            format!("generation {} under this name: it is misplaced", whole.generation);
                        refused.push(Refused { file, what });
                    }
                    Ok(whole) => {
                        if newest.as_ref().is_none_or(|n| whole.generation > n.generation) {
                            newest = Some(whole);
                        }
                    }
                    Err(what) => refused.push(Refused { file, what }),
                },
                Err(fault) => failed = Some(fault),
            }
        }
        self.last = self.last.max(newest.as_ref().map_or(0, |whole| whole.generation));
        match (newest, failed) {
            (None, Some(fault)) => Err(fault),
            (newest, _) => Ok((newest, refused)),
        }
    }

    /// Stores one in place of the older of two; gives its generation. It is read back before it takes the place, so that a
    /// write that said yes and tore leaves both as they were.
    ///
    /// # Errors
    /// It cannot be written, made to last or read back. The newer of the two is there as before.
    pub fn store(&mut self, disk: &mut dyn Disk, bytes: &[u8]) -> Result<u64> {
        let generation = self.last + 1;
        let (all, new) = (self.whole(generation, bytes), format!("{}.new", self.name));
        disk.write(&new, &all)?;
        disk.sync(&new)?;
        if disk.read(&new)?.as_deref() != Some(&all[..]) {
            let what = "what was written is not what is there";
            return Err(Fault::of("store", &new, Error::new(ErrorKind::InvalidData, what)));
        }
        let file = self.file(generation);
        disk.rename(&new, &file)?;
        disk.sync_folder()?;
        // A rename that said yes and did nothing would leave two old ones, and the next store would replace the newer.
        let there = disk.read(&file)?.is_some_and(|there| there == all);
        if !there {
            let what = "the rename said yes and did nothing";
            return Err(Fault::of("store", &file, Error::new(ErrorKind::InvalidData, what)));
        }
        self.last = generation;
        Ok(generation)
    }
}
