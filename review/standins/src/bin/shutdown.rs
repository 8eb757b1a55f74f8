//! A planned restart while an authoriser has a question about a request that the limiter has taken.

use liftrouter_review::client::{self, Fate, Request};
use liftrouter_review::discovery::{Agent, Instance};
use liftrouter_review::installation::{free_tcp, run, with_trouble, Folder, Verdict};
use liftrouter_review::limiter::{Config, Limiter, SIGKILL, SIGTERM};
use liftrouter_review::node::{self, Arrivals};
use liftrouter_review::record::Record;
use liftrouter_review::{authorizer, counter};
use std::net::TcpListener;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

const NODES: usize = 9;
/// What the authoriser takes for an answer; it lies within `timeout_ms`.
const AUTHORISER_TAKES: Duration = Duration::from_millis(3_900);
/// From the requests to SIGTERM.
const BEFORE_SIGTERM: Duration = Duration::from_millis(200);
/// SIGKILL comes no sooner than the longest deadline (3 s at most) and 0.7 s after SIGTERM.
const SIGKILL_AFTER: Duration = Duration::from_millis(3_700);
const REQUESTS: u64 = 6;

fn play(record: &Record) -> Verdict {
    let folder = Folder::create();
    let arrivals = Arrivals::default();
    let instances: Vec<Instance> = (1..=NODES)
        .map(|n| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let id = format!("s-{n}");
            let address = node::start(&id, listener, record, &arrivals);
            Instance { id, address, lifecycle: "in_service", zone: "room-a" }
        })
        .collect();
    let agent = Agent::start(&instances);
    let authoriser = authorizer::start(AUTHORISER_TAKES, record);
    let operator = format!(
        "[[authoriser]]\nname = \"risk\"\naddress = \"{authoriser}\"\nclasses = {{ bind-policy = \"refuse\" }}\n\
         timeout_ms = 4500\n"
    );
    let config = Config {
        name: "n0",
        index: 0,
        limiters: 2,
        listen: free_tcp(),
        discovery: agent.address,
        counter: counter::start(),
        operator,
    };
    let mut limiter = Limiter::start(folder.path(), &config);
    if !limiter.wait_until_up() {
        record.note("the limiter is not ready");
        return Verdict::Unusable;
    }
    let clients: Vec<_> = (1..=REQUESTS)
        .map(|customer| {
            let (listen, record) = (limiter.listen, record.clone());
            thread::spawn(move || {
                let request = Request::new("bind-policy", customer, Duration::from_secs(5), 2);
                record.note(format!("client sends {}, which it gives up after 5 s", request.id));
                let fate = client::send(listen, &request);
                record.note(format!("client: {} -> {fate:?}", request.id));
                fate
            })
        })
        .collect();
    thread::sleep(BEFORE_SIGTERM);
    if with_trouble() {
        record.note("the limiter gets SIGTERM");
        limiter.signal(SIGTERM);
        match limiter.wait_for_exit(SIGKILL_AFTER) {
            Some(status) => record.note(format!("the limiter has ended, {status}")),
            None => {
                record.note("the limiter gets SIGKILL");
                limiter.signal(SIGKILL);
            }
        }
    }
    let fates: Vec<Fate> = clients.into_iter().map(|client| client.join().expect("a client")).collect();
    limiter.log().lines().for_each(|line| record.note(format!("log of n0: {line}")));
    let lost = fates.iter().filter(|fate| matches!(fate, Fate::Lost | Fate::Unanswered)).count();
    let taken = fates.iter().filter(|fate| **fate != Fate::Unreached).count();
    record.note(format!("requests taken: {taken}, of which got no answer: {lost}"));
    match (taken, lost) {
        (0, _) => Verdict::Unusable,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

fn main() -> ExitCode {
    run(play)
}
