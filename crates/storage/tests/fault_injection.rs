//! Tests of each fault. A log or snapshot store must not accept data that a fault has damaged. Plain reads and writes of a
//! file named `unchecked` accept it, which shows that the fault was injected.
mod common;

use common::{faulty_storage, load_state, log_with, reopen, unused_path, KIND};
use liftrouter_storage::{
    Directory, FaultInjectingStorage, FaultSchedule, LoadedSnapshots, Log, LogTail, SnapshotStore, Storage,
    StorageFault,
};

#[test]
fn a_torn_write_is_truncated_by_the_log_and_accepted_by_an_unchecked_reader() {
    let (mut storage, schedule) = faulty_storage();
    storage.write("unchecked", b"one;").expect("write file");
    let mut log = log_with(&mut storage, &[b"one"]);
    schedule.begin(1, StorageFault::TornWrite { stored_ratio: 0.5 }, None);
    storage.append("unchecked", b"twelve;").expect("success is reported");
    log.append(&mut storage, b"twelve").expect("success is reported");
    schedule.end(1);
    assert_eq!(
        storage.read("unchecked").expect("read file").as_deref(),
        Some(&b"one;twe"[..]),
        "half of the write is returned as if it were complete"
    );
    let (entries, tail) = reopen(&mut storage);
    assert_eq!(entries, [b"one"]);
    assert!(matches!(tail, LogTail::Torn { bytes: 11, .. }), "{tail:?}");
    // Opening the log has truncated the torn entry, so that later entries are recovered.
    let (mut log, _) = Log::open(&mut storage, "record", KIND).expect("open log");
    log.append(&mut storage, b"thirteen").expect("append entry");
    assert_eq!(reopen(&mut storage), (vec![b"one".to_vec(), b"thirteen".to_vec()], LogTail::Complete));
}

#[test]
fn a_torn_write_before_later_entries_is_corruption_and_the_log_is_quarantined() {
    let (mut storage, schedule) = faulty_storage();
    let mut log = log_with(&mut storage, &[b"one"]);
    schedule.begin(1, StorageFault::TornWrite { stored_ratio: 0.5 }, None);
    log.append(&mut storage, b"two").expect("success is reported");
    schedule.end(1);
    log.append(&mut storage, b"three").expect("append entry");
    let (entries, tail) = reopen(&mut storage);
    assert_eq!(entries, [b"one"], "entries after the gap are not returned");
    let LogTail::Corrupt { offset, cause } = tail else { panic!("{tail:?}") };
    assert_eq!(
        (offset, cause.to_string().as_str()),
        (33, "9 undecodable bytes before entry 2, expected entry 1")
    );
    // The quarantined file is preserved under another name.
    let (mut log, _) = Log::open(&mut storage, "record", KIND).expect("open log");
    assert!(log.append(&mut storage, b"four").is_err(), "a corrupt log accepts no entries");
    assert_eq!(log.quarantine(&mut storage).expect("quarantine log"), "record.damaged-1");
    log.continue_from(7);
    assert_eq!(log.append(&mut storage, b"four").expect("append entry"), 7);
    assert_eq!(storage.list().expect("list files"), ["record", "record.damaged-1"]);
    let (_, recovery) = Log::open(&mut storage, "record", KIND).expect("open log");
    assert_eq!((recovery.first_sequence, recovery.entries), (7, vec![b"four".to_vec()]));
}

#[test]
fn a_failed_write_is_reported_and_blocks_the_log_until_it_is_reopened() {
    for injected_fault in
        [StorageFault::ShortWrite { stored_ratio: 0.4 }, StorageFault::NoSpace, StorageFault::IoError]
    {
        let (mut storage, schedule) = faulty_storage();
        let mut log = log_with(&mut storage, &[b"one"]);
        schedule.begin(1, injected_fault, None);
        let error = log.append(&mut storage, b"two").expect_err("the failed write is reported").to_string();
        assert!(error.starts_with("record: cannot "), "{error}");
        schedule.end(1);
        // An entry appended now would follow an incomplete one.
        let error = log.append(&mut storage, b"three").expect_err("the log is blocked").to_string();
        assert!(error.contains("an earlier operation failed"), "{error}");
        assert_eq!(reopen(&mut storage).0, [b"one"]);
    }
}

#[test]
fn a_lost_sync_loses_the_new_snapshot_and_keeps_the_older_one() {
    let (mut storage, schedule) = faulty_storage();
    let mut store = SnapshotStore::new("state", KIND, 1);
    store.save(&mut storage, b"first").expect("save snapshot");
    schedule.begin(1, StorageFault::LostSync, None);
    store.save(&mut storage, b"second").expect("success is reported");
    storage.write("unchecked", b"second").expect("write file");
    storage.sync("unchecked").expect("success is reported");
    assert_eq!(load_state(&mut storage, KIND, 1).newest.expect("valid snapshot").generation, 2);
    // Simulates the end of the process: what was not stored durably is lost.
    let mut storage = storage.into_inner();
    assert_eq!(storage.read("unchecked").expect("read file"), None, "the unchecked file is lost");
    let LoadedSnapshots { newest, rejected } = load_state(&mut storage, KIND, 1);
    let snapshot = newest.expect("the older snapshot");
    assert_eq!((snapshot.generation, &snapshot.bytes[..], rejected.len()), (1, &b"first"[..], 0));
}

#[test]
fn a_stale_read_looks_complete_and_is_detectable_only_by_its_generation() {
    let (mut storage, schedule) = faulty_storage();
    let mut store = SnapshotStore::new("state", KIND, 1);
    store.save(&mut storage, b"first").expect("save snapshot");
    let mut log = log_with(&mut storage, &[b"one"]);
    schedule.begin(1, StorageFault::StaleRead, None);
    assert!(storage.read("record").expect("read file").is_some(), "the fault has begun");
    log.append(&mut storage, b"two").expect("append entry");
    let (entries, tail) = reopen(&mut storage);
    assert_eq!((entries.len(), tail), (1, LogTail::Complete), "the stale log looks complete");
    assert!(
        store.save(&mut storage, b"second").is_err(),
        "a new snapshot is read back before it replaces another"
    );
    let newest = load_state(&mut storage, KIND, 1).newest;
    assert_eq!(
        newest.expect("valid snapshot").generation,
        1,
        "a process that knows a later generation can reject it"
    );
}

#[test]
fn a_flipped_bit_is_rejected_by_log_and_snapshot_and_accepted_by_an_unchecked_reader() {
    let (mut storage, schedule) = faulty_storage();
    let mut store = SnapshotStore::new("state", KIND, 1);
    store.save(&mut storage, &[7; 64]).expect("save snapshot");
    storage.write("unchecked", &[7; 64]).expect("write file");
    log_with(&mut storage, &[&[7; 64]]);
    schedule.begin(1, StorageFault::BitFlip, None);
    assert_ne!(
        storage.read("unchecked").expect("read file").expect("file exists"),
        [7; 64],
        "an unchecked reader accepts it"
    );
    let LoadedSnapshots { newest, rejected } = load_state(&mut storage, KIND, 1);
    assert!(newest.is_none() && rejected.len() == 1, "{rejected:?}");
    let (_, recovery) = Log::open(&mut storage, "record", KIND).expect("open log");
    assert!(recovery.entries.is_empty() && recovery.tail != LogTail::Complete, "{recovery:?}");
}

#[test]
fn a_lost_rename_is_reported_by_the_snapshot_store() {
    let (mut storage, schedule) = faulty_storage();
    storage.write("unchecked", b"old").expect("write file");
    let mut store = SnapshotStore::new("state", KIND, 1);
    store.save(&mut storage, b"first").expect("save snapshot");
    schedule.begin(1, StorageFault::LostRename, None);
    storage.write("unchecked.new", b"new").expect("write file");
    storage.rename("unchecked.new", "unchecked").expect("success is reported");
    assert_eq!(storage.read("unchecked").expect("read file").as_deref(), Some(&b"old"[..]));
    let error = store.save(&mut storage, b"second").expect_err("the lost rename is reported").to_string();
    assert!(error.contains("the rename reported success but had no effect"), "{error}");
    schedule.end(1);
    assert_eq!(store.save(&mut storage, b"third").expect("save snapshot"), 2);
}

#[test]
fn lost_data_reads_as_empty_and_later_writes_are_kept() {
    let (mut storage, schedule) = faulty_storage();
    log_with(&mut storage, &[b"one"]);
    schedule.begin(1, StorageFault::DataLoss, None);
    assert_eq!(reopen(&mut storage), (vec![], LogTail::Complete));
    log_with(&mut storage, &[b"two"]);
    assert_eq!(reopen(&mut storage).0, [b"two"]);
}

#[test]
fn a_stall_delays_an_operation_and_changes_nothing() {
    let (mut storage, schedule) = faulty_storage();
    log_with(&mut storage, &[b"one"]);
    schedule.begin(1, StorageFault::Stall { ms: 30 }, Some("record"));
    let start = std::time::Instant::now();
    assert_eq!(reopen(&mut storage).0, [b"one"]);
    assert!(start.elapsed().as_millis() >= 30);
    schedule.end(1);
}

#[test]
fn faults_written_to_a_file_apply_in_another_process_until_they_end() {
    let path = unused_path();
    let mut storage = FaultInjectingStorage::new(
        Directory::open(&path.join("store")).expect("open directory"),
        FaultSchedule::from_file(&path.join("schedule")),
        1,
    );
    storage.write("unchecked", b"all of it").expect("write file");
    let other_process = FaultSchedule::new();
    other_process.begin(4, StorageFault::TornWrite { stored_ratio: 0.5 }, Some("unchecked"));
    other_process.write_to(&path.join("schedule")).expect("write file");
    storage.write("unchecked", b"all of it").expect("success is reported");
    storage.write("other", b"all of it").expect("write file");
    other_process.end(4);
    other_process.write_to(&path.join("schedule")).expect("write file");
    assert_eq!(storage.read("unchecked").expect("read file").as_deref(), Some(&b"all "[..]));
    assert_eq!(storage.read("other").expect("read file").as_deref(), Some(&b"all of it"[..]));
    storage.write("unchecked", b"all of it").expect("write file");
    assert_eq!(storage.read("unchecked").expect("read file").as_deref(), Some(&b"all of it"[..]));
    std::fs::remove_dir_all(path).expect("remove directory");
}
