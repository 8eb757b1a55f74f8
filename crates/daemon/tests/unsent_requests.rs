//! Requests that the limiter has given up while they were still in the send buffer of its machine: a server that can be
//! reached again later must not receive them then.
mod common;

use common::*;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Receive buffer of an [`UnreachableServer`], in bytes.
const RECEIVE_BUFFER: usize = 8 * 1024;
/// Size of a request's body, in bytes. Most of it does not fit the server's receive buffer, and all of it fits the
/// limiter's send buffer.
const BODY_BYTES: usize = 48 * 1024;
/// The deadline of a request that the test waits for, in seconds.
const SHORT_DEADLINE_S: f64 = 2.0;
/// The deadline of a request that ends in another way, in seconds.
const LONG_DEADLINE_S: f64 = 60.0;
/// The time after which servers close idle connections, in seconds. The limiter closes them earlier.
const IDLE_TIMEOUT_S: f64 = 0.8;
/// Rounds within which a busy machine writes a retry in time.
const ROUNDS: usize = 20;

/// A server that reads nothing, as if it was cut off, until the test lets it.
struct UnreachableServer {
    listener: TcpListener,
    address: SocketAddr,
    accepted: Vec<TcpStream>,
}

impl UnreachableServer {
    fn new() -> UnreachableServer {
        let (socket, address) = unused_address();
        socket.set_recv_buffer_size(RECEIVE_BUFFER).expect("set");
        socket.listen(16).expect("listen");
        UnreachableServer { listener: socket.into(), address, accepted: Vec::new() }
    }

    /// Accepts the connections that are queued.
    fn accept_queued(&mut self) {
        self.listener.set_nonblocking(true).expect("set");
        while let Ok((stream, _)) = self.listener.accept() {
            stream.set_nonblocking(true).expect("set");
            self.accepted.push(stream);
        }
    }

    /// Whether the first bytes of a request have arrived, and hence all of it is written: the limiter writes it in one go.
    fn has_bytes(&mut self) -> bool {
        self.accept_queued();
        self.accepted.iter().any(|stream| matches!(stream.peek(&mut [0]), Ok(1..)))
    }

    /// Writes a response on every connection, without reading the request.
    fn write_early(&mut self, response: &str) {
        for stream in &mut self.accepted {
            stream.write_all(response.as_bytes()).expect("write");
        }
    }

    /// Reads all connections to their end, and returns the number of requests that came whole.
    fn whole_requests(mut self) -> usize {
        self.accept_queued();
        let count = |stream: TcpStream| {
            stream.set_nonblocking(false).expect("set");
            stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
            let mut reader = BufReader::new(stream);
            std::iter::from_fn(|| Message::read(&mut reader)).count()
        };
        self.accepted.into_iter().map(count).sum()
    }
}

/// Settings with this deadline, under which a request has one attempt, only requests open connections to servers, and
/// idle connections end soon.
fn one_attempt(deadline_s: f64) -> Value {
    let mut settings = settings_with_deadline(deadline_s);
    settings["limits"]["max-attempts"] = json!(1);
    settings["limits"]["may-probe"] = json!(false);
    settings["limits"]["idle-close-s"] = json!(IDLE_TIMEOUT_S);
    settings
}

/// A limiter that has written a request to a server which does not read it.
struct Unsent {
    server: UnreachableServer,
    discovery: Fake,
    limiter: Limiter,
    client: Client,
}

impl Unsent {
    fn with_deadline(deadline_s: f64) -> Unsent {
        let mut server = UnreachableServer::new();
        let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
        let limiter = Limiter::start(one_attempt(deadline_s), &discovery, counter().address);
        let mut client = limiter.client();
        let request = post("bind", &"x".repeat(BODY_BYTES));
        let time_left = format!("X-Time-Left: {}m\r\n", deadline_s * 1000.0);
        client.send(&request.replace("X-Time-Left: 9000m\r\n", &time_left));
        wait_until("the request is written", || server.has_bytes());
        Unsent { server, discovery, limiter, client }
    }

    /// The server can be reached again once the limiter has closed its connection to it.
    fn assert_never_received(self, end: &str) {
        let is_closed = || !connections_to(self.server.address).iter().any(|connection| connection.is_held);
        wait_until("the limiter has closed the connection", is_closed);
        assert_eq!(self.server.whole_requests(), 0, "{end}: the request came after it was given up");
    }
}

/// Guards against a policy that is executed twice: what is left of an attempt that timed out must not be sent later.
#[test]
fn an_attempt_that_timed_out_is_not_sent_later() {
    let mut unsent = Unsent::with_deadline(SHORT_DEADLINE_S);
    assert_eq!(unsent.client.answer().expect("an answer").status(), 502);
    unsent.assert_never_received("time-out");
}

/// Guards against the same where the client left first, and the attempt ends without anybody waiting for it.
#[test]
fn an_attempt_whose_client_left_is_not_sent_later() {
    let mut unsent = Unsent::with_deadline(SHORT_DEADLINE_S);
    let other = unsent.limiter.client();
    std::mem::replace(&mut unsent.client, other).close();
    unsent.assert_never_received("client gone");
}

/// Guards against a request that reaches a server after the limiter was told that the server is gone.
#[test]
fn an_attempt_at_a_removed_server_is_not_sent_later() {
    let unsent = Unsent::with_deadline(LONG_DEADLINE_S);
    unsent.discovery.push(&chunk(&update(
        20,
        false,
        &[instance("s-0", unsent.server.address, "terminated")],
    )));
    unsent.assert_never_received("server removed");
}

/// Guards against a request whose server answered before it had read the whole of it, and which is sent on afterwards: as
/// an error, which leaves the connection in the pool until that closes it; and cut short.
#[test]
fn a_request_that_was_answered_early_is_not_sent_later() {
    let early = [
        ("an error", raw("500 Internal Server Error", "", "")),
        ("an error with a close", raw("500 Internal Server Error", "Connection: close\r\n", "")),
        ("turned away", raw("503 Service Unavailable", "X-Unprocessed: 1\r\n", "")),
        ("cut short", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nser".to_string()),
        ("malformed", "HTTP/1.1 2000\r\n\r\n".to_string()),
    ];
    in_parallel(early, |(end, response)| {
        let mut unsent = Unsent::with_deadline(LONG_DEADLINE_S);
        unsent.server.write_early(&response);
        unsent.assert_never_received(end);
    });
}

/// Guards against what a limiter leaves behind when its process ends: planned, or killed.
#[test]
fn a_limiter_that_ends_leaves_nothing_to_be_sent_later() {
    in_parallel(["-TERM", "-KILL"], |signal| {
        let mut unsent = Unsent::with_deadline(LONG_DEADLINE_S);
        unsent.limiter.signal(signal);
        unsent.limiter.wait();
        unsent.assert_never_received(signal);
    });
}

/// Makes the first attempt of a keyed request fail so that it may have run, and the retry wait in the limiter's send buffer
/// until the deduplication window has passed. Returns how often the second server then receives the request whole; `None`
/// if the machine was too slow to write the retry within the window.
fn late_retries(window_s: f64) -> Option<usize> {
    let mut settings = one_attempt(LONG_DEADLINE_S);
    settings["limits"]["max-attempts"] = json!(2);
    settings["classes"][1]["window-s"] = json!(window_s);
    let (gate, first) = gated_server(|_| Reply::RawThenClose(String::new()));
    let mut second = UnreachableServer::new();
    let discovery = discovery(vec![instance("s-0", first.address, "in_service")]);
    let limiter = Limiter::start(settings, &discovery, counter().address);
    let mut client = limiter.client();
    client.send(&post("bind", &"x".repeat(BODY_BYTES)));
    wait_until("the request is sent", || first.count() == 1);
    let sent_at = Instant::now();
    discovery.push(&chunk(&update(21, false, &[instance("s-1", second.address, "in_service")])));
    assert!(limiter.up(), "the limiter has read the list");
    gate.open();
    client.set_read_timeout(Duration::from_millis(1));
    wait_until("the retry is written", || second.has_bytes() || client.has_input_or_eof());
    if client.has_input_or_eof() {
        return None;
    }
    thread::sleep(Duration::from_secs_f64(window_s).saturating_sub(sent_at.elapsed()));
    Some(second.whole_requests())
}

/// Guards against a keyed retry that is executed after servers have forgotten its key: what has not reached the second
/// server within the window must never reach it. The end of the short window is too near for the kernel's timeout.
#[test]
fn a_retry_that_has_not_arrived_within_its_deduplication_window_is_not_sent_later() {
    in_parallel([0.3, 1.5], |window_s| {
        let late = (0..ROUNDS).find_map(|_| late_retries(window_s)).expect("a retry within the window");
        assert_eq!(late, 0, "{window_s} s: the retry came after its window");
    });
}

/// The log tells how many connections were closed with a request on them unanswered, and how old the request was.
#[test]
fn a_connection_that_is_closed_with_a_request_unanswered_is_logged() {
    let mut unsent = Unsent::with_deadline(SHORT_DEADLINE_S);
    unsent.client.answer().expect("an answer");
    let address = unsent.server.address;
    let begin = format!("servers: {address}: closed with a request unanswered, written ");
    wait_until("the close is logged", || unsent.limiter.errors().contains(&begin));
    assert!(unsent.limiter.errors().contains(" s ago (number 1)\n"));
}
