//! Storage and stores as the tests of this crate use them.
#![allow(dead_code, reason = "each test program uses a part")]

use liftrouter_storage::{
    FaultInjectingStorage, FaultSchedule, LoadedSnapshots, Log, LogTail, MemoryStorage, SnapshotStore,
    Storage,
};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

pub const KIND: u32 = 0x7e57;

pub fn faulty_storage() -> (FaultInjectingStorage<MemoryStorage>, FaultSchedule) {
    let schedule = FaultSchedule::new();
    (FaultInjectingStorage::new(MemoryStorage::new(3), schedule.clone(), 3), schedule)
}

/// A path in the system's directory for temporary files that no other test uses.
pub fn unused_path() -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let n = NEXT.fetch_add(1, Ordering::SeqCst);
    std::env::temp_dir().join(format!("liftrouter-storage-{}-{n}", std::process::id()))
}

/// A log with synced entries.
pub fn log_with(storage: &mut dyn Storage, entries: &[&[u8]]) -> Log {
    let (mut log, _) = Log::open(storage, "record", KIND).expect("opened");
    for entry in entries {
        log.append(storage, entry).expect("appended");
    }
    log.sync(storage).expect("synced");
    log
}

pub fn reopen(storage: &mut dyn Storage) -> (Vec<Vec<u8>>, LogTail) {
    let (_, recovery) = Log::open(storage, "record", KIND).expect("opened");
    (recovery.entries, recovery.tail)
}

pub fn load_state(storage: &mut dyn Storage, kind: u32, version: u16) -> LoadedSnapshots {
    SnapshotStore::new("state", kind, version).load(storage).expect("read")
}
