//! Each fault is shown to an unchecked reader or writer, which accepts wrong data, and to a log or snapshot store, which does not.
mod common;

use common::{faulty_storage, load_state, log_with, reopen, unused_path, KIND};
use liftrouter_storage::{
    Directory, FaultInjectingStorage, FaultSchedule, LoadedSnapshots, Log, LogTail, SnapshotStore, Storage,
    StorageFault,
};

#[test]
fn a_torn_write_is_truncated_by_the_log_and_accepted_by_an_unchecked_reader() {
    let (mut storage, schedule) = faulty_storage();
    storage.write("unchecked", b"one;").expect("written");
    let mut log = log_with(&mut storage, &[b"one"]);
    schedule.begin(1, StorageFault::TornWrite { stored_ratio: 0.5 }, None);
    storage.append("unchecked", b"twelve;").expect("success is reported");
    log.append(&mut storage, b"twelve").expect("success is reported");
    schedule.end(1);
    assert_eq!(
        storage.read("unchecked").expect("read").as_deref(),
        Some(&b"one;twe"[..]),
        "half of it is accepted as all"
    );
    let (entries, tail) = reopen(&mut storage);
    assert_eq!(entries, [b"one"]);
    assert!(matches!(tail, LogTail::Torn { bytes: 11, .. }), "{tail:?}");
    // The torn entry was truncated: later entries are recovered.
    let (mut log, _) = Log::open(&mut storage, "record", KIND).expect("opened");
    log.append(&mut storage, b"thirteen").expect("appended");
    assert_eq!(reopen(&mut storage), (vec![b"one".to_vec(), b"thirteen".to_vec()], LogTail::Complete));
}

#[test]
fn a_torn_write_before_later_entries_is_corruption_and_the_log_is_quarantined() {
    let (mut storage, schedule) = faulty_storage();
    let mut log = log_with(&mut storage, &[b"one"]);
    schedule.begin(1, StorageFault::TornWrite { stored_ratio: 0.5 }, None);
    log.append(&mut storage, b"two").expect("success is reported");
    schedule.end(1);
    log.append(&mut storage, b"three").expect("appended");
    let (entries, tail) = reopen(&mut storage);
    assert_eq!(entries, [b"one"], "what schedule behind a hole is not given");
    let LogTail::Corrupt { offset, cause } = tail else { panic!("{tail:?}") };
    assert_eq!(
        (offset, cause.to_string().as_str()),
        (33, "9 bytes that are no entry before entry 2, expected entry 1")
    );
    // The damaged file is kept under another name.
    let (mut log, _) = Log::open(&mut storage, "record", KIND).expect("opened");
    assert!(log.append(&mut storage, b"four").is_err(), "a corrupt log takes no entries");
    assert_eq!(log.quarantine(&mut storage).expect("renamed"), "record.damaged-1");
    log.continue_from(7);
    assert_eq!(log.append(&mut storage, b"four").expect("appended"), 7);
    assert_eq!(storage.list().expect("listed"), ["record", "record.damaged-1"]);
    let (_, recovery) = Log::open(&mut storage, "record", KIND).expect("opened");
    assert_eq!((recovery.first_sequence, recovery.entries), (7, vec![b"four".to_vec()]));
}

#[test]
fn a_failed_write_is_reported_and_blocks_the_log_until_it_is_reopened() {
    for fault_to_inject in
        [StorageFault::ShortWrite { stored_ratio: 0.4 }, StorageFault::NoSpace, StorageFault::IoError]
    {
        let (mut storage, schedule) = faulty_storage();
        let mut log = log_with(&mut storage, &[b"one"]);
        schedule.begin(1, fault_to_inject, None);
        let fault = log.append(&mut storage, b"two").expect_err("it is reported").to_string();
        assert!(fault.starts_with("record: cannot "), "{fault}");
        schedule.end(1);
        // Without this, the next entry would follow a part of the last.
        let fault = log.append(&mut storage, b"three").expect_err("it must be opened again").to_string();
        assert!(fault.contains("it failed before"), "{fault}");
        assert_eq!(reopen(&mut storage).0, [b"one"]);
    }
}

#[test]
fn a_lost_sync_loses_the_new_snapshot_and_keeps_the_older_one() {
    let (mut storage, schedule) = faulty_storage();
    let mut store = SnapshotStore::new("state", KIND, 1);
    store.save(&mut storage, b"first").expect("stored");
    schedule.begin(1, StorageFault::LostSync, None);
    store.save(&mut storage, b"second").expect("success is reported");
    storage.write("unchecked", b"second").expect("written");
    storage.sync("unchecked").expect("success is reported");
    assert_eq!(load_state(&mut storage, KIND, 1).newest.expect("complete").generation, 2);
    // The process ends, and the content of its cache is lost.
    let mut storage = storage.into_inner();
    assert_eq!(storage.read("unchecked").expect("read"), None, "an unchecked reader has nothing");
    let LoadedSnapshots { newest, rejected } = load_state(&mut storage, KIND, 1);
    let whole = newest.expect("the one before");
    assert_eq!((whole.generation, &whole.bytes[..], rejected.len()), (1, &b"first"[..], 0));
}

#[test]
fn a_stale_read_looks_complete_and_only_the_generation_tells() {
    let (mut storage, schedule) = faulty_storage();
    let mut store = SnapshotStore::new("state", KIND, 1);
    store.save(&mut storage, b"first").expect("stored");
    let mut log = log_with(&mut storage, &[b"one"]);
    schedule.begin(1, StorageFault::StaleRead, None);
    assert!(storage.read("record").expect("read").is_some(), "the fault has begun");
    log.append(&mut storage, b"two").expect("appended");
    let (entries, tail) = reopen(&mut storage);
    assert_eq!((entries.len(), tail), (1, LogTail::Complete), "it looks complete");
    assert!(store.save(&mut storage, b"second").is_err(), "a snapshot is read back before it counts");
    let newest = load_state(&mut storage, KIND, 1).newest;
    assert_eq!(newest.expect("complete").generation, 1, "a process that knows a later generation rejects it");
}

#[test]
fn a_flipped_bit_is_rejected_by_log_and_snapshot_and_accepted_by_an_unchecked_reader() {
    let (mut storage, schedule) = faulty_storage();
    let mut store = SnapshotStore::new("state", KIND, 1);
    store.save(&mut storage, &[7; 64]).expect("stored");
    storage.write("unchecked", &[7; 64]).expect("written");
    log_with(&mut storage, &[&[7; 64]]);
    schedule.begin(1, StorageFault::BitFlip, None);
    assert_ne!(
        storage.read("unchecked").expect("read").expect("there"),
        [7; 64],
        "an unchecked reader accepts it"
    );
    let LoadedSnapshots { newest, rejected } = load_state(&mut storage, KIND, 1);
    assert!(newest.is_none() && rejected.len() == 1, "{rejected:?}");
    let (_, recovery) = Log::open(&mut storage, "record", KIND).expect("opened");
    assert!(recovery.entries.is_empty() && recovery.tail != LogTail::Complete, "{recovery:?}");
}

#[test]
fn a_lost_rename_is_reported_by_the_snapshot_store() {
    let (mut storage, schedule) = faulty_storage();
    storage.write("unchecked", b"old").expect("written");
    let mut store = SnapshotStore::new("state", KIND, 1);
    store.save(&mut storage, b"first").expect("stored");
    schedule.begin(1, StorageFault::LostRename, None);
    storage.write("unchecked.new", b"new").expect("written");
    storage.rename("unchecked.new", "unchecked").expect("success is reported");
    assert_eq!(storage.read("unchecked").expect("read").as_deref(), Some(&b"old"[..]));
    let fault = store.save(&mut storage, b"second").expect_err("it is reported").to_string();
    assert!(fault.contains("the rename said yes and did nothing"), "{fault}");
    schedule.end(1);
    assert_eq!(store.save(&mut storage, b"third").expect("stored"), 2);
}

#[test]
fn lost_data_reads_as_empty_and_later_writes_stay() {
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
    let began = std::time::Instant::now();
    assert_eq!(reopen(&mut storage).0, [b"one"]);
    assert!(began.elapsed().as_millis() >= 30);
    schedule.end(1);
}

#[test]
fn faults_reach_another_process_by_a_file_and_end_with_it() {
    let path = unused_path();
    let mut storage = FaultInjectingStorage::new(
        Directory::open(&path.join("store")).expect("a folder"),
        FaultSchedule::from_file(&path.join("schedule")),
        1,
    );
    storage.write("unchecked", b"all of it").expect("written");
    let other_process = FaultSchedule::new();
    other_process.begin(4, StorageFault::TornWrite { stored_ratio: 0.5 }, Some("unchecked"));
    other_process.write_to(&path.join("schedule")).expect("written");
    storage.write("unchecked", b"all of it").expect("success is reported");
    storage.write("other", b"all of it").expect("written");
    other_process.end(4);
    other_process.write_to(&path.join("schedule")).expect("written");
    assert_eq!(storage.read("unchecked").expect("read").as_deref(), Some(&b"all "[..]));
    assert_eq!(storage.read("other").expect("read").as_deref(), Some(&b"all of it"[..]));
    storage.write("unchecked", b"all of it").expect("written");
    assert_eq!(storage.read("unchecked").expect("read").as_deref(), Some(&b"all of it"[..]));
    std::fs::remove_dir_all(path).expect("removed");
}
