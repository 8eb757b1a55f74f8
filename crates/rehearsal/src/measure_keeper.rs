//! Measurement of quotas while keepers fail: scenarios over many seeds, each also with a limiter that is restarted, the
//! worst of each plan beside the bound that is stated for it.

use crate::ledger::{Kept, Verdict};
use crate::rehearsal::{rehearse, scratch, Options};
use crate::scenario::Scenario;
use crate::schedule::{micros, Micros};
use std::fmt::Write as _;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// After a fault of the keeper ends, its calls are watched for so long.
const RETURN: Micros = 3_000_000;

/// The scenarios, and what is played on top of each the second time.
const SCENARIOS: [&str; 6] = ["silent", "lost", "split", "stale", "swap", "failover"];
const RESTART: &str = "also/limiter-restart.toml";

/// One scenario over all its seeds.
#[derive(Default)]
struct Row {
    plays: usize,
    unjudged: usize,
    broken: Vec<String>,
    /// By plan: the worst overshoot and undershoot beside their bounds, and the worst share of each bound.
    plans: Vec<(String, Worst, Worst)>,
    /// Calls in the worst second, and in the worst just after a fault of the keeper.
    calls: u32,
    calls_back: u32,
}

#[derive(Clone, Copy, Default)]
struct Worst {
    units: f64,
    share: f64,
}

impl Worst {
    fn see(&mut self, units: f64, bound: f64) {
        self.units = self.units.max(units);
        if bound > 0.0 {
            self.share = self.share.max(units / bound);
        }
    }
}

struct Played {
    verdict: Verdict,
    why: String,
    plans: Vec<Kept>,
    calls: u32,
    calls_back: u32,
}

async fn play(daemon: String, scenario: Scenario, seed: u64) -> io::Result<Played> {
    let folder = scratch()?;
    let (_hold, interrupted) = watch::channel(false);
    let options = Options {
        seed,
        commands: vec![daemon],
        folder: folder.clone(),
        trouble: Arc::default(),
        interrupted,
    };
    let outcome = rehearse(scenario, options, None, |_| {}).await;
    let _ = std::fs::remove_dir_all(&folder);
    let outcome = outcome?;
    let j = &outcome.judgement;
    let back = |second: usize| {
        let at = micros(second as f64);
        let ends = outcome.schedule.faults.iter().filter(|f| f.kind.about().name.starts_with("keeper"));
        ends.filter_map(|f| f.until).any(|end| at + 1_000_000 > end && at < end + RETURN)
    };
    let calls = j.seconds.iter().enumerate();
    Ok(Played {
        verdict: j.verdict,
        why: j.breaks.first().map(|b| b.what.clone()).or(j.unjudged.clone()).unwrap_or_default(),
        plans: j.quotas.clone(),
        calls: j.keeper_calls_peak,
        calls_back: calls.filter(|(n, _)| back(*n)).map(|(_, s)| s.keeper_calls).max().unwrap_or_default(),
    })
}

/// The whole table, as a text: `seeds` plays of each scenario, so many at a time.
///
/// # Errors
/// A scenario cannot be read, or a limiter cannot be started.
pub async fn all(daemon: &str, folder: &Path, seeds: u64, at_once: usize) -> io::Result<String> {
    let mut rows: Vec<(String, Scenario, Row)> = Vec::new();
    for name in SCENARIOS {
        let path: PathBuf = folder.join(format!("keeper-{name}.toml"));
        for also in [None, Some(folder.join(RESTART))] {
            let scenario = match &also {
                None => Scenario::read(&path),
                Some(also) => Scenario::read_with(&path, also),
            };
            let wrong = |p: Vec<_>| io::Error::other(p.first().map(ToString::to_string).unwrap_or_default());
            let label = if also.is_some() { format!("{name}, restart") } else { name.to_string() };
            rows.push((label, scenario.map_err(wrong)?, Row::default()));
        }
    }
    let mut due: Vec<(usize, u64)> = (1..=seeds).flat_map(|s| (0..rows.len()).map(move |n| (n, s))).collect();
    due.reverse();
    let mut running = JoinSet::new();
    loop {
        while running.len() < at_once.max(1) {
            let Some((n, seed)) = due.pop() else { break };
            let (daemon, scenario) = (daemon.to_string(), rows[n].1.clone());
            running.spawn(async move { (n, seed, play(daemon, scenario, seed).await) });
        }
        let Some(ended) = running.join_next().await else { break };
        let (n, seed, played) = ended.map_err(io::Error::other)?;
        enter(&mut rows[n].2, seed, played?);
    }
    Ok(table(&rows, seeds))
}

fn enter(row: &mut Row, seed: u64, played: Played) {
    row.plays += 1;
    match played.verdict {
        Verdict::Kept => {}
        Verdict::Unjudged => row.unjudged += 1,
        Verdict::Broken => row.broken.push(format!("seed {seed}: {}", played.why)),
    }
    row.plans.resize(played.plans.len(), Default::default());
    for ((name, over, under), kept) in row.plans.iter_mut().zip(played.plans) {
        *name = kept.plan;
        over.see(kept.over, kept.over_bound);
        under.see(kept.under, kept.under_bound);
    }
    row.calls = row.calls.max(played.calls);
    row.calls_back = row.calls_back.max(played.calls_back);
}

fn table(rows: &[(String, Scenario, Row)], seeds: u64) -> String {
    let mut text = format!(
        "Worst of {seeds} seeds: units beyond the quota, and refused inside it (share of the bound)\n"
    );
    for (label, scenario, row) in rows {
        let _ = write!(text, "  {label:18}");
        for (name, over, under) in &row.plans {
            let _ = write!(
                text,
                "  {name} {:5.1} ({:.2}) {:4.0} ({:.2})",
                over.units, over.share, under.units, under.share
            );
        }
        let _ = writeln!(
            text,
            "  calls {} a second at most, {} at a return, of {:.0}; {} plays, {} not judged, {} broken",
            row.calls,
            row.calls_back,
            scenario.keeper.calls_per_s * scenario.keeper.count as f64,
            row.plays,
            row.unjudged,
            row.broken.len()
        );
        for broken in &row.broken {
            let _ = writeln!(text, "    {broken}");
        }
    }
    text
}
