//! Each lie is told to a reader without defence, which loses or takes wrong data, and to one with it, which does not.

use liftrouter_storage::{Disk, Folder, Lie, Lies, Log, Lying, Memory, Snapshots, Tail};
use proptest::prelude::*;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

const KIND: u32 = 0x7e57;

fn lying() -> (Lying<Memory>, Lies) {
    let lies = Lies::new();
    (Lying::new(Memory::new(3), lies.clone(), 3), lies)
}

/// A folder of the machine, empty.
fn folder() -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let n = NEXT.fetch_add(1, Ordering::SeqCst);
    std::env::temp_dir().join(format!("liftrouter-storage-{}-{n}", std::process::id()))
}

/// A log with some entries that last.
fn log_of(disk: &mut dyn Disk, entries: &[&[u8]]) -> Log {
    let (mut log, _) = Log::open(disk, "record", KIND).expect("opened");
    for entry in entries {
        log.append(disk, entry).expect("appended");
    }
    log.sync(disk).expect("synced");
    log
}

fn reread(disk: &mut dyn Disk) -> (Vec<Vec<u8>>, Tail) {
    let (_, found) = Log::open(disk, "record", KIND).expect("opened");
    (found.entries, found.tail)
}

#[test]
fn a_torn_write_leaves_a_bare_reader_half_an_entry_and_a_log_says_where() {
    let (mut disk, lies) = lying();
    disk.write("bare", b"one;").expect("written");
    let mut log = log_of(&mut disk, &[b"one"]);
    lies.begin(1, Lie::TornWrite { share: 0.5 }, None);
    disk.append("bare", b"twelve;").expect("it says yes");
    log.append(&mut disk, b"twelve").expect("it says yes");
    lies.end(1);
    assert_eq!(
        disk.read("bare").expect("read").as_deref(),
        Some(&b"one;twe"[..]),
        "half of it is taken for all"
    );
    let (entries, tail) = reread(&mut disk);
    assert_eq!(entries, [b"one"]);
    assert!(matches!(tail, Tail::Torn { bytes: 11, .. }), "{tail:?}");
    // It was cut off: what follows is read again.
    let (mut log, _) = Log::open(&mut disk, "record", KIND).expect("opened");
    log.append(&mut disk, b"thirteen").expect("appended");
    assert_eq!(reread(&mut disk), (vec![b"one".to_vec(), b"thirteen".to_vec()], Tail::Whole));
}

#[test]
fn a_write_torn_in_the_midst_is_told_from_a_torn_tail() {
    let (mut disk, lies) = lying();
    let mut log = log_of(&mut disk, &[b"one"]);
    lies.begin(1, Lie::TornWrite { share: 0.5 }, None);
    log.append(&mut disk, b"two").expect("it says yes");
    lies.end(1);
    log.append(&mut disk, b"three").expect("appended");
    let (entries, tail) = reread(&mut disk);
    assert_eq!(entries, [b"one"], "what lies behind a hole is not given");
    let Tail::Broken { at, what } = tail else { panic!("{tail:?}") };
    assert_eq!((at, what.as_str()), (33, "9 bytes that are no entry before entry 2, expected entry 1"));
    // Nothing is lost: the damaged file is kept under another name.
    let (mut log, _) = Log::open(&mut disk, "record", KIND).expect("opened");
    assert!(log.append(&mut disk, b"four").is_err(), "a broken log is not written");
    assert_eq!(log.set_aside(&mut disk).expect("renamed"), "record.damaged-1");
    log.go_on_from(7);
    assert_eq!(log.append(&mut disk, b"four").expect("appended"), 7);
    assert_eq!(disk.list().expect("listed"), ["record", "record.damaged-1"]);
    let (_, found) = Log::open(&mut disk, "record", KIND).expect("opened");
    assert_eq!((found.first, found.entries), (7, vec![b"four".to_vec()]));
}

#[test]
fn a_short_write_and_a_full_disk_are_told_and_the_log_is_written_no_further() {
    for lie in [Lie::ShortWrite { share: 0.4 }, Lie::Full, Lie::Io] {
        let (mut disk, lies) = lying();
        let mut log = log_of(&mut disk, &[b"one"]);
        lies.begin(1, lie, None);
        let fault = log.append(&mut disk, b"two").expect_err("it is told").to_string();
        assert!(fault.starts_with("record: cannot "), "{fault}");
        lies.end(1);
        // A writer without defence goes on, and its next entry lies behind a part of the last.
        let fault = log.append(&mut disk, b"three").expect_err("it must be opened anew").to_string();
        assert!(fault.contains("it failed before"), "{fault}");
        assert_eq!(reread(&mut disk).0, [b"one"]);
    }
}

#[test]
fn a_sync_that_keeps_nothing_loses_what_it_said_yes_to_and_an_older_snapshot_is_there() {
    let (mut disk, lies) = lying();
    let mut store = Snapshots::new("state", KIND, 1);
    store.store(&mut disk, b"first").expect("stored");
    lies.begin(1, Lie::EmptySync, None);
    store.store(&mut disk, b"second").expect("it says yes");
    disk.write("bare", b"second").expect("written");
    disk.sync("bare").expect("it says yes");
    assert_eq!(
        Snapshots::new("state", KIND, 1).load(&mut disk).expect("read").0.expect("whole").generation,
        2
    );
    // The process is killed: what the cache held is gone.
    let mut disk = disk.into_inner();
    assert_eq!(disk.read("bare").expect("read"), None, "a bare reader has nothing");
    let (whole, refused) = Snapshots::new("state", KIND, 1).load(&mut disk).expect("read");
    let whole = whole.expect("the one before");
    assert_eq!((whole.generation, &whole.bytes[..], refused.len()), (1, &b"first"[..], 0));
}

#[test]
fn old_content_looks_whole_and_only_its_number_tells() {
    let (mut disk, lies) = lying();
    let mut store = Snapshots::new("state", KIND, 1);
    store.store(&mut disk, b"first").expect("stored");
    let mut log = log_of(&mut disk, &[b"one"]);
    lies.begin(1, Lie::Old, None);
    assert!(disk.read("record").expect("read").is_some(), "the lie has begun");
    log.append(&mut disk, b"two").expect("appended");
    let (entries, tail) = reread(&mut disk);
    assert_eq!((entries.len(), tail), (1, Tail::Whole), "it looks whole");
    assert!(store.store(&mut disk, b"second").is_err(), "what is stored is read back before it counts");
    let (whole, _) = Snapshots::new("state", KIND, 1).load(&mut disk).expect("read");
    assert_eq!(whole.expect("whole").generation, 1, "who knows of a later one refuses it");
}

#[test]
fn a_flipped_bit_is_taken_by_a_bare_reader_and_refused_by_log_and_snapshot() {
    let (mut disk, lies) = lying();
    let mut store = Snapshots::new("state", KIND, 1);
    store.store(&mut disk, &[7; 64]).expect("stored");
    disk.write("bare", &[7; 64]).expect("written");
    log_of(&mut disk, &[&[7; 64]]);
    lies.begin(1, Lie::Flip, None);
    assert_ne!(disk.read("bare").expect("read").expect("there"), [7; 64], "a bare reader takes it");
    let (whole, refused) = Snapshots::new("state", KIND, 1).load(&mut disk).expect("read");
    assert!(whole.is_none() && refused.len() == 1, "{refused:?}");
    let (_, found) = Log::open(&mut disk, "record", KIND).expect("opened");
    assert!(found.entries.is_empty() && found.tail != Tail::Whole, "{found:?}");
}

#[test]
fn a_lost_rename_leaves_a_bare_writer_the_old_file_and_a_store_says_so() {
    let (mut disk, lies) = lying();
    disk.write("bare", b"old").expect("written");
    let mut store = Snapshots::new("state", KIND, 1);
    store.store(&mut disk, b"first").expect("stored");
    lies.begin(1, Lie::LostRename, None);
    disk.write("bare.new", b"new").expect("written");
    disk.rename("bare.new", "bare").expect("it says yes");
    assert_eq!(disk.read("bare").expect("read").as_deref(), Some(&b"old"[..]));
    let fault = store.store(&mut disk, b"second").expect_err("it is told").to_string();
    assert!(fault.contains("the rename said yes and did nothing"), "{fault}");
    lies.end(1);
    assert_eq!(store.store(&mut disk, b"third").expect("stored"), 2);
}

#[test]
fn all_content_gone_is_seen_as_none_and_what_is_written_after_it_stays() {
    let (mut disk, lies) = lying();
    log_of(&mut disk, &[b"one"]);
    lies.begin(1, Lie::Gone, None);
    assert_eq!(reread(&mut disk), (vec![], Tail::Whole));
    log_of(&mut disk, &[b"two"]);
    assert_eq!(reread(&mut disk).0, [b"two"]);
}

#[test]
fn a_stall_takes_its_time_and_then_all_is_as_it_was() {
    let (mut disk, lies) = lying();
    log_of(&mut disk, &[b"one"]);
    lies.begin(1, Lie::Stall { ms: 30 }, Some("record"));
    let began = std::time::Instant::now();
    assert_eq!(reread(&mut disk).0, [b"one"]);
    assert!(began.elapsed().as_millis() >= 30);
    lies.end(1);
}

#[test]
fn lies_reach_another_process_by_a_file_and_end_with_it() {
    let path = folder();
    let mut disk = Lying::new(
        Folder::open(&path.join("store")).expect("a folder"),
        Lies::from_file(&path.join("lies")),
        1,
    );
    disk.write("bare", b"all of it").expect("written");
    let kit = Lies::new();
    kit.begin(4, Lie::TornWrite { share: 0.5 }, Some("bare"));
    kit.write_to(&path.join("lies")).expect("told");
    disk.write("bare", b"all of it").expect("it says yes");
    disk.write("other", b"all of it").expect("written");
    kit.end(4);
    kit.write_to(&path.join("lies")).expect("told");
    assert_eq!(disk.read("bare").expect("read").as_deref(), Some(&b"all "[..]));
    assert_eq!(disk.read("other").expect("read").as_deref(), Some(&b"all of it"[..]));
    disk.write("bare", b"all of it").expect("written");
    assert_eq!(disk.read("bare").expect("read").as_deref(), Some(&b"all of it"[..]));
    std::fs::remove_dir_all(path).expect("removed");
}

#[test]
fn a_folder_of_the_machine_keeps_what_it_is_told_and_takes_no_name_out_of_it() {
    let path = folder();
    let mut disk = Folder::open(&path).expect("a folder");
    let mut log = log_of(&mut disk, &[b"one", b"two"]);
    let mut store = Snapshots::new("state", KIND, 1);
    for n in 1..=3u64 {
        assert_eq!(store.store(&mut disk, format!("{n}").as_bytes()).expect("stored"), n);
    }
    log.append(&mut disk, b"three").expect("appended");
    let mut again = Folder::open(&path).expect("a folder");
    assert_eq!(reread(&mut again).0, [&b"one"[..], b"two", b"three"]);
    assert_eq!(store.load(&mut again).expect("read").0.expect("whole").bytes, b"3");
    assert_eq!(again.list().expect("listed"), ["record", "state.0", "state.1"]);
    for name in ["../out", "a/b", "", ".hidden"] {
        let fault = again.write(name, b"x").expect_err("refused").to_string();
        assert!(fault.contains("is no name of a file in one folder"), "{fault}");
    }
    assert!(again.read("none").expect("read").is_none());
    std::fs::remove_dir_all(path).expect("removed");
}

#[test]
fn each_byte_of_a_snapshot_changed_is_refused_and_so_is_what_is_foreign_older_or_later() {
    let mut disk = Memory::new(1);
    Snapshots::new("state", KIND, 2).store(&mut disk, b"what is kept").expect("stored");
    let whole = disk.read("state.1").expect("read").expect("there");
    for at in 0..whole.len() {
        for flip in [1u8, 0x80] {
            let mut bytes = whole.clone();
            bytes[at] ^= flip;
            disk.write("state.1", &bytes).expect("written");
            let (found, refused) = Snapshots::new("state", KIND, 2).load(&mut disk).expect("read");
            assert!(found.is_none() && refused.len() == 1, "byte {at}");
        }
    }
    for len in 0..whole.len() {
        disk.write("state.1", &whole[..len]).expect("written");
        let (found, refused) = Snapshots::new("state", KIND, 2).load(&mut disk).expect("read");
        assert!(found.is_none() && refused[0].what.contains("torn"), "{len} bytes: {refused:?}");
    }
    disk.write("state.1", &whole).expect("written");
    for (kind, version, said) in [
        (KIND + 1, 2, "it is another store's"),
        (KIND, 1, "a later program's"),
        (KIND, 3, "an earlier program's"),
    ] {
        let (found, refused) = Snapshots::new("state", kind, version).load(&mut disk).expect("read");
        assert!(found.is_none() && refused[0].what.contains(said), "{refused:?}");
    }
    // Under the other name it is misplaced: an old copy put back there would look like the newer one.
    disk.write("state.0", &whole).expect("written");
    disk.remove("state.1").expect("removed");
    let (found, refused) = Snapshots::new("state", KIND, 2).load(&mut disk).expect("read");
    assert!(found.is_none() && refused[0].what.contains("misplaced"), "{refused:?}");
}

#[test]
fn each_byte_of_a_log_changed_is_found() {
    let mut disk = Memory::new(1);
    log_of(&mut disk, &[b"one", b"two", b"three"]);
    assert_eq!(reread(&mut disk).0.len(), 3);
    let whole = disk.read("record").expect("read").expect("there");
    for at in 0..whole.len() {
        let mut bytes = whole.clone();
        bytes[at] ^= 0x10;
        disk.write("record", &bytes).expect("written");
        let (entries, tail) = reread(&mut disk);
        assert!(entries.len() < 3 && tail != Tail::Whole, "byte {at}: {tail:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// A power cut or a kill at any step: what a yes was said to is there, and nothing that was not written.
    #[test]
    fn at_any_step_a_cut_leaves_what_was_said_to_last(seed: u64, dies in 0u64..60, entries in 1usize..12) {
        let mut disk = Memory::new(seed);
        disk.dies_after = Some(dies);
        let (mut lasting, mut stored, mut tried) = (0, 0, 0);
        let mut store = Snapshots::new("state", KIND, 1);
        if let Ok((mut log, _)) = Log::open(&mut disk, "record", KIND) {
            for n in 0..entries {
                if log.append(&mut disk, format!("entry {n}").as_bytes()).is_err() { break; }
                tried = n + 1;
                if log.sync(&mut disk).is_err() { break; }
                lasting = n + 1;
                match store.store(&mut disk, format!("state {n}").as_bytes()) {
                    Ok(generation) => stored = generation,
                    Err(_) => break,
                }
            }
        }
        disk.power_cut();
        let (entries, tail) = reread(&mut disk);
        prop_assert!(!matches!(tail, Tail::Broken { .. }), "{:?}", tail);
        prop_assert!(entries.len() >= lasting && entries.len() <= tried + 1, "{} of {}", entries.len(), lasting);
        for (n, entry) in entries.iter().enumerate() {
            prop_assert_eq!(entry, &format!("entry {n}").into_bytes());
        }
        let (whole, _) = Snapshots::new("state", KIND, 1).load(&mut disk).expect("read");
        let generation = whole.as_ref().map_or(0, |w| w.generation);
        prop_assert!(generation >= stored, "{} of {}", generation, stored);
        if let Some(whole) = whole {
            prop_assert_eq!(whole.bytes, format!("state {}", whole.generation - 1).into_bytes());
        }
        // And it goes on from there.
        let (mut log, _) = Log::open(&mut disk, "record", KIND).expect("opened");
        log.append(&mut disk, b"more").expect("appended");
        log.sync(&mut disk).expect("synced");
        prop_assert_eq!(reread(&mut disk).0.len(), entries.len() + 1);
    }

    /// Whatever bytes a log or a snapshot is, reading it ends and invents nothing.
    #[test]
    fn any_bytes_are_read_to_an_end(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut disk = Memory::new(1);
        disk.write("record", &bytes).expect("written");
        disk.write("state.0", &bytes).expect("written");
        prop_assert!(reread(&mut disk).0.is_empty());
        prop_assert!(Snapshots::new("state", KIND, 1).load(&mut disk).expect("read").0.is_none());
    }
}
