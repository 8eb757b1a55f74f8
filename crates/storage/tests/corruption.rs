//! Damage at every byte, power loss at every step, and arbitrary bytes.
mod common;

use common::{load_state, log_with, reopen, unused_path, KIND};
use liftrouter_storage::{Directory, LoadedSnapshots, Log, LogTail, MemoryStorage, SnapshotStore, Storage};
use proptest::prelude::*;

#[test]
fn a_directory_keeps_its_files_and_rejects_names_outside_it() {
    let path = unused_path();
    let mut storage = Directory::open(&path).expect("a folder");
    let mut log = log_with(&mut storage, &[b"one", b"two"]);
    let mut store = SnapshotStore::new("state", KIND, 1);
    for n in 1..=3u64 {
        assert_eq!(store.save(&mut storage, format!("{n}").as_bytes()).expect("stored"), n);
    }
    log.append(&mut storage, b"three").expect("appended");
    let mut again = Directory::open(&path).expect("a folder");
    assert_eq!(reopen(&mut again).0, [&b"one"[..], b"two", b"three"]);
    assert_eq!(store.load(&mut again).expect("read").newest.expect("complete").bytes, b"3");
    assert_eq!(again.list().expect("listed"), ["record", "state.0", "state.1"]);
    for name in ["../out", "a/b", "", ".hidden"] {
        let fault = again.write(name, b"x").expect_err("refused").to_string();
        assert!(fault.contains("is no name of a file in one folder"), "{fault}");
    }
    assert!(again.read("none").expect("read").is_none());
    std::fs::remove_dir_all(path).expect("removed");
}

#[test]
fn a_snapshot_with_any_changed_byte_or_of_another_kind_or_version_is_rejected() {
    let mut storage = MemoryStorage::new(1);
    SnapshotStore::new("state", KIND, 2).save(&mut storage, b"what is kept").expect("stored");
    let whole = storage.read("state.1").expect("read").expect("there");
    for at in 0..whole.len() {
        for flip in [1u8, 0x80] {
            let mut bytes = whole.clone();
            bytes[at] ^= flip;
            storage.write("state.1", &bytes).expect("written");
            let LoadedSnapshots { newest, rejected } = load_state(&mut storage, KIND, 2);
            assert!(newest.is_none() && rejected.len() == 1, "byte {at}");
        }
    }
    for len in 0..whole.len() {
        storage.write("state.1", &whole[..len]).expect("written");
        let LoadedSnapshots { newest, rejected } = load_state(&mut storage, KIND, 2);
        assert!(
            newest.is_none() && rejected[0].cause.to_string().contains("torn"),
            "{len} bytes: {rejected:?}"
        );
    }
    storage.write("state.1", &whole).expect("written");
    for (kind, version, said) in [
        (KIND + 1, 2, "it is another store's"),
        (KIND, 1, "a later program's"),
        (KIND, 3, "an earlier program's"),
    ] {
        let LoadedSnapshots { newest, rejected } = load_state(&mut storage, kind, version);
        assert!(newest.is_none() && rejected[0].cause.to_string().contains(said), "{rejected:?}");
    }
    // Under the other name it is misplaced: an old copy put back there would look like the newer one.
    storage.write("state.0", &whole).expect("written");
    storage.remove("state.1").expect("removed");
    let LoadedSnapshots { newest, rejected } = load_state(&mut storage, KIND, 2);
    assert!(newest.is_none() && rejected[0].cause.to_string().contains("misplaced"), "{rejected:?}");
}

#[test]
fn a_changed_byte_anywhere_in_a_log_is_detected() {
    let mut storage = MemoryStorage::new(1);
    log_with(&mut storage, &[b"one", b"two", b"three"]);
    assert_eq!(reopen(&mut storage).0.len(), 3);
    let whole = storage.read("record").expect("read").expect("there");
    for at in 0..whole.len() {
        let mut bytes = whole.clone();
        bytes[at] ^= 0x10;
        storage.write("record", &bytes).expect("written");
        let (entries, tail) = reopen(&mut storage);
        assert!(entries.len() < 3 && tail != LogTail::Complete, "byte {at}: {tail:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Power loss or a kill at any step: what was synced is there, and nothing that was not written.
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
        // The log continues from there.
        let (mut log, _) = Log::open(&mut storage, "record", KIND).expect("opened");
        log.append(&mut storage, b"more").expect("appended");
        log.sync(&mut storage).expect("synced");
        prop_assert_eq!(reopen(&mut storage).0.len(), entries.len() + 1);
    }

    /// Recovery of any bytes terminates and invents no entries.
    #[test]
    fn arbitrary_bytes_recover_no_entries(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut storage = MemoryStorage::new(1);
        storage.write("record", &bytes).expect("written");
        storage.write("state.0", &bytes).expect("written");
        prop_assert!(reopen(&mut storage).0.is_empty());
        prop_assert!(load_state(&mut storage, KIND, 1).newest.is_none());
    }
}
