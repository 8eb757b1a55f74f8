//! Plays the parts of a run, one fleet after another, and stores what they measured.

use super::arguments::{Fault, Lists, RunArguments};
use super::checker::{Checker, Offender};
use super::error::RunError;
use super::fleet::{process_count, Fleet, FleetSize, FleetUsage};
use super::messages::{Command, DiscoveryStatus, HollowStatus, LimiterStatus, RegionStatus, Traffic};
use super::process::Interrupt;
use super::report::{merged_lags, offenders, table, PartPoints};
use super::standin::discovery::REAL_REGION;
use crate::record::Record;
use indicatif::{ProgressBar, ProgressStyle};
use std::collections::BTreeMap;
use std::fs;
use std::process::{Command as Program, ExitCode};
use std::time::{Duration, Instant};

/// How long limiters may take to get their first list.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(60);
/// How often the limiters are asked whether they have settled.
const SETTLE_POLL: Duration = Duration::from_millis(200);
/// How often memory is looked at.
const MEMORY_POLL: Duration = Duration::from_secs(1);
/// How long discovery says nothing, or a region is cut off.
const OUTAGE: Duration = Duration::from_secs(5);
/// How long the straggler reads nothing.
const STRAGGLING: Duration = Duration::from_secs(10);
/// How long changes go on after a fault without a duration.
const AFTERMATH: Duration = Duration::from_secs(3);
/// Changes of a burst come within this time.
const BURST: Duration = Duration::from_secs(1);
/// One in so many processes of hollow limiters is in a zone.
const ZONES: usize = 3;

const STEADY: &str = "steady";
const BURST_PHASE: &str = "burst";

/// Plays all parts. The exit code tells whether the checker found something.
pub fn run(arguments: &RunArguments) -> Result<ExitCode, RunError> {
    check_available(arguments)?;
    let interrupt = Interrupt::on_signal()?;
    let mut record = empty_record(arguments);
    let mut found = Vec::new();
    let progress = progress_bar(arguments);
    for size in sizes(arguments) {
        for repetition in 0..arguments.repetitions {
            let mut part = Part::new(arguments, size, repetition, &interrupt, &progress);
            part.play(&mut record)?;
            found.extend(part.found);
        }
    }
    progress.finish_and_clear();
    store(arguments, &record)?;
    if !arguments.quiet {
        print!("{}", table(&record));
    }
    if found.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    eprint!("{}", offenders(&found));
    Ok(ExitCode::FAILURE)
}

fn check_available(arguments: &RunArguments) -> Result<(), RunError> {
    if arguments.lists == Lists::Service {
        return Ok(());
    }
    if arguments.relays.is_some() {
        return Err(RunError::NeedsRelays { what: "--relays" });
    }
    if arguments.faults.contains(&Fault::RelayDies) {
        return Err(RunError::NeedsRelays { what: "--fault relay-dies" });
    }
    Ok(())
}

fn sizes(arguments: &RunArguments) -> Vec<FleetSize> {
    let of =
        |servers: usize| arguments.hollow.iter().map(move |hollow| FleetSize { hollow: *hollow, servers });
    arguments.servers.iter().flat_map(|servers| of(*servers)).collect()
}

fn progress_bar(arguments: &RunArguments) -> ProgressBar {
    if arguments.quiet {
        return ProgressBar::hidden();
    }
    let parts = sizes(arguments).len() as u64 * u64::from(arguments.repetitions);
    let bar = ProgressBar::new(parts * (3 + arguments.faults.len() as u64));
    if let Ok(style) = ProgressStyle::with_template("{elapsed_precise} {bar:30} {pos}/{len} {msg}") {
        bar.set_style(style);
    }
    bar
}

fn empty_record(arguments: &RunArguments) -> Record {
    let parameters = BTreeMap::from([
        ("real".to_owned(), arguments.real as f64),
        ("hollow_per_process".to_owned(), f64::from(arguments.hollow_per_process)),
        ("changes_per_second".to_owned(), arguments.changes_per_second),
        ("burst".to_owned(), f64::from(arguments.burst)),
        ("counter_calls_per_second".to_owned(), arguments.counter_calls_per_second),
        ("requests_per_second".to_owned(), arguments.requests_per_second),
        ("seconds".to_owned(), arguments.seconds),
        ("warm_up".to_owned(), arguments.warm_up),
        ("stale_bound_seconds".to_owned(), arguments.stale_bound_seconds),
        fixed_size(arguments),
    ]);
    Record {
        name: arguments.name.clone(),
        command: command_line(),
        revision: revision(),
        seed: arguments.seed,
        parameters,
        points: Vec::new(),
    }
}

/// The size that is not varied.
fn fixed_size(arguments: &RunArguments) -> (String, f64) {
    let (name, sizes) = match arguments.varies_servers() {
        true => ("limiters", &arguments.hollow),
        false => ("servers", &arguments.servers),
    };
    (name.to_owned(), sizes.first().copied().unwrap_or(0) as f64)
}

/// The command without what is only of this machine.
fn command_line() -> String {
    const OF_MACHINE: [&str; 2] = ["--out", "--daemon"];
    let mut words = vec!["liftrouter-scale".to_owned()];
    let mut arguments = std::env::args().skip(1);
    while let Some(word) = arguments.next() {
        if OF_MACHINE.contains(&word.as_str()) {
            arguments.next();
        } else if !OF_MACHINE.iter().any(|option| word.starts_with(&format!("{option}="))) {
            words.push(word);
        }
    }
    words.join(" ")
}

/// The revision of the sources, where this runs in them.
fn revision() -> String {
    let output = Program::new("git").args(["rev-parse", "--short", "HEAD"]).output();
    let output = output.ok().filter(|output| output.status.success());
    output.map_or("unknown".to_owned(), |output| String::from_utf8_lossy(&output.stdout).trim().to_owned())
}

fn store(arguments: &RunArguments, record: &Record) -> Result<(), RunError> {
    let Some(path) = &arguments.out else { return Ok(()) };
    let text = serde_json::to_string_pretty(record)? + "\n";
    fs::write(path, text).map_err(RunError::io("cannot store the record"))
}

/// All counts and times at one moment.
struct Snapshot {
    at: Instant,
    usage: FleetUsage,
    discovery: DiscoveryStatus,
    counter: Traffic,
    /// Sums over the hollow limiters.
    received: Received,
}

/// What limiters received of lists, by their own count.
#[derive(Clone, Copy, Default)]
struct Received {
    bytes: u64,
    messages: u64,
}

impl Received {
    fn by(limiters: &[LimiterStatus]) -> Self {
        Received {
            bytes: limiters.iter().map(|limiter| limiter.list_bytes).sum(),
            messages: limiters.iter().map(|limiter| limiter.messages).sum(),
        }
    }
}

impl Snapshot {
    fn take(fleet: &mut Fleet) -> Result<Self, RunError> {
        Ok(Snapshot {
            at: Instant::now(),
            usage: fleet.usage()?,
            discovery: fleet.discovery_status()?,
            counter: fleet.counter_traffic()?,
            received: Received::by(&fleet.limiters()?),
        })
    }

    /// A sum over the regions of hollow limiters.
    fn hollow_regions(&self, value: impl Fn(&RegionStatus) -> u64) -> u64 {
        self.discovery.regions.iter().take(REAL_REGION).map(value).sum()
    }
}

/// One fleet, played once.
struct Part<'a> {
    arguments: &'a RunArguments,
    size: FleetSize,
    repetition: u32,
    interrupt: &'a Interrupt,
    progress: &'a ProgressBar,
    checker: Checker,
    found: Vec<Offender>,
}

impl<'a> Part<'a> {
    fn new(
        arguments: &'a RunArguments,
        size: FleetSize,
        repetition: u32,
        interrupt: &'a Interrupt,
        progress: &'a ProgressBar,
    ) -> Self {
        let checker = Checker {
            hollow: size.hollow,
            // Those behind relays are not seen by discovery.
            real: if arguments.lists == Lists::Whole { arguments.real } else { 0 },
            stale_bound_ms: arguments.stale_bound_seconds * 1_000.0,
        };
        Part { arguments, size, repetition, interrupt, progress, checker, found: Vec::new() }
    }

    fn play(&mut self, record: &mut Record) -> Result<(), RunError> {
        let varies_servers = self.arguments.varies_servers();
        let points = &mut PartPoints {
            record,
            variable: if varies_servers { "servers" } else { "limiters" },
            size: if varies_servers { self.size.servers } else { self.size.hollow },
            repetition: self.repetition,
        };
        self.progress.set_message(format!("{} limiters, {} servers", self.size.hollow, self.size.servers));
        let mut fleet = Fleet::start(self.arguments, self.size, self.interrupt)?;
        self.first_lists(&mut fleet, points)?;
        self.progress.inc(1);
        self.steady(&mut fleet, points)?;
        self.progress.inc(1);
        self.burst(&mut fleet, points)?;
        self.progress.inc(1);
        for fault in &self.arguments.faults {
            self.fault(&mut fleet, *fault, points)?;
            self.progress.inc(1);
        }
        points.add("fleet.processes", process_count(self.arguments, self.size.hollow) as f64);
        points.add("fleet.rss_mb", fleet.usage()?.resident_mb());
        points.add("check.offenders", self.found.len() as f64);
        Ok(())
    }

    /// Waits until every limiter has a list.
    fn first_lists(&mut self, fleet: &mut Fleet, points: &mut PartPoints<'_>) -> Result<(), RunError> {
        let end = Instant::now() + FIRST_LIST_TIMEOUT;
        loop {
            let limiters = fleet.limiters()?;
            let times: Vec<f64> = limiters.iter().filter_map(|limiter| limiter.first_list_ms).collect();
            if times.len() == self.size.hollow {
                points.add("first_list.last_ms", times.into_iter().fold(0.0, f64::max));
                return Ok(());
            }
            if Instant::now() > end {
                let missing = self.size.hollow - times.len();
                return Err(RunError::NoFirstList { missing, waited: FIRST_LIST_TIMEOUT });
            }
            self.wait(fleet, SETTLE_POLL)?;
        }
    }

    /// Measures what the fleet costs while nothing is wrong.
    fn steady(&mut self, fleet: &mut Fleet, points: &mut PartPoints<'_>) -> Result<(), RunError> {
        self.resume_changes(fleet)?;
        self.wait(fleet, seconds(self.arguments.warm_up))?;
        fleet.begin_phase(STEADY)?;
        let before = Snapshot::take(fleet)?;
        self.wait(fleet, seconds(self.arguments.seconds))?;
        let after = Snapshot::take(fleet)?;
        self.add_usage(fleet, &before, &after, points)?;
        self.add_traffic(&before, &after, points);
        if let Some(load) = fleet.load_status()? {
            points.add("request.added_p50_ms", load.added_p50_ms);
            points.add("request.added_p99_ms", load.added_p99_ms);
            points.add("request.served_count", load.served as f64);
            points.add("request.failed_count", load.failed as f64);
        }
        self.settle(fleet, STEADY)?;
        Ok(())
    }

    fn add_usage(
        &self,
        fleet: &Fleet,
        before: &Snapshot,
        after: &Snapshot,
        points: &mut PartPoints<'_>,
    ) -> Result<(), RunError> {
        let elapsed = (after.at - before.at).as_secs_f64();
        let limiters = self.size.hollow.max(1) as f64;
        for ((role, earlier), (_, later)) in before.usage.roles().into_iter().zip(after.usage.roles()) {
            let cpu_percent = (later.cpu_seconds - earlier.cpu_seconds) / elapsed * 100.0;
            points.add(format!("{role}.cpu_percent"), cpu_percent);
            points.add(format!("{role}.rss_mb"), later.resident_mb);
            points.add(format!("{role}.peak_mb"), later.peak_mb);
            if role == "hollow" {
                points.add("limiter.cpu_percent", cpu_percent / limiters);
            }
        }
        if let Some(largest) = fleet.largest_relay()? {
            points.add("relay.largest_rss_mb", largest.resident_mb);
            points.add("relay.largest_peak_mb", largest.peak_mb);
        }
        let limiters_mb = after.usage.hollow.resident_mb - fleet.empty_hollow_mb();
        points.add("limiter.rss_kb", limiters_mb * 1024.0 / limiters);
        Ok(())
    }

    fn add_traffic(&self, before: &Snapshot, after: &Snapshot, points: &mut PartPoints<'_>) {
        let elapsed = (after.at - before.at).as_secs_f64();
        let per_limiter = |count: u64| count as f64 / elapsed / self.size.hollow.max(1) as f64;
        let grown =
            |value: fn(&RegionStatus) -> u64| after.hollow_regions(value) - before.hollow_regions(value);
        let (body, messages) = (
            after.received.bytes - before.received.bytes,
            after.received.messages - before.received.messages,
        );
        points.add("limiter.list_body_bytes_per_s", per_limiter(body));
        // Behind relays discovery does not see the limiters: their own count is taken, without HTTP's framing.
        let behind_relays = self.arguments.lists == Lists::Service;
        let seen =
            |by_discovery: u64, by_limiters: u64| if behind_relays { by_limiters } else { by_discovery };
        let list_in = seen(grown(|region| region.traffic.bytes_out), body);
        let list_out = seen(grown(|region| region.traffic.bytes_in), 0);
        let counter_in = after.counter.bytes_out - before.counter.bytes_out;
        let counter_out = after.counter.bytes_in - before.counter.bytes_in;
        points.add("limiter.bytes_in_per_s", per_limiter(list_in + counter_in));
        points.add("limiter.bytes_out_per_s", per_limiter(list_out + counter_out));
        points.add("limiter.list_bytes_in_per_s", per_limiter(list_in));
        points.add("limiter.counter_bytes_in_per_s", per_limiter(counter_in));
        points.add("limiter.messages_in_per_s", per_limiter(seen(grown(|region| region.messages), messages)));
        points.add(
            "limiter.counter_calls_per_s",
            per_limiter(after.counter.requests - before.counter.requests),
        );
        points.add(
            "source.changes_per_s",
            (after.discovery.changes - before.discovery.changes) as f64 / elapsed,
        );
    }

    /// Many changes within a second, and the lags of all changes so far.
    fn burst(&mut self, fleet: &mut Fleet, points: &mut PartPoints<'_>) -> Result<(), RunError> {
        if self.arguments.burst > 0 {
            fleet.begin_phase(BURST_PHASE)?;
            fleet.tell_discovery(&Command::Burst(self.arguments.burst))?;
            self.wait(fleet, BURST)?;
            self.settle(fleet, BURST_PHASE)?;
        }
        let status = fleet.hollow_status()?;
        let lags = merged_lags(&status.lags, |phase| phase == STEADY || phase == BURST_PHASE);
        points.add("lag.p50_ms", lags.quantile(0.5));
        points.add("lag.p99_ms", lags.quantile(0.99));
        points.add("lag.p999_ms", lags.quantile(0.999));
        points.add("lag.last_ms", lags.last());
        points.add("lag.count", lags.len() as f64);
        self.add_counts(&status, &fleet.discovery_status()?, points);
        Ok(())
    }

    /// How many changes the source made, and how many each limiter was told.
    fn add_counts(&self, status: &HollowStatus, source: &DiscoveryStatus, points: &mut PartPoints<'_>) {
        let changes = || status.limiters.iter().map(|limiter| limiter.changes);
        let whole_lists = status.limiters.iter().map(|limiter| limiter.whole_lists);
        points.add("source.changes_count", source.changes as f64);
        points.add("limiter.changes_least_count", changes().min().unwrap_or(0) as f64);
        points.add("limiter.changes_most_count", changes().max().unwrap_or(0) as f64);
        points.add("limiter.whole_lists_most_count", whole_lists.max().unwrap_or(0) as f64);
    }

    /// One fault while changes go on, and how long it takes until all limiters hold the list of the source.
    fn fault(
        &mut self,
        fleet: &mut Fleet,
        fault: Fault,
        points: &mut PartPoints<'_>,
    ) -> Result<(), RunError> {
        let name = fault.name();
        let expiries = |status: &HollowStatus| status.limiters.iter().map(|l| l.expiries).sum::<u64>();
        let expired_before = expiries(&fleet.hollow_status()?);
        fleet.begin_phase(name)?;
        self.resume_changes(fleet)?;
        let lasts = inject(fleet, fault)?;
        self.wait(fleet, lasts)?;
        let settled = self.settle(fleet, name)?;
        let status = fleet.hollow_status()?;
        let lags = merged_lags(&status.lags, |phase| phase == name);
        let first_lists = status.limiters.iter().filter_map(|limiter| limiter.first_list_ms);
        let behind = status.limiters.iter().map(|limiter| limiter.behind_ms);
        points.add(format!("fault.{name}.settled_ms"), settled.as_secs_f64() * 1_000.0);
        points.add(format!("fault.{name}.lag_last_ms"), lags.last());
        points.add(format!("fault.{name}.first_list_last_ms"), first_lists.fold(0.0, f64::max));
        points.add(format!("fault.{name}.behind_most_ms"), behind.fold(0.0, f64::max));
        let expired = expiries(&status).saturating_sub(expired_before);
        points.add(format!("fault.{name}.expiries_count"), expired as f64);
        Ok(())
    }

    fn resume_changes(&self, fleet: &mut Fleet) -> Result<(), RunError> {
        fleet.tell_discovery(&Command::ChangeRate(self.arguments.changes_per_second))
    }

    /// Ends the changes and waits until all limiters hold the list of the source. Those that do not in time, and those
    /// that used an old list without saying so, are found.
    fn settle(&mut self, fleet: &mut Fleet, phase: &str) -> Result<Duration, RunError> {
        fleet.tell_discovery(&Command::ChangeRate(0.0))?;
        let began = Instant::now();
        let end = began + seconds(self.arguments.settle_seconds);
        loop {
            let source = fleet.discovery_status()?;
            let limiters = fleet.limiters()?;
            let unsettled = self.checker.unsettled(phase, &source, &limiters);
            let settled = unsettled.is_empty() && source.pending == 0;
            if settled || Instant::now() > end {
                self.find(unsettled);
                self.find(self.checker.silently_stale(phase, &limiters));
                return Ok(began.elapsed());
            }
            self.wait(fleet, SETTLE_POLL)?;
        }
    }

    /// Notes offenders that were not known for the same kind of offence.
    fn find(&mut self, offenders: Vec<Offender>) {
        for offender in offenders {
            let known = |other: &Offender| {
                other.limiter == offender.limiter
                    && std::mem::discriminant(&other.offence) == std::mem::discriminant(&offender.offence)
            };
            if !self.found.iter().any(known) {
                self.found.push(offender);
            }
        }
    }

    /// Waits, and ends the run where it uses too much memory.
    fn wait(&self, fleet: &Fleet, time: Duration) -> Result<(), RunError> {
        let end = Instant::now() + time;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            self.interrupt.sleep(left.min(MEMORY_POLL))?;
            fleet.usage()?;
            if Instant::now() >= end {
                return Ok(());
            }
        }
    }
}

/// Brings a fault about; how long changes are to go on then.
fn inject(fleet: &mut Fleet, fault: Fault) -> Result<Duration, RunError> {
    let milliseconds = |time: Duration| time.as_millis() as u64;
    match fault {
        Fault::RestartTenth => {
            fleet.tell_hollow(&Command::RestartTenth)?;
            Ok(AFTERMATH)
        }
        Fault::Rack => {
            fleet.replace_groups(1)?;
            Ok(AFTERMATH)
        }
        Fault::Zone => {
            fleet.replace_groups(fleet.group_count().div_ceil(ZONES))?;
            Ok(AFTERMATH)
        }
        Fault::Region => {
            fleet.tell_discovery(&Command::CutRegion(milliseconds(OUTAGE)))?;
            Ok(OUTAGE)
        }
        Fault::Stall => {
            fleet.tell_discovery(&Command::Silence(milliseconds(OUTAGE)))?;
            Ok(OUTAGE)
        }
        Fault::Straggler => {
            fleet.tell_first_group(&Command::DelayReading(milliseconds(STRAGGLING)))?;
            Ok(STRAGGLING)
        }
        Fault::RelayDies => {
            fleet.kill_relay();
            Ok(AFTERMATH)
        }
    }
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or_default()
}
