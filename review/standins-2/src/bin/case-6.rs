//! Case 6: a version of the inventory moves a node to another cell; a keyed request is sent on by the old cell.

use review_standins_2::case::{run, Case, Finding};
use review_standins_2::client::{Client, Request};
use review_standins_2::installation::{self, KeyedClass};
use review_standins_2::inventory::{self, Row};
use review_standins_2::limiter::free_address;
use review_standins_2::node::{Node, Reaction};
use std::collections::{BTreeMap, HashSet};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const KEYED: KeyedClass = KeyedClass { group: "cell", window_s: 10.0, deadline_s: 5.0 };
/// The node that moves from cell 0 to cell 1.
const MOVED: &str = "s-2";
const REQUESTS: usize = 200;
/// One request in so many loses its connection after it has run for the first time.
const CUT_EVERY: usize = 4;

/// What the nodes share: the cell of each, the keys that each cell remembers, and how often a key ran.
#[derive(Default)]
struct World {
    cells: BTreeMap<String, i64>,
    remembered: HashSet<(i64, String)>,
    runs: BTreeMap<String, Vec<String>>,
}

fn main() {
    run(case)
}

fn case(case: &Case) -> Result<Finding, String> {
    let fail = |error: std::io::Error| error.to_string();
    let record = &case.record;
    let world: Arc<Mutex<World>> = Arc::default();
    let mut rows = Vec::new();
    for (id, cell) in [("s-1", 0), (MOVED, 0), ("s-3", 1), ("s-4", 1)] {
        let (shared, log) = (world.clone(), record.clone());
        let node = Node::start(id, move |request| {
            let (Some(key), Some(name)) =
                (request.header("idempotency-key"), request.header("x-correlation-id"))
            else {
                return Reaction::Answer("404 Not Found", String::new());
            };
            let mut world = shared.lock().expect("the world");
            let cell = world.cells[id];
            if !world.remembered.insert((cell, key.to_string())) {
                log.line(format!("{id} (cell {cell}) drops the repeat of key {key}, request {name}"));
                return Reaction::Answer("200 OK", format!("done {key}"));
            }
            log.line(format!("{id} (cell {cell}) runs key {key}, request {name}"));
            let runs = world.runs.entry(key.to_string()).or_default();
            runs.push(format!("{id} of cell {cell}"));
            let number: usize = key.trim_start_matches("key-").parse().unwrap_or(0);
            if runs.len() == 1 && number.is_multiple_of(CUT_EVERY) {
                return Reaction::End(Duration::from_millis(20));
            }
            Reaction::AnswerAfter(Duration::from_millis(20), "200 OK", format!("done {key}"))
        })
        .map_err(fail)?;
        world.lock().expect("the world").cells.insert(id.to_string(), cell);
        rows.push(Row { id: id.to_string(), address: node.address, cell });
    }
    let path = case.folder.join("nodes.csv");
    inventory::replace(&path, &inventory::text(1, &rows)).map_err(fail)?;
    let operator = format!("[inventory]\ncsv = \"{}\"\n", path.display());
    let discovery = free_address().map_err(fail)?;
    let mut limiters = installation::start_two_limiters(case, KEYED, discovery, Some(&operator))?;
    thread::sleep(Duration::from_secs(1));
    if case.trouble {
        rows[1].cell = 1;
        world.lock().expect("the world").cells.insert(MOVED.to_string(), 1);
        inventory::replace(&path, &inventory::text(2, &rows)).map_err(fail)?;
        record.line(format!("version 2 of the inventory stands whole: {MOVED} is in cell 1"));
    }
    thread::sleep(Duration::from_secs(2));
    for limiter in &limiters {
        let adopted = limiter.log_text().contains("version 2 adopted");
        if case.trouble && !adopted {
            return Err(format!("limiter {} has not adopted version 2", limiter.name));
        }
    }
    let mut clients: Vec<Client> = limiters.iter().map(|limiter| Client::new(limiter.listen)).collect();
    let mut answers: BTreeMap<u16, usize> = BTreeMap::new();
    for number in 0..REQUESTS {
        let request = Request {
            class: "bind-policy",
            customer: 1 + (number % 8) as u64,
            plan: "network",
            id: format!("{number:016x}"),
            key: Some(format!("key-{number}")),
            time_left_ms: 4_000,
            spread: 2,
        };
        let status = clients[number % 2].ask(&request).map_or(0, |answer| answer.status());
        record.line(format!("client: request {} of key-{number} is answered {status}", request.id));
        *answers.entry(status).or_default() += 1;
        thread::sleep(Duration::from_millis(25));
    }
    thread::sleep(Duration::from_millis(500));
    installation::finish(case, &mut limiters)?;
    let world = world.lock().expect("the world");
    let twice: Vec<_> = world.runs.iter().filter(|(_, runs)| runs.len() > 1).collect();
    let summary = format!("{REQUESTS} requests, answers {answers:?}, {} keys ran twice", twice.len());
    record.line(&summary);
    println!("{summary}");
    Ok(match twice.first() {
        Some((key, runs)) => Finding::Broken(format!(
            "{} keys ran twice, such as {key} at {}",
            twice.len(),
            runs.join(" and ")
        )),
        None => Finding::Held,
    })
}
