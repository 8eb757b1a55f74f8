//! Servers that move to another zone or cell: a request with an idempotency key is sent again only to servers that
//! know the key, whatever tells the limiter of the move.
mod common;
#[path = "moved_servers/installation.rs"]
mod installation;

use common::*;
use installation::{at, Installation, Source, SOURCES};
use liftrouter_catalog::{Instance, Lifecycle};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Connections that are still being made last longer than any step of a test.
const CONNECT_TIMEOUT_S: f64 = 60.0;

/// Settings in which servers of the same `scope` know each other's keys, with long deadlines and windows.
fn scoped_settings(scope: &str) -> Value {
    let mut settings = settings_with_deadline(200.0);
    settings["classes"][1]["group"] = json!(scope);
    settings["classes"][1]["window-s"] = json!(200.0);
    settings["limits"]["connect-timeout-s"] = json!(CONNECT_TIMEOUT_S);
    // The zone that servers move to: otherwise they would get few requests there.
    settings["zone"] = json!("room-b");
    settings
}

fn is_bind(message: &Message) -> bool {
    message.start_line.starts_with("POST /bind/")
}

/// A server that answers with its name.
fn serving(name: &'static str) -> Fake {
    Fake::new(move |_| ok(name))
}

/// A server that ends the connection of each keyed request once it has run.
fn breaking(name: &'static str) -> Fake {
    Fake::new(move |message| if is_bind(message) { Reply::RawThenClose(String::new()) } else { ok(name) })
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

/// Guards against keyed requests that run twice: after a server has moved to another zone or cell, its requests were
/// sent again to a server of the former one, which does not know their keys.
#[test]
fn a_keyed_request_is_retried_by_the_present_location_whatever_announces_the_move() {
    let cases = SOURCES.into_iter().flat_map(|source| [(source, Moved::Zone), (source, Moved::Cell)]);
    in_parallel(cases, |(source, attribute)| {
        let (moved, former, present) = (breaking("moved"), serving("former"), serving("present"));
        let servers = [
            before("s-moved", moved.address),
            before("s-former", former.address),
            attribute.after("s-present", present.address),
        ];
        let settings = scoped_settings(attribute.scope());
        let mut installation = Installation::start(source, settings, &servers);
        installation.publish_and_wait(&[attribute.after("s-moved", moved.address)]);
        let mut checked = 0;
        wait_until("the server that moved gets keyed requests", || {
            installation.beat();
            let text = post("bind", "b");
            let id = correlation_id(&text);
            let answer = installation.limiter.client().ask(&text);
            if moved.count_with_id(id) > 0 {
                assert_eq!(former.count_with_id(id), 0, "{source:?} {attribute:?}");
                assert_eq!(
                    (answer.status(), answer.text()),
                    (200, "present".into()),
                    "{source:?} {attribute:?}"
                );
                checked += 1;
            }
            checked > 0
        });
    });
}

/// Guards against servers without a cell that are taken for those of cell 0, or for one another's neighbours.
#[test]
fn a_keyed_request_is_not_sent_again_from_a_server_without_a_cell() {
    in_parallel(SOURCES, |source| {
        let (bare, other, zero) = (breaking("bare"), serving("other"), serving("zero"));
        let without_cell =
            |id: &str, server: &Fake| Instance { cell: None, ..at(id, server.address, "room-a", 0) };
        let servers = [
            without_cell("s-bare", &bare),
            without_cell("s-other", &other),
            at("s-zero", zero.address, "room-a", 0),
        ];
        let installation = Installation::start(source, scoped_settings("cell"), &servers);
        let mut has_run = false;
        wait_until("the server without a cell gets a keyed request", || {
            installation.beat();
            let text = post("bind", "b");
            let id = correlation_id(&text);
            let answer = installation.limiter.client().ask(&text);
            if bare.count_with_id(id) > 0 {
                assert_eq!(answer.status(), 502, "{source:?}");
                assert_eq!((other.count_with_id(id), zero.count_with_id(id)), (0, 0), "{source:?}");
                has_run = true;
            }
            has_run
        });
    });
}

/// A server that holds keyed requests until the gate opens and then ends their connections: they have run.
fn gated_breaking(name: &'static str) -> (Gate, Fake) {
    let gate = Gate::default();
    let opened = gate.clone();
    let server = Fake::new(move |message| {
        if !is_bind(message) {
            return ok(name);
        }
        opened.wait();
        Reply::RawThenClose(String::new())
    });
    (gate, server)
}

fn terminating(instance: &Instance) -> Instance {
    Instance { lifecycle: Lifecycle::Terminating, ..instance.clone() }
}

/// A keyed request that a server holds.
struct HeldRequest {
    id: String,
    client: Client,
    /// Earlier requests that wait for a connection.
    _stuck: Vec<Client>,
}

/// Sends keyed requests until one reaches this server, which holds it. All others are answered, or stuck as `is_stuck`
/// tells, which is called with the number of those that are.
fn send_until_held(
    installation: &Installation,
    holding: &Fake,
    is_stuck: impl Fn(usize) -> bool,
) -> HeldRequest {
    let mut stuck = Vec::new();
    loop {
        let mut client = installation.limiter.client();
        let text = post("bind", "b").replace("X-Time-Left: 9000m", "X-Time-Left: 200000m");
        client.send(&text);
        let id = correlation_id(&text).to_string();
        client.set_read_timeout(Duration::from_millis(2));
        wait_until("the request is held, answered or stuck", || {
            holding.count_with_id(&id) > 0 || client.has_input_or_eof() || is_stuck(stuck.len())
        });
        client.set_read_timeout(WAIT_TIMEOUT);
        if holding.count_with_id(&id) > 0 {
            return HeldRequest { id, client, _stuck: stuck };
        }
        if is_stuck(stuck.len()) {
            stuck.push(client);
        }
    }
}

/// The updates of the list while a request is held, by the server that holds it before and after its move.
type Updates = fn(&Instance, &Instance) -> Vec<Vec<Instance>>;

/// Guards against a retry in either location of a server that moved while a keyed request was out there: no server is
/// known to have the key, and the request may have run, so that it must fail and not be refused.
#[test]
fn a_keyed_request_is_not_sent_again_if_its_server_moved_meanwhile() {
    let moves: [Updates; 5] = [
        |_, after| vec![vec![after.clone()]],
        // Back before the attempt ends.
        |before, after| vec![vec![after.clone()], vec![before.clone()]],
        // Restarted.
        |_, after| vec![vec![Instance { started_at_ms: Some(1_000.0), ..after.clone() }]],
        |_, after| vec![vec![terminating(after)]],
        // Another server takes over the address.
        |before, after| {
            vec![vec![before.terminated(), Instance { instance_id: "s-new".into(), ..after.clone() }]]
        },
    ];
    in_parallel(moves.into_iter().enumerate(), |(case, updates)| {
        let (gate, moved) = gated_breaking("moved");
        let (former, present) = (serving("former"), serving("present"));
        let listed = before("s-moved", moved.address);
        let after = Moved::Cell.after("s-moved", moved.address);
        let servers = [
            listed.clone(),
            before("s-former", former.address),
            Moved::Cell.after("s-present", present.address),
        ];
        let mut installation = Installation::start(Source::Pushed, scoped_settings("cell"), &servers);
        let HeldRequest { id, mut client, .. } = send_until_held(&installation, &moved, |_| false);
        for update in updates(&listed, &after) {
            installation.publish_and_wait(&update);
        }
        gate.open();
        assert_eq!(client.answer().expect("an answer").status(), 502, "case {case}");
        assert_eq!((former.count_with_id(&id), present.count_with_id(&id)), (0, 0), "case {case}");
        assert_eq!(moved.count_with_id(&id), 1, "case {case}");
    });
}

/// Guards against an attempt that is written at a server that has moved while the connection was being made.
#[test]
fn a_retry_that_is_still_connecting_is_not_written_after_its_server_moved() {
    let gate = Gate::default();
    let (opened, has_run) = (gate.clone(), AtomicBool::new(false));
    let first = Fake::new(move |message| {
        if is_bind(message) && !has_run.swap(true, Ordering::SeqCst) {
            opened.wait();
            return Reply::RawThenClose(String::new());
        }
        ok("first")
    });
    let present = serving("present");
    let (listener, address, filled) = full_backlog();
    let servers = [
        before("s-first", first.address),
        before("s-late", address),
        Moved::Cell.after("s-present", present.address),
    ];
    let mut settings = scoped_settings("cell");
    // So that no attempt is cancelled as slow while the test waits.
    settings["classes"][1]["aim-s"] = json!(40.0);
    // Without probes, the only connections are those of requests.
    settings["limits"]["may-probe"] = json!(false);
    let mut installation = Installation::start(Source::Pushed, settings, &servers);
    let is_stuck = |stuck| pending_connects(address) > stuck;
    let HeldRequest { id, mut client, _stuck } = send_until_held(&installation, &first, is_stuck);
    let before = pending_connects(address);
    gate.open();
    wait_until("the connection of the retry is being made", || pending_connects(address) > before);
    installation.publish(&[Moved::Cell.after("s-late", address)]);
    wait_until("that connection is given up", || pending_connects(address) == before);
    // The server where it has run knows its key.
    assert_eq!(client.answer().expect("an answer").text(), "first");
    drop(filled);
    let late = Fake::on_listener(listener.into(), |_| ok("late"));
    wait_until("the server that was late is reached", || {
        installation.limiter.client().ask(&quote("roomy", 300));
        late.count() > 0
    });
    assert_eq!((late.count_with_id(&id), present.count_with_id(&id)), (0, 0));
    assert_eq!(first.count_with_id(&id), 2);
}
