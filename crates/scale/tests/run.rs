//! Short runs of whole fleets: everybody ends on the list of the source, the checker finds who does not, and nothing
//! is left behind.

use liftrouter_scale::record::Record;
use procfs::process::{all_processes, Process};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// How long anything may take before a test gives up.
const PATIENCE: Duration = Duration::from_secs(50);
const POLL: Duration = Duration::from_millis(20);
const LIMITERS: f64 = 20.0;
const MAX_PROCESSES: f64 = 12.0;
const MEMORY_MB: f64 = 2_000.0;

/// The program of the real limiters. The build of the whole workspace leaves it beside this one; where only this
/// crate was built, it is built here.
fn daemon() -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_liftrouter-scale")).with_file_name("liftrouter");
    if !path.exists() {
        let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
        let built = Command::new(cargo).args(["build", "-p", "liftrouter", "--bin", "liftrouter"]).status();
        assert!(built.expect("cargo runs").success(), "the limiter is built");
    }
    path
}

fn scratch(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// A run of a small fleet.
struct SmallFleet {
    per_process: u32,
    changes_per_second: f64,
    memory_mb: f64,
    max_processes: f64,
}

impl Default for SmallFleet {
    fn default() -> Self {
        SmallFleet {
            per_process: 5,
            changes_per_second: 2.0,
            memory_mb: MEMORY_MB,
            max_processes: MAX_PROCESSES,
        }
    }
}

impl SmallFleet {
    fn command(&self, more: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_liftrouter-scale"));
        command.args(["run", "--hollow", "20", "--real", "1", "--servers", "200", "--services", "4"]);
        command.args(["--burst", "100", "--seed", "7", "--quiet"]);
        command.arg("--hollow-per-process").arg(self.per_process.to_string());
        command.arg("--changes-per-second").arg(self.changes_per_second.to_string());
        command.arg("--max-processes").arg(self.max_processes.to_string());
        command.arg("--memory-mb").arg(self.memory_mb.to_string());
        command.arg("--daemon").arg(daemon()).args(more);
        command.stdout(Stdio::piped()).stderr(Stdio::piped());
        command
    }

    fn play(&self, more: &[&str]) -> Output {
        self.command(more).output().expect("the run starts")
    }
}

fn play(more: &[&str]) -> Output {
    SmallFleet::default().play(more)
}

fn read_record(path: &Path) -> Record {
    serde_json::from_str(&fs::read_to_string(path).expect("a record")).expect("JSON")
}

fn value(record: &Record, quantity: &str) -> f64 {
    let values: Vec<f64> =
        record.points.iter().filter(|point| point.quantity == quantity).map(|point| point.value).collect();
    assert_eq!(values.len(), 1, "{quantity} is measured once");
    values[0]
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn everybody_ends_on_the_list_of_the_source() {
    let file = scratch("everybody.json");
    let out = file.to_str().expect("utf-8");
    let output = play(&["--seconds", "2", "--warm-up", "0.5", "--fault", "restart-tenth", "--out", out]);
    assert!(output.status.success(), "{}", stderr(&output));
    let record = read_record(&file);
    assert_eq!(value(&record, "check.offenders"), 0.0);
    let changes = value(&record, "source.changes_count");
    assert!(changes >= 100.0, "the burst is part of the changes");
    assert_eq!(value(&record, "limiter.changes_least_count"), changes);
    assert_eq!(value(&record, "limiter.changes_most_count"), changes);
    assert_eq!(value(&record, "limiter.whole_lists_most_count"), 1.0);
    assert!(value(&record, "lag.count") > 0.0);
    assert!(value(&record, "request.served_count") > 0.0);
    assert!(value(&record, "fleet.processes") <= MAX_PROCESSES);
    assert!(value(&record, "fleet.rss_mb") <= MEMORY_MB);
    assert!(record.points.iter().all(|point| point.variable == "limiters" && point.size == LIMITERS));
    assert!(!record.command.contains(out), "the command has no paths: {}", record.command);
}

#[test]
fn killed_limiters_and_a_cut_region_end_on_the_list_of_the_source() {
    let output = play(&["--seconds", "0.5", "--warm-up", "0", "--fault", "rack", "--fault", "region"]);
    assert!(output.status.success(), "{}", stderr(&output));
}

#[test]
fn a_limiter_that_lost_a_message_is_found() {
    // The burst brings the first changes, none of them twice to one server: what is lost is not told again, and
    // what comes later has the generation of the source.
    let fleet = SmallFleet { changes_per_second: 0.0, ..SmallFleet::default() };
    let output =
        fleet.play(&["--seconds", "0.5", "--warm-up", "0", "--settle-seconds", "3", "--lose-one-message"]);
    assert_eq!(output.status.code(), Some(1), "{}", stderr(&output));
    let found = stderr(&output);
    assert_eq!(found.lines().count(), 1, "one child lost it: {found}");
    assert!(found.contains("limiter ") && found.contains("holds other servers than the source"), "{found}");
}

#[test]
fn a_fleet_of_more_processes_than_allowed_is_not_started() {
    let output = SmallFleet { per_process: 1, ..SmallFleet::default() }.play(&[]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("--max-processes"), "{}", stderr(&output));
}

#[test]
fn a_fleet_of_more_memory_than_allowed_is_ended() {
    let output = SmallFleet { memory_mb: 1.0, ..SmallFleet::default() }.play(&["--seconds", "60"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("--memory-mb"), "{}", stderr(&output));
}

#[test]
fn what_needs_relays_is_said() {
    for option in [["--fault", "relay-dies"], ["--relays", "2"]] {
        let output = play(&option);
        assert_eq!(output.status.code(), Some(2));
        assert!(stderr(&output).contains("needs --lists service"), "{}", stderr(&output));
    }
}

/// Two roots and two leaves.
const RELAYS: f64 = 4.0;

fn play_behind_relays(fleet: SmallFleet, leaves: &str, more: &[&str]) -> Output {
    let fleet = SmallFleet { max_processes: MAX_PROCESSES + RELAYS, ..fleet };
    fleet.play(&[&["--lists", "service", "--relays", leaves], more].concat())
}

/// Plays a fleet behind two leaves in which the checker finds nobody, and gives its record.
fn record_behind_relays(name: &str, more: &[&str]) -> Record {
    let file = scratch(name);
    let out = ["--settle-seconds", "20", "--out", file.to_str().expect("utf-8")];
    let output = play_behind_relays(SmallFleet::default(), "2", &[more, &out[..]].concat());
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let record = read_record(&file);
    assert_eq!(value(&record, "check.offenders"), 0.0);
    record
}

#[test]
fn behind_relays_everybody_ends_on_the_list_of_its_service() {
    let faults = ["--fault", "relay-dies", "--fault", "restart-tenth", "--fault", "stall"];
    let more = [&["--seconds", "2", "--warm-up", "0.5"], &faults[..]].concat();
    let record = record_behind_relays("behind-relays.json", &more);
    // Each limiter is told the changes of its own service alone: a quarter of them, more or less.
    let changes = value(&record, "source.changes_count");
    assert!(value(&record, "limiter.changes_most_count") < 0.6 * changes, "{changes} changes");
    assert!(value(&record, "limiter.changes_least_count") > 0.0);
    assert_eq!(value(&record, "limiter.whole_lists_most_count"), 1.0, "no whole list but the first");
}

/// The checker finds whoever goes by an old list without saying so.
#[test]
fn behind_relays_a_straggler_is_told_late_and_says_so() {
    let faults = ["--fault", "restart-tenth", "--fault", "straggler"];
    let more = [&["--seconds", "0.5", "--warm-up", "0"], &faults[..]].concat();
    let record = record_behind_relays("straggler.json", &more);
    let slowest = |fault: &str| value(&record, &format!("fault.{fault}.lag_last_ms"));
    let (straggler, others) = (slowest("straggler"), slowest("restart_tenth"));
    assert!(straggler > 2.0 * others, "the last lag is {straggler} ms, without it {others} ms");
}

#[test]
fn a_message_lost_above_the_relays_is_found_by_the_checker() {
    let fleet = SmallFleet { changes_per_second: 0.0, ..SmallFleet::default() };
    // One root and one leaf: of two roots, the one that lost the message may have no children.
    let output = play_behind_relays(
        fleet,
        "1",
        &["--seconds", "0.5", "--warm-up", "0", "--settle-seconds", "5", "--lose-one-message"],
    );
    assert_eq!(output.status.code(), Some(1), "{}", stderr(&output));
    assert!(stderr(&output).contains("holds other servers"), "{}", stderr(&output));
}

/// Processes that a process has started and that run.
fn children_of(parent: u32) -> Vec<i32> {
    let all = all_processes().expect("the list of processes");
    let stats = all.filter_map(|process| process.ok()?.stat().ok());
    stats.filter(|stat| stat.ppid == parent as i32).map(|stat| stat.pid).collect()
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        thread::sleep(POLL);
    }
}

/// Whether a process runs; one that ended and was not waited for does not.
fn runs(id: i32) -> bool {
    let state = Process::new(id).and_then(|process| process.stat()).map(|stat| stat.state);
    state.is_ok_and(|state| state != 'Z')
}

fn interrupt(child: &Child) {
    let sent = Command::new("kill").arg("-INT").arg(child.id().to_string()).status();
    assert!(sent.expect("kill runs").success());
}

#[test]
fn an_interrupted_run_leaves_no_process_behind() {
    // Discovery, counter, servers, load, a real limiter and four processes of hollow ones.
    const CHILDREN: usize = 9;
    let mut run = SmallFleet::default().command(&["--seconds", "60"]).spawn().expect("the run starts");
    wait_until("the fleet starts", || children_of(run.id()).len() == CHILDREN);
    let children = children_of(run.id());
    interrupt(&run);
    let mut status = None;
    wait_until("the run ends", || {
        status = run.try_wait().expect("the run is waited for");
        status.is_some()
    });
    assert_eq!(status.and_then(|status| status.code()), Some(2), "an interrupted run says so");
    wait_until("the processes end", || !children.iter().any(|id| runs(*id)));
}
