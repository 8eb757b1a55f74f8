//! The real binary and connections to servers that fail in a narrow moment: what may be sent again, counted at the
//! servers.
mod common;

use common::*;
use serde_json::{json, Value};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

fn patient() -> Value {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("classes") {
        class["deadline-s"] = json!(20.0);
    }
    settings
}

fn with_window(seconds: f64) -> Value {
    let mut settings = patient();
    settings["classes"][1]["window-s"] = json!(seconds);
    settings
}

fn over(settings: Value, servers: &[SocketAddr]) -> Limiter {
    let list =
        servers.iter().enumerate().map(|(n, s)| instance(&format!("s-{n}"), *s, "in_service")).collect();
    Limiter::start(settings, &discovery(list), counter().address)
}

/// What becomes of a connection to a server after a request has come on it.
#[derive(Clone, Debug)]
enum Fate {
    /// Written, then reset; with nothing to write, reset alone.
    Reset(&'static str),
    /// The same, but after a pause.
    LateReset(Duration),
    /// Answered as it should be.
    Served,
}

/// A server of raw connections: whole requests meet one fate after the other, the last for ever.
struct Raw {
    address: SocketAddr,
    seen: Arc<Mutex<Vec<Message>>>,
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    drop(stream);
}

impl Raw {
    fn new(fates: Vec<Fate>) -> Raw {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let raw = Raw { address: listener.local_addr().expect("address"), seen: Arc::default() };
        let (seen, fates) = (raw.seen.clone(), Arc::new(fates));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (seen, fates) = (seen.clone(), fates.clone());
                thread::spawn(move || Raw::serve(stream, &seen, &fates));
            }
        });
        raw
    }

    fn serve(mut stream: TcpStream, seen: &Mutex<Vec<Message>>, fates: &[Fate]) {
        let mut reader = BufReader::new(stream.try_clone().expect("clone"));
        while let Some(message) = Message::read(&mut reader) {
            let n = {
                let mut seen = seen.lock().expect("lock");
                seen.push(message);
                seen.len() - 1
            };
            match &fates[n.min(fates.len() - 1)] {
                Fate::Reset(text) => {
                    let _ = stream.write_all(text.as_bytes());
                    // Reset at once, what was written could be lost with it.
                    thread::sleep(Duration::from_millis(if text.is_empty() { 0 } else { 50 }));
                    return reset(stream);
                }
                Fate::LateReset(pause) => {
                    thread::sleep(*pause);
                    return reset(stream);
                }
                Fate::Served => drop(stream.write_all(raw("200 OK", "", "served").as_bytes())),
            }
        }
    }

    fn count(&self) -> usize {
        self.seen.lock().expect("lock").len()
    }
}

/// Sends that are seen of a request whose first attempt meets a fate, and its final status.
fn sends(settings: Value, fate: Fate, request: &str) -> (usize, u16) {
    let server = Raw::new(vec![fate, Fate::Served]);
    let limiter = over(settings, &[server.address]);
    let status = limiter.client().ask(request).status();
    (server.count(), status)
}

#[test]
fn a_reset_request_is_retried_only_if_its_class_is_idempotent() {
    let fates = [
        Fate::Reset(""),
        Fate::Reset("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"),
        Fate::Reset("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nser"),
        // A reset is no end of an answer without a length.
        Fate::Reset("HTTP/1.1 200 OK\r\n\r\n"),
        Fate::Reset("HTTP/1.1 200 OK\r\n\r\nserved"),
        Fate::Reset("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nserved"),
        Fate::Reset("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nserved\r\n"),
        Fate::Reset("HTTP/1.1 2"),
        Fate::LateReset(Duration::from_millis(400)),
    ];
    for fate in fates {
        for body in ["x", &"x".repeat(60_000)] {
            // Safe to repeat, keyed and within its window, unsafe.
            assert_eq!(sends(patient(), fate.clone(), &quote("roomy", 60_000)), (2, 200), "{fate:?}");
            assert_eq!(sends(patient(), fate.clone(), &post("bind", body)), (2, 200), "{fate:?}");
            assert_eq!(sends(patient(), fate.clone(), &post("once", body)), (1, 502), "{fate:?}");
        }
    }
}

#[test]
fn a_keyed_request_is_not_retried_after_its_deduplication_window() {
    for (window, wanted) in [(10.0, 2), (0.3, 1)] {
        let late = Fate::LateReset(Duration::from_millis(400));
        assert_eq!(sends(with_window(window), late.clone(), &post("bind", "x")).0, wanted, "window {window}");
        assert_eq!(sends(with_window(window), late, &quote("roomy", 60_000)).0, 2, "window {window}");
    }
}

/// Allowed when it was decided, a further attempt may wait for its connection until its key is forgotten.
#[test]
fn a_late_connection_gets_no_request_past_its_deduplication_window() {
    for (window, written) in [(0.8, false), (60.0, true)] {
        let first = Raw::new(vec![Fate::LateReset(Duration::from_millis(400))]);
        let (listener, late, filled) = full_backlog();
        let mut settings = with_window(window);
        settings["limits"]["connect-timeout-s"] = json!(10.0);
        let discovery = discovery(vec![instance("s-0", first.address, "in_service")]);
        let limiter = Limiter::with_known_list(&update(9, true, &[]), settings, discovery.address);
        wait_until("the limiter is up", || limiter.up());
        let mut client = limiter.client();
        client.send(&post("bind", "x"));
        wait_until("the request is out", || first.count() == 1);
        // What is reset there is sent elsewhere, now that there is an elsewhere.
        discovery.push(&chunk(&update(11, false, &[instance("s-1", late, "in_service")])));
        // Past the reset and the short window; then connections come up, when the kernel tries again.
        thread::sleep(Duration::from_millis(950));
        drop(filled);
        listener.set_nonblocking(true).expect("set");
        let (mut came, end) = (0, Instant::now() + Duration::from_secs(4));
        while Instant::now() < end && came == 0 {
            let Ok((accepted, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(5));
                continue;
            };
            let mut stream: TcpStream = accepted.into();
            stream.set_read_timeout(Some(Duration::from_millis(100))).expect("set");
            came += usize::from(matches!(stream.read(&mut [0]), Ok(1..)));
        }
        assert_eq!(came > 0, written, "{came} came with a window of {window} s");
    }
}

#[test]
fn a_reset_of_an_idle_connection_at_its_reuse_costs_no_attempt() {
    let server = Fake::new(|_| ok("served"));
    let limiter = over(patient(), &[server.address]);
    let mut client = limiter.client();
    for round in 0..10 {
        assert_eq!(client.ask(&post("once", "x")).status(), 200);
        thread::sleep(Duration::from_millis(30));
        limiter.pause();
        // Its end, or half a line, and the next request, all in one moment.
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

/// The news that a server drains and the answer to what runs there come in one moment: it has run.
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
    let limiter = Limiter::start(patient(), &discovery, counter().address);
    for round in 0..12u64 {
        let held = Gate::default();
        *gate.lock().expect("lock") = held.clone();
        let (mut client, request) = (limiter.client(), post("once", "x"));
        let copies =
            || one.count_with_id(correlation_id(&request)) + other.count_with_id(correlation_id(&request));
        client.send(&request);
        wait_until("the request is out", || copies() == 1);
        let busy = usize::from(one.count_with_id(correlation_id(&request)) == 0);
        limiter.pause();
        let state = if round % 2 == 0 { "terminating" } else { "terminated" };
        discovery.push(&chunk(&update(20 + 2 * round, false, &[at(busy, state)])));
        held.open();
        // The answer is behind the news when the limiter goes on.
        thread::sleep(Duration::from_millis(50));
        limiter.resume();
        let answer = client.answer().expect("an answer");
        assert_eq!(
            (answer.status(), answer.text().as_str()),
            (200, correlation_id(&request)),
            "round {round}"
        );
        assert_eq!(copies(), 1, "round {round}: sent again though it had run");
        discovery.push(&chunk(&update(21 + 2 * round, false, &[at(busy, "in_service")])));
    }
}

/// The connection comes up and the server speaks, all before the limiter looks again.
#[test]
fn bytes_that_come_before_the_request_are_no_answer() {
    let (listener, address, filled) = full_backlog();
    let mut settings = patient();
    settings["limits"]["connect-timeout-s"] = json!(10.0);
    // The only connection that is opened is that of the request.
    settings["limits"]["may-probe"] = json!(false);
    let limiter = over(settings, &[address]);
    let mut client = limiter.client();
    client.send(&post("once", "x"));
    wait_until("it connects", || pending_connects(address) == 1);
    limiter.pause();
    let filled_ports: Vec<_> = filled.iter().map(|s| s.local_addr().expect("address").port()).collect();
    drop(filled);
    let listener: TcpListener = listener.into();
    // Those that filled the queue first; then the one of the limiter, when the kernel tries again.
    let mut early = loop {
        let (stream, from) = accept(&listener);
        if !filled_ports.contains(&from.port()) {
            break stream;
        }
    };
    early.write_all(raw("200 OK", "", "somebody else's").as_bytes()).expect("write");
    let server = Fake::at(listener, |_| ok("its own"));
    limiter.resume();
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.text().as_str()), (200, "its own"));
    assert_eq!(server.count(), 1);
    early.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    assert!(!matches!(early.read(&mut [0]), Ok(1..)), "it got the request too");
}
