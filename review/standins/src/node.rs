//! A quote node: executes requests and answers them. Nodes of one group drop repeats of a key for a time.

use crate::http::{accept_all, response, serve_requests, Message};
use crate::record::Record;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The work of a quote, and that of a policy, which carries a key.
const QUOTE_WORK: Duration = Duration::from_millis(95);
const POLICY_WORK: Duration = Duration::from_millis(150);

/// All nodes drop a repeat of a key for so long.
pub const KEY_MEMORY: Duration = Duration::from_secs(10);

/// A request that a node has received completely.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub node: String,
    pub id: String,
    /// Value of `Idempotency-Key`, if the request has one.
    pub key: Option<String>,
    /// Value of `X-Inventory`, if the request has one.
    pub inventory: Option<String>,
    /// Whether the node executes it; else it is a repeat of a key that the nodes remember.
    pub is_executed: bool,
}

/// What the nodes of a case have received, in order.
#[derive(Clone, Default)]
pub struct Arrivals(Arc<Mutex<Vec<Arrival>>>);

impl Arrivals {
    /// All requests so far.
    pub fn all(&self) -> Vec<Arrival> {
        self.0.lock().expect("the arrivals").clone()
    }

    /// Adds a request that has come, and returns whether it is to be executed.
    fn add(&self, mut arrival: Arrival) -> bool {
        let mut all = self.0.lock().expect("the arrivals");
        let remembered = |earlier: &&Arrival| {
            earlier.is_executed && earlier.key == arrival.key && arrival.at < earlier.at + KEY_MEMORY
        };
        arrival.is_executed = arrival.key.is_none() || !all.iter().any(|earlier| remembered(&earlier));
        let is_executed = arrival.is_executed;
        all.push(arrival);
        is_executed
    }

    /// The requests that came to one node.
    pub fn at_node(&self, name: &str) -> Vec<Arrival> {
        self.all().into_iter().filter(|arrival| arrival.node == name).collect()
    }
}

/// The body with which a node answers a request.
pub fn answer_body(node: &str, id: &str) -> String {
    format!("answer of {node} to {id}")
}

/// Starts a quote node. Probes are answered too.
pub fn start(name: &str, listener: TcpListener, record: &Record, arrivals: &Arrivals) -> SocketAddr {
    let address = listener.local_addr().expect("the address of a listener");
    let (name, record, arrivals) = (name.to_string(), record.clone(), arrivals.clone());
    accept_all(listener, move |stream| {
        serve_requests(stream, |request| answer(&name, request, &record, &arrivals));
    });
    address
}

fn answer(name: &str, request: &Message, record: &Record, arrivals: &Arrivals) -> String {
    if request.second_word() == "/metrics/load" || request.second_word() == "/alive" {
        return response("200 OK", "", "util=0.2");
    }
    let Some(id) = request.header("x-correlation-id") else { return response("404 Not Found", "", "") };
    let header = |name| request.header(name).map(str::to_string);
    let arrival = Arrival {
        at: record.now(),
        node: name.to_string(),
        id: id.to_string(),
        key: header("idempotency-key"),
        inventory: header("x-inventory"),
        is_executed: true,
    };
    let by = arrival.inventory.as_ref().map_or(String::new(), |version| format!(", X-Inventory {version}"));
    let work = if arrival.key.is_some() { POLICY_WORK } else { QUOTE_WORK };
    let is_executed = arrivals.add(arrival);
    let repeat = if is_executed { "" } else { ", a repeat that it drops" };
    record.note(format!("{name} receives {}, id {id}{by}{repeat}", request.start_line));
    if is_executed {
        thread::sleep(work);
    }
    response("200 OK", "X-Settled: 1\r\n", &answer_body(name, id))
}
