//! Case 7: a limiter is held up for under 0.15 s while an authoriser denies requests in time; they are sent on.

use review_standins_2::authorizer::{self, Ruling};
use review_standins_2::case::{run, Case, Finding};
use review_standins_2::client::{Client, Request};
use review_standins_2::discovery;
use review_standins_2::installation::{self, USUAL_KEYED_CLASS};
use review_standins_2::limiter::{SIGCONT, SIGSTOP};
use review_standins_2::node::{Node, Reaction};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An authoriser has 100 ms for an answer, by default; it needs 60 ms, and a ruling counts if it was written within 80 ms.
const ANSWER_AFTER: Duration = Duration::from_millis(60);
const IN_TIME: Duration = Duration::from_millis(80);
/// A limiter may be held up for up to 0.15 s.
const HELD_UP: Duration = Duration::from_millis(120);
const MOST_HELD_UP: Duration = Duration::from_millis(150);
const HOLD_UPS: usize = 16;
/// Between two of them: the circuit breaker is closed again by then.
const BETWEEN: Duration = Duration::from_millis(1_500);
const CLIENTS: usize = 10;
/// Ids of requests that the authoriser denies begin so.
const DENIED: &str = "denied-";

/// When requests came to a server, and the rulings of the authoriser, both by the request's id.
#[derive(Default)]
struct World {
    arrivals: BTreeMap<String, Instant>,
    rulings: BTreeMap<String, Ruling>,
}

fn main() {
    run(case)
}

/// The correlation id in a question: the text behind the marks of this script's ids.
fn id_of(question: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(question);
    let start = text.find(DENIED).or_else(|| text.find("plain-"))?;
    let id: String = text[start..].chars().take_while(|c| c.is_ascii_alphanumeric() || *c == '-').collect();
    Some(id)
}

fn case(case: &Case) -> Result<Finding, String> {
    let fail = |error: std::io::Error| error.to_string();
    let record = &case.record;
    let world: Arc<Mutex<World>> = Arc::default();
    let mut entries = Vec::new();
    for id in ["s-1", "s-2", "s-3"] {
        let (world, log) = (world.clone(), record.clone());
        let node = Node::start(id, move |request| {
            let name = request.header("x-correlation-id").unwrap_or("-").to_string();
            log.line(format!("{id} runs request {name}"));
            world.lock().expect("the world").arrivals.entry(name.clone()).or_insert_with(Instant::now);
            Reaction::AnswerAfter(Duration::from_millis(20), "200 OK", format!("done {name}"))
        })
        .map_err(fail)?;
        entries.push(installation::in_service(&node));
    }
    let (rulings, log) = (world.clone(), record.clone());
    let note = move |question: &[u8], ruling: Ruling| {
        let Some(id) = id_of(question) else { return };
        let after = ruling.answered_at.duration_since(ruling.asked_at).as_millis();
        let word = if ruling.denied { "denied" } else { "allowed" };
        log.line(format!("the authoriser has {word} request {id}, {after} ms after it was asked"));
        rulings.lock().expect("the world").rulings.insert(id, ruling);
    };
    let denies = |question: &[u8]| id_of(question).is_some_and(|id| id.starts_with(DENIED));
    let authorizer = authorizer::start(ANSWER_AFTER, denies, note).map_err(fail)?;
    let discovery = discovery::start(&entries).map_err(fail)?;
    let operator = format!(
        "[[authoriser]]\nname = \"risk\"\naddress = \"{authorizer}\"\n\
         classes = {{ bind-policy = \"refuse\", price-quote = \"pass\" }}\n"
    );
    let mut limiters = installation::start_two_limiters(case, USUAL_KEYED_CLASS, discovery, Some(&operator))?;
    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<BTreeMap<String, u16>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (listen, log) = (limiters[client % 2].listen, record.clone());
            let (stop, answers) = (stop.clone(), answers.clone());
            thread::spawn(move || {
                let mut connection = Client::new(listen);
                // Clients differ in their pace: after a hold-up they would else ask in step.
                let pace = Duration::from_millis(20 + 9 * (client / 2) as u64);
                for number in 0_usize.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let kind = if (number + client / 2).is_multiple_of(2) { DENIED } else { "plain-" };
                    let request = Request {
                        class: "price-quote",
                        customer: 1 + client as u64,
                        plan: "network",
                        id: format!("{kind}{client}-{number}"),
                        key: None,
                        time_left_ms: 2_000,
                        spread: 2,
                    };
                    let status = connection.ask(&request).map_or(0, |answer| answer.status());
                    log.line(format!("client: request {} is answered {status}", request.id));
                    answers.lock().expect("the answers").insert(request.id, status);
                    thread::sleep(pace);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    for number in 0..HOLD_UPS {
        let limiter = &limiters[number % 2];
        if case.trouble {
            let stopped = Instant::now();
            limiter.signal(SIGSTOP);
            thread::sleep(HELD_UP);
            limiter.signal(SIGCONT);
            let held_up = stopped.elapsed();
            record.line(format!("{} was held up for {} ms", limiter.name, held_up.as_millis()));
            if held_up > MOST_HELD_UP {
                return Err(format!("a hold-up took {} ms: the machine is too busy", held_up.as_millis()));
            }
        }
        thread::sleep(BETWEEN);
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    installation::finish(case, &mut limiters)?;
    let (world, answers) = (world.lock().expect("the world"), answers.lock().expect("the answers"));
    let denied = world.rulings.values().filter(|ruling| ruling.denied).count();
    let mut sent_on = Vec::new();
    for (id, ruling) in &world.rulings {
        let in_time = ruling.answered_at.duration_since(ruling.asked_at) <= IN_TIME;
        if ruling.denied && in_time && world.arrivals.get(id).is_some_and(|at| *at > ruling.answered_at) {
            sent_on.push(id);
        }
    }
    let served = sent_on.iter().filter(|id| answers.get(**id) == Some(&200)).count();
    let summary = format!(
        "{} requests, {denied} denied by the authoriser; {} of these were run by a server after the denial had been \
         written within {} ms, {served} of them served with 200",
        answers.len(),
        sent_on.len(),
        IN_TIME.as_millis()
    );
    record.line(&summary);
    println!("{summary}");
    Ok(match sent_on.first() {
        Some(id) => Finding::Broken(format!("{} denied requests were sent on, such as {id}", sent_on.len())),
        None => Finding::Held,
    })
}
