//! Measurements of external authorisation: decisions over gRPC against HTTP/1.1, memory with many streams open,
//! and what a flood of resets costs the clients of the other front.

use crate::daemon::{cpu_of, memory_of};
use crate::history::{Event, Recorder};
use crate::measure::{middle, options, parse};
use crate::rehearsal::{rehearse, watch_lateness, Stage};
use crate::scenario::{Kind, Scenario};
use crate::schedule::{seconds, Arrival, Customer, Micros, Peer, Permission, Planned, Schedule, Try};
use crate::standin::clients::{Clients, Front};
use liftrouter_authz::wire;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::io;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Requests open at once, and how often each kind has its turn.
const AT_ONCE: usize = 32;
const ROUNDS: usize = 5;
/// Streams held open, each of which still owes its question.
const STREAMS: usize = 1_000;
/// Load of the other front's clients beside a flood, in requests a second, and the flood.
const BESIDE: f64 = 500.0;
const RESETS: f64 = 10_000.0;
const PAIRS: usize = 5;

/// What takes turns: the name, whether it asks permission, and the plan of its customers.
const KINDS: [(&str, bool, usize); 4] = [
    ("forwarded over HTTP/1.1", false, 0),
    ("permitted over gRPC", true, 0),
    ("refused over HTTP/1.1", false, 1),
    ("refused over gRPC", true, 1),
];

fn scenario(length_s: f64) -> io::Result<Scenario> {
    let text = format!(
        "name = \"measure\"\nlength_s = {length_s:.1}\n[limiters]\ncount = 1\nmemory_mb = 512\nsockets = 4096\n\
         [nodes]\ncount = 12\ncores = 1000\nspeed = 1.0\nhandshake_ms = 0.0\n[keeper]\ncalls_per_s = 100000.0\n\
         [load]\ntries_per_s = 100.0\nheavy = 0.0\nspiky = 0.0\nretries = 0\npermissions = 0.5\n\
         [[class]]\nname = \"price-quote\"\nshare = 1.0\nwork_ms = 1.0\naim_ms = 750.0\ndeadline_ms = 2000.0\n\
         worth = 2.0\neffect = \"safe\"\n\
         [[plan]]\nname = \"network\"\nshare = 1.0\nrate = 1000000.0\nburst_s = 1.0\nprice = 1.0\n\
         [[plan]]\nname = \"used-up\"\nshare = 1.0\nrate = 0.01\nburst_s = 0.1\nprice = 1.0\n"
    );
    parse(&text)
}

fn arrival(at: Micros, customer: usize, permission: bool) -> Arrival {
    Arrival {
        at,
        customer,
        class: 0,
        units: 1,
        guess: 1,
        work: 0,
        tries: vec![Try { place: 0, backoff: 0 }],
        heeds: false,
        leaves: None,
        permission: permission.then_some(Permission { resets: None }),
    }
}

/// Customers of each plan in turn: those of a kind are `kind.2 * CUSTOMERS ..`.
const CUSTOMERS: usize = 64;

fn customers() -> Vec<Customer> {
    let one = |n: usize| Customer { number: n as u64 + 1, plan: n / CUSTOMERS, first: 0, spread: 1 };
    (0..2 * CUSTOMERS).map(one).collect()
}

fn schedule(scenario: &Scenario, arrivals: Vec<Arrival>, faults: Vec<Planned>, end: Micros) -> Schedule {
    let speeds = vec![1.0; scenario.nodes.count];
    Schedule { seed: 1, speeds, customers: customers(), arrivals, faults, end }
}

/// Everything, as a text.
///
/// # Errors
/// A limiter cannot be started, or no address is to be had.
pub async fn all(daemon: &str, each_s: f64) -> io::Result<String> {
    let mut text = fronts(daemon, each_s).await?;
    text.push_str(&flooded(daemon, each_s).await?);
    Ok(text)
}

/// Both fronts of one limiter in turn.
async fn fronts(daemon: &str, each_s: f64) -> io::Result<String> {
    /// Requests of each kind; they begin anew once all were sent, long after the same was open.
    const EACH: usize = 50_000;
    let turn_s = (each_s / 2.0).max(0.5);
    let turns = KINDS.len() * ROUNDS;
    let scenario = Arc::new(scenario(turn_s)?);
    let (options, _hold) = options(vec![daemon.into()])?;
    let folder = options.folder.clone();
    let recorder: Arc<Recorder> = Arc::default();
    let kind_of = |n: usize| KINDS[n % KINDS.len()];
    let arrivals = (0..EACH * KINDS.len()).map(|n| {
        let (_, permission, plan) = kind_of(n);
        arrival(0, plan * CUSTOMERS + n / KINDS.len() % CUSTOMERS, permission)
    });
    let schedule = Arc::new(schedule(&scenario, arrivals.collect(), Vec::new(), u64::MAX));
    let mut interrupted = options.interrupted.clone();
    let stage = Stage::set(scenario.clone(), schedule.clone(), recorder.clone(), options)?;
    let limiter = stage.limiters[0].clone();
    let front = Front::new(&[limiter.address], 1.0);
    front.ask_at(vec![limiter.grpc]);
    let secret = stage.fleet.shared.secret;
    let clients = Clients::new(scenario.clone(), schedule.clone(), recorder.clone(), front.clone(), secret);
    stage.introduce(&front);
    stage.start_limiters(&mut interrupted).await.map_err(io::Error::other)?;
    tokio::spawn(watch_lateness(recorder.clone()));
    let pid = limiter.pid().ok_or_else(|| io::Error::other("the limiter has ended"))?;
    let process = Path::new("/proc").join(pid.to_string());
    // Before any load: what that leaves behind would hide what streams take.
    let before = memory_of(&process).unwrap_or_default();
    let held = hold_streams(limiter.grpc).await?;
    let with_streams = memory_of(&process).unwrap_or_default();
    let answered = finish_streams(held).await?;
    let mut next: [usize; KINDS.len()] = std::array::from_fn(|kind| kind);
    let (mut rates, mut costs) = (vec![Vec::new(); KINDS.len()], vec![Vec::new(); KINDS.len()]);
    for turn in 0..turns {
        let kind = turn % KINDS.len();
        let (cpu, done) = (cpu_of(&process).unwrap_or_default(), clients.done.load(Ordering::SeqCst));
        let began = Instant::now();
        while began.elapsed().as_secs_f64() < turn_s {
            if clients.open() >= AT_ONCE {
                tokio::task::yield_now().await;
                continue;
            }
            clients.send(next[kind] % schedule.arrivals.len());
            next[kind] += KINDS.len();
        }
        while clients.open() > 0 {
            sleep(Duration::from_millis(1)).await;
        }
        let done = (clients.done.load(Ordering::SeqCst) - done) as f64;
        let used = seconds(cpu_of(&process).unwrap_or_default() - cpu);
        rates[kind].push(done / began.elapsed().as_secs_f64());
        costs[kind].push(used / done.max(1.0) * 1e6);
    }
    for limiter in &stage.limiters {
        limiter.kill_now();
    }
    let _ = std::fs::remove_dir_all(folder);
    let mut sent: HashMap<u64, Micros> = HashMap::new();
    let mut times: Vec<Vec<Micros>> = vec![Vec::new(); KINDS.len()];
    let mut statuses: Vec<HashMap<u16, usize>> = vec![HashMap::new(); KINDS.len()];
    for entry in recorder.history() {
        match entry.event {
            Event::Sent { id, .. } => drop(sent.insert(id, entry.at)),
            Event::Answered { id, status, .. } => {
                let Some((index, _)) = Arrival::of_id(id) else { continue };
                *statuses[index % KINDS.len()].entry(status).or_default() += 1;
                if let Some(began) = sent.remove(&id) {
                    times[index % KINDS.len()].push(entry.at - began);
                }
            }
            _ => {}
        }
    }
    let mut text = format!("Decisions, {ROUNDS} turns each, {AT_ONCE} requests open at once:\n");
    for (kind, (name, ..)) in KINDS.iter().enumerate() {
        times[kind].sort_unstable();
        let part = |share: f64| times[kind].get((share * times[kind].len() as f64) as usize).copied();
        let ms = |share| part(share).unwrap_or_default() as f64 / 1e3;
        let mut all: Vec<_> = statuses[kind].iter().collect();
        all.sort();
        let _ = writeln!(
            text,
            "  {name:24} {:>7.0}/s  {:>5.1} us CPU  p50 {:.2} ms  p99 {:.2} ms  answers {all:?}",
            middle(&rates[kind]).0,
            middle(&costs[kind]).0,
            ms(0.5),
            ms(0.99)
        );
    }
    let ratio = |a: &[f64], b: &[f64]| {
        let pairs: Vec<f64> = a.iter().zip(b).map(|(a, b)| a / b).collect();
        middle(&pairs)
    };
    for (what, http, grpc) in [("permitted : forwarded", 0, 1), ("refused : refused", 2, 3)] {
        let ((rate, r0, r1), (cost, c0, c1)) =
            (ratio(&rates[grpc], &rates[http]), ratio(&costs[grpc], &costs[http]));
        let _ = writeln!(
            text,
            "  gRPC : HTTP/1.1, {what}: decisions a second {rate:.2} ({r0:.2} to {r1:.2}), CPU for one {cost:.2} \
             ({c0:.2} to {c1:.2})"
        );
    }
    let _ = writeln!(
        text,
        "  memory: {:.1} MB before, {:.1} MB with {STREAMS} streams open \
         ({answered} answered)\n",
        before as f64 / 1024.0,
        with_streams as f64 / 1024.0
    );
    Ok(text)
}

/// Opens streams on one connection and sends no question on them.
async fn hold_streams(address: std::net::SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    let mut bytes = wire::PREFACE.to_vec();
    bytes.extend(wire::raw(wire::SETTINGS, 0, 0, &[]));
    for n in 0..STREAMS {
        let id = 2 * n as u32 + 1;
        bytes.extend(wire::call(id, "/envoy.service.auth.v3.Authorization/Check"));
    }
    stream.write_all(&bytes).await?;
    // Long enough for all to be read, and short of the time in which a question must be whole.
    sleep(Duration::from_millis(700)).await;
    Ok(stream)
}

/// Ends the questions, and counts the answers: so many streams were open.
async fn finish_streams(mut stream: TcpStream) -> io::Result<usize> {
    let end = |n: usize| wire::raw(wire::DATA, wire::END_STREAM, 2 * n as u32 + 1, b"x");
    stream.write_all(&(0..STREAMS).flat_map(end).collect::<Vec<u8>>()).await?;
    let (mut buffer, mut answered) = (Vec::new(), 0);
    while answered < STREAMS {
        let read = timeout(Duration::from_secs(1), stream.read_buf(&mut buffer)).await;
        if !matches!(read, Ok(Ok(read)) if read > 0) {
            break;
        }
        while let Some(frame) = wire::Frame::take(&mut buffer) {
            answered += usize::from(frame.kind == wire::HEADERS && frame.flags & wire::END_STREAM != 0);
        }
    }
    Ok(answered)
}

/// Service of the HTTP/1.1 clients with a flood of resets on the other front, against none.
async fn flooded(daemon: &str, each_s: f64) -> io::Result<String> {
    let mut rows = [Vec::new(), Vec::new()];
    for _ in 0..PAIRS {
        for (flood, rows) in rows.iter_mut().enumerate() {
            rows.push(beside(daemon, each_s.max(2.0), flood == 1).await?);
        }
    }
    let column = |of: usize, pick: fn(&Beside) -> f64| rows[of].iter().map(pick).collect::<Vec<_>>();
    let mut text = format!(
        "{BESIDE:.0} requests a second over HTTP/1.1, with and without {RESETS:.0} resets a second over gRPC, \
         {PAIRS} pairs:\n"
    );
    for (what, pick) in [
        ("service", (|b: &Beside| b.service) as fn(&Beside) -> f64),
        ("served of sent", |b| b.served),
        ("CPU of the limiter", |b| b.cpu_s),
        ("p99 of answers", |b| b.p99_us),
    ] {
        let (clean, with) = (column(0, pick), column(1, pick));
        let ratios: Vec<f64> = with.iter().zip(&clean).map(|(w, c)| w / c).collect();
        let (mid, least, most) = middle(&ratios);
        let _ = writeln!(text, "  {what}: {mid:.3} of a clean run ({least:.3} to {most:.3})");
    }
    Ok(text)
}

struct Beside {
    service: f64,
    served: f64,
    cpu_s: f64,
    p99_us: f64,
}

async fn beside(daemon: &str, length_s: f64, flood: bool) -> io::Result<Beside> {
    let scenario = scenario(length_s)?;
    let (options, _hold) = options(vec![daemon.into()])?;
    let folder = options.folder.clone();
    let count = (BESIDE * length_s) as usize;
    let at = |n: usize| (n as f64 / BESIDE * 1e6) as Micros;
    let arrivals = (0..count).map(|n| arrival(at(n), n % CUSTOMERS, false)).collect();
    let end = (length_s * 1e6) as Micros;
    let fault = Planned {
        id: 1,
        kind: Kind::ResetFlood,
        at: 0,
        until: Some(end),
        victim: 0,
        peer: Peer::All,
        size: RESETS,
    };
    let faults = flood.then_some(fault).into_iter().collect();
    let schedule = schedule(&scenario, arrivals, faults, end);
    let outcome = rehearse(scenario.clone(), options, Some(schedule), |_| {}).await?;
    let _ = std::fs::remove_dir_all(folder);
    let report = crate::report::Report::new(&scenario, daemon, &outcome);
    let j = &outcome.judgement;
    Ok(Beside {
        service: j.service.figure,
        served: j.counts.served as f64 / count.max(1) as f64,
        cpu_s: report.limiters.iter().map(|l| l.cpu_s).sum(),
        p99_us: j.answer_p99_us as f64,
    })
}
