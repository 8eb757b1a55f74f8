//! Case 10: a new `term_ms` comes to one limiter after the other; one that still has the old one is stopped for 5.5 s and
//! goes on to act as the holder of slots that others hold.

use review_standins_2::case::{run, Case, Finding};
use review_standins_2::counter;
use review_standins_2::discovery;
use review_standins_2::installation::{self, USUAL_KEYED_CLASS};
use review_standins_2::limiter::{free_address, Limiter, Setup, SIGCONT, SIGSTOP};
use review_standins_2::node::{Node, Reaction};
use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const LIMITERS: usize = 3;
const NODES: usize = 12;
/// The limiter that is stopped; it is the last to get the new term.
const STOPPED: usize = 2;
const OLD_TERM_MS: u32 = 8_000;
const NEW_TERM_MS: u32 = 2_000;
const STOPPED_FOR: Duration = Duration::from_millis(5_500);
/// How long after it goes on its health checks are looked at.
const LOOK: Duration = Duration::from_millis(500);

/// A health check: when, in seconds of the day, by which limiter, of which node.
#[derive(Clone, Copy, Debug)]
struct Check {
    at: f64,
    limiter: usize,
    node: usize,
}

const SECONDS_OF_A_DAY: f64 = 86_400.0;

fn main() {
    run(case)
}

fn now() -> f64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    unix.as_secs_f64() % SECONDS_OF_A_DAY
}

/// An address for UDP with a port that is free now.
fn free_udp_address() -> std::io::Result<String> {
    Ok(UdpSocket::bind("127.0.0.1:0")?.local_addr()?.to_string())
}

/// When, in seconds of the day, a limiter's log says first after `since` that the stopped one is alive again. A limiter
/// releases the slots that are assigned to another only once it knows of that other.
fn knows_of_return(log: &str, since: f64) -> Option<f64> {
    let line = format!("n{STOPPED} is alive");
    log.lines().filter(|text| text.contains(&line)).filter_map(time_of).find(|at| *at >= since)
}

/// The time in a line of a log in JSON: `"timestamp":"2026-12-05T03:12:46.123456Z"`.
fn time_of(line: &str) -> Option<f64> {
    let (_, rest) = line.split_once("\"timestamp\":\"")?;
    let time = rest.get(11..rest.find('Z')?)?;
    let mut parts = time.split(':').map(|part| part.parse::<f64>().ok());
    let (hours, minutes, seconds) = (parts.next()??, parts.next()??, parts.next()??);
    Some(hours * 3_600.0 + minutes * 60.0 + seconds)
}

fn case(case: &Case) -> Result<Finding, String> {
    let fail = |error: std::io::Error| error.to_string();
    let record = &case.record;
    let checks: Arc<Mutex<Vec<Check>>> = Arc::default();
    let counter = counter::start().map_err(fail)?;
    let members: Vec<String> =
        (0..LIMITERS).map(|_| free_udp_address()).collect::<Result<_, _>>().map_err(fail)?;
    let all = members.iter().map(|member| format!("\"{member}\"")).collect::<Vec<_>>().join(", ");
    let operator = |me: usize, term_ms: u32| {
        format!(
            "[members]\nname = \"n{me}\"\nlisten = \"{}\"\njoin = [{all}]\nvoters = [{all}]\nperiod_ms = 500\n\
             term_ms = {term_ms}\nprobe_ms = 500\n",
            members[me]
        )
    };
    let mut setups = Vec::new();
    for me in 0..LIMITERS {
        let mut entries = Vec::new();
        for node in 0..NODES {
            // Each limiter sees the nodes under addresses of its own, so that a node knows who checks it.
            let (checks, log) = (checks.clone(), record.clone());
            let server = Node::start(&format!("s-{node}"), move |request| {
                if request.target() == "/metrics/load" {
                    checks.lock().expect("the checks").push(Check { at: now(), limiter: me, node });
                    log.line(format!("s-{node} is checked by n{me}"));
                }
                Reaction::Answer("200 OK", "util=0.2".to_string())
            })
            .map_err(fail)?;
            entries.push(installation::in_service(&server));
        }
        setups.push(Setup {
            name: format!("n{me}"),
            listen: free_address().map_err(fail)?,
            discovery: discovery::start(&entries).map_err(fail)?,
            counter,
            settings: installation::settings(me, LIMITERS, USUAL_KEYED_CLASS),
            operator: Some(operator(me, OLD_TERM_MS)),
            options: " --log json",
        });
    }
    let mut limiters = Vec::new();
    for setup in &setups {
        limiters.push(Limiter::start(setup, &case.folder, record)?);
    }
    // Voters grant nothing for a term and a little more.
    thread::sleep(Duration::from_secs(12));
    for me in (0..LIMITERS).filter(|me| *me != STOPPED) {
        setups[me].operator = Some(operator(me, NEW_TERM_MS));
        let (restarted, record) = (limiters.remove(me), &case.record);
        restarted.terminate(record)?;
        record.line(format!("n{me} gets term_ms = {NEW_TERM_MS}"));
        limiters.insert(me, Limiter::start(&setups[me], &case.folder, record)?);
        thread::sleep(Duration::from_secs(6));
    }
    let stopped_at = now();
    if case.trouble {
        limiters[STOPPED].signal(SIGSTOP);
        record.line(format!("n{STOPPED} is stopped"));
    }
    thread::sleep(STOPPED_FOR);
    let continued_at = now();
    if case.trouble {
        limiters[STOPPED].signal(SIGCONT);
        record.line(format!("n{STOPPED} goes on"));
    }
    thread::sleep(LOOK);
    thread::sleep(Duration::from_secs(1));
    installation::finish(case, &mut limiters)?;
    let checks = checks.lock().expect("the checks").clone();
    let mut doubly_held = BTreeSet::new();
    for other in (0..LIMITERS).filter(|me| *me != STOPPED) {
        let returned = knows_of_return(&limiters[other].log_text(), continued_at);
        for node in 0..NODES {
            let by_other = |check: &&Check| check.limiter == other && check.node == node;
            let held =
                checks.iter().filter(by_other).filter(|c| c.at > stopped_at + 3.0 && c.at < continued_at);
            // The other one holds the node's slot until it knows that the stopped one is back.
            let until = returned.unwrap_or(f64::MAX);
            let by_stopped = checks.iter().find(|check| {
                let soon = check.at >= continued_at && check.at < continued_at + LOOK.as_secs_f64();
                check.limiter == STOPPED && check.node == node && soon && check.at < until
            });
            if let (true, Some(check)) = (held.count() >= 2, by_stopped) {
                let after = (check.at - continued_at) * 1e3;
                let until = returned
                    .map_or("the look".to_string(), |at| format!("{:.1} ms", (at - continued_at) * 1e3));
                record.line(format!(
                    "s-{node}: checked by n{STOPPED} {after:.1} ms after it went on; n{other} checked it meanwhile, and knew of its return after {until}"
                ));
                doubly_held.insert(node);
            }
        }
    }
    let summary = format!(
        "{} of {NODES} nodes were checked by n{STOPPED} while another limiter held their slots",
        doubly_held.len()
    );
    record.line(&summary);
    println!("{summary}");
    Ok(if doubly_held.is_empty() { Finding::Held } else { Finding::Broken(summary) })
}
