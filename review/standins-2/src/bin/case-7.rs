//! Case 7: a tool stops for 0.3 s before the last character of an inventory that states its count.

use review_standins_2::case::{run, settings, Case, Finding};
use review_standins_2::client::{Client, Request};
use review_standins_2::counter;
use review_standins_2::inventory::{self, Row};
use review_standins_2::limiter::{free_address, Limiter, Setup};
use review_standins_2::node::{Node, Reaction};
use review_standins_2::record::Record;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CLASSES: &str = r#"[{"name":"price-quote","aim-s":0.75,"deadline-s":2.0,"worth":2.0,"late-share":0.0,"effect":"read_like","group":"all","window-s":10.0,"streaming":false},
{"name":"bind-policy","aim-s":1.2,"deadline-s":5.0,"worth":5.0,"late-share":0.2,"effect":"idempotency_key","group":"all","window-s":10.0,"streaming":false}]"#;
const CLIENTS: usize = 12;
/// Of each client.
const REQUESTS: usize = 25;
/// How long the tool stops: three times the `quiet_ms` of the operators' page.
const PAUSE: Duration = Duration::from_millis(300);
/// A version is used 550 ms after it stood whole; requests begin well after that.
const AFTER_WHOLE: Duration = Duration::from_millis(1_500);

type Seen = Arc<Mutex<BTreeMap<&'static str, usize>>>;

fn main() {
    run(case)
}

/// Two free ports, of which the second is the first without its last digit.
fn two_ports() -> Option<(TcpListener, TcpListener)> {
    (20_000..60_000u16).step_by(37).find_map(|port| {
        let whole = TcpListener::bind(("127.0.0.1", port)).ok()?;
        Some((whole, TcpListener::bind(("127.0.0.1", port / 10)).ok()?))
    })
}

/// Sends the requests of one client.
fn ask(client: usize, listen: SocketAddr, answers: &Mutex<BTreeMap<u16, usize>>, log: &Record) {
    let mut connection = Client::new(listen);
    for number in 0..REQUESTS {
        let keyed = number % 3 == 0;
        let request = Request {
            class: if keyed { "bind-policy" } else { "price-quote" },
            customer: 1 + client as u64,
            plan: "network",
            id: format!("{client:08x}{number:08x}"),
            key: keyed.then(|| format!("key-{client}-{number}")),
            time_left_ms: if keyed { 4_000 } else { 2_000 },
            spread: 2,
        };
        let status = connection.ask(&request).map_or(0, |answer| answer.status());
        log.line(format!("client: request {} is answered {status}", request.id));
        *answers.lock().expect("the answers").entry(status).or_default() += 1;
        thread::sleep(Duration::from_millis(25));
    }
}

fn case(case: &Case) -> Result<Finding, String> {
    let fail = |error: std::io::Error| error.to_string();
    let record = &case.record;
    let seen: Seen = Arc::default();
    let decide = |id: &'static str, status: &'static str| {
        let (seen, log) = (seen.clone(), record.clone());
        move |request: &review_standins_2::http::Message| {
            let name = request.header("x-correlation-id").unwrap_or("-");
            log.line(format!("{id} gets request {name}: {}", request.start));
            *seen.lock().expect("the counts").entry(id).or_default() += 1;
            Reaction::AnswerAfter(Duration::from_millis(50), status, format!("done {name}"))
        }
    };
    let mut rows = Vec::new();
    for id in ["s-1", "s-2", "s-3"] {
        let node = Node::start(id, decide(id, "200 OK")).map_err(fail)?;
        rows.push(Row { id: id.to_string(), address: node.address, cell: 0 });
    }
    let (whole, cut) = two_ports().ok_or("no two ports are free")?;
    let added = Node::start_on("s-4", whole, decide("s-4", "200 OK")).map_err(fail)?;
    // A server of somebody else: no version of the inventory names it.
    let foreign = Node::start_on("foreign", cut, decide("foreign", "404 Not Found")).map_err(fail)?;
    record
        .line(format!("s-4 is at {}, a server that no version names at {}", added.address, foreign.address));
    let path = case.folder.join("nodes.csv");
    inventory::replace(&path, &inventory::text_address_last(1, &rows)).map_err(fail)?;
    let counter = counter::start().map_err(fail)?;
    let mut limiters = Vec::new();
    for me in 0..2 {
        let setup = Setup {
            name: format!("n{me}"),
            listen: free_address().map_err(fail)?,
            discovery: free_address().map_err(fail)?,
            counter,
            settings: settings(me, 2, CLASSES),
            operator: Some(format!("[inventory]\ncsv = \"{}\"\n", path.display())),
        };
        limiters.push(Limiter::start(&setup, &case.folder, record)?);
    }
    thread::sleep(Duration::from_secs(1));
    rows.push(Row { id: added.id.clone(), address: added.address, cell: 0 });
    let text = inventory::text_address_last(2, &rows);
    // The last digit of the port and the end of the line.
    let (rest, pause) = if case.trouble { (2, PAUSE) } else { (0, Duration::ZERO) };
    inventory::write_in_place(&path, &text, rest, pause).map_err(fail)?;
    record.line(format!("version 2 of the inventory stands whole:\n{text}"));
    thread::sleep(AFTER_WHOLE);
    seen.lock().expect("the counts").clear();
    let answers: Arc<Mutex<BTreeMap<u16, usize>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (listen, answers, log) = (limiters[client % 2].listen, answers.clone(), record.clone());
            thread::spawn(move || ask(client, listen, &answers, &log))
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let answers = answers.lock().expect("the answers").clone();
    for limiter in &mut limiters {
        if limiter.has_ended() {
            return Err(format!("limiter {} has ended by itself", limiter.name));
        }
        record.line(format!("log of {}:\n{}", limiter.name, limiter.log_text()));
    }
    let seen = seen.lock().expect("the counts").clone();
    let summary = format!("{} requests, answers {answers:?}, at servers {seen:?}", CLIENTS * REQUESTS);
    record.line(&summary);
    println!("{summary}");
    Ok(match seen.get("foreign") {
        Some(count) => Finding::Broken(format!("{count} requests came to a server that no version names")),
        None => Finding::Held,
    })
}
