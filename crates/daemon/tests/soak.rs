//! Everything at once, drawn from a seed: clients, servers, discovery and counter that misbehave, pauses of the process and
//! new configurations. The process goes on, within its memory and descriptors, and answers usual clients.
//!
//! `SOAK_SECONDS` and `SOAK_SEED` in the environment make a longer run, or another one.
mod common;

use common::grpc::{call_headers, raw_frame, wire, CHECK};
use common::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const DEFAULT_SECONDS: u64 = 15;
const DEFAULT_SEED: u64 = 62;
const MEMORY_MB: usize = 32;
const DESCRIPTORS: usize = 512;
const SERVERS: usize = 6;
const BAD_CLIENTS: usize = 24;
const USUAL_CLIENTS: usize = 6;
/// A usual client's connection may end without an answer only if it ends before the request is read.
const STATUSES: [u16; 4] = [200, 429, 502, 503];

/// A sequence of pseudo-random numbers, by the algorithm `SplitMix64`.
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, limit: usize) -> usize {
        (self.next() % limit as u64) as usize
    }

    fn bytes(&mut self, limit: usize) -> Vec<u8> {
        (0..=self.below(limit)).map(|_| self.next() as u8).collect()
    }
}

fn number_from_environment(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// A response of a server: most are sound.
fn server_reply(draw: &mut Draws, request: &Message) -> Reply {
    let body = request.header("x-correlation-id").unwrap_or_default();
    match draw.below(24) {
        0 => Reply::Silence,
        1 => Reply::RawThenClose(String::new()),
        2 => Reply::Raw(
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".into(),
        ),
        3 => Reply::Raw(raw("503 Service Unavailable", "X-Unprocessed: 1\r\n", "")),
        4 => Reply::Raw(raw("500 Internal Server Error", "", "")),
        5 => Reply::Raw("\u{0}noise\r\n\r\n".repeat(draw.below(2_000))),
        6 => Reply::Raw(raw("200 OK", "X-Settled: 1e999\r\nX-Backend-Load: inflight=-1,queue=x\r\n", body)),
        7 => Reply::Raw(format!("HTTP/1.1 100 Continue\r\n\r\n{}", raw("200 OK", "", body))),
        8 => Reply::Raw(raw("200 OK", "", body) + &raw("200 OK", "", "another")),
        9 => Reply::RawThenClose(format!("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{body}")),
        10 => {
            let chunks: Vec<String> = body.chars().map(|character| format!("1\r\n{character}\r\n")).collect();
            let chunks = chunks.concat();
            Reply::Raw(format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"))
        }
        _ => ok(body),
    }
}

fn counter_reply(draw: &mut Draws) -> Reply {
    match draw.below(8) {
        0 => ok("no number"),
        1 => ok("1e308"),
        2 => Reply::RawThenClose(String::new()),
        3 => Reply::Raw(raw("503 Service Unavailable", "", "")),
        _ => ok(&draw.below(10_000).to_string()),
    }
}

/// What a bad client sends over one HTTP connection.
fn bad_http(draw: &mut Draws) -> Vec<u8> {
    let name = format!("{:016x}", draw.next() % (1 << 33));
    let sound = match draw.below(3) {
        0 => quote("small", 9_000).replace("00000000b4d65521", &name),
        1 => post("once", &"x".repeat(draw.below(70_000))),
        _ => {
            post("bind", "x").replace("Content-Length: 1\r\n", "Transfer-Encoding: chunked\r\n")
                + &"1\r\ny\r\n".repeat(draw.below(20_000))
        }
    };
    match draw.below(8) {
        0 => draw.bytes(20_000),
        1 => sound.as_bytes()[..draw.below(sound.len())].to_vec(),
        2 => {
            let mut bytes = sound.into_bytes();
            for _ in 0..=draw.below(4) {
                let at = draw.below(bytes.len().min(400));
                bytes[at] = draw.next() as u8;
            }
            bytes
        }
        3 => sound.repeat(1 + draw.below(60)).into_bytes(),
        4 => format!("GET /quote/1 HTTP/1.1\r\n{}", "a: b\r\n".repeat(draw.below(4_000))).into_bytes(),
        5 => "GET /up HTTP/1.1\r\n\r\n".repeat(draw.below(3_000)).into_bytes(),
        6 => sound.replace("X-Time-Left: 9000m", "X-Time-Left: 99999999999999999999m").into_bytes(),
        _ => sound.into_bytes(),
    }
}

/// What a bad client sends over one gRPC connection.
fn bad_grpc(draw: &mut Draws) -> Vec<u8> {
    let mut bytes = [wire::PREFACE, &raw_frame(wire::SETTINGS, 0, 0, &[])].concat();
    for _ in 0..draw.below(60) {
        let stream = 2 * draw.below(40) as u32 + 1;
        bytes.extend(match draw.below(4) {
            0 => raw_frame(draw.next() as u8 % 12, draw.next() as u8, stream, &draw.bytes(300)),
            1 => raw_frame(wire::DATA, draw.next() as u8 & 1, stream, &draw.bytes(9_000)),
            _ => raw_frame(wire::HEADERS, wire::END_HEADERS, stream, &call_headers(CHECK)),
        });
    }
    bytes
}

/// A client that sends what is drawn, reads or does not, stays for a while, and ends its connection in one of several ways.
fn bad_client(draw: &mut Draws, http: SocketAddr, grpc: SocketAddr) {
    let (address, bytes) = match draw.below(4) {
        0 => (grpc, bad_grpc(draw)),
        _ => (http, bad_http(draw)),
    };
    let Ok(mut stream) = TcpStream::connect(address) else { return };
    let _ = stream.set_write_timeout(Some(Duration::from_millis(300)));
    let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
    for piece in bytes.chunks(1 + draw.below(9_000)) {
        if stream.write_all(piece).is_err() {
            break;
        }
    }
    if draw.below(2) == 0 {
        let mut buffer = [0; 4_096];
        while matches!(stream.read(&mut buffer), Ok(1..)) {}
    }
    thread::sleep(Duration::from_millis(draw.below(200) as u64));
    match draw.below(3) {
        0 => drop(socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))),
        1 => drop(stream.shutdown(Shutdown::Write)),
        _ => {}
    }
}

/// Sends usual requests one by one. Returns the number of those that were served.
fn usual_client(limiter: &Limiter, done: &AtomicBool) -> usize {
    let (mut client, mut served) = (limiter.client(), 0);
    while !done.load(Ordering::SeqCst) {
        let request = quote("roomy", 3_000);
        client.send_ignoring_errors(request.as_bytes());
        let Some(answer) = client.answer() else {
            client = limiter.client();
            continue;
        };
        assert!(STATUSES.contains(&answer.status()), "{}", answer.start_line);
        if answer.status() == 200 {
            assert_eq!(answer.text(), correlation_id(&request), "the answer to another request");
            served += 1;
        }
        thread::sleep(Duration::from_millis(5));
    }
    served
}

/// Seeds for the draws of all parts: each call gives another sequence.
struct Seeds {
    seed: u64,
    taken: AtomicU64,
}

impl Seeds {
    fn next(&self) -> Draws {
        Draws(self.seed ^ (self.taken.fetch_add(1, Ordering::SeqCst) << 32))
    }
}

/// The stand-ins around the limiter.
struct Installation {
    servers: Vec<Fake>,
    counter: Fake,
    discovery: Fake,
    /// The revision of the list of servers.
    revision: Arc<AtomicU64>,
}

impl Installation {
    fn start(seeds: &Arc<Seeds>) -> Installation {
        let server = |_| {
            let seeds = seeds.clone();
            Fake::new(move |request| server_reply(&mut seeds.next(), request))
        };
        let servers: Vec<Fake> = (0..SERVERS).map(server).collect();
        let counter = Fake::new({
            let seeds = seeds.clone();
            move |_| counter_reply(&mut seeds.next())
        });
        let revision = Arc::new(AtomicU64::new(10));
        let addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
        let discovery = Fake::new({
            let revision = revision.clone();
            move |_| {
                let list = addresses.iter().enumerate();
                let list: Vec<_> = list.map(|(n, a)| instance(&format!("s-{n}"), *a, "in_service")).collect();
                let whole = update(revision.load(Ordering::SeqCst), true, &list);
                Reply::Raw(format!("{WATCH_HEAD}{}", chunk(&whole)))
            }
        });
        Installation { servers, counter, discovery, revision }
    }

    fn start_limiter(&self) -> Limiter {
        let operator = temp_file("[grpc]\nlisten = '127.0.0.1:0'\n");
        let mut program = command();
        program.arg("--operator").arg(&operator);
        let limits = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS});
        let limiter =
            Limiter::with_limits(limits, program, settings(), &self.discovery, self.counter.address);
        let _ = std::fs::remove_file(operator);
        limiter
    }

    /// Changes the list of servers, ends or spoils the watch, or pauses the process.
    fn disturb(&self, draw: &mut Draws, limiter: &Limiter) {
        match draw.below(6) {
            0 => self.discovery.disconnect_all(),
            1 => self.discovery.push(&chunk("{\"generation\":")),
            2 => {
                limiter.pause();
                thread::sleep(Duration::from_millis(draw.below(200) as u64));
                limiter.resume();
            }
            _ => {
                let number = draw.below(SERVERS);
                let lifecycle = if draw.below(3) == 0 { "terminating" } else { "in_service" };
                let mut entry = instance(&format!("s-{number}"), self.servers[number].address, lifecycle);
                entry["startedAtMs"] = json!(draw.below(3));
                let next = self.revision.fetch_add(1, Ordering::SeqCst) + 1;
                self.discovery.push(&chunk(&update(next, false, &[entry])));
            }
        }
    }
}

/// Ends all clients when it is dropped, also if the test fails.
struct EndOfRun<'a>(&'a AtomicBool);

impl Drop for EndOfRun<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Runs all clients beside the disturbances. Returns the number of usual requests that were served.
fn run(installation: &Installation, limiter: &Limiter, seeds: &Seeds, time: Duration) -> usize {
    let (done, served) = (AtomicBool::new(false), AtomicUsize::new(0));
    let grpc = limiter.grpc.expect("a gRPC listener");
    thread::scope(|scope| {
        let _end = EndOfRun(&done);
        for _ in 0..BAD_CLIENTS {
            let (mut draw, done) = (seeds.next(), &done);
            scope.spawn(move || {
                while !done.load(Ordering::SeqCst) {
                    bad_client(&mut draw, limiter.address, grpc);
                }
            });
        }
        for _ in 0..USUAL_CLIENTS {
            scope.spawn(|| served.fetch_add(usual_client(limiter, &done), Ordering::SeqCst));
        }
        let (end, mut draw) = (Instant::now() + time, seeds.next());
        while Instant::now() < end {
            thread::sleep(Duration::from_millis(100));
            installation.disturb(&mut draw, limiter);
            assert!(limiter.descriptors() <= DESCRIPTORS);
        }
    });
    served.into_inner()
}

/// Guards against a process that ends by itself, grows, or no longer serves, whatever comes together.
#[test]
fn the_process_survives_what_is_drawn_from_a_seed() {
    let seconds = number_from_environment("SOAK_SECONDS", DEFAULT_SECONDS);
    let seed = number_from_environment("SOAK_SEED", DEFAULT_SEED);
    let seeds = Arc::new(Seeds { seed, taken: AtomicU64::new(0) });
    let installation = Installation::start(&seeds);
    let mut limiter = installation.start_limiter();
    let served = run(&installation, &limiter, &seeds, Duration::from_secs(seconds));
    let peak_kb = limiter.peak_memory() / 1024;
    eprintln!("seed {seed}, {seconds} s: {served} usual requests served, at most {peak_kb} KB");
    assert!(served > 0);
    assert!(peak_kb < MEMORY_MB * 1024, "{peak_kb} KB");
    wait_until("a client is served", || limiter.client().ask(&quote("roomy", 3_000)).status() == 200);
    limiter.terminate();
    assert_eq!(limiter.wait().code(), Some(0), "{}", limiter.errors());
}
