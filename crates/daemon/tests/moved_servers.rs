//! Servers that move to another zone or cell: a request with an idempotency key is sent again only to servers that
//! know the key, whatever tells the limiter of the move.
mod common;
#[path = "moved_servers/installation.rs"]
mod installation;

use common::*;
use installation::{at, served, serving, Installation, Source, SOURCES};
use liftrouter_catalog::{Instance, Lifecycle};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Connections that are still being made last longer than any step of a test.
const CONNECT_TIMEOUT_S: f64 = 60.0;

/// Settings in which servers of the same `scope` know each other's keys, with long deadlines and windows.
fn scoped_settings(scope: &str) -> Value {
    let mut settings = settings_with_deadline(200.0);
    settings["classes"][1]["group"] = json!(scope);
    settings["classes"][1]["window-s"] = json!(200.0);
    // So that no attempt is cancelled as slow while a test waits.
    settings["classes"][1]["aim-s"] = json!(40.0);
    settings["limits"]["connect-timeout-s"] = json!(CONNECT_TIMEOUT_S);
    // The zone that servers move to: otherwise they would get few requests there.
    settings["zone"] = json!("room-b");
    settings
}

fn is_bind(message: &Message) -> bool {
    message.start_line.starts_with("POST /bind/")
}

/// A server that holds the first keyed request until the gate opens, and then ends its connection: it has run.
struct HoldingServer {
    server: Fake,
    gate: Gate,
    /// The id of that request.
    held: Arc<Mutex<Option<String>>>,
}

impl HoldingServer {
    fn start(name: &'static str) -> HoldingServer {
        let (gate, held): (Gate, Arc<Mutex<Option<String>>>) = Default::default();
        let (opened, first) = (gate.clone(), held.clone());
        let server = Fake::new(move |message| {
            if !is_bind(message) || !set_if_none(&first, message) {
                return served(name);
            }
            opened.wait();
            Reply::RawThenClose(String::new())
        });
        HoldingServer { server, gate, held }
    }

    fn address(&self) -> SocketAddr {
        self.server.address
    }

    fn is_holding(&self, id: &str) -> bool {
        self.held.lock().expect("lock").as_deref() == Some(id)
    }
}

/// Stores the id of a request if it is the first one. Returns whether it is.
fn set_if_none(first: &Mutex<Option<String>>, message: &Message) -> bool {
    let mut first = first.lock().expect("lock");
    let is_first = first.is_none();
    if is_first {
        *first = message.header("x-correlation-id").map(str::to_string);
    }
    is_first
}

/// A keyed request of a client that waits longer than any step of a test.
fn keyed_request() -> String {
    post("bind", "b").replace("X-Time-Left: 9000m", "X-Time-Left: 200000m")
}

/// Which attribute of a server changes.
#[derive(Clone, Copy, Debug)]
enum Moved {
    Zone,
    Cell,
}

/// A server in the first location.
fn before(id: &str, address: SocketAddr) -> Instance {
    at(id, address, "room-a", 1)
}

impl Moved {
    /// The deduplication scope that depends on it.
    fn scope(self) -> &'static str {
        match self {
            Moved::Zone => "zone",
            Moved::Cell => "cell",
        }
    }

    /// A server in the second location.
    fn after(self, id: &str, address: SocketAddr) -> Instance {
        match self {
            Moved::Zone => at(id, address, "room-b", 1),
            Moved::Cell => at(id, address, "room-a", 2),
        }
    }
}

/// Sends keyed requests until this server holds one, and returns its id and connection.
fn hold_request(installation: &Installation, holding: &HoldingServer) -> (String, Client) {
    loop {
        let mut requests = installation.burst(keyed_request);
        for (id, client) in &mut requests {
            client.set_read_timeout(Duration::from_millis(2));
            wait_until("the request is held or answered", || {
                holding.is_holding(id) || client.has_input_or_eof()
            });
            client.set_read_timeout(WAIT_TIMEOUT);
        }
        if let Some(held) = requests.into_iter().find(|(id, _)| holding.is_holding(id)) {
            return held;
        }
    }
}

/// Guards against keyed requests that run twice: after a server has moved to another zone or cell, its requests were
/// sent again to a server of the former one, which does not know their keys.
#[test]
fn a_keyed_request_is_retried_by_the_present_location_whatever_announces_the_move() {
    let cases = SOURCES.into_iter().flat_map(|source| [(source, Moved::Zone), (source, Moved::Cell)]);
    in_parallel(cases, |(source, attribute)| {
        let moved = HoldingServer::start("moved");
        let (former, present) = (serving("former"), serving("present"));
        let servers = [
            before("s-moved", moved.address()),
            before("s-former", former.address),
            attribute.after("s-present", present.address),
        ];
        let settings = scoped_settings(attribute.scope());
        let mut installation = Installation::start(source, settings, &servers);
        installation.publish_and_wait(&[attribute.after("s-moved", moved.address())]);
        let (id, mut client) = hold_request(&installation, &moved);
        moved.gate.open();
        let answer = client.answer().expect("an answer");
        assert_eq!(former.count_with_id(&id), 0, "{source:?} {attribute:?}");
        assert_eq!((answer.status(), answer.text()), (200, "present".into()), "{source:?} {attribute:?}");
    });
}

/// Guards against servers without a cell that are taken for those of cell 0, or for one another's neighbours.
#[test]
fn a_keyed_request_is_not_sent_again_from_a_server_without_a_cell() {
    in_parallel(SOURCES, |source| {
        let bare = HoldingServer::start("bare");
        let (other, zero) = (serving("other"), serving("zero"));
        let without_cell =
            |id: &str, server: &Fake| Instance { cell: None, ..at(id, server.address, "room-a", 0) };
        let servers = [
            without_cell("s-bare", &bare.server),
            without_cell("s-other", &other),
            at("s-zero", zero.address, "room-a", 0),
        ];
        let installation = Installation::start(source, scoped_settings("cell"), &servers);
        let (id, mut client) = hold_request(&installation, &bare);
        bare.gate.open();
        assert_eq!(client.answer().expect("an answer").status(), 502, "{source:?}");
        assert_eq!((other.count_with_id(&id), zero.count_with_id(&id)), (0, 0), "{source:?}");
    });
}

fn terminating(instance: &Instance) -> Instance {
    Instance { lifecycle: Lifecycle::Terminating, ..instance.clone() }
}

/// The updates of the list while a request is held, by the server that holds it before and after its move.
type Updates = fn(&Instance, &Instance) -> Vec<Vec<Instance>>;

/// Guards against a retry in either location of a server that moved while a keyed request was out there: no server is
/// known to have the key, and the request may have run, so that it must fail and not be refused.
#[test]
fn a_keyed_request_is_not_sent_again_if_its_server_moved_meanwhile() {
    let moves: [Updates; 6] = [
        |_, after| vec![vec![after.clone()]],
        // Back before the attempt ends.
        |before, after| vec![vec![after.clone()], vec![before.clone()]],
        // Restarted.
        |_, after| vec![vec![Instance { started_at_ms: Some(1_000.0), ..after.clone() }]],
        |_, after| vec![vec![terminating(after)]],
        // At another address, where nothing listens.
        |_, after| vec![vec![Instance { host_port: ([127, 0, 0, 1], 9).into(), ..after.clone() }]],
        // Another server takes over the address.
        |before, after| {
            vec![vec![before.terminated(), Instance { instance_id: "s-new".into(), ..after.clone() }]]
        },
    ];
    let cases = moves.into_iter().enumerate();
    let cases =
        cases.flat_map(|(number, updates)| [Moved::Zone, Moved::Cell].map(|moved| (number, moved, updates)));
    in_parallel(cases, |(number, attribute, updates)| {
        let case = format!("case {number}, {attribute:?}");
        let moved = HoldingServer::start("moved");
        let (former, present) = (serving("former"), serving("present"));
        let listed = before("s-moved", moved.address());
        let after = attribute.after("s-moved", moved.address());
        let servers = [
            listed.clone(),
            before("s-former", former.address),
            attribute.after("s-present", present.address),
        ];
        let mut settings = scoped_settings(attribute.scope());
        // So that the first attempts go to the server that moves.
        settings["zone"] = json!("room-a");
        let mut installation = Installation::start(Source::Pushed, settings, &servers);
        let (id, mut client) = hold_request(&installation, &moved);
        for update in updates(&listed, &after) {
            installation.publish_and_wait(&update);
        }
        moved.gate.open();
        assert_eq!(client.answer().expect("an answer").status(), 502, "{case}");
        assert_eq!((former.count_with_id(&id), present.count_with_id(&id)), (0, 0), "{case}");
        assert_eq!(moved.server.count_with_id(&id), 1, "{case}");
    });
}

/// Guards against an attempt that is written at a server that has moved while the connection was being made.
#[test]
fn a_retry_that_is_still_connecting_is_not_written_after_its_server_moved() {
    let (first, present) = (HoldingServer::start("first"), serving("present"));
    let (listener, address, filled) = full_backlog();
    let neighbour = Moved::Cell.after("s-present", present.address);
    let servers = [before("s-first", first.address()), before("s-late", address), terminating(&neighbour)];
    let mut settings = scoped_settings("cell");
    // Without probes, the only connections are those of requests.
    settings["limits"]["may-probe"] = json!(false);
    let mut installation = Installation::start(Source::Pushed, settings, &servers);
    let mut stuck = Vec::new();
    let (id, mut client) = loop {
        let (text, mut client) = (keyed_request(), installation.limiter.client());
        client.send(&text);
        let id = correlation_id(&text).to_string();
        wait_until("the request is held, or a connection for it is being made", || {
            first.is_holding(&id) || pending_connects(address) > stuck.len()
        });
        if first.is_holding(&id) {
            break (id, client);
        }
        stuck.push(client);
    };
    installation.publish(&[neighbour]);
    first.gate.open();
    wait_until("the connection of the retry is being made", || pending_connects(address) > stuck.len());
    installation.publish(&[Moved::Cell.after("s-late", address)]);
    wait_until("that connection is given up", || pending_connects(address) == stuck.len());
    // The server where it has run knows its key.
    assert_eq!(client.answer().expect("an answer").text(), "first");
    drop(filled);
    let late = Fake::on_listener(listener.into(), |_| served("late"));
    wait_until("the server that was late is reached", || {
        installation.ask_all_servers();
        late.count() > 0
    });
    assert_eq!((late.count_with_id(&id), present.count_with_id(&id)), (0, 0));
    assert_eq!(first.server.count_with_id(&id), 2);
}
