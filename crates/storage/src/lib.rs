//! Durable storage for the state of a limiter: append-only logs and snapshots over the files of one directory.
//!
//! [`Storage`] defines the directory operations that logs and snapshot stores use. It has three implementations:
//! [`Directory`] uses a directory of the file system; [`MemoryStorage`] tracks written and durable data separately, so that
//! a test can simulate a power loss after any operation; [`FaultInjectingStorage`] wraps another storage and injects the
//! faults of real disks: torn writes, lost syncs, stale reads, flipped bits, stalls, a full disk.
//!
//! [`Log`] and [`SnapshotStore`] detect corruption: they return only data that was written completely and in order. A
//! snapshot store reports a damaged file with the cause, a log the cause and its offset in the file. A stale read of an
//! undamaged older file looks valid; detecting it takes a comparison with other processes. See `docs/design/disk.md`.
//!
//! ```
//! use liftrouter_storage::{Log, MemoryStorage, Storage};
//!
//! let mut storage = MemoryStorage::new(7);
//! let (mut log, recovery) = Log::open(&mut storage, "record", 1).expect("open log");
//! assert!(recovery.entries.is_empty());
//! log.append(&mut storage, b"first").expect("append entry");
//! log.sync(&mut storage).expect("sync log");
//! log.append(&mut storage, b"second").expect("append entry");
//! storage.power_loss();
//! let (_, recovery) = Log::open(&mut storage, "record", 1).expect("open log");
//! assert_eq!(recovery.entries[0], b"first");
//! ```
#![warn(missing_docs)]

mod directory;
mod error;
mod fault;
mod fault_injection;
mod little_endian;
mod log;
mod memory;
mod snapshot;
mod storage;

pub use directory::Directory;
pub use error::{Result, StorageError};
pub use fault::{FaultSchedule, StorageFault};
pub use fault_injection::FaultInjectingStorage;
pub use log::{Log, LogCorruption, LogRecovery, LogTail, MAX_ENTRY_BYTES};
pub use memory::MemoryStorage;
pub use snapshot::{LoadedSnapshots, RejectedSnapshot, Snapshot, SnapshotRejection, SnapshotStore};
pub use storage::Storage;
