//! Snapshots, of which the last two generations are kept: a new snapshot replaces the older one, so that the newer one
//! survives a failure at any step.
//!
//! File format, integers little-endian: magic, format version (u16), kind (u32), content version (u16), generation (u64),
//! length (u64), the content, CRC-32 of all before it.

use crate::little_endian::{u16_at, u32_at, u64_at};
use crate::{Result, Storage, StorageError};
use std::io::{Error, ErrorKind};
use thiserror::Error as ThisError;

const MAGIC: &[u8; 4] = b"LRsn";
const FORMAT_VERSION: u16 = 1;
const FORMAT_VERSION_OFFSET: usize = 4;
const KIND_OFFSET: usize = 6;
const CONTENT_VERSION_OFFSET: usize = 10;
const GENERATION_OFFSET: usize = 12;
const LENGTH_OFFSET: usize = 20;
const HEADER_BYTES: usize = 28;
const CHECKSUM_BYTES: usize = 4;
const MIN_FILE_BYTES: usize = HEADER_BYTES + CHECKSUM_BYTES;

/// Saves and loads the snapshots of one state, in two files under a common name.
#[derive(Debug)]
pub struct SnapshotStore {
    name: String,
    kind: u32,
    content_version: u16,
    /// The newest generation that was saved or loaded; 0 if there is none.
    newest_generation: u64,
}

/// A snapshot whose header and checksum are valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The number of the snapshot: 1 for the first one, and one more with each snapshot saved.
    pub generation: u64,
    /// The content that was passed to [`SnapshotStore::save`].
    pub bytes: Vec<u8>,
}

/// A snapshot file that was not loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedSnapshot {
    /// Name of the file.
    pub file: String,
    /// Why it was rejected.
    pub cause: SnapshotRejection,
}

/// Why a snapshot file was rejected: what was found, and what was expected.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
pub enum SnapshotRejection {
    /// The file is shorter than a snapshot without content.
    #[error("torn file: {found} bytes, expected at least {MIN_FILE_BYTES}")]
    TooShort {
        /// Length of the file, in bytes.
        found: usize,
    },
    /// The file does not begin with the magic bytes of a snapshot.
    #[error("not a snapshot file: the magic bytes do not match")]
    NotASnapshot,
    /// The file has a format version that this program does not support.
    #[error("snapshot format version {found}, expected {FORMAT_VERSION}")]
    FormatVersion {
        /// The format version in the header.
        found: u16,
    },
    /// The length of the file differs from the length that its header implies.
    #[error("torn file: {found} bytes, expected {expected}")]
    Torn {
        /// Length of the file, in bytes.
        found: usize,
        /// The length of the file according to the header, in bytes.
        expected: u64,
    },
    /// The checksum does not match the header and content.
    #[error("checksum mismatch: computed {found:08x}, stored {expected:08x}")]
    Checksum {
        /// The checksum computed from the file.
        found: u32,
        /// The checksum stored in the file.
        expected: u32,
    },
    /// The snapshot belongs to another store.
    #[error("snapshot kind {found}, expected {expected}: it belongs to another store")]
    Kind {
        /// The kind in the header.
        found: u32,
        /// The kind of this store.
        expected: u32,
    },
    /// The content has another version than this store: another version of the program wrote it.
    #[error(
        "content version {found}, expected {expected}: written by {} version of the program",
        if .found > .expected { "a later" } else { "an earlier" }
    )]
    ContentVersion {
        /// The content version in the header.
        found: u16,
        /// The content version of this store.
        expected: u16,
    },
    /// The generation belongs in the other file of the store: an old copy was put back under the wrong name.
    #[error("misplaced snapshot: generation {generation} belongs in the other file")]
    Misplaced {
        /// The generation in the header.
        generation: u64,
    },
}

/// The result of [`SnapshotStore::load`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadedSnapshots {
    /// The newest valid snapshot; `None` if there is none.
    pub newest: Option<Snapshot>,
    /// The files that were rejected.
    pub rejected: Vec<RejectedSnapshot>,
}

#[derive(Debug, ThisError)]
enum VerificationError {
    #[error("the content read back differs from the content written")]
    ContentDiffers,
    #[error("the rename reported success but had no effect")]
    RenameLost,
}

impl SnapshotStore {
    /// Creates a store for the snapshots under a name. It rejects files of another `kind`, which belong to another store,
    /// and of another `content_version`, which were written by another version of the program.
    pub fn new(name: &str, kind: u32, content_version: u16) -> SnapshotStore {
        SnapshotStore { name: name.into(), kind, content_version, newest_generation: 0 }
    }

    /// The name of the file that holds a generation: one file holds even generations, the other odd ones.
    fn file(&self, generation: u64) -> String {
        format!("{}.{}", self.name, generation % 2)
    }

    fn encode(&self, generation: u64, content: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(MIN_FILE_BYTES + content.len());
        bytes.extend(MAGIC);
        bytes.extend(FORMAT_VERSION.to_le_bytes());
        bytes.extend(self.kind.to_le_bytes());
        bytes.extend(self.content_version.to_le_bytes());
        bytes.extend(generation.to_le_bytes());
        bytes.extend((content.len() as u64).to_le_bytes());
        bytes.extend(content);
        bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
        bytes
    }

    fn decode(&self, bytes: &[u8]) -> std::result::Result<Snapshot, SnapshotRejection> {
        check_integrity(bytes)?;
        let kind = u32_at(bytes, KIND_OFFSET).unwrap_or_default();
        if kind != self.kind {
            return Err(SnapshotRejection::Kind { found: kind, expected: self.kind });
        }
        let content_version = u16_at(bytes, CONTENT_VERSION_OFFSET).unwrap_or_default();
        if content_version != self.content_version {
            return Err(SnapshotRejection::ContentVersion {
                found: content_version,
                expected: self.content_version,
            });
        }
        let generation = u64_at(bytes, GENERATION_OFFSET).unwrap_or_default();
        let content = bytes[HEADER_BYTES..bytes.len() - CHECKSUM_BYTES].to_vec();
        Ok(Snapshot { generation, bytes: content })
    }

    /// Decodes the file that holds the even (`parity` 0) or odd (1) generations.
    fn decode_file(&self, bytes: &[u8], parity: u64) -> std::result::Result<Snapshot, SnapshotRejection> {
        let snapshot = self.decode(bytes)?;
        if snapshot.generation % 2 == parity {
            Ok(snapshot)
        } else {
            Err(SnapshotRejection::Misplaced { generation: snapshot.generation })
        }
    }

    /// Loads the newest valid snapshot. A disk that returns an older version of a file is not detected here: the caller must
    /// compare the generation with the one that other processes know.
    ///
    /// # Errors
    /// A file cannot be read, and the other file holds no valid snapshot.
    pub fn load(&mut self, storage: &mut dyn Storage) -> Result<LoadedSnapshots> {
        let mut loaded = LoadedSnapshots::default();
        let mut read_error = None;
        for parity in 0..2 {
            let file = self.file(parity);
            let bytes = match storage.read(&file) {
                Ok(Some(bytes)) => bytes,
                Ok(None) => continue,
                Err(error) => {
                    read_error = Some(error);
                    continue;
                }
            };
            match self.decode_file(&bytes, parity) {
                Ok(snapshot) => {
                    if loaded.newest.as_ref().is_none_or(|newest| snapshot.generation > newest.generation) {
                        loaded.newest = Some(snapshot);
                    }
                }
                Err(cause) => loaded.rejected.push(RejectedSnapshot { file, cause }),
            }
        }
        let generation = loaded.newest.as_ref().map_or(0, |snapshot| snapshot.generation);
        self.newest_generation = self.newest_generation.max(generation);
        match read_error {
            Some(error) if loaded.newest.is_none() => Err(error),
            _ => Ok(loaded),
        }
    }

    /// Saves a snapshot in place of the older of the two existing ones, and returns its generation. The new file is read
    /// back before it replaces the older one, so that a torn write that was reported as successful leaves both unchanged.
    ///
    /// # Errors
    /// The snapshot cannot be written, made durable or read back. The newer of the existing snapshots is unchanged.
    pub fn save(&mut self, storage: &mut dyn Storage, content: &[u8]) -> Result<u64> {
        let generation = self.newest_generation + 1;
        let bytes = self.encode(generation, content);
        let temporary = format!("{}.new", self.name);
        storage.write(&temporary, &bytes)?;
        storage.sync(&temporary)?;
        verify(storage, &temporary, &bytes, VerificationError::ContentDiffers)?;
        let file = self.file(generation);
        storage.rename(&temporary, &file)?;
        storage.sync_directory()?;
        // An undetected lost rename would leave two old generations, and the next save would replace the newer of them.
        verify(storage, &file, &bytes, VerificationError::RenameLost)?;
        self.newest_generation = generation;
        Ok(generation)
    }
}

/// Checks the length, magic bytes, format version and checksum of a snapshot file.
fn check_integrity(bytes: &[u8]) -> std::result::Result<(), SnapshotRejection> {
    if bytes.len() < MIN_FILE_BYTES {
        return Err(SnapshotRejection::TooShort { found: bytes.len() });
    }
    if !bytes.starts_with(MAGIC) {
        return Err(SnapshotRejection::NotASnapshot);
    }
    let format = u16_at(bytes, FORMAT_VERSION_OFFSET).unwrap_or_default();
    if format != FORMAT_VERSION {
        return Err(SnapshotRejection::FormatVersion { found: format });
    }
    let content_len = u64_at(bytes, LENGTH_OFFSET).unwrap_or_default();
    let expected_len = content_len.saturating_add(MIN_FILE_BYTES as u64);
    if bytes.len() as u64 != expected_len {
        return Err(SnapshotRejection::Torn { found: bytes.len(), expected: expected_len });
    }
    let checked = bytes.len() - CHECKSUM_BYTES;
    let expected = u32_at(bytes, checked).unwrap_or_default();
    let found = crc32fast::hash(&bytes[..checked]);
    if found != expected {
        return Err(SnapshotRejection::Checksum { found, expected });
    }
    Ok(())
}

/// Reads a file back, and fails with `mismatch` if its content is not as expected.
fn verify(storage: &mut dyn Storage, file: &str, expected: &[u8], mismatch: VerificationError) -> Result<()> {
    if storage.read(file)?.as_deref() == Some(expected) {
        return Ok(());
    }
    Err(StorageError::new("store", file, Error::new(ErrorKind::InvalidData, mismatch)))
}
