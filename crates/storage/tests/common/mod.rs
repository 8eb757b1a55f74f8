//! Helpers shared by the tests of this crate.
#![allow(dead_code, reason = "each test program uses only some of the helpers")]

use liftrouter_storage::{
    FaultInjectingStorage, FaultSchedule, LoadedSnapshots, Log, LogTail, MemoryStorage, SnapshotStore,
    Storage,
};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

pub const KIND: u32 = 0x7e57;

/// An empty in-memory storage with fault injection, and the schedule of its faults.
pub fn faulty_storage() -> (FaultInjectingStorage<MemoryStorage>, FaultSchedule) {
    let schedule = FaultSchedule::new();
    (FaultInjectingStorage::new(MemoryStorage::new(3), schedule.clone(), 3), schedule)
}

/// Returns a path in the system's directory for temporary files that no other test uses.
pub fn unused_path() -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let n = NEXT.fetch_add(1, Ordering::SeqCst);
    std::env::temp_dir().join(format!("liftrouter-storage-{}-{n}", std::process::id()))
}

/// Opens the log `record`, appends the entries and syncs them.
pub fn log_with(storage: &mut dyn Storage, entries: &[&[u8]]) -> Log {
    let (mut log, _) = Log::open(storage, "record", KIND).expect("open log");
    for entry in entries {
        log.append(storage, entry).expect("append entry");
    }
    log.sync(storage).expect("sync log");
    log
}

/// Opens the log `record` again, and returns its recovered entries and its tail.
pub fn reopen(storage: &mut dyn Storage) -> (Vec<Vec<u8>>, LogTail) {
    let (_, recovery) = Log::open(storage, "record", KIND).expect("open log");
    (recovery.entries, recovery.tail)
}

/// Loads the snapshots under the name `state`.
pub fn load_state(storage: &mut dyn Storage, kind: u32, version: u16) -> LoadedSnapshots {
    SnapshotStore::new("state", kind, version).load(storage).expect("load snapshots")
}
