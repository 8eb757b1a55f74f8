//! A room is cut off for a while. Policies that were on their way into it are sent again elsewhere.

use liftrouter_review::client::{self, Fate, Request};
use liftrouter_review::counter;
use liftrouter_review::discovery::{Agent, Instance};
use liftrouter_review::installation::{free_tcp, run, with_trouble, Folder, Verdict};
use liftrouter_review::limiter::{Config, Limiter};
use liftrouter_review::link::Links;
use liftrouter_review::node::{self, Arrival, Arrivals, KEY_MEMORY};
use liftrouter_review::record::Record;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::ops::RangeInclusive;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// As on busy days; every other one stands in room-b.
const NODES: usize = 16;
/// Limiters that stand in room-a.
const LIMITERS: usize = 1;
/// Limiters that a customer comes through, in both rooms; all requests of the case come to that of room-a.
const SPREAD: usize = 2;
/// How long the room is cut off.
const CUT: Duration = Duration::from_secs(18);
/// Before the cut: the usual clients, further ones for a while, and the usual ones again.
const BEFORE_BURST: Duration = Duration::from_millis(1_500);
const BURST: Duration = Duration::from_secs(2);
const AFTER_BURST: Duration = Duration::from_millis(500);
/// From the end of the cut to the end of the case.
const AFTERWARDS: Duration = Duration::from_secs(4);
/// With the pause and the work of a request, about 150 requests a second.
const CLIENTS: u64 = 26;
/// Clients that ask during the burst alone.
const BURST_CLIENTS: u64 = 24;
const PAUSE_BETWEEN_REQUESTS: Duration = Duration::from_millis(60);
/// A policy's body; bodies hold at most 64 KiB.
const BODY_BYTES: usize = 32 * 1024;
/// Each time limit is so much longer on sockets.
const ON_SOCKETS: Duration = Duration::from_millis(50);

/// Sends requests until `done`: three of ten are policies.
fn ask(limiter: SocketAddr, customer: u64, done: &AtomicBool, record: &Record) {
    for n in customer.. {
        if done.load(Ordering::Relaxed) {
            return;
        }
        let (class, seconds) = if n % 10 < 3 { ("bind-policy", 5) } else { ("price-quote", 2) };
        let mut request = Request::new(class, customer, Duration::from_secs(seconds), SPREAD);
        request.body_bytes = BODY_BYTES;
        let sent_at = record.now();
        let fate = client::send(limiter, &request);
        let took = (record.now() - sent_at).as_millis();
        let end = match &fate {
            Fate::Answered { status, .. } => status.clone(),
            other => format!("{other:?}"),
        };
        record.note(format!("client: {class} {} -> {end} after {took} ms", request.id));
        thread::sleep(PAUSE_BETWEEN_REQUESTS);
    }
}

fn play(record: &Record) -> Verdict {
    let folder = Folder::create();
    let arrivals = Arrivals::default();
    let links = Links::default();
    let instances: Vec<Instance> = (1..=NODES)
        .map(|n| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let id = format!("s-{n}");
            let own = node::start(&id, listener, record, &arrivals);
            let (zone, address) = if n % 2 == 0 { ("room-b", links.open(own)) } else { ("room-a", own) };
            Instance { id, address, lifecycle: "in_service", zone }
        })
        .collect();
    let agent = Agent::start(&instances);
    let counter = counter::start();
    let limiters: Vec<Limiter> = (0..LIMITERS)
        .map(|index| {
            let config = Config {
                name: &format!("n{index}"),
                index,
                limiters: SPREAD,
                listen: free_tcp(),
                discovery: agent.address,
                counter,
                operator: String::new(),
            };
            Limiter::start(folder.path(), &config)
        })
        .collect();
    if !limiters.iter().all(Limiter::wait_until_up) {
        return Verdict::Unusable;
    }
    let done = Arc::new(AtomicBool::new(false));
    let burst_done = Arc::new(AtomicBool::new(false));
    let start_clients = |customers: RangeInclusive<u64>, done: &Arc<AtomicBool>| -> Vec<JoinHandle<()>> {
        let start = |customer: u64| {
            let listen = limiters[customer as usize % LIMITERS].listen;
            let (done, record) = (done.clone(), record.clone());
            thread::spawn(move || ask(listen, customer, &done, &record))
        };
        customers.map(start).collect()
    };
    let mut clients = start_clients(1..=CLIENTS, &done);
    thread::sleep(BEFORE_BURST);
    clients.extend(start_clients(CLIENTS + 1..=CLIENTS + BURST_CLIENTS, &burst_done));
    thread::sleep(BURST);
    burst_done.store(true, Ordering::Relaxed);
    thread::sleep(AFTER_BURST);
    if with_trouble() {
        record.note("room-b is cut off");
        links.set_cut(true);
    }
    thread::sleep(CUT);
    if with_trouble() {
        record.note("room-b is back");
        links.set_cut(false);
    }
    thread::sleep(AFTERWARDS);
    done.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    for limiter in &limiters {
        limiter.log().lines().for_each(|line| record.note(format!("log of {}: {line}", limiter.name)));
    }
    judge(record, &arrivals)
}

/// A key that is executed twice was sent once more after the nodes had forgotten it.
fn judge(record: &Record, arrivals: &Arrivals) -> Verdict {
    let mut by_key: BTreeMap<String, Vec<Arrival>> = BTreeMap::new();
    for arrival in arrivals.all() {
        if let Some(key) = arrival.key.clone() {
            by_key.entry(key).or_default().push(arrival);
        }
    }
    let mut twice = 0;
    for (key, attempts) in &by_key {
        let late = attempts.iter().find(|attempt| attempt.at > attempts[0].at + KEY_MEMORY + ON_SOCKETS);
        if late.is_none() {
            continue;
        }
        twice += 1;
        let attempts: Vec<String> = attempts
            .iter()
            .map(|a| format!("{} at {:.3} s, executed: {}", a.node, a.at.as_secs_f64(), a.is_executed))
            .collect();
        record.note(format!("{key} came to {}", attempts.join("; to ")));
    }
    record.note(format!("policies: {}, executed twice: {twice}", by_key.len()));
    match (by_key.len(), twice) {
        (0, _) => Verdict::Unusable,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

fn main() -> ExitCode {
    run(play)
}
