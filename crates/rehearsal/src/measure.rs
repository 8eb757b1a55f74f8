//! Measurements: what the kit can offer and judge, and what a request costs at liftrouter against a bare proxy.

use crate::daemon::cpu_of;
use crate::history::Recorder;
use crate::ledger::TOO_BUSY;
use crate::rehearsal::{rehearse, scratch, watch_lateness, Options, Stage};
use crate::scenario::Scenario;
use crate::schedule::{seconds, Arrival, Customer, Schedule, Try};
use crate::standin::clients::{Clients, Front};
use std::fmt::Write as _;
use std::io;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::sleep;

/// Rates that are tried, in first tries a second.
const RATES: [f64; 7] = [250.0, 500.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0, 16_000.0];
/// Requests open at once where limiter and proxy are compared, and how often each has its turn.
const AT_ONCE: usize = 32;
const ROUNDS: usize = 5;

fn scenario(limiters: usize, rate: f64, length_s: f64) -> io::Result<Scenario> {
    let text = format!(
        "name = \"measure\"\nlength_s = {length_s:.1}\n[limiters]\ncount = {limiters}\nmemory_mb = 512\nsockets = 4096\n\
         [nodes]\ncount = 12\ncores = 1000\nspeed = 1.0\nhandshake_ms = 0.0\n[keeper]\ncalls_per_s = 100000.0\n\
         [load]\ntries_per_s = {rate:.1}\nheavy = 0.0\nspiky = 0.0\nretries = 0\n\
         [[class]]\nname = \"price-quote\"\nshare = 1.0\nwork_ms = 1.0\naim_ms = 750.0\ndeadline_ms = 2000.0\nworth = 2.0\neffect = \"safe\"\n\
         [[plan]]\nname = \"network\"\nshare = 1.0\nrate = 1000000.0\nburst_s = 1.0\nprice = 1.0\n"
    );
    parse(&text)
}

/// A scenario of a measurement.
pub(crate) fn parse(text: &str) -> io::Result<Scenario> {
    let parsed = Scenario::parse("measure", text);
    parsed.map_err(|p| io::Error::other(p.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")))
}

pub(crate) fn options(commands: Vec<String>) -> io::Result<(Options, watch::Sender<bool>)> {
    let (hold, interrupted) = watch::channel(false);
    Ok((Options { seed: 1, commands, folder: scratch()?, trouble: Arc::default(), interrupted }, hold))
}

/// Even load of small requests from so many customers.
fn even(scenario: &Scenario, rate: f64, first_of: usize) -> Schedule {
    let spread = 1;
    let customers: Vec<_> =
        (0..64).map(|n| Customer { number: n as u64 + 1, plan: 0, first: n % first_of, spread }).collect();
    let count = (rate * scenario.length_s) as usize;
    let arrivals = (0..count).map(|n| Arrival {
        at: (n as f64 / rate * 1e6) as u64,
        customer: n % customers.len(),
        class: 0,
        units: 1,
        guess: 1,
        work: 1_000,
        tries: vec![Try { place: 0, backoff: 0 }],
        heeds: false,
        leaves: None,
        permission: None,
    });
    let arrivals = arrivals.collect();
    let end = (scenario.length_s * 1e6) as u64;
    Schedule {
        seed: 1,
        speeds: vec![1.0; scenario.nodes.count],
        customers,
        arrivals,
        faults: Vec::new(),
        end,
    }
}

/// Everything, as a text.
///
/// # Errors
/// A limiter cannot be started, or no address is to be had.
pub async fn all(daemon: &str, bare: &str, each_s: f64) -> io::Result<String> {
    let mut text = String::from("What the kit can offer and judge, before four liftrouters:\n");
    text.push_str("  asked/s   sent/s  answered  p99 late  kit CPU  limiters' CPU\n");
    let mut best = 0.0;
    for rate in RATES {
        let line = offered(daemon, rate, each_s).await?;
        let good = line.answered > 0.97 && line.late_us < TOO_BUSY.1 && line.judged;
        let _ = writeln!(
            text,
            "  {rate:>7.0}  {:>7.0}  {:>7.1} %  {:>5.1} ms  {:>7.2}  {:>12.2}{}",
            line.sent,
            line.answered * 100.0,
            line.late_us as f64 / 1e3,
            line.kit_cores,
            line.limiter_cores,
            if good { "" } else { "   beyond" }
        );
        if !good {
            break;
        }
        best = rate;
    }
    let _ = writeln!(text, "  most: {best:.0} first tries a second\n");
    text.push_str(&yardstick(daemon, bare, each_s).await?);
    Ok(text)
}

struct Offered {
    sent: f64,
    answered: f64,
    late_us: u64,
    kit_cores: f64,
    limiter_cores: f64,
    judged: bool,
}

async fn offered(command: &str, rate: f64, each_s: f64) -> io::Result<Offered> {
    let scenario = scenario(4, rate, each_s)?;
    let (options, _hold) = options(vec![command.into()])?;
    let schedule = even(&scenario, rate, 4);
    let folder = options.folder.clone();
    let before = cpu_of(Path::new("/proc/self")).unwrap_or_default();
    let outcome = rehearse(scenario.clone(), options, Some(schedule), |_| {}).await?;
    let kit = cpu_of(Path::new("/proc/self")).unwrap_or_default() - before;
    let _ = std::fs::remove_dir_all(folder);
    let report = crate::report::Report::new(&scenario, command, &outcome);
    let counts = &outcome.judgement.counts;
    let over = outcome.schedule.arrivals.len().max(1) as f64;
    Ok(Offered {
        sent: counts.tries as f64 / each_s,
        answered: (counts.served + counts.refused + counts.refused_advised) as f64 / over,
        late_us: outcome.judgement.late_p99_us,
        kit_cores: seconds(kit) / each_s,
        limiter_cores: report.limiters.iter().map(|l| l.cpu_s).sum::<f64>() / each_s,
        judged: outcome.judgement.unjudged.is_none(),
    })
}

/// Both before the same nodes in one run, in turn, with so many requests open at once.
async fn yardstick(daemon: &str, bare: &str, each_s: f64) -> io::Result<String> {
    const MOST_PER_S: f64 = 40_000.0;
    let turn_s = (each_s / 2.0).max(0.5);
    let turns = 2 * ROUNDS;
    let scenario = Arc::new(scenario(2, 100.0, turn_s)?);
    let (options, _hold) = options(vec![daemon.into(), bare.into()])?;
    let folder = options.folder.clone();
    let recorder: Arc<Recorder> = Arc::default();
    let mut schedule = even(&scenario, MOST_PER_S * turns as f64 / 4.0, 2);
    schedule.end = u64::MAX;
    let schedule = Arc::new(schedule);
    let mut interrupted = options.interrupted.clone();
    let stage = Stage::set(scenario.clone(), schedule.clone(), recorder.clone(), options)?;
    let addresses: Vec<_> = stage.limiters.iter().map(|l| l.address).collect();
    let front = Front::new(&addresses, 1.0);
    let secret = stage.fleet.shared.secret;
    let clients = Clients::new(scenario.clone(), schedule.clone(), recorder.clone(), front.clone(), secret);
    stage.introduce(&front);
    stage.start_limiters(&mut interrupted).await.map_err(io::Error::other)?;
    tokio::spawn(watch_lateness(recorder.clone()));
    // Requests of even customers go to the daemon, of odd ones to the proxy.
    let mut next = [0usize, 1];
    let (mut rates, mut costs) = ([Vec::new(), Vec::new()], [Vec::new(), Vec::new()]);
    for turn in 0..turns {
        let who = turn % 2;
        let pid = stage.limiters[who].pid().ok_or_else(|| io::Error::other("a limiter has ended"))?;
        let process = Path::new("/proc").join(pid.to_string());
        let (cpu, served) = (cpu_of(&process).unwrap_or_default(), clients.served.load(Ordering::SeqCst));
        let began = Instant::now();
        while began.elapsed().as_secs_f64() < turn_s && next[who] < schedule.arrivals.len() {
            if clients.open() >= AT_ONCE {
                tokio::task::yield_now().await;
                continue;
            }
            clients.send(next[who]);
            next[who] += 2;
        }
        while clients.open() > 0 {
            sleep(Duration::from_millis(1)).await;
        }
        let served = (clients.served.load(Ordering::SeqCst) - served) as f64;
        let used = seconds(cpu_of(&process).unwrap_or_default() - cpu);
        rates[who].push(served / began.elapsed().as_secs_f64());
        costs[who].push(used / served.max(1.0) * 1e6);
    }
    for limiter in &stage.limiters {
        limiter.kill_now();
    }
    let _ = std::fs::remove_dir_all(folder);
    let ratio = |of: &[Vec<f64>; 2]| {
        let pairs: Vec<f64> = of[0].iter().zip(&of[1]).map(|(a, b)| a / b).collect();
        middle(&pairs)
    };
    let mut text =
        format!("liftrouter : bare proxy, {ROUNDS} turns each, {AT_ONCE} requests open at once:\n");
    for (what, unit, of) in [("requests a second", "/s", &rates), ("CPU for a request", " us", &costs)] {
        let ((mid, least, most), [daemon, proxy]) = (ratio(of), [middle(&of[0]).0, middle(&of[1]).0]);
        let _ = writeln!(
            text,
            "  {what}: {mid:.2} ({least:.2} to {most:.2}); medians {daemon:.0}{unit} : {proxy:.0}{unit}"
        );
    }
    Ok(text)
}

/// The median, the least and the most.
pub(crate) fn middle(all: &[f64]) -> (f64, f64, f64) {
    let mut sorted = all.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = |n: usize| sorted.get(n).copied().unwrap_or(f64::NAN);
    (at(sorted.len() / 2), at(0), at(sorted.len().saturating_sub(1)))
}
