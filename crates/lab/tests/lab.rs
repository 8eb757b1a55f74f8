//! Experiments from their files to their results: what is refused, what a kill leaves, and the same bytes from any number
//! of threads.

use liftrouter_lab::experiment::Experiment;
use liftrouter_lab::plot::{page, table};
use liftrouter_lab::results::{Head, Results, Run, Writer};
use liftrouter_lab::run::{run, Ended};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

const SCENARIO: &str = r#"
name = "small"
length_s = 4.0
limiters.count = 2
nodes.count = 3
load.tries_per_s = 20.0
class = [{ name = "quote", share = 1.0, work_ms = 50.0, aim_ms = 500.0, deadline_ms = 2000.0, worth = 1.0, effect = "safe" }]
plan = [{ name = "agency", share = 1.0, rate = 5.0, burst_s = 3.0, price = 1.0 }]
"#;

const EXPERIMENT: &str = r#"
name = "keeper"
scenario = "small.toml"
responses = ["service", "keeper_calls"]
seeds = { least = 3, most = 3 }
[[factor]]
key = "limiters.count"
values = [2, 3]
[[factor]]
key = "plan.agency.rate"
values = [2.5, 5.0]
"#;

/// A folder of its own with the scenario in it.
fn folder() -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let n = NEXT.fetch_add(1, Ordering::SeqCst);
    let folder = std::env::temp_dir().join(format!("liftrouter-lab-{}-{n}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::write(folder.join("small.toml"), SCENARIO).expect("written");
    folder
}

fn parsed(text: &str, folder: &Path) -> Result<Experiment, Vec<String>> {
    let read = Experiment::parse("e.toml", text, folder);
    read.map_err(|problems| problems.iter().map(ToString::to_string).collect())
}

fn play(e: &Experiment, path: &Path, threads: usize, stop_after: Option<usize>) -> Ended {
    let head = Head::of(e).expect("a mark");
    let (mut writer, done) = if path.exists() {
        Writer::resume(path, &head).expect("resumed")
    } else {
        let writer = Writer::create(path, &head).expect("created");
        (writer, Results::read(path).expect("read"))
    };
    let stop = AtomicBool::new(false);
    let played = AtomicU64::new(0);
    let told = |_: &Run, _: usize| {
        let n = played.fetch_add(1, Ordering::SeqCst) + 1;
        stop.store(stop_after.is_some_and(|most| n as usize >= most), Ordering::SeqCst);
    };
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().expect("threads");
    pool.install(|| run(e, &done, &mut writer, None, &stop, told)).expect("played")
}

#[test]
fn every_cell_has_its_seeds_and_any_number_of_threads_gives_the_same() {
    let folder = folder();
    let e = parsed(EXPERIMENT, &folder).expect("good");
    assert_eq!(e.cells.len(), 4);
    assert_eq!(e.cells[1].name, "limiters.count = 2, plan.agency.rate = 5.0");
    let results: Vec<Results> = [1, 2, 8]
        .into_iter()
        .map(|threads| {
            let path = folder.join(format!("{threads}.results"));
            assert_eq!(play(&e, &path, threads, None), Ended::Done);
            Results::read(&path).expect("read")
        })
        .collect();
    assert_eq!(results[0].runs.len(), 12);
    assert!(results.iter().all(|r| r.runs == results[0].runs));
    let page = page(&results[0]).expect("drawn");
    assert!(page.matches("<svg").count() == 4 && page.contains("limiters.count = 3, plan.agency.rate = 2.5"));
    assert_eq!(table(&results[0]).lines().count(), 5);
    std::fs::remove_dir_all(folder).expect("removed");
}

#[test]
fn what_was_stopped_goes_on_without_losing_or_repeating_a_run() {
    let folder = folder();
    let e = parsed(EXPERIMENT, &folder).expect("good");
    let whole = folder.join("whole.results");
    play(&e, &whole, 2, None);
    let parts = folder.join("parts.results");
    let mut rounds = 0;
    while play(&e, &parts, 1, Some(1)) == Ended::Stopped {
        rounds += 1;
        assert_eq!(Results::read(&parts).expect("read").runs.len(), rounds);
    }
    assert_eq!(rounds, 11, "one run at a time");
    let lines = std::fs::read_to_string(&parts).expect("read").lines().count();
    assert_eq!(lines, 13, "the head, and each run once");
    assert_eq!(Results::read(&parts).expect("read").runs, Results::read(&whole).expect("read").runs);
    std::fs::remove_dir_all(folder).expect("removed");
}

/// A kill leaves any first part of what was written: whatever it is, the runs whose lines are whole are there, and the rest
/// are played again.
#[test]
fn a_kill_at_any_byte_of_a_write_loses_no_finished_run() {
    let folder = folder();
    let e = parsed(EXPERIMENT, &folder).expect("good");
    let head = Head::of(&e).expect("a mark");
    let path = folder.join("killed.results");
    let run =
        |seed: u64| Run { cell: 0, seed, responses: BTreeMap::from([("service".into(), seed as f64 / 7.0)]) };
    let mut writer = Writer::create(&path, &head).expect("created");
    let first = std::fs::metadata(&path).expect("there").len() as usize;
    (1..=3).for_each(|seed| writer.add(&run(seed)).expect("written"));
    drop(writer);
    let bytes = std::fs::read(&path).expect("read");
    for cut in first..=bytes.len() {
        std::fs::write(&path, &bytes[..cut]).expect("cut");
        let finished = bytes[first..cut].iter().filter(|b| **b == b'\n').count() as u64;
        let (mut writer, done) = Writer::resume(&path, &head).expect("it goes on");
        let expected: Vec<Run> = (1..=finished).map(run).collect();
        assert_eq!(done.runs, expected, "cut at {cut}");
        writer.add(&run(9)).expect("written");
        let seeds: Vec<u64> = Results::read(&path).expect("sound").runs.iter().map(|r| r.seed).collect();
        assert_eq!(seeds.len() as u64, finished + 1);
        assert_eq!(seeds.last(), Some(&9));
    }
    // Damage that no kill leaves is not passed over.
    let mut damaged = bytes.clone();
    damaged[first + 20] ^= 1;
    std::fs::write(&path, damaged).expect("written");
    let said = Results::read(&path).expect_err("damaged");
    assert!(said.ends_with(":2: the line does not hold its checksum"), "{said}");
    std::fs::remove_dir_all(folder).expect("removed");
}

#[test]
fn results_of_another_version_are_refused_and_say_of_what() {
    let folder = folder();
    let e = parsed(EXPERIMENT, &folder).expect("good");
    let path = folder.join("old.results");
    let head = Head::of(&e).expect("a mark");
    for (other, said) in [
        (Head { model: head.model ^ 1, ..head.clone() }, "another version of the model"),
        (Head { mark: head.mark ^ 1, ..head.clone() }, "another version of the experiment or its scenario"),
        (Head { experiment: "x".into(), ..head.clone() }, "another experiment"),
    ] {
        let _ = std::fs::remove_file(&path);
        drop(Writer::create(&path, &other).expect("created"));
        let why = Writer::resume(&path, &head).err().expect("refused");
        assert!(why.contains(said), "{why}");
    }
    // The file or its scenario is another as soon as a byte of it is.
    let other = parsed(&EXPERIMENT.replace("most = 3", "most = 4"), &folder).expect("good");
    assert_ne!(other.mark, e.mark);
    std::fs::write(folder.join("small.toml"), SCENARIO.replace("work_ms = 50.0", "work_ms = 51.0"))
        .expect("written");
    assert_ne!(parsed(EXPERIMENT, &folder).expect("good").mark, e.mark);
    std::fs::remove_dir_all(folder).expect("removed");
}

#[test]
fn experiments_that_cannot_be_run_are_refused_with_line_and_what_was_expected() {
    let folder = folder();
    for (from, to, said) in [
        ("limiters.count\"", "limiters.counts\"", "e.toml:7:7: limiters.counts = 2"),
        ("[2, 3]", "[2, 0]", "e.toml:7:7: limiters.count = 0"),
        ("[2, 3]", "[]", "e.toml:8:10: no values for limiters.count"),
        ("plan.agency.rate", "plan.agent.rate", "e.toml:10:7: "),
        ("plan.agency.rate", "model.wire", "the model has no \"wire\", expected one of answer_us"),
        ("\"keeper_calls\"", "\"calls\"", "e.toml:4:25: response \"calls\", expected one of service, whole"),
        ("small.toml", "none.toml", "e.toml:3:12: "),
        ("least = 3", "least = 1", "expected 2 <= least <= most"),
        ("name = \"keeper\"", "nam = \"keeper\"", "e.toml:2:1: unknown field `nam`"),
    ] {
        let text = EXPERIMENT.replacen(from, to, 1);
        assert_ne!(text, EXPERIMENT, "{from}");
        let problems = parsed(&text, &folder).expect_err(to);
        assert!(problems.iter().any(|p| p.contains(said)), "{to}: {problems:?}");
    }
    let wide =
        EXPERIMENT.replacen("plan.agency.rate", "model.wire_us", 1).replacen("[2.5, 5.0]", "[0.1, 5.0]", 1);
    let problems = parsed(&wide, &folder).expect_err("out of range");
    assert!(problems[0].contains("wire_us is 0.1, expected 1 to 100000000"), "{problems:?}");
    std::fs::remove_dir_all(folder).expect("removed");
}

#[test]
fn seeds_go_on_until_the_interval_is_narrow_or_there_are_enough() {
    let folder = folder();
    let text = |until: f64| {
        EXPERIMENT
            .replacen(
                "seeds = { least = 3, most = 3 }",
                &format!("seeds = {{ least = 3, most = 9, until = {until} }}"),
                1,
            )
            .replacen("[2, 3]", "[2]", 1)
            .replacen("[2.5, 5.0]", "[5.0]", 1)
    };
    let seeds = |until: f64| {
        let e = parsed(&text(until), &folder).expect("good");
        let path = folder.join(format!("{until}.results"));
        assert_eq!(play(&e, &path, 2, None), Ended::Done);
        Results::read(&path).expect("read").runs.len()
    };
    assert_eq!(seeds(100.0), 3, "wide enough at once");
    assert_eq!(seeds(1e-12), 9, "never narrow enough");
    std::fs::remove_dir_all(folder).expect("removed");
}

#[test]
fn a_budget_of_no_time_plays_nothing_and_says_so() {
    let folder = folder();
    let e = parsed(EXPERIMENT, &folder).expect("good");
    let path = folder.join("late.results");
    let mut writer = Writer::create(&path, &Head::of(&e).expect("a mark")).expect("created");
    let done = Results::read(&path).expect("read");
    let ended = run(&e, &done, &mut writer, Some(Duration::ZERO), &AtomicBool::new(false), |_, _| {});
    assert_eq!(ended, Ok(Ended::Stopped));
    assert!(Results::read(&path).expect("read").runs.is_empty());
    std::fs::remove_dir_all(folder).expect("removed");
}

#[test]
fn a_factor_may_be_the_scenario_itself() {
    let folder = folder();
    let other = SCENARIO.replacen("length_s = ", "length_s = 1", 1);
    assert_ne!(other, SCENARIO);
    std::fs::write(folder.join("longer.toml"), &other).expect("written");
    let text = EXPERIMENT.replacen("limiters.count", "scenario", 1).replacen(
        "[2, 3]",
        "[\"small.toml\", \"longer.toml\"]",
        1,
    );
    let e = parsed(&text, &folder).expect("good");
    let lengths: Vec<f64> = e.cells.iter().map(|cell| cell.scenario.length_s).collect();
    assert!(lengths[0] == lengths[1] && lengths[2] == lengths[3] && lengths[2] > lengths[0], "{lengths:?}");
    // What another file says belongs to the results as the experiment's own does.
    std::fs::write(folder.join("longer.toml"), format!("{other}\n# another\n")).expect("written");
    assert_ne!(parsed(&text, &folder).expect("good").mark, e.mark);
    let missing = text.replacen("longer.toml", "none.toml", 1);
    let problems = parsed(&missing, &folder).expect_err("it is not there");
    assert!(
        problems[0].starts_with("e.toml:8:10: ") && problems[0].contains("cannot be read"),
        "{problems:?}"
    );
    std::fs::remove_dir_all(folder).expect("removed");
}
