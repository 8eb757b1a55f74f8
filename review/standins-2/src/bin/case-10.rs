//! Case 10: a new configuration moves discovery to an agent whose list comes late; a server that drains gets new work.

use review_standins_2::case::{run, settings, Case, Finding};
use review_standins_2::client::{Client, Request};
use review_standins_2::counter;
use review_standins_2::discovery::{Discovery, Entry};
use review_standins_2::limiter::{free_address, Limiter, Setup, SIGHUP};
use review_standins_2::node::{Node, Reaction};
use std::collections::BTreeMap;
use std::fs;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CLASSES: &str = r#"[{"name":"price-quote","aim-s":0.75,"deadline-s":2.0,"worth":2.0,"late-share":0.0,"effect":"read_like","group":"all","window-s":10.0,"streaming":false},
{"name":"bind-policy","aim-s":1.2,"deadline-s":5.0,"worth":5.0,"late-share":0.2,"effect":"idempotency_key","group":"all","window-s":10.0,"streaming":false}]"#;
const DRAINING: &str = "s-1";
const CLIENTS: usize = 12;
/// The new configuration comes so long after the drain was told.
const MOVE_AFTER: Duration = Duration::from_millis(1_500);
/// The new agent is told of the drain so long after the new configuration.
const LATE: Duration = Duration::from_secs(3);
/// Nothing new goes to a draining server after 250 ms, 50 ms longer on sockets; and some more for the stand-ins.
const GRACE: Duration = Duration::from_millis(400);

fn main() {
    run(case)
}

fn case(case: &Case) -> Result<Finding, String> {
    let fail = |error: std::io::Error| error.to_string();
    let record = &case.record;
    // When each request came to a server.
    let arrivals: Arc<Mutex<Vec<(&'static str, Instant)>>> = Arc::default();
    let mut entries = Vec::new();
    for id in [DRAINING, "s-2", "s-3"] {
        let (arrivals, log) = (arrivals.clone(), record.clone());
        let node = Node::start(id, move |request| {
            let name = request.header("x-correlation-id").unwrap_or("-");
            log.line(format!("{id} runs request {name}"));
            arrivals.lock().expect("the arrivals").push((id, Instant::now()));
            Reaction::AnswerAfter(Duration::from_millis(50), "200 OK", format!("done {name}"))
        })
        .map_err(fail)?;
        let id = id.to_string();
        entries.push(Entry { id, address: node.address, zone: "room-a", cell: 0, lifecycle: "in_service" });
    }
    let old = Discovery::start(5, entries.clone()).map_err(fail)?;
    let new = Discovery::start(5, entries).map_err(fail)?;
    let counter = counter::start().map_err(fail)?;
    let mut limiters = Vec::new();
    let mut setups = Vec::new();
    for me in 0..2 {
        let setup = Setup {
            name: format!("n{me}"),
            listen: free_address().map_err(fail)?,
            discovery: old.address,
            counter,
            settings: settings(me, 2, CLASSES),
            operator: None,
        };
        limiters.push(Limiter::start(&setup, &case.folder, record)?);
        setups.push(setup);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<BTreeMap<u16, usize>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (listen, log) = (limiters[client % 2].listen, record.clone());
            let (stop, answers) = (stop.clone(), answers.clone());
            thread::spawn(move || {
                let mut connection = Client::new(listen);
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
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
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let generation = old.set_lifecycle(DRAINING, "terminating");
    let told = Instant::now();
    record.line(format!("the agent tells that {DRAINING} drains, generation {generation}"));
    if !case.trouble {
        new.set_lifecycle(DRAINING, "terminating");
    }
    thread::sleep(MOVE_AFTER);
    for (setup, limiter) in setups.iter_mut().zip(&limiters) {
        setup.discovery = new.address;
        let beside = limiter.config.with_extension("new");
        fs::write(&beside, setup.config()).map_err(fail)?;
        fs::rename(&beside, &limiter.config).map_err(fail)?;
        limiter.signal(SIGHUP);
    }
    record.line("a new configuration moves discovery to another agent: SIGHUP");
    thread::sleep(LATE);
    if case.trouble {
        let generation = new.set_lifecycle(DRAINING, "terminating");
        record.line(format!("the new agent has the drain too, generation {generation}"));
    }
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    for limiter in &mut limiters {
        if limiter.has_ended() {
            return Err(format!("limiter {} has ended by itself", limiter.name));
        }
        record.line(format!("log of {}:\n{}", limiter.name, limiter.log_text()));
    }
    let arrivals = arrivals.lock().expect("the arrivals");
    let before = arrivals.iter().filter(|(id, at)| *id == DRAINING && *at < told).count();
    let after: Vec<Duration> = arrivals
        .iter()
        .filter(|(id, at)| *id == DRAINING && *at > told + GRACE)
        .map(|(_, at)| at.duration_since(told))
        .collect();
    let answers = answers.lock().expect("the answers");
    let summary = format!(
        "answers {answers:?}; {DRAINING} got {before} requests before it drained, and {} over {} ms after that was \
         told, the last after {:.1} s",
        after.len(),
        GRACE.as_millis(),
        after.last().map_or(0.0, Duration::as_secs_f64)
    );
    record.line(&summary);
    println!("{summary}");
    Ok(if after.is_empty() { Finding::Held } else { Finding::Broken(summary) })
}
