//! A limiter that follows one service starts while its relays cannot be reached.

use liftrouter_review::client::{self, Fate, Request};
use liftrouter_review::counter;
use liftrouter_review::discovery::{whole_list, Agent, Instance};
use liftrouter_review::installation::{free_tcp, run, with_trouble, Folder, Verdict};
use liftrouter_review::limiter::{end_with_this_process, Config, Limiter};
use liftrouter_review::node::{self, Arrivals};
use liftrouter_review::record::Record;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, ExitCode, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 9;
const REQUESTS: u64 = 120;
/// Between two requests.
const INTERVAL: Duration = Duration::from_millis(8);

/// A relay process, killed when it is dropped.
struct Relay(Child);

impl Relay {
    fn start(listen: SocketAddr, discovery: SocketAddr) -> Relay {
        let mut command = Command::new("target/release/liftrouter");
        command.arg("relay").arg("--listen").arg(listen.to_string());
        command.arg("--discovery").arg(discovery.to_string());
        command.stdout(Stdio::null()).stderr(Stdio::null());
        Relay(end_with_this_process(&mut command).spawn().expect("the relay"))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The limiter's start with or without a list of services in the operator's file.
struct Platform<'a> {
    folder: &'a Path,
    listen: SocketAddr,
    relay: SocketAddr,
    discovery: SocketAddr,
    counter: SocketAddr,
}

impl Platform<'_> {
    fn start_limiter(&self, services: &str, known: Option<String>) -> Limiter {
        let config = Config {
            name: "n0",
            index: 0,
            limiters: 2,
            listen: self.listen,
            discovery: self.discovery,
            counter: self.counter,
            known,
            operator: format!("[relays]\naddresses = [\"{}\"]\n{services}", self.relay),
        };
        Limiter::start(self.folder, &config)
    }
}

type StartServer = fn(&str, TcpListener, &Record, &Arrivals) -> SocketAddr;

fn servers(service: &'static str, start: StartServer, record: &Record, arrivals: &Arrivals) -> Vec<Instance> {
    (1..=NODES)
        .map(|n| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let id = format!("{service}-{n}");
            let address = start(&id, listener, record, arrivals);
            Instance { id, address, lifecycle: "in_service", service }
        })
        .collect()
}

/// Sends requests to the limiter, and returns what became of them.
fn ask(listen: SocketAddr, record: &Record) -> Vec<Fate> {
    let clients: Vec<_> = (0..REQUESTS)
        .map(|n| {
            thread::sleep(INTERVAL);
            let record = record.clone();
            thread::spawn(move || {
                let request = Request::new("price-quote", n % 24 + 1, Duration::from_secs(2), 2);
                let fate = client::send(listen, &request);
                record.note(format!("client: {} -> {fate:?}", request.id));
                fate
            })
        })
        .collect();
    clients.into_iter().map(|client| client.join().expect("a client")).collect()
}

fn play(record: &Record) -> Verdict {
    let folder = Folder::create();
    let arrivals = Arrivals::default();
    let mut instances = servers("quotes", node::start, record, &arrivals);
    instances.extend(servers("payments", node::start_of_other_service, record, &arrivals));
    let agent = Agent::start(&instances);
    let relay_address = free_tcp();
    let relay = Relay::start(relay_address, agent.address);
    let platform = Platform {
        folder: folder.path(),
        listen: free_tcp(),
        relay: relay_address,
        discovery: agent.address,
        counter: counter::start(),
    };
    let mut limiter = platform.start_limiter("", None);
    if !limiter.wait_until_up() {
        return Verdict::Unusable;
    }
    record.note("the limiter follows all services, and is up; no client asks it");
    limiter.signal("TERM");
    let status = limiter.wait_for_exit(Duration::from_secs(5));
    record.note(format!("planned restart: the limiter has ended, {status:?}"));
    let relay = if with_trouble() {
        drop(relay);
        record.note("the relay is killed");
        None
    } else {
        Some(relay)
    };
    // `known` is the list as this limiter last had it: that of all services.
    let started_at = Instant::now();
    let limiter = platform.start_limiter("services = [\"quotes\"]\n", Some(whole_list(1, &instances)));
    if !limiter.wait_until_up() {
        return Verdict::Unusable;
    }
    let seconds = started_at.elapsed().as_secs_f64();
    record.note(format!(
        "the limiter has started with services = [\"quotes\"], and is up after {seconds:.1} s"
    ));
    let fates = ask(limiter.listen, record);
    limiter.log().lines().for_each(|line| record.note(format!("log of n0: {line}")));
    drop(relay);
    judge(record, &arrivals, &fates)
}

fn judge(record: &Record, arrivals: &Arrivals, fates: &[Fate]) -> Verdict {
    let served = fates.iter().filter(|fate| matches!(fate, Fate::Answered { status, .. } if status == "200"));
    let foreign = arrivals.all().iter().filter(|arrival| arrival.node.starts_with("payments")).count();
    record.note(format!("requests sent by clients: {}, served: {}", fates.len(), served.count()));
    record.note(format!("quote requests that came to servers of the service payments: {foreign}"));
    match foreign {
        0 if arrivals.all().is_empty() && !with_trouble() => Verdict::Unusable,
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

fn main() -> ExitCode {
    run(play)
}
