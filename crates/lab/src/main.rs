//! `liftrouter-lab`: experiments on the whole installation in simulated time.
#![forbid(unsafe_code)]

use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use liftrouter_lab::experiment::Experiment;
use liftrouter_lab::plot::{figure, page, table};
use liftrouter_lab::responses::{respond, RESPONSES};
use liftrouter_lab::results::{Head, Results, Writer};
use liftrouter_lab::run::{run, Ended};
use liftrouter_lab::stats::{correct, paired, Difference};
use liftrouter_model::Figures;
use liftrouter_stage::scenario::{Problem, Scenario};
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Not finished: interrupted, or out of time.
const STOPPED: u8 = 3;
/// A file cannot be used.
const INVALID: u8 = 2;
/// Something moved, or is not as it should be.
const MOVED: u8 = 1;

/// Experiments on the whole installation in simulated time, with the real decisions.
///
/// Exit code: 0 done, 1 a response moved (compare), 2 a file cannot be used, 3 stopped before the end.
#[derive(Parser)]
#[command(name = "liftrouter-lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs an experiment; its results go to a new file.
    Run(RunArgs),
    /// Goes on where a run was stopped or killed.
    Resume(RunArgs),
    /// Says of two result files, cell by cell and response by response, whether it moved.
    Compare {
        /// Results of one version.
        before: PathBuf,
        /// And of the other.
        after: PathBuf,
    },
    /// Draws results as one HTML page.
    Plot {
        /// The results.
        results: PathBuf,
        /// The page.
        #[arg(long)]
        html: PathBuf,
    },
    /// Checks experiment files and runs nothing.
    Check {
        /// The files.
        #[arg(required = true)]
        experiments: Vec<PathBuf>,
    },
    /// Says what an experiment would run, or without one what the responses mean.
    Explain {
        /// The experiment.
        experiment: Option<PathBuf>,
    },
    /// Holds the model against plays of the rehearsal kit: the same scenario and seeds, side by side.
    Against {
        /// The scenario.
        scenario: PathBuf,
        /// Reports of `liftrouter-rehearse run --json`.
        #[arg(required = true)]
        reports: Vec<PathBuf>,
    },
    /// Plays a scenario once and prints all responses.
    Play {
        /// The scenario.
        scenario: PathBuf,
        /// The seed; the scenario's where it is left out.
        #[arg(long)]
        seed: Option<u64>,
    },
}

#[derive(Args)]
struct RunArgs {
    /// The experiment.
    experiment: PathBuf,
    /// The results; beside the experiment where it is left out.
    #[arg(long)]
    results: Option<PathBuf>,
    /// Stops after so many seconds, with what there is.
    #[arg(long)]
    budget_s: Option<f64>,
    /// Runs at a time; as many as there are cores where it is left out.
    #[arg(long)]
    threads: Option<usize>,
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Run(args) => start(args, false),
        Command::Resume(args) => start(args, true),
        Command::Compare { before, after } => compare(&before, &after),
        Command::Plot { results, html } => draw(&results, &html),
        Command::Check { experiments } => Ok(check(&experiments)),
        Command::Explain { experiment } => explain(experiment.as_deref()),
        Command::Against { scenario, reports } => against(&scenario, &reports),
        Command::Play { scenario, seed } => play_once(&scenario, seed),
    };
    ExitCode::from(done.unwrap_or_else(|fault| {
        eprintln!("liftrouter-lab: {fault}");
        INVALID
    }))
}

/// All problems of a file, a line each.
fn lines(problems: Vec<Problem>) -> String {
    problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n  ")
}

fn read(path: &Path) -> Result<Experiment, String> {
    Experiment::read(path).map_err(lines)
}

fn start(args: RunArgs, resumes: bool) -> Result<u8, String> {
    let RunArgs { experiment, results, budget_s, threads } = args;
    let e = read(&experiment)?;
    let path = results.unwrap_or_else(|| experiment.with_extension("results"));
    let head = Head::of(&e)?;
    let (mut writer, done) = if resumes {
        Writer::resume(&path, &head)?
    } else {
        let writer = Writer::create(&path, &head)
            .map_err(|e| format!("{}: {e}; resume it, or name another", path.display()))?;
        (writer, Results::read(&path)?)
    };
    if let Some(threads) = threads {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads.max(1)).build_global();
        pool.map_err(|e| format!("no threads: {e}"))?;
    }
    let budget = budget_s
        .map(|s| Duration::try_from_secs_f64(s).map_err(|e| format!("--budget-s: {e}")))
        .transpose()?;
    let stop = Arc::new(AtomicBool::new(false));
    let asked = stop.clone();
    ctrlc::set_handler(move || asked.store(true, Ordering::SeqCst)).map_err(|e| format!("Ctrl-C: {e}"))?;
    let bar = ProgressBar::new(0);
    let style = ProgressStyle::with_template("{elapsed} {bar:40} {pos} runs, {msg}");
    bar.set_style(style.map_err(|e| e.to_string())?);
    let began = Instant::now();
    let ended = run(&e, &done, &mut writer, budget, &stop, |run, left| {
        bar.set_length(bar.position() + 1 + left as u64);
        bar.set_message(format!("{left} left of this round; {}", e.cells[run.cell].name));
        bar.inc(1);
    })?;
    bar.finish_and_clear();
    let results = Results::read(&path)?;
    print!("{}", table(&results));
    let new = results.runs.len() - done.runs.len();
    println!("{new} runs in {:.1} s; results in {}", began.elapsed().as_secs_f64(), path.display());
    Ok(match ended {
        Ended::Done => 0,
        Ended::Stopped => {
            println!("stopped before the end: go on with resume");
            STOPPED
        }
    })
}

fn compare(before: &Path, after: &Path) -> Result<u8, String> {
    let (a, b) = (Results::read(before)?, Results::read(after)?);
    if a.head.model == b.head.model {
        println!("Both are of the same version of model and decisions.");
    }
    let mut rows: Vec<(String, String, Difference, f64, f64)> = Vec::new();
    for (cell, name) in a.head.cells.iter().enumerate() {
        let Some(other) = b.head.cells.iter().position(|n| n == name) else {
            println!("{name}: only in {}", before.display());
            continue;
        };
        for response in a.head.responses.iter().filter(|r| b.head.responses.contains(r)) {
            let after: BTreeMap<u64, f64> = b.values(other, response).into_iter().collect();
            let pairs: Vec<(f64, f64)> = a
                .values(cell, response)
                .into_iter()
                .filter_map(|(seed, value)| Some((value, *after.get(&seed)?)))
                .collect();
            let mean =
                |of: fn(&(f64, f64)) -> f64| pairs.iter().map(of).sum::<f64>() / pairs.len().max(1) as f64;
            rows.push((name.clone(), response.clone(), paired(&pairs), mean(|p| p.0), mean(|p| p.1)));
        }
    }
    if rows.is_empty() {
        return Err("the two have no cell and response in common".into());
    }
    let mut differences: Vec<Difference> = rows.iter().map(|row| row.2).collect();
    correct(&mut differences);
    let mut moved = 0;
    for ((name, response, _, before, after), d) in rows.iter().zip(&differences) {
        let words = if d.shown {
            moved += 1;
            let by = (d.by.mean, d.by.mean - d.by.half, d.by.mean + d.by.half);
            format!("moved by {} [{}, {}]", figure(by.0), figure(by.1), figure(by.2))
        } else {
            "no difference shown".into()
        };
        let cell = if name.is_empty() { String::new() } else { format!("{name}: ") };
        println!("{cell}{response} {} -> {}, {} seeds: {words}", figure(*before), figure(*after), d.by.n);
    }
    println!("{moved} of {} moved, with one false alarm in twenty such comparisons", rows.len());
    Ok(if moved > 0 { MOVED } else { 0 })
}

fn draw(results: &Path, html: &Path) -> Result<u8, String> {
    let page = page(&Results::read(results)?)?;
    std::fs::write(html, page).map_err(|e| format!("{}: {e}", html.display()))?;
    Ok(0)
}

fn check(experiments: &[PathBuf]) -> u8 {
    let mut code = 0;
    for path in experiments {
        match read(path) {
            Ok(e) => println!(
                "{}: good; {} cells, {} to {} seeds each",
                path.display(),
                e.cells.len(),
                e.seeds.least,
                e.seeds.most
            ),
            Err(problems) => {
                println!("  {problems}");
                code = INVALID;
            }
        }
    }
    code
}

fn explain(experiment: Option<&Path>) -> Result<u8, String> {
    let Some(path) = experiment else {
        for (name, meaning) in RESPONSES {
            println!("{name:14} {meaning}");
        }
        return Ok(0);
    };
    let e = read(path)?;
    println!("{}: {}", e.name, e.about);
    for factor in &e.factors {
        let values: Vec<_> = factor.values.iter().map(ToString::to_string).collect();
        println!("  {} in {}", factor.key, values.join(", "));
    }
    for response in &e.responses {
        let meaning = RESPONSES.iter().find(|(name, _)| name == response).map_or("", |(_, meaning)| *meaning);
        println!("  {response:14} {meaning}");
    }
    let s = &e.seeds;
    let until =
        if s.until > 0.0 { format!(", until {} is within {}", e.watched(), s.until) } else { String::new() };
    println!(
        "  {} cells; seeds from {} on, {} to {} of each{until}",
        e.cells.len(),
        s.first,
        s.least,
        s.most
    );
    if let Some(cell) = e.cells.first() {
        let began = Instant::now();
        respond(&cell.scenario, &cell.figures, s.first)?;
        println!("  a run of the first cell takes {:.2} s here", began.elapsed().as_secs_f64());
    }
    Ok(0)
}

fn scenario(path: &Path) -> Result<Scenario, String> {
    Scenario::read(path).map_err(lines)
}

/// What a report of the kit gives by the names of the responses.
fn of_report(report: &Value) -> BTreeMap<&'static str, f64> {
    let number = |at: &str| report.pointer(at).and_then(Value::as_f64).unwrap_or(f64::NAN);
    let count = |name: &str| number(&format!("/counts/{name}"));
    let refusals = count("refused") + count("refused_advised");
    BTreeMap::from([
        ("service", number("/service/figure")),
        ("whole", number("/service/whole")),
        ("worst", number("/service/worst_window")),
        ("served", count("served") / count("requests")),
        ("refused", refusals / count("tries")),
        ("advised", count("refused_advised") / refusals),
        ("resends", count("resends") / count("tries")),
        ("keeper_calls", count("keeper_calls") / number("/length_s")),
        ("p50", number("/answer_p50_us") / 1e3),
        ("p99", number("/answer_p99_us") / 1e3),
    ])
}

fn against(path: &Path, reports: &[PathBuf]) -> Result<u8, String> {
    let scenario = scenario(path)?;
    let mut pairs: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for report in reports {
        let name = report.display();
        let text = std::fs::read_to_string(report).map_err(|e| format!("{name}: {e}"))?;
        let value: Value = serde_json::from_str(&text).map_err(|e| format!("{name}: {e}"))?;
        if value["scenario"] != scenario.name.as_str() {
            return Err(format!(
                "{name}: it is of scenario {}, expected {:?}",
                value["scenario"], scenario.name
            ));
        }
        let seed = value["seed"].as_u64().ok_or_else(|| format!("{name}: it names no seed"))?;
        let model = respond(&scenario, &Figures::default(), seed)?;
        for (response, kit) in of_report(&value) {
            if let Some(model) = model.get(response).filter(|_| kit.is_finite()) {
                pairs.entry(response).or_default().push((kit, *model));
            }
        }
    }
    println!("{:14} {:>9} {:>9}  model less kit, 95 %", scenario.name, "kit", "model");
    for (response, _) in RESPONSES {
        let Some(pairs) = pairs.get(response) else { continue };
        let mean = |of: fn(&(f64, f64)) -> f64| pairs.iter().map(of).sum::<f64>() / pairs.len() as f64;
        let d = paired(pairs);
        println!(
            "{response:14} {:>9} {:>9}  {} ± {}",
            figure(mean(|p| p.0)),
            figure(mean(|p| p.1)),
            figure(d.by.mean),
            figure(d.by.half)
        );
    }
    println!("{} plays", reports.len());
    Ok(0)
}

fn play_once(path: &Path, seed: Option<u64>) -> Result<u8, String> {
    let scenario = scenario(path)?;
    let seed = seed.unwrap_or(scenario.seed);
    let began = Instant::now();
    let responses = respond(&scenario, &Figures::default(), seed)?;
    let took = began.elapsed().as_secs_f64();
    for (name, _) in RESPONSES {
        println!("{name:14} {}", responses.get(name).map_or("-".into(), |value| figure(*value)));
    }
    println!(
        "{} s played in {took:.2} s, {:.0} times real time",
        scenario.length_s,
        scenario.length_s / took.max(1e-9)
    );
    Ok(0)
}
