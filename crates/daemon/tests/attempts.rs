//! Connections to servers that fail at critical moments of an attempt: which requests may be retried, as counted at
//! the servers.
mod common;

use common::*;
use serde_json::{json, Value};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Settings whose deadlines do not expire during a test.
fn long_deadlines() -> Value {
    settings_with_deadline(20.0)
}

fn settings_with_window(seconds: f64) -> Value {
    let mut settings = long_deadlines();
    settings["classes"][1]["window-s"] = json!(seconds);
    settings
}

fn start_limiter(settings: Value, servers: &[SocketAddr]) -> Limiter {
    let list =
        servers.iter().enumerate().map(|(n, s)| instance(&format!("s-{n}"), *s, "in_service")).collect();
    Limiter::start(settings, &discovery(list), counter().address)
}

/// What a [`RawServer`] does with a connection on which a request has arrived.
#[derive(Clone, Debug)]
enum Behavior {
    /// Writes this text, if any, and resets the connection.
    Reset(&'static str),
    /// Resets the connection after a pause.
    LateReset(Duration),
    /// Answers correctly.
    Serve,
}

/// A server on raw connections: each complete request gets the next behavior of a list, and all further requests get
/// the last one.
struct RawServer {
    address: SocketAddr,
    seen: Arc<Mutex<Vec<Message>>>,
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    drop(stream);
}

impl RawServer {
    fn new(behaviors: Vec<Behavior>) -> RawServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let raw = RawServer { address: listener.local_addr().expect("address"), seen: Arc::default() };
        let (seen, behaviors) = (raw.seen.clone(), Arc::new(behaviors));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (seen, behaviors) = (seen.clone(), behaviors.clone());
                thread::spawn(move || RawServer::serve(stream, &seen, &behaviors));
            }
        });
        raw
    }

    fn serve(mut stream: TcpStream, seen: &Mutex<Vec<Message>>, behaviors: &[Behavior]) {
        let mut reader = BufReader::new(stream.try_clone().expect("clone"));
        while let Some(message) = Message::read(&mut reader) {
            let n = {
                let mut seen = seen.lock().expect("lock");
                seen.push(message);
                seen.len() - 1
            };
            match &behaviors[n.min(behaviors.len() - 1)] {
                Behavior::Reset(text) => {
                    let _ = stream.write_all(text.as_bytes());
                    // An immediate reset could discard the text before the limiter reads it.
                    thread::sleep(Duration::from_millis(if text.is_empty() { 0 } else { 50 }));
                    return reset(stream);
                }
                Behavior::LateReset(pause) => {
                    thread::sleep(*pause);
                    return reset(stream);
                }
                Behavior::Serve => drop(stream.write_all(raw("200 OK", "", "served").as_bytes())),
            }
        }
    }

    fn count(&self) -> usize {
        self.seen.lock().expect("lock").len()
    }
}

/// How many times a server receives a request whose first attempt gets this behavior, and the final status.
fn attempts_and_status(settings: Value, behavior: Behavior, request: &str) -> (usize, u16) {
    let server = RawServer::new(vec![behavior, Behavior::Serve]);
    let limiter = start_limiter(settings, &[server.address]);
    let status = limiter.client().ask(request).status();
    (server.count(), status)
}

#[test]
fn a_reset_request_is_retried_only_if_its_class_is_idempotent() {
    let behaviors = [
        Behavior::Reset(""),
        Behavior::Reset("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"),
        Behavior::Reset("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nser"),
        // A reset does not complete a response without a length.
        Behavior::Reset("HTTP/1.1 200 OK\r\n\r\n"),
        Behavior::Reset("HTTP/1.1 200 OK\r\n\r\nserved"),
        Behavior::Reset("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nserved"),
        Behavior::Reset("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nserved\r\n"),
        Behavior::Reset("HTTP/1.1 2"),
        Behavior::LateReset(Duration::from_millis(400)),
    ];
    for behavior in behaviors {
        for body in ["x", &"x".repeat(60_000)] {
            // Safe to repeat; idempotent by key, within the deduplication window; not idempotent.
            assert_eq!(
                attempts_and_status(long_deadlines(), behavior.clone(), &quote("roomy", 60_000)),
                (2, 200),
                "{behavior:?}"
            );
            assert_eq!(
                attempts_and_status(long_deadlines(), behavior.clone(), &post("bind", body)),
                (2, 200),
                "{behavior:?}"
            );
            assert_eq!(
                attempts_and_status(long_deadlines(), behavior.clone(), &post("once", body)),
                (1, 502),
                "{behavior:?}"
            );
        }
    }
}

#[test]
fn a_keyed_request_is_not_retried_after_its_deduplication_window() {
    for (window, wanted) in [(10.0, 2), (0.3, 1)] {
        let late = Behavior::LateReset(Duration::from_millis(400));
        assert_eq!(
            attempts_and_status(settings_with_window(window), late.clone(), &post("bind", "x")).0,
            wanted,
            "window {window}"
        );
        assert_eq!(
            attempts_and_status(settings_with_window(window), late, &quote("roomy", 60_000)).0,
            2,
            "window {window}"
        );
    }
}

/// A retry that was permitted when it was decided may wait for its connection until the deduplication window has
/// passed and the server has forgotten the key.
#[test]
fn a_late_connection_gets_no_request_past_its_deduplication_window() {
    for (window, written) in [(0.8, false), (60.0, true)] {
        let first = RawServer::new(vec![Behavior::LateReset(Duration::from_millis(400))]);
        let (listener, late, filled) = full_backlog();
        let mut settings = settings_with_window(window);
        settings["limits"]["connect-timeout-s"] = json!(10.0);
        let discovery = discovery(vec![instance("s-0", first.address, "in_service")]);
        let limiter = Limiter::with_known_list(&update(9, true, &[]), settings, discovery.address);
        wait_until("the limiter is up", || limiter.up());
        let mut client = limiter.client();
        client.send(&post("bind", "x"));
        wait_until("the request is sent", || first.count() == 1);
        // Adds a second server: once the first has reset the connection, the limiter retries the request there.
        discovery.push(&chunk(&update(11, false, &[instance("s-1", late, "in_service")])));
        // Waits past the reset and the short window. Then connections succeed when the kernel retransmits the SYN.
        thread::sleep(Duration::from_millis(950));
        drop(filled);
        listener.set_nonblocking(true).expect("set");
        let (mut received, end) = (0, Instant::now() + Duration::from_secs(4));
        while Instant::now() < end && received == 0 {
            let Ok((accepted, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(5));
                continue;
            };
            let mut stream: TcpStream = accepted.into();
            stream.set_read_timeout(Some(Duration::from_millis(100))).expect("set");
            received += usize::from(matches!(stream.read(&mut [0]), Ok(1..)));
        }
        assert_eq!(received > 0, written, "{received} received with a window of {window} s");
    }
}

#[test]
fn a_reset_of_an_idle_connection_at_its_reuse_costs_no_attempt() {
    let server = Fake::new(|_| ok("served"));
    let limiter = start_limiter(long_deadlines(), &[server.address]);
    let mut client = limiter.client();
    for round in 0..10 {
        assert_eq!(client.ask(&post("once", "x")).status(), 200);
        thread::sleep(Duration::from_millis(30));
        limiter.pause();
        // The limiter finds the end of the connection, or half a status line, at the same moment as the next request.
        if round % 2 == 0 {
            server.disconnect_all();
        } else {
            server.push("HTTP/1.1 2");
        }
        let request = post("once", "x");
        client.send(&request);
        limiter.resume();
        assert_eq!(client.answer().expect("an answer").text(), "served", "round {round}");
        assert_eq!(server.count_with_id(correlation_id(&request)), 1, "round {round}");
    }
}

/// The update that a server drains and the response to a request in flight there arrive at the same moment: the
/// request has been executed and must not be sent again.
#[test]
fn an_answer_that_crosses_a_drain_update_is_served() {
    let gate = Arc::new(Mutex::new(Gate::default()));
    let rule = {
        let gate = gate.clone();
        move |m: &Message| {
            let held = gate.lock().expect("lock").clone();
            held.wait();
            ok(m.header("x-correlation-id").unwrap_or_default())
        }
    };
    let (one, other) = (Fake::new(rule.clone()), Fake::new(rule));
    let servers = [&one, &other];
    let at = |n: usize, state: &str| instance(&format!("s-{n}"), servers[n].address, state);
    let discovery = discovery(vec![at(0, "in_service"), at(1, "in_service")]);
    let limiter = Limiter::start(long_deadlines(), &discovery, counter().address);
    for round in 0..12u64 {
        let held = Gate::default();
        *gate.lock().expect("lock") = held.clone();
        let (mut client, request) = (limiter.client(), post("once", "x"));
        let copies =
            || one.count_with_id(correlation_id(&request)) + other.count_with_id(correlation_id(&request));
        client.send(&request);
        wait_until("the request is sent", || copies() == 1);
        let busy = usize::from(one.count_with_id(correlation_id(&request)) == 0);
        limiter.pause();
        let state = if round % 2 == 0 { "terminating" } else { "terminated" };
        discovery.push(&chunk(&update(20 + 2 * round, false, &[at(busy, state)])));
        held.open();
        // The response has arrived after the update when the limiter resumes.
        thread::sleep(Duration::from_millis(50));
        limiter.resume();
        let answer = client.answer().expect("an answer");
        assert_eq!(
            (answer.status(), answer.text().as_str()),
            (200, correlation_id(&request)),
            "round {round}"
        );
        assert_eq!(copies(), 1, "round {round}: retried although it had been executed");
        discovery.push(&chunk(&update(21 + 2 * round, false, &[at(busy, "in_service")])));
    }
}

/// The connection is established and the server writes a response before the limiter has sent the request.
#[test]
fn bytes_that_come_before_the_request_are_no_answer() {
    let (listener, address, filled) = full_backlog();
    let mut settings = long_deadlines();
    settings["limits"]["connect-timeout-s"] = json!(10.0);
    // Without probes, the only connection is that of the request.
    settings["limits"]["may-probe"] = json!(false);
    let limiter = start_limiter(settings, &[address]);
    let mut client = limiter.client();
    client.send(&post("once", "x"));
    wait_until("the limiter connects", || pending_connects(address) == 1);
    limiter.pause();
    let filled_ports: Vec<_> = filled.iter().map(|s| s.local_addr().expect("address").port()).collect();
    drop(filled);
    let listener: TcpListener = listener.into();
    // Accepts the connections that filled the queue, then the limiter's, when the kernel retransmits its SYN.
    let mut early = loop {
        let (stream, from) = accept(&listener);
        if !filled_ports.contains(&from.port()) {
            break stream;
        }
    };
    early.write_all(raw("200 OK", "", "somebody else's").as_bytes()).expect("write");
    let server = Fake::on_listener(listener, |_| ok("its own"));
    limiter.resume();
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.text().as_str()), (200, "its own"));
    assert_eq!(server.count(), 1);
    early.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    assert!(!matches!(early.read(&mut [0]), Ok(1..)), "the early connection got the request too");
}
