//! Tests of recovery from a changed byte at every offset, a power loss after every operation, and arbitrary file contents.
mod common;

use common::{load_state, log_with, reopen, unused_path, KIND};
use liftrouter_storage::{Directory, LoadedSnapshots, Log, LogTail, MemoryStorage, SnapshotStore, Storage};
use proptest::prelude::*;

#[test]
fn a_directory_keeps_its_files_and_rejects_names_outside_it() {
    let path = unused_path();
    let mut storage = Directory::open(&path).expect("open directory");
    let mut log = log_with(&mut storage, &[b"one", b"two"]);
    let mut store = SnapshotStore::new("state", KIND, 1);
    for n in 1..=3u64 {
        assert_eq!(store.save(&mut storage, format!("{n}").as_bytes()).expect("save snapshot"), n);
    }
    log.append(&mut storage, b"three").expect("append entry");
    let mut reopened = Directory::open(&path).expect("open directory");
    assert_eq!(reopen(&mut reopened).0, [&b"one"[..], b"two", b"three"]);
    assert_eq!(
        store.load(&mut reopened).expect("load snapshots").newest.expect("valid snapshot").bytes,
        b"3"
    );
    assert_eq!(reopened.list().expect("list files"), ["record", "state.0", "state.1"]);
    for name in ["../out", "a/b", "", ".hidden"] {
        let error = reopened.write(name, b"x").expect_err("invalid name").to_string();
        assert!(
            error
                .contains("is not a valid file name: it is empty, starts with a dot or contains a separator"),
            "{error}"
        );
    }
    assert!(reopened.read("none").expect("read file").is_none());
    std::fs::remove_dir_all(path).expect("remove directory");
}

#[test]
fn a_snapshot_with_any_changed_byte_or_of_another_kind_or_version_is_rejected() {
    let mut storage = MemoryStorage::new(1);
    SnapshotStore::new("state", KIND, 2).save(&mut storage, b"what is kept").expect("save snapshot");
    let intact = storage.read("state.1").expect("read file").expect("file exists");
    for offset in 0..intact.len() {
        for flip in [1u8, 0x80] {
            let mut bytes = intact.clone();
            bytes[offset] ^= flip;
            storage.write("state.1", &bytes).expect("write file");
            let LoadedSnapshots { newest, rejected } = load_state(&mut storage, KIND, 2);
            assert!(newest.is_none() && rejected.len() == 1, "offset {offset}");
        }
    }
    for len in 0..intact.len() {
        storage.write("state.1", &intact[..len]).expect("write file");
        let LoadedSnapshots { newest, rejected } = load_state(&mut storage, KIND, 2);
        assert!(
            newest.is_none() && rejected[0].cause.to_string().contains("torn"),
            "{len} bytes: {rejected:?}"
        );
    }
    storage.write("state.1", &intact).expect("write file");
    for (kind, version, expected_cause) in [
        (KIND + 1, 2, "it belongs to another store"),
        (KIND, 1, "written by a later version of the program"),
        (KIND, 3, "written by an earlier version of the program"),
    ] {
        let LoadedSnapshots { newest, rejected } = load_state(&mut storage, kind, version);
        assert!(newest.is_none() && rejected[0].cause.to_string().contains(expected_cause), "{rejected:?}");
    }
    // A file under the name of the other parity is rejected: an old copy restored there would look like the newer snapshot.
    storage.write("state.0", &intact).expect("write file");
    storage.remove("state.1").expect("remove file");
    let LoadedSnapshots { newest, rejected } = load_state(&mut storage, KIND, 2);
    assert!(
        newest.is_none() && rejected[0].cause.to_string().contains("misplaced snapshot: generation 1 "),
        "{rejected:?}"
    );
}

#[test]
fn a_changed_byte_anywhere_in_a_log_is_detected() {
    let mut storage = MemoryStorage::new(1);
    log_with(&mut storage, &[b"one", b"two", b"three"]);
    assert_eq!(reopen(&mut storage).0.len(), 3);
    let intact = storage.read("record").expect("read file").expect("file exists");
    for offset in 0..intact.len() {
        let mut bytes = intact.clone();
        bytes[offset] ^= 0x10;
        storage.write("record", &bytes).expect("write file");
        let (entries, tail) = reopen(&mut storage);
        assert!(entries.len() < 3 && tail != LogTail::Complete, "offset {offset}: {tail:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// After a process kill or a power loss at any step, everything that was synced is recovered, and nothing that was not
    /// written.
    #[test]
    fn power_loss_at_any_step_keeps_what_was_synced(seed: u64, operations in 0u64..60, entries in 1usize..12) {
        let mut storage = MemoryStorage::new(seed);
        storage.operations_until_failure = Some(operations);
        let (mut synced, mut saved, mut appended) = (0, 0, 0);
        let mut store = SnapshotStore::new("state", KIND, 1);
        if let Ok((mut log, _)) = Log::open(&mut storage, "record", KIND) {
            for n in 0..entries {
                if log.append(&mut storage, format!("entry {n}").as_bytes()).is_err() { break; }
                appended = n + 1;
                if log.sync(&mut storage).is_err() { break; }
                synced = n + 1;
                match store.save(&mut storage, format!("state {n}").as_bytes()) {
                    Ok(generation) => saved = generation,
                    Err(_) => break,
                }
            }
        }
        storage.power_loss();
        let (entries, tail) = reopen(&mut storage);
        prop_assert!(!matches!(tail, LogTail::Corrupt { .. }), "{:?}", tail);
        prop_assert!(entries.len() >= synced && entries.len() <= appended + 1, "{} of {}", entries.len(), synced);
        for (n, entry) in entries.iter().enumerate() {
            prop_assert_eq!(entry, &format!("entry {n}").into_bytes());
        }
        let newest = load_state(&mut storage, KIND, 1).newest;
        let generation = newest.as_ref().map_or(0, |snapshot| snapshot.generation);
        prop_assert!(generation >= saved, "{} of {}", generation, saved);
        if let Some(newest) = newest {
            prop_assert_eq!(newest.bytes, format!("state {}", newest.generation - 1).into_bytes());
        }
        // The recovered log accepts further entries.
        let (mut log, _) = Log::open(&mut storage, "record", KIND).expect("open log");
        log.append(&mut storage, b"more").expect("append entry");
        log.sync(&mut storage).expect("sync log");
        prop_assert_eq!(reopen(&mut storage).0.len(), entries.len() + 1);
    }

    /// Recovery of arbitrary bytes terminates and returns no entries.
    #[test]
    fn arbitrary_bytes_recover_no_entries(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut storage = MemoryStorage::new(1);
        storage.write("record", &bytes).expect("write file");
        storage.write("state.0", &bytes).expect("write file");
        prop_assert!(reopen(&mut storage).0.is_empty());
        prop_assert!(load_state(&mut storage, KIND, 1).newest.is_none());
    }
}
