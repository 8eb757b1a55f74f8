//! Durable storage for the state of a limiter: append-only logs and snapshots over the files of one directory.
//!
//! [`Storage`] is what a log or a snapshot store needs from a directory. [`Directory`] is one of the operating system;
//! [`MemoryStorage`] keeps written and durable data apart, so that a test can cut the power at any step;
//! [`FaultInjectingStorage`] wraps another storage and injects the faults of real disks: torn writes, syncs that keep nothing,
//! stale or flipped bytes, stalls, no space.
//!
//! [`Log`] and [`SnapshotStore`] detect these faults: what they return was written completely and in that order, or they name
//! the file and the byte at which it is damaged. See `docs/design/disk.md`.
//!
//! ```
//! use liftrouter_storage::{Log, MemoryStorage, Storage};
//!
//! let mut storage = MemoryStorage::new(7);
//! let (mut log, recovery) = Log::open(&mut storage, "record", 1).expect("it can be opened");
//! assert!(recovery.entries.is_empty());
//! log.append(&mut storage, b"first").expect("written");
//! log.sync(&mut storage).expect("durable");
//! log.append(&mut storage, b"second").expect("written");
//! storage.power_loss();
//! let (_, recovery) = Log::open(&mut storage, "record", 1).expect("it can be opened");
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
