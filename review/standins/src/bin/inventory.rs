//! A configuration tool stops in the middle of the last line of an inventory file that states its `count`.

use liftrouter_review::client::{self, Fate, Request};
use liftrouter_review::installation::{free_tcp, run, with_trouble, Folder, Verdict};
use liftrouter_review::limiter::{Config, Limiter};
use liftrouter_review::node::{self, Arrivals};
use liftrouter_review::record::Record;
use liftrouter_review::{counter, discovery};
use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const NODES: usize = 9;
const LIMITERS: usize = 2;
/// The node that version 2 adds.
const ADDED: &str = "s-10";
/// A quote node of another installation, which no version names.
const OUTSIDER: &str = "outsider";
/// How long the tool stops.
const STOP: Duration = Duration::from_secs(1);
const CLIENTS: u64 = 24;
const PAUSE_BETWEEN_REQUESTS: Duration = Duration::from_millis(60);

/// Two listeners whose port numbers differ in that one has a further digit.
fn ports_with_common_beginning() -> (TcpListener, TcpListener) {
    let bind = |port: u16| TcpListener::bind(("127.0.0.1", port)).ok();
    let pair = |short: u16| Some((bind(short)?, (0..10).find_map(|digit| bind(short * 10 + digit))?));
    (2_000..6_500).step_by(7).find_map(pair).expect("two free ports")
}

/// The text of a version. The address is the last column.
fn version_text(version: u64, nodes: &[(String, SocketAddr)]) -> String {
    let rows: String =
        nodes.iter().map(|(id, address)| format!("{id},room-a,std-3,0,in_service,1,,{address}\n")).collect();
    let count = nodes.len();
    format!(
        "# version: {version}\n# count: {count}\nid,zone,kind,cell,state,weight,started_ms,address\n{rows}"
    )
}

fn write_by_rename(path: &Path, text: &str) {
    let beside = path.with_extension("new");
    fs::write(&beside, text).expect("the file beside the inventory");
    fs::rename(&beside, path).expect("the inventory");
}

/// Writes the file in place. With the disruption the tool stops before the last digit of the last port.
fn write_in_place(path: &Path, text: &str, record: &Record) {
    let mut file = File::create(path).expect("the inventory");
    let (first, rest) = text.split_at(if with_trouble() { text.len() - 2 } else { text.len() });
    file.write_all(first.as_bytes()).expect("the inventory");
    record.note(format!("the tool has written {} of {} bytes of version 2", first.len(), text.len()));
    if !rest.is_empty() {
        thread::sleep(STOP);
        file.write_all(rest.as_bytes()).expect("the inventory");
        record.note("the tool has written the rest of version 2");
    }
}

/// Sends requests until `done`, and collects those that were served with a body that no listed node made.
fn ask(limiter: SocketAddr, customer: u64, done: &AtomicBool, record: &Record, foreign: &Mutex<Vec<String>>) {
    for n in 0.. {
        if done.load(Ordering::Relaxed) {
            return;
        }
        let (class, seconds) = if n % 3 == 2 { ("bind-policy", 5) } else { ("price-quote", 2) };
        let request = Request::new(class, customer, Duration::from_secs(seconds), LIMITERS);
        let fate = client::send(limiter, &request);
        record.note(format!("client: {class} {} -> {fate:?}", request.id));
        if let Fate::Answered { status, body } = &fate {
            let by_listed =
                (1..=NODES + 1).any(|n| *body == node::answer_body(&format!("s-{n}"), &request.id));
            if status == "200" && !by_listed {
                foreign.lock().expect("the list").push(request.id.clone());
            }
        }
        thread::sleep(PAUSE_BETWEEN_REQUESTS);
    }
}

fn play(record: &Record) -> Verdict {
    let folder = Folder::create();
    let arrivals = Arrivals::default();
    let mut nodes: Vec<(String, SocketAddr)> = Vec::new();
    for n in 1..=NODES {
        let name = format!("s-{n}");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = node::start(&name, listener, record, &arrivals);
        nodes.push((name, address));
    }
    let (short, long) = ports_with_common_beginning();
    let outsider = node::start(OUTSIDER, short, record, &arrivals);
    let added = node::start(ADDED, long, record, &arrivals);
    record.note(format!("{ADDED} listens on {added}, the node of another installation on {outsider}"));

    let inventory = folder.path().join("nodes.csv");
    write_by_rename(&inventory, &version_text(1, &nodes));
    record.note("version 1 is written, with s-1 to s-9");
    let (counter, agent) = (counter::start(), discovery::Agent::start(&[]));
    let limiters: Vec<Limiter> = (0..LIMITERS)
        .map(|index| {
            let operator = format!("[inventory]\ncsv = \"{}\"\n", inventory.display());
            let config = Config {
                name: &format!("n{index}"),
                index,
                limiters: LIMITERS,
                listen: free_tcp(),
                discovery: agent.address,
                counter,
                operator,
            };
            Limiter::start(folder.path(), &config)
        })
        .collect();
    if !limiters.iter().all(Limiter::wait_until_up) {
        record.note("a limiter is not ready");
        return Verdict::Unusable;
    }
    let (done, foreign) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|customer| {
            let limiter = limiters[customer as usize % LIMITERS].listen;
            let (done, record, foreign) = (done.clone(), record.clone(), foreign.clone());
            thread::spawn(move || ask(limiter, customer + 1, &done, &record, &foreign))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    nodes.push((ADDED.to_string(), added));
    write_in_place(&inventory, &version_text(2, &nodes), record);
    thread::sleep(Duration::from_secs(6));
    done.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    for limiter in &limiters {
        limiter.log().lines().for_each(|line| record.note(format!("log of {}: {line}", limiter.name)));
    }
    let foreign = foreign.lock().expect("the list").clone();
    judge(record, &arrivals, &foreign)
}

fn judge(record: &Record, arrivals: &Arrivals, foreign: &[String]) -> Verdict {
    let outside = arrivals.at_node(OUTSIDER);
    record.note(format!("requests executed by the node of another installation: {}", outside.len()));
    record.note(format!("requests executed by {ADDED}: {}", arrivals.at_node(ADDED).len()));
    record.note(format!("clients served with a body that no node of theirs made: {}", foreign.len()));
    if arrivals.all().is_empty() {
        return Verdict::Unusable;
    }
    if outside.is_empty() && foreign.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

fn main() -> ExitCode {
    run(play)
}
