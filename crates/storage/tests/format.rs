//! Tests that the file formats do not change. The files in `fixtures` were written by commit b315b5b: they must stay
//! readable, and writing the same content must produce the same bytes.
mod common;

use common::KIND;
use liftrouter_storage::{
    FaultSchedule, LoadedSnapshots, Log, LogCorruption, LogRecovery, LogTail, MemoryStorage,
    SnapshotRejection, SnapshotStore, Storage, StorageFault,
};

const FIRST_SEQUENCE: u64 = 41;
const ENTRIES: [&[u8]; 3] = [b"first entry", b"", b"third entry"];
const LOG_COMPLETE: &[u8] = include_bytes!("fixtures/log-complete.bin");
const LOG_TORN: &[u8] = include_bytes!("fixtures/log-torn.bin");
const LOG_CORRUPT: &[u8] = include_bytes!("fixtures/log-corrupt.bin");
const SNAPSHOT_COMPLETE: &[u8] = include_bytes!("fixtures/snapshot-complete.bin");
const SNAPSHOT_TORN: &[u8] = include_bytes!("fixtures/snapshot-torn.bin");
const SNAPSHOT_CORRUPT: &[u8] = include_bytes!("fixtures/snapshot-corrupt.bin");
const SNAPSHOT_VERSION: u16 = 3;

/// Writes a log file with this content and opens it.
fn recover_log(storage: &mut MemoryStorage, bytes: &[u8]) -> (Log, LogRecovery) {
    storage.write("record", bytes).expect("write file");
    Log::open(storage, "record", KIND).expect("open log")
}

fn content(storage: &mut MemoryStorage, file: &str) -> Vec<u8> {
    storage.read(file).expect("read file").expect("file exists")
}

#[test]
fn a_complete_log_is_recovered_and_written_again_byte_for_byte() {
    let mut storage = MemoryStorage::new(1);
    let (_, recovery) = recover_log(&mut storage, LOG_COMPLETE);
    assert_eq!(recovery.tail, LogTail::Complete);
    assert_eq!(
        (recovery.first_sequence, &recovery.entries[..]),
        (FIRST_SEQUENCE, &ENTRIES.map(Vec::from)[..])
    );
    let mut storage = MemoryStorage::new(1);
    let (mut log, _) = Log::open(&mut storage, "record", KIND).expect("open log");
    log.continue_from(FIRST_SEQUENCE);
    for entry in ENTRIES {
        log.append(&mut storage, entry).expect("append entry");
    }
    assert_eq!(content(&mut storage, "record"), LOG_COMPLETE);
}

#[test]
fn a_torn_log_is_truncated_and_completed_byte_for_byte() {
    let mut storage = MemoryStorage::new(1);
    let (mut log, recovery) = recover_log(&mut storage, LOG_TORN);
    assert_eq!(recovery.tail, LogTail::Torn { offset: 57, bytes: 23 });
    assert_eq!(
        (recovery.first_sequence, &recovery.entries[..]),
        (FIRST_SEQUENCE, &ENTRIES[..2].iter().map(|entry| entry.to_vec()).collect::<Vec<_>>()[..])
    );
    log.append(&mut storage, ENTRIES[2]).expect("append entry");
    assert_eq!(content(&mut storage, "record"), LOG_COMPLETE);
}

#[test]
fn a_corrupt_log_is_reported_with_offset_and_cause_and_left_unchanged() {
    let mut storage = MemoryStorage::new(1);
    let (mut log, recovery) = recover_log(&mut storage, LOG_CORRUPT);
    let cause = LogCorruption::Gap { bytes: 27, following: FIRST_SEQUENCE + 1, expected: None };
    assert_eq!(recovery.tail, LogTail::Corrupt { offset: 14, cause });
    assert!(recovery.entries.is_empty());
    let error = log.append(&mut storage, b"more").expect_err("the log is corrupt").to_string();
    assert_eq!(
        error,
        "record: cannot append to: corrupt at byte 14: 27 undecodable bytes before entry 42, expected the first entry"
    );
    assert_eq!(content(&mut storage, "record"), LOG_CORRUPT);
}

/// Writes a snapshot file with this content and loads it.
fn load_snapshot(bytes: &[u8]) -> LoadedSnapshots {
    let mut storage = MemoryStorage::new(1);
    storage.write("state.0", bytes).expect("write file");
    common::load_state(&mut storage, KIND, SNAPSHOT_VERSION)
}

#[test]
fn a_complete_snapshot_is_loaded_and_written_again_byte_for_byte() {
    let snapshot = load_snapshot(SNAPSHOT_COMPLETE).newest.expect("valid snapshot");
    assert_eq!((snapshot.generation, &snapshot.bytes[..]), (2, &b"second state"[..]));
    let mut storage = MemoryStorage::new(1);
    let mut store = SnapshotStore::new("state", KIND, SNAPSHOT_VERSION);
    store.save(&mut storage, b"first state").expect("save snapshot");
    store.save(&mut storage, b"second state").expect("save snapshot");
    assert_eq!(content(&mut storage, "state.0"), SNAPSHOT_COMPLETE);
}

#[test]
fn a_torn_or_corrupt_snapshot_is_rejected_with_its_cause() {
    let torn = load_snapshot(SNAPSHOT_TORN);
    assert!(torn.newest.is_none());
    assert_eq!(torn.rejected[0].file, "state.0");
    assert_eq!(torn.rejected[0].cause, SnapshotRejection::Torn { found: 40, expected: 44 });
    assert_eq!(torn.rejected[0].cause.to_string(), "torn file: 40 bytes, expected 44");
    let corrupt = load_snapshot(SNAPSHOT_CORRUPT);
    assert!(corrupt.newest.is_none());
    assert!(matches!(corrupt.rejected[0].cause, SnapshotRejection::Checksum { .. }), "{corrupt:?}");
}

#[test]
fn the_names_in_the_fault_file_are_stable() {
    let faults = [
        (StorageFault::ShortWrite { stored_ratio: 0.5 }, r#"{"id":0,"lie":"short-write","share":0.5}"#),
        (StorageFault::TornWrite { stored_ratio: 0.5 }, r#"{"id":1,"lie":"torn-write","share":0.5}"#),
        (StorageFault::LostSync, r#"{"id":2,"lie":"empty-sync"}"#),
        (StorageFault::IoError, r#"{"id":3,"lie":"io"}"#),
        (StorageFault::NoSpace, r#"{"id":4,"lie":"full"}"#),
        (StorageFault::Stall { ms: 30 }, r#"{"id":5,"lie":"stall","ms":30}"#),
        (StorageFault::StaleRead, r#"{"id":6,"lie":"old"}"#),
        (StorageFault::BitFlip, r#"{"id":7,"lie":"flip"}"#),
        (StorageFault::LostRename, r#"{"id":8,"lie":"lost-rename"}"#),
        (StorageFault::DataLoss, r#"{"id":9,"lie":"gone","file":"record"}"#),
    ];
    let schedule = FaultSchedule::new();
    for (id, (fault, _)) in faults.iter().enumerate() {
        let file = (*fault == StorageFault::DataLoss).then_some("record");
        schedule.begin(id as u32, *fault, file);
    }
    let path = common::unused_path();
    schedule.write_to(&path).expect("write file");
    let text = std::fs::read_to_string(&path).expect("read file");
    std::fs::remove_file(path).expect("remove file");
    assert_eq!(text.lines().collect::<Vec<_>>(), faults.map(|(_, line)| line));
}
