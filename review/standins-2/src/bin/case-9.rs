//! Case 9: a keyed request that has run is refused after its servers have forgotten the key; the client tries again.

use review_standins_2::case::{run, Case, Finding};
use review_standins_2::client::{Client, Request};
use review_standins_2::discovery;
use review_standins_2::installation::{self, KeyedClass};
use review_standins_2::node::{Node, Reaction};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The keyed class: the window is shorter than the deadline.
const KEYED: KeyedClass = KeyedClass { group: "all", window_s: 1.0, deadline_s: 5.0 };
/// How long the servers remember a key, as in the settings.
const KEY_WINDOW: Duration = Duration::from_secs(1);
/// A connection ends so long after the request on it has run.
const END_AFTER: Duration = Duration::from_millis(1_400);
/// Of all requests, one in so many meets such an end, once.
const CUT_EVERY: usize = 10;
const CLIENTS: usize = 8;
/// Of each client.
const REQUESTS: usize = 15;
/// What a client waits in all, over all its tries, and before a further one.
const DEADLINE: Duration = Duration::from_secs(5);
const BACKOFF: Duration = Duration::from_millis(100);

/// When a key was run last and how often it ran, at all servers.
#[derive(Default)]
struct World {
    runs: BTreeMap<String, (Instant, usize)>,
}

fn main() {
    run(case)
}

impl World {
    /// Whether a server runs this key: not if any server ran it within the window.
    fn runs(&mut self, key: &str, now: Instant) -> Option<usize> {
        match self.runs.get_mut(key) {
            Some((last, _)) if now.duration_since(*last) < KEY_WINDOW => None,
            Some((last, count)) => {
                (*last, *count) = (now, *count + 1);
                Some(*count)
            }
            None => {
                self.runs.insert(key.to_string(), (now, 1));
                Some(1)
            }
        }
    }
}

fn case(case: &Case) -> Result<Finding, String> {
    let fail = |error: std::io::Error| error.to_string();
    let record = &case.record;
    let world: Arc<Mutex<World>> = Arc::default();
    let mut entries = Vec::new();
    for id in ["s-1", "s-2", "s-3"] {
        let (world, log, trouble) = (world.clone(), record.clone(), case.trouble);
        let node = Node::start(id, move |request| {
            let Some(key) = request.header("idempotency-key") else {
                return Reaction::Answer("404 Not Found", String::new());
            };
            let name = request.header("x-correlation-id").unwrap_or("-");
            let run = world.lock().expect("the world").runs(key, Instant::now());
            log.line(match run {
                Some(count) => format!("{id} runs {key}, request {name}: run {count}"),
                None => format!("{id} drops the repeat of {key}, request {name}"),
            });
            let number: usize = key.rsplit('-').next().and_then(|text| text.parse().ok()).unwrap_or(1);
            if trouble && run == Some(1) && number.is_multiple_of(CUT_EVERY) {
                return Reaction::End(END_AFTER);
            }
            Reaction::AnswerAfter(Duration::from_millis(30), "200 OK", format!("done {key}"))
        })
        .map_err(fail)?;
        entries.push(installation::in_service(&node));
    }
    let discovery = discovery::start(&entries).map_err(fail)?;
    let mut limiters = installation::start_two_limiters(case, KEYED, discovery, None)?;
    let addresses = [limiters[0].listen, limiters[1].listen];
    let refused: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (log, refused) = (record.clone(), refused.clone());
            thread::spawn(move || {
                let mut connections = addresses.map(Client::new);
                for number in 0..REQUESTS {
                    let key = format!("key-{client}-{}", client + number);
                    let started = Instant::now();
                    for attempt in 0..3 {
                        let left = DEADLINE.saturating_sub(started.elapsed());
                        let request = Request {
                            class: "bind-policy",
                            customer: 1 + client as u64,
                            plan: "network",
                            id: format!("{client}-{number}-{attempt}"),
                            key: Some(key.clone()),
                            time_left_ms: left.as_millis() as u64,
                            spread: 2,
                        };
                        let answer = connections[(client + attempt) % 2].ask(&request);
                        let status = answer.as_ref().map_or(0, |answer| answer.status());
                        let text = answer.map_or(String::new(), |answer| answer.text());
                        let after = started.elapsed().as_secs_f64();
                        let text = text.trim_end();
                        log.line(format!(
                            "client: {} of {key} is answered {status} after {after:.2} s: {text}",
                            request.id
                        ));
                        // Only a refusal says that trying again is harmless, however long ago the first try was.
                        if !matches!(status, 429 | 503) {
                            break;
                        }
                        refused.lock().expect("the keys").push(key.clone());
                        thread::sleep(BACKOFF);
                    }
                }
            })
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    installation::finish(case, &mut limiters)?;
    let (world, refused) = (world.lock().expect("the world"), refused.lock().expect("the keys"));
    let twice: Vec<_> = world.runs.iter().filter(|(_, (_, runs))| *runs > 1).map(|(key, _)| key).collect();
    let summary = format!(
        "{} requests, {} refusals, {} keys ran twice, {} of them after a refusal",
        CLIENTS * REQUESTS,
        refused.len(),
        twice.len(),
        twice.iter().filter(|key| refused.contains(key)).count()
    );
    record.line(&summary);
    println!("{summary}");
    Ok(if twice.is_empty() { Finding::Held } else { Finding::Broken(summary) })
}
