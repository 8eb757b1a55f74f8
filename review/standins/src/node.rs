//! A quote node: executes requests and answers them. Nodes of one group drop repeats of a key for a time.

use crate::http::{accept_all, response, serve_requests, Message};
use crate::record::Record;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The work of one request.
const WORK: Duration = Duration::from_millis(90);

/// A request that a node has received completely.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub node: String,
    pub id: String,
    /// Value of `X-Inventory`, if the request has one.
    pub inventory: Option<String>,
}

/// What the nodes of a case have received, in order.
#[derive(Clone, Default)]
pub struct Arrivals(Arc<Mutex<Vec<Arrival>>>);

impl Arrivals {
    /// All requests so far.
    pub fn all(&self) -> Vec<Arrival> {
        self.0.lock().expect("the arrivals").clone()
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

/// Starts a quote node. Probes are answered too and noted as such.
pub fn start(name: &str, listener: TcpListener, record: &Record, arrivals: &Arrivals) -> SocketAddr {
    start_with(name, listener, record, arrivals, quote)
}

/// Starts a server of another service, which knows no quotes: it answers 404.
pub fn start_of_other_service(
    name: &str,
    listener: TcpListener,
    record: &Record,
    arrivals: &Arrivals,
) -> SocketAddr {
    start_with(name, listener, record, arrivals, |_, _| response("404 Not Found", "", "no such path"))
}

fn start_with(
    name: &str,
    listener: TcpListener,
    record: &Record,
    arrivals: &Arrivals,
    answer_to: impl Fn(&str, &str) -> String + Send + Sync + 'static,
) -> SocketAddr {
    let address = listener.local_addr().expect("the address of a listener");
    let (name, record, arrivals) = (name.to_string(), record.clone(), arrivals.clone());
    accept_all(listener, move |stream| {
        let peer = stream.peer_addr().map(|peer| peer.port()).unwrap_or_default();
        serve_requests(stream, |request| answer(&name, peer, request, &record, &arrivals, &answer_to));
    });
    address
}

/// Executes a quote or a policy.
fn quote(name: &str, id: &str) -> String {
    thread::sleep(WORK);
    response("200 OK", "X-Settled: 1\r\n", &answer_body(name, id))
}

fn answer(
    name: &str,
    peer: u16,
    request: &Message,
    record: &Record,
    arrivals: &Arrivals,
    answer_to: &impl Fn(&str, &str) -> String,
) -> String {
    if request.second_word() == "/metrics/load" || request.second_word() == "/alive" {
        record.note(format!("{name} is probed from port {peer}"));
        return response("200 OK", "", "util=0.2");
    }
    let Some(id) = request.header("x-correlation-id") else { return response("404 Not Found", "", "") };
    let inventory = request.header("x-inventory").map(str::to_string);
    let by = inventory.as_ref().map_or(String::new(), |version| format!(", X-Inventory {version}"));
    record.note(format!("{name} receives {}, id {id}{by}", request.start_line));
    let arrival = Arrival { at: record.now(), node: name.to_string(), id: id.to_string(), inventory };
    arrivals.0.lock().expect("the arrivals").push(arrival);
    answer_to(name, id)
}
