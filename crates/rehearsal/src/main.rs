//! `liftrouter-rehearse`: rehearses failures of a whole installation on one machine.

use clap::{Args, Parser, Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use liftrouter_rehearsal::history::Recorder;
use liftrouter_rehearsal::net::link::{Link, Reserved};
use liftrouter_rehearsal::rehearsal::{rehearse, scratch, Options, Progress};
use liftrouter_rehearsal::report::{page, summary, Report};
use liftrouter_rehearsal::scenario::{self, Scenario, KINDS};
use liftrouter_rehearsal::schedule::{draw, seconds};
use liftrouter_rehearsal::standin::{
    authoriser::Authoriser, keeper::Keeper, list, list::List, nodes::Fleet, proxy, rogue, rogue::Violation,
};
use liftrouter_rehearsal::{measure, measure_authz, measure_closes, measure_keeper, trial};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command as Process, ExitCode};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::watch;

/// Limiters and nodes of a rehearsal, at most.
const MOST_LIMITERS: usize = 16;
const MOST_NODES: usize = 64;
/// The scenario cannot be played, or something beside it is not usable.
const INVALID: u8 = 2;

/// A whole liftrouter installation on one machine, with faults, and a verdict on the five rules.
///
/// Exit code: 0 all rules kept, 1 one was broken, 2 the scenario or a file cannot be used, 3 the rehearsal could
/// not be judged.
#[derive(Parser)]
#[command(name = "liftrouter-rehearse", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a scenario with real limiters and judges what passed on the wire.
    Run(Run),
    /// Checks scenario files and plays nothing.
    Check {
        /// The files.
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
    },
    /// Lists the scenarios of a folder, and the faults that scenarios can name.
    List {
        /// The folder.
        #[arg(default_value = "scenarios")]
        folder: PathBuf,
    },
    /// Starts one stand-in alone, to try the daemon by hand. Ends with Ctrl-C.
    #[command(subcommand)]
    StandIn(StandIn),
    /// Measures what the kit can offer, and liftrouter against a bare proxy.
    Measure(Measure),
    /// Puts the judge on trial: limiters do wrong on purpose, and what it accuses them of is held against what they did.
    ///
    /// Exit code: 0 every kind was found as often as is wanted and nothing else was accused, 1 not, 2 it cannot be played.
    Trial(TrialArgs),
}

#[derive(Args)]
struct TrialArgs {
    /// The kind of wrong; may be given more than once. All of them where it is left out.
    #[arg(long, value_enum)]
    kind: Vec<Violation>,
    /// The kinds that are given are committed together.
    #[arg(long)]
    together: bool,
    /// Seeds of each.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Plays at a time.
    #[arg(long, default_value_t = 2)]
    at_once: usize,
    /// The scenario.
    #[arg(long, default_value = "scenarios/trial.toml")]
    scenario: PathBuf,
    /// Plays the faults of this file too, as `run` does.
    #[arg(long, value_name = "FILE")]
    also: Option<PathBuf>,
    /// Writes the table as one HTML page.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    /// Writes the rows as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Recall that each kind must reach.
    #[arg(long, default_value_t = 0.99)]
    recall: f64,
    /// What starts a right limiter; the daemon of this build where it is left out.
    #[arg(long)]
    run: Option<String>,
}

#[derive(Clone, Copy, ValueEnum)]
enum Subject {
    /// What the kit can offer and judge, and liftrouter against a bare proxy.
    Kit,
    /// External authorisation: gRPC against HTTP/1.1, memory with many streams, floods of resets.
    Authz,
    /// Closes that truly cross requests, and what the kit takes them for.
    Closes,
    /// Quotas while keepers fail: the keeper-* scenarios over seeds, beside the bounds.
    Keeper,
}

#[derive(Args)]
struct Measure {
    /// What is measured.
    #[arg(value_enum, default_value_t = Subject::Kit)]
    subject: Subject,
    /// Seconds for each step; not for `keeper`.
    #[arg(long, default_value_t = 4.0)]
    seconds: f64,
    /// Seeds of each scenario, for `keeper`.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Plays at a time, for `keeper`.
    #[arg(long, default_value_t = 2)]
    at_once: usize,
    /// Where the scenarios lie, for `keeper`.
    #[arg(long, default_value = "scenarios")]
    scenarios: PathBuf,
    /// What starts a limiter; the daemon of this build where it is left out.
    #[arg(long)]
    run: Option<String>,
}

#[derive(Args)]
struct Run {
    /// The scenario file.
    scenario: PathBuf,
    /// Plays the faults of this file too: nothing but `[[fault]]`, as in a scenario.
    #[arg(long, value_name = "FILE")]
    also: Option<PathBuf>,
    /// Draws everything from this seed instead of the scenario's own.
    #[arg(long)]
    seed: Option<u64>,
    /// Writes the report as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Writes the report as one HTML page.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    /// Keeps the limiters' configurations and logs in this folder.
    #[arg(long, value_name = "DIR")]
    keep_logs: Option<PathBuf>,
    /// Rehearses this program instead of the daemon: a shell command that keeps the deployment's contract
    /// (the ROUTER_* variables); `exec` is put before it.
    #[arg(long, value_name = "COMMAND")]
    run: Option<String>,
}

#[derive(Subcommand)]
enum StandIn {
    /// Quote nodes, each on a port of its own.
    Nodes {
        /// Where the first listens; the others on the ports behind it.
        #[arg(long, default_value = "127.0.0.1:5101")]
        listen: SocketAddr,
        /// How many.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=64))]
        count: u8,
    },
    /// The keeper of counts.
    Keeper {
        /// Where it listens.
        #[arg(long, default_value = "127.0.0.1:6400")]
        listen: SocketAddr,
    },
    /// The list of servers.
    List {
        /// Where it listens.
        #[arg(long, default_value = "127.0.0.1:8500")]
        listen: SocketAddr,
        /// The nodes that it names.
        #[arg(required = true)]
        nodes: Vec<SocketAddr>,
    },
    /// An authoriser that answers every question.
    Authoriser {
        /// Where it listens.
        #[arg(long, default_value = "127.0.0.1:9002")]
        listen: SocketAddr,
        /// Share of the tries that it denies, 0 to 1.
        #[arg(long, default_value_t = 0.0)]
        deny: f64,
    },
    /// A limiter that does wrong on purpose, before a right one; it keeps the deployment's contract.
    Rogue(rogue::Options),
    /// A bare proxy that keeps the deployment's contract and no rule.
    Proxy,
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Run(run) => run_scenario(run),
        Command::Check { scenarios } => Ok(check(&scenarios)),
        Command::List { folder } => list_scenarios(&folder),
        Command::StandIn(StandIn::Proxy) => proxy::run().map(|()| 0),
        Command::StandIn(StandIn::Rogue(options)) => rogue::run(options).map(|()| 0),
        Command::Measure(measure) => measure_all(measure),
        Command::Trial(trial) => hold_trial(trial),
        Command::StandIn(stand_in) => start(stand_in).map(|()| 0),
    };
    ExitCode::from(done.unwrap_or_else(|fault| {
        eprintln!("liftrouter-rehearse: {fault}");
        INVALID
    }))
}

/// The command that starts the daemon of this build. Under cargo it is built first, so that it is there and is
/// the present one.
fn daemon() -> Result<String, String> {
    let exe = std::env::current_exe().map_err(|e| format!("where this program lies is not known: {e}"))?;
    let folder = exe.parent().unwrap_or(Path::new("."));
    let daemon = folder.join(format!("liftrouter{}", std::env::consts::EXE_SUFFIX));
    let (cargo, root) = (std::env::var_os("CARGO"), std::env::var_os("CARGO_MANIFEST_DIR"));
    if let (Some(cargo), Some(root)) = (cargo, root) {
        let mut build = Process::new(cargo);
        build.args(["build", "--quiet", "--locked", "--workspace", "--bin", "liftrouter"]);
        // The whole workspace is named so that its parts are built as they are built for it.
        build.current_dir(root).arg("--target-dir").arg(folder.parent().unwrap_or(folder));
        if folder.ends_with("release") {
            build.arg("--release");
        }
        eprintln!("building the daemon (a moment, the first time) ...");
        let status = build.status().map_err(|e| format!("cargo cannot be started: {e}"))?;
        if !status.success() {
            return Err("the daemon cannot be built; see above".into());
        }
    }
    if !daemon.exists() {
        let advice = "build it with `cargo build --release`, or name one with --run";
        return Err(format!("{} is not there: {advice}", daemon.display()));
    }
    Ok(format!("'{}'", daemon.display()))
}

fn runtime() -> Result<tokio::runtime::Runtime, String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.map_err(|e| format!("cannot start the runtime: {e}"))
}

fn read(path: &Path, also: Option<&Path>) -> Result<Scenario, String> {
    let read = also.map_or_else(|| Scenario::read(path), |also| Scenario::read_with(path, also));
    let scenario = read.map_err(|problems| {
        let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
        format!("the scenario cannot be played:\n{}", lines.join("\n"))
    })?;
    // Real processes and sockets: more is for the laboratory.
    for (what, count, most) in
        [("limiters", scenario.limiters.count, MOST_LIMITERS), ("nodes", scenario.nodes.count, MOST_NODES)]
    {
        if count > most {
            let place = path.display();
            return Err(format!(
                "{place}: {count} {what}, expected {most} at most on one machine; see liftrouter-lab"
            ));
        }
    }
    Ok(scenario)
}

fn run_scenario(run: Run) -> Result<u8, String> {
    let scenario = read(&run.scenario, run.also.as_deref())?;
    for path in [&run.json, &run.html].into_iter().flatten() {
        // Better to hear of it now than after ten minutes.
        std::fs::write(path, "").map_err(|e| format!("{}: cannot be written: {e}", path.display()))?;
    }
    let command = match &run.run {
        Some(command) => command.clone(),
        None => daemon()?,
    };
    let folder = match &run.keep_logs {
        Some(folder) => {
            std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
            folder.clone()
        }
        None => scratch().map_err(|e| format!("no folder for temporary files: {e}"))?,
    };
    let seed = run.seed.unwrap_or(scenario.seed);
    let trouble: Arc<Mutex<Option<String>>> = Arc::default();
    let hook = trouble.clone();
    std::panic::set_hook(Box::new(move |info| {
        let place = info.location().map_or(String::new(), |l| format!(" ({}:{})", l.file(), l.line()));
        let what = info.payload();
        let what = what.downcast_ref::<&str>().copied();
        let what = what.or_else(|| info.payload().downcast_ref::<String>().map(String::as_str));
        let what = what.unwrap_or("no message");
        let why = format!("a part of the kit panicked: {what}{place}");
        hook.lock().unwrap_or_else(PoisonError::into_inner).get_or_insert(why);
    }));
    let (interrupt, interrupted) = watch::channel(false);
    let options =
        Options { seed, commands: vec![command.clone()], folder: folder.clone(), trouble, interrupted };
    let length = scenario.length_s;
    let bar = ProgressBar::new((length * 1e3) as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {msg}") {
        bar.set_style(style);
    }
    let show = |p: Progress| {
        let Some(at) = p.at else {
            bar.set_message("limiters start");
            return;
        };
        bar.set_position((seconds(at) * 1e3) as u64);
        let faults = if p.faults.is_empty() { "no fault".into() } else { p.faults.join(", ") };
        bar.set_message(format!(
            "{:.0}/{length:.0} s, {} served of {}; {faults}",
            seconds(at),
            p.served,
            p.done
        ));
    };
    let (played, runtime) = (scenario.clone(), runtime()?);
    let outcome = runtime.block_on(async {
        tokio::spawn(async move {
            // Further ones change nothing: ending the limiters and writing the report takes a moment.
            if tokio::signal::ctrl_c().await.is_ok() {
                let _ = interrupt.send(true);
            }
        });
        rehearse(played, options, None, show).await
    });
    runtime.shutdown_background();
    bar.finish_and_clear();
    let outcome = outcome.map_err(|e| format!("the installation cannot be set up: {e}"))?;
    let report = Report::new(&scenario, &command, &outcome);
    if run.keep_logs.is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let write = |path: &Option<PathBuf>, text: String| match path {
        Some(path) => std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display())),
        None => Ok(()),
    };
    print!("{}", summary(&report));
    write(&run.json, serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?)?;
    write(&run.html, page(&report))?;
    Ok(report.exit_code())
}

fn check(scenarios: &[PathBuf]) -> u8 {
    let mut code = 0;
    for path in scenarios {
        match Scenario::read(path) {
            Ok(s) => {
                let schedule = draw(&s, s.seed);
                println!(
                    "{}: good; {} limiters, {} nodes, {} customers, {} requests in {} s, {} faults",
                    path.display(),
                    s.limiters.count,
                    s.nodes.count,
                    schedule.customers.len(),
                    schedule.arrivals.len(),
                    s.length_s,
                    schedule.faults.len()
                );
            }
            Err(problems) => {
                problems.iter().for_each(|p| eprintln!("{p}"));
                code = INVALID;
            }
        }
    }
    code
}

fn list_scenarios(folder: &Path) -> Result<u8, String> {
    let entries = std::fs::read_dir(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut paths: Vec<_> = entries.filter_map(|e| Some(e.ok()?.path())).collect();
    paths.sort();
    for path in paths.iter().filter(|p| p.extension().is_some_and(|e| e == "toml")) {
        match Scenario::read(path) {
            Ok(s) => println!("{:32} {:>5} s  {}", path.display(), s.length_s, s.about),
            Err(problems) => println!("{:32} cannot be played: {}", path.display(), problems[0]),
        }
    }
    println!("\nFaults (`what` in a [[fault]]):");
    for k in KINDS {
        let size = k
            .size
            .map_or(String::new(), |(means, default, _, _)| format!("; size: {means}, {default} by default"));
        println!("  {:20} {}{size}", k.name, k.does);
    }
    Ok(0)
}

/// What stand-ins alone go by: one limiter, and figures as in the scenarios.
const ALONE: &str = r#"
name = "alone"
length_s = 1.0
limiters.count = 1
nodes.count = 1
load.tries_per_s = 1.0
[[class]]
name = "price-quote"
share = 1.0
work_ms = 80.0
aim_ms = 750.0
deadline_ms = 2000.0
worth = 2.0
effect = "safe"
[[plan]]
name = "starter"
share = 1.0
rate = 1.0
burst_s = 4.0
price = 1.0
"#;

fn start(stand_in: StandIn) -> Result<(), String> {
    let mut scenario = Scenario::parse("alone", ALONE).map_err(|p| p[0].to_string())?;
    let recorder: Arc<Recorder> = Arc::default();
    let taken = |at: SocketAddr| move |e| format!("cannot listen on {at}: {e}");
    runtime()?.block_on(async {
        match stand_in {
            StandIn::Nodes { listen, count } => {
                scenario.nodes.count = count.into();
                let schedule = Arc::new(draw(&scenario, 0));
                let links = vec![(0..count).map(|_| Link::new()).collect()];
                let list = List::new(recorder.clone());
                let scenario = Arc::new(scenario);
                let fleet = Fleet::start(scenario, schedule, recorder, list, links, Some(listen))
                    .map_err(taken(listen))?;
                let entries = fleet.shared.list().whole(0);
                let entries = entries["instances"].as_array().into_iter().flatten();
                let addresses: Vec<_> = entries.filter_map(|e| e["hostPort"].as_str()).collect();
                println!("nodes listen on {}", addresses.join(" "));
                wait().await
            }
            StandIn::Keeper { listen } => {
                let keeper = Keeper::new(scenario.keeper.clone(), recorder);
                let reserved = Reserved::at(listen).map_err(taken(listen))?;
                let at = keeper.serve(0, Link::new(), reserved).map_err(taken(listen))?;
                println!("the keeper listens on {at}");
                wait().await
            }
            StandIn::List { listen, nodes } => {
                let list = List::new(recorder);
                for (n, address) in nodes.iter().enumerate() {
                    list.put(list::Entry::warm(n as u16, *address));
                }
                let reserved = Reserved::at(listen).map_err(taken(listen))?;
                let at = list.serve(0, Link::new(), reserved).map_err(taken(listen))?;
                println!("the list listens on {at}");
                wait().await
            }
            StandIn::Authoriser { listen, deny } => {
                let figures = scenario::Authoriser { deny, ..scenario::Authoriser::default() };
                let reserved = Reserved::at(listen).map_err(taken(listen))?;
                let authoriser = Authoriser::new(figures, recorder);
                let at = authoriser.serve(0, Link::new(), reserved).map_err(taken(listen))?;
                println!("the authoriser listens on {at}");
                wait().await
            }
            StandIn::Proxy | StandIn::Rogue(_) => Ok(()),
        }
    })
}

async fn wait() -> Result<(), String> {
    tokio::signal::ctrl_c().await.map_err(|e| e.to_string())
}

fn measure_all(m: Measure) -> Result<u8, String> {
    let daemon = match m.run {
        Some(command) => command,
        None => daemon()?,
    };
    let exe = std::env::current_exe().map_err(|e| e.to_string())?;
    let bare = format!("'{}' stand-in proxy", exe.display());
    let text = runtime()?.block_on(async {
        match m.subject {
            Subject::Kit => measure::all(&daemon, &bare, m.seconds).await,
            Subject::Authz => measure_authz::all(&daemon, m.seconds).await,
            Subject::Closes => measure_closes::all(m.seconds).await,
            Subject::Keeper => measure_keeper::all(&daemon, &m.scenarios, m.seeds, m.at_once).await,
        }
    });
    print!("{}", text.map_err(|e| format!("cannot be measured: {e}"))?);
    Ok(0)
}

fn hold_trial(t: TrialArgs) -> Result<u8, String> {
    let scenario = read(&t.scenario, t.also.as_deref())?;
    trial::fits(&scenario).map_err(|what| format!("{}: {what}", t.scenario.display()))?;
    let daemon = match t.run {
        Some(command) => command,
        None => daemon()?,
    };
    let exe = std::env::current_exe().map_err(|e| e.to_string())?;
    let kinds = if t.kind.is_empty() { Violation::ALL.to_vec() } else { t.kind };
    let held = trial::Trial {
        exe: format!("'{}'", exe.display()),
        daemon,
        scenario,
        kinds: if t.together { vec![kinds] } else { kinds.into_iter().map(|k| vec![k]).collect() },
        seeds: 1..=t.seeds,
        at_once: t.at_once,
    };
    let rows = runtime()?.block_on(held.hold()).map_err(|e| format!("the trial cannot be held: {e}"))?;
    print!("{}", trial::table(&rows));
    for row in &rows {
        let not_judged = row.not_judged.iter().map(|why| format!("not judged: {why}"));
        let said = row.overlooked.iter().chain(&row.unfounded).cloned().chain(not_judged);
        said.for_each(|said| println!("  {}: {said}", row.kind));
    }
    let write = |path: &Option<PathBuf>, text: String| match path {
        Some(path) => std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display())),
        None => Ok(()),
    };
    write(&t.html, trial::page(&rows))?;
    write(&t.json, serde_json::to_string_pretty(&rows).map_err(|e| e.to_string())?)?;
    let good = |row: &trial::Row| row.unjudged == 0 && row.recall() >= t.recall && row.precision() >= 1.0;
    Ok(u8::from(!rows.iter().all(good)))
}
