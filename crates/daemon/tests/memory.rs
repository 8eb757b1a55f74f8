//! The memory limit: whatever hundreds of clients leave open at once, the process stays below the limit of its
//! configuration, and serves others.
//!
//! The kernel's socket buffers are not part of it. A build for tests takes some megabytes more than one for service.
mod common;

use common::grpc::{
    self, call_headers, header_block, raw_frame, wire, GrpcClient, RawConnection, RawFrame, CHECK, DATA,
    END_HEADERS, END_STREAM, HEADERS, REFLECTION, SETTINGS, WATCH,
};
use common::*;
use serde_json::json;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The least memory that a deployment gives a limiter, in MiB.
const LEAST_MEMORY_MB: usize = 32;
const LEAST_MEMORY_BYTES: usize = LEAST_MEMORY_MB * 1024 * 1024;
/// The most descriptors that a deployment gives a limiter with that memory.
const DESCRIPTORS: u32 = 1_024;
/// Connections that clients open at once: as many as these descriptors allow.
const CONNECTIONS: usize = 480;
/// Connections and streams that the gRPC listener accepts by default.
const GRPC_CONNECTIONS: usize = 32;
const GRPC_STREAMS: u32 = 100;
/// The window of an HTTP/2 connection until it is updated, and the largest frame (RFC 9113, 6.9.2 and 6.5.2).
const FIRST_WINDOW: usize = 65_535;
const MAX_FRAME: usize = 16_384;
/// A SETTINGS entry: nothing may be sent on a stream until its window is updated (`SETTINGS_INITIAL_WINDOW_SIZE` of 0).
const NO_INITIAL_WINDOW: [u8; 6] = [0, 4, 0, 0, 0, 0];
/// Begins an uncompressed gRPC message of 65,535 bytes.
const MESSAGE_PREFIX: [u8; 5] = [0, 0, 0, 0xff, 0xff];
/// The customer of the requests that the test kit makes.
const CUSTOMER: &str = "00000000b4d65521";
/// The largest body, and the largest head.
const MAX_BODY: usize = 64 * 1024;
const MAX_HEAD: usize = 16 * 1024;
/// The most headers that a head may have.
const MAX_HEADERS: usize = 100;
/// How long the connections stay as they are, once all is written: below the time after which they are closed.
const HOLD_TIME: Duration = Duration::from_millis(800);

/// Starts a limiter with the least memory, and this server under many ids, so that it gets many requests at once.
fn start(server: &Fake, operator: &str) -> Limiter {
    start_with_memory(LEAST_MEMORY_MB as f64, server, operator)
}

fn start_with_memory(memory_mb: f64, server: &Fake, operator: &str) -> Limiter {
    let list = (0..64).map(|n| instance(&format!("s-{n}"), server.address, "in_service")).collect();
    let operator = temp_file(operator);
    let mut command = command();
    command.arg("--operator").arg(&operator);
    let limits = json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": DESCRIPTORS});
    let settings = settings_with_deadline(60.0);
    let limiter = Limiter::with_limits(limits, command, settings, &discovery(list), counter().address);
    let _ = std::fs::remove_file(operator);
    limiter
}

/// A client that sends what it has as far as it is read, and leaves its connection open.
struct SlowClient {
    stream: TcpStream,
    unsent: Vec<u8>,
}

impl SlowClient {
    /// Reads and discards what has arrived.
    fn read_all(&mut self) {
        let mut discarded = [0; 8 * 1024];
        while matches!(self.stream.read(&mut discarded), Ok(1..)) {}
    }
}

/// Opens connections and writes to all of them at once what each sends, for as long as it is read.
fn open_connections(address: SocketAddr, count: usize, bytes: impl Fn() -> Vec<u8>) -> Vec<SlowClient> {
    let connect = |_| {
        let stream = TcpStream::connect(address).expect("connect");
        stream.set_nonblocking(true).expect("set");
        SlowClient { stream, unsent: bytes() }
    };
    let mut clients: Vec<SlowClient> = (0..count).map(connect).collect();
    write_for(&mut clients, HOLD_TIME);
    clients
}

/// Writes what the clients have to send, as far as it is read during this time.
fn write_for(clients: &mut [SlowClient], time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        for client in &mut *clients {
            if let Ok(written) = client.stream.write(&client.unsent) {
                client.unsent.drain(..written);
            }
        }
        thread::sleep(Duration::from_millis(1));
    }
}

/// Checks that the limiter has stayed within its memory, and serves a client beside those that are still connected.
fn assert_within_memory(what: &str, limiter: &Limiter) {
    // The module may reject some requests while its server recovers from the others.
    wait_until("another client is served", || limiter.client().ask(&quote("roomy", 60_000)).status() == 200);
    let peak = limiter.peak_memory();
    eprintln!("{what}: at most {} KB", peak / 1024);
    assert!(peak < LEAST_MEMORY_BYTES, "{what}: {} KB of {} KB", peak / 1024, LEAST_MEMORY_BYTES / 1024);
}

/// What each of many HTTP clients sends, by name.
fn http_floods() -> Vec<(&'static str, Vec<u8>)> {
    let chunked = post("bind", "").replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n");
    let incomplete = |mut head: Vec<u8>| {
        head.truncate(head.len() - "\r\n".len());
        head
    };
    vec![
        ("nothing", Vec::new()),
        ("a body in tiny chunks", (chunked.clone() + &"1\r\nx\r\n".repeat(MAX_BODY - 1)).into_bytes()),
        ("tiny chunks with extensions", (chunked + &"1;a=b\r\nx\r\n".repeat(MAX_BODY - 1)).into_bytes()),
        ("half of a large body", post("bind", &"x".repeat(MAX_BODY)).into_bytes()[..MAX_BODY - 1].to_vec()),
        ("a large head and a part of its body", head_with_body(MAX_HEAD - 200)),
        ("many short headers and a part of the body", head_with_body(0)),
        ("a large head without its end", incomplete(head(MAX_HEAD - 200))),
        ("many short headers without their end", incomplete(head(0))),
        ("a head without an end", head(MAX_HEAD - 200)[..MAX_HEAD - 500].to_vec()),
    ]
}

/// A head of at least this size, with as many headers as are accepted, whose body has ten bytes.
fn head(size: usize) -> Vec<u8> {
    let mut head = post("bind", "").replace("Content-Length: 0\r\n", "Content-Length: 10\r\n");
    head.truncate(head.len() - "\r\n".len());
    let more = MAX_HEADERS + 1 - head.lines().count();
    let value = "v".repeat((size.saturating_sub(head.len()) / more).saturating_sub("x10: \r\n".len()).max(1));
    for n in 0..more {
        let _ = write!(head, "x{n}: {value}\r\n");
    }
    (head + "\r\n").into_bytes()
}

fn head_with_body(size: usize) -> Vec<u8> {
    [head(size), b"12345".to_vec()].concat()
}

/// Guards against a process that hundreds of clients take over its memory limit with requests that they do not
/// complete.
#[test]
fn incomplete_http_requests_stay_within_the_memory_limit() {
    for (what, bytes) in http_floods() {
        let server = Fake::new(|_| ok("served"));
        let limiter = start(&server, "");
        let _clients = open_connections(limiter.address, CONNECTIONS, || bytes.clone());
        assert_within_memory(what, &limiter);
    }
}

/// Guards against bodies, responses and bytes behind a request that hundreds of open requests hold together.
#[test]
fn open_http_requests_stay_within_the_memory_limit() {
    let large_body = "x".repeat(MAX_BODY);
    let (gate, server) = gated_server(|_| ok("served"));
    let limiter = start(&server, "");
    let bytes = || [post("bind", &large_body), "y".repeat(MAX_BODY)].concat().into_bytes();
    let clients = open_connections(limiter.address, CONNECTIONS, bytes);
    gate.open();
    drop(clients);
    assert_within_memory("large bodies, and as much behind them", &limiter);
}

/// Guards against clients that request large responses and do not read them.
#[test]
fn unread_responses_stay_within_the_memory_limit() {
    let large = "a".repeat(MAX_BODY);
    let server = Fake::new(move |m| ok(if m.start_line.contains("quote") { &large } else { "" }));
    let limiter = start(&server, "");
    let requests = || (0..200).map(|_| quote("roomy", 60_000)).collect::<String>().into_bytes();
    let clients = open_connections(limiter.address, CONNECTIONS, requests);
    thread::sleep(HOLD_TIME * 2);
    assert_within_memory("unread responses", &limiter);
    drop(clients);
}

/// Guards against large responses that many servers send at once, and against what stays of them on connections that
/// are kept.
#[test]
fn large_responses_stay_within_the_memory_limit() {
    let large = "r".repeat(MAX_BODY);
    let server = Fake::new(move |m| ok(if m.start_line.contains("quote") { &large } else { "" }));
    let limiter = start(&server, "");
    let request = || quote("roomy", 60_000).into_bytes();
    let mut clients = open_connections(limiter.address, CONNECTIONS, request);
    for _ in 0..4 {
        for client in &mut clients {
            client.read_all();
            client.unsent.extend(request());
        }
        write_for(&mut clients, HOLD_TIME);
    }
    drop(clients);
    assert_within_memory("large responses", &limiter);
}

/// Guards against connections that stay for ever because their client does not read its responses.
#[test]
fn a_client_that_reads_no_response_is_disconnected() {
    let large = "a".repeat(MAX_BODY);
    let server = Fake::new(move |m| ok(if m.start_line.contains("quote") { &large } else { "" }));
    let limiter = start(&server, "");
    let mut client = TcpStream::connect(limiter.address).expect("connect");
    let is_held = |client: &TcpStream| {
        let held = connections_to(client.local_addr().expect("an address"));
        held.iter().any(|connection| connection.is_held)
    };
    // Until the kernel's buffers are full of responses: then the next request is not read, or its response not written.
    for served in 0.. {
        let _ = client.write_all(quote("roomy", 60_000).as_bytes());
        let end = Instant::now() + HOLD_TIME;
        while server.count() <= served && Instant::now() < end {
            thread::sleep(Duration::from_millis(1));
        }
        if server.count() <= served {
            break;
        }
    }
    assert!(is_held(&client), "the limiter waits for its client");
    wait_until("the client is disconnected", || !is_held(&client));
    assert_eq!(limiter.client().ask(&quote("roomy", 60_000)).status(), 200);
}

/// What each of many gRPC clients sends behind its preface, by name. Some send it on this many streams.
fn grpc_floods(stream_count: u32) -> Vec<(&'static str, Vec<u8>)> {
    let streams = || (0..stream_count).map(|n| 2 * n + 1);
    let names: Vec<String> = (0..440).map(|n| format!("{n:x}")).collect();
    let many: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "")).collect();
    let many_headers = [call_headers(CHECK), header_block(&many)].concat();
    let call = raw_frame(HEADERS, END_HEADERS, 1, &call_headers(CHECK));
    let on = |stream: u32, mut frame: Vec<u8>| {
        frame[5..9].copy_from_slice(&stream.to_be_bytes());
        frame
    };
    // As much on all streams together as the connection's first window permits: more would close the connection.
    let part = vec![0; (FIRST_WINDOW / stream_count as usize).min(MAX_FRAME) - MESSAGE_PREFIX.len()];
    let message = [&MESSAGE_PREFIX[..], &part].concat();
    let tiny = raw_frame(DATA, 0, 1, &[0]);
    let reflection = reflection_request();
    vec![
        (
            "gRPC heads of many short headers",
            streams().flat_map(|n| raw_frame(HEADERS, END_HEADERS, n, &many_headers)).collect(),
        ),
        ("a gRPC head without its end", raw_frame(HEADERS, 0, 1, &many_headers)),
        (
            "parts of gRPC messages",
            streams().flat_map(|n| [on(n, call.clone()), raw_frame(DATA, 0, n, &message)].concat()).collect(),
        ),
        (
            "gRPC messages in tiny frames",
            [call.clone(), raw_frame(DATA, 0, 1, &MESSAGE_PREFIX), tiny.repeat(60_000)].concat(),
        ),
        (
            "gRPC health watches",
            streams().flat_map(|n| unread_call(n, WATCH, &[0; MESSAGE_PREFIX.len()])).collect(),
        ),
        (
            "gRPC reflection whose responses are not read",
            [
                raw_frame(SETTINGS, 0, 0, &NO_INITIAL_WINDOW),
                streams().flat_map(|n| unread_call(n, REFLECTION, &reflection.repeat(2))).collect(),
            ]
            .concat(),
        ),
    ]
}

/// A gRPC message that requests the description of a service: field 4, `file_containing_symbol`.
fn reflection_request() -> Vec<u8> {
    [&[0, 0, 0, 0, 37, 0x22, 35][..], b"envoy.service.auth.v3.Authorization"].concat()
}

/// Guards against responses of a reflection that are kept although there is no memory for them.
#[test]
fn a_reflection_response_beyond_the_memory_budget_is_refused() {
    let server = Fake::new(|_| ok("served"));
    // Of the memory limit, an eighth is the budget: the smaller one has room for the call, not for its response.
    for (memory_mb, first_frame) in [(LEAST_MEMORY_MB as f64, DATA), (0.064, HEADERS)] {
        let limiter = start_with_memory(memory_mb, &server, "[grpc]\nlisten = '127.0.0.1:0'\n");
        let mut client = RawConnection::new(limiter.grpc.expect("a gRPC listener"), &[]);
        assert!(client.write(&unread_call(1, REFLECTION, &reflection_request())));
        let is_response = |f: &RawFrame| f.stream == 1 && (f.kind == DATA || f.flags & END_STREAM != 0);
        let head = client.read_until(|f| f.stream == 1).expect("the head of a response");
        assert_eq!((head.kind, head.flags & END_STREAM), (HEADERS, 0), "{memory_mb} MB: the call is begun");
        let response = client.read_until(is_response).expect("a response");
        assert_eq!(response.kind, first_frame, "{memory_mb} MB");
    }
}

/// A call on this stream, with a message behind which others may follow.
fn unread_call(stream: u32, path: &str, message: &[u8]) -> Vec<u8> {
    let head = raw_frame(HEADERS, END_HEADERS, stream, &call_headers(path));
    [head, raw_frame(DATA, 0, stream, message)].concat()
}

/// Guards against calls that gRPC clients begin and do not complete.
#[test]
fn incomplete_grpc_calls_stay_within_the_memory_limit() {
    for (what, bytes) in grpc_floods(GRPC_STREAMS) {
        let server = Fake::new(|_| ok("served"));
        let limiter = start(&server, "[grpc]\nlisten = '127.0.0.1:0'\n");
        let address = limiter.grpc.expect("a gRPC listener");
        let preface = [wire::PREFACE, &raw_frame(SETTINGS, 0, 0, &[])].concat();
        let clients = open_connections(address, GRPC_CONNECTIONS, || [preface.as_slice(), &bytes].concat());
        assert_within_memory(what, &limiter);
        drop(clients);
        let check = grpc::check_request("quote", "roomy", 1);
        assert!(GrpcClient::new(address).permitted(&check), "{what}");
    }
}

/// Guards against a gRPC listener that is given as many connections as there are descriptors, and takes no part in the
/// limit on the memory of connections.
#[test]
fn many_grpc_connections_stay_within_the_memory_limit() {
    let operator = format!("[grpc]\nlisten = '127.0.0.1:0'\nconnections = {CONNECTIONS}\n");
    let streams = GRPC_STREAMS * GRPC_CONNECTIONS as u32 / CONNECTIONS as u32;
    for (what, bytes) in grpc_floods(streams) {
        let server = Fake::new(|_| ok("served"));
        let limiter = start(&server, &operator);
        let address = limiter.grpc.expect("a gRPC listener");
        let preface = [wire::PREFACE, &raw_frame(SETTINGS, 0, 0, &[])].concat();
        let clients = open_connections(address, CONNECTIONS, || [preface.as_slice(), &bytes].concat());
        let what = format!("{what}, {CONNECTIONS} connections");
        assert_within_memory(&what, &limiter);
        drop(clients);
        let check = grpc::check_request("quote", "roomy", 1);
        assert!(GrpcClient::new(address).permitted(&check), "{what}");
    }
}

/// Guards against all of these together: each listener within a limit of its own would be too much.
#[test]
fn all_listeners_together_stay_within_the_memory_limit() {
    let server = Fake::new(|_| ok("served"));
    let limiter = start(&server, "[grpc]\nlisten = '127.0.0.1:0'\n");
    let address = limiter.grpc.expect("a gRPC listener");
    let preface = [wire::PREFACE, &raw_frame(SETTINGS, 0, 0, &[])].concat();
    thread::scope(|scope| {
        for (_, bytes) in grpc_floods(GRPC_STREAMS) {
            let preface = &preface;
            scope.spawn(move || {
                open_connections(address, GRPC_CONNECTIONS / 4, || [preface.as_slice(), &bytes].concat())
            });
        }
        let floods = http_floods();
        let share = CONNECTIONS / floods.len();
        for (_, bytes) in floods {
            let limiter = &limiter;
            scope.spawn(move || open_connections(limiter.address, share, || bytes.clone()));
        }
    });
    assert_within_memory("all together", &limiter);
}

/// Guards against memory that grows without end while clients send requests under ever new names. Customers that are
/// known are served meanwhile.
#[test]
fn ever_new_customers_stay_within_the_memory_limit() {
    const CLIENTS: usize = 40;
    const NAMES_OF_EACH: usize = 1_000;
    let server = Fake::new(|_| ok("served"));
    let limiter = start(&server, "");
    let rejections = AtomicUsize::new(0);
    in_parallel(0..CLIENTS, |number| {
        let mut client = limiter.client();
        for name in 0..NAMES_OF_EACH {
            let customer = format!("{:016x}", number * NAMES_OF_EACH + name);
            let answer = client.ask(&quote("small", 9_000).replace(CUSTOMER, &customer));
            assert!([200, 429].contains(&answer.status()), "{}", answer.start_line);
            rejections.fetch_add(usize::from(answer.status() == 429), Ordering::SeqCst);
            if name % 100 == 0 {
                assert_eq!(client.ask(&quote("roomy", 9_000)).status(), 200, "a known customer");
            }
        }
    });
    eprintln!("{} of {} rejected", rejections.load(Ordering::SeqCst), CLIENTS * NAMES_OF_EACH);
    assert_within_memory("ever new customers", &limiter);
}

/// Guards against a limiter that keeps what its memory budget has no room for, and against one that no longer serves
/// usual requests when the budget is too small for large ones.
#[test]
fn requests_beyond_the_memory_budget_are_rejected_and_usual_ones_served() {
    let server = Fake::new(|_| ok("served"));
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let body = "x".repeat(MAX_BODY - 1);
    let chunked = post("bind", "").replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n");
    let large_head = String::from_utf8(head_with_body(MAX_HEAD - 400)).expect("text");
    // Of the memory limit, an eighth is the budget.
    for (memory_mb, request) in [
        (0.4, post("bind", &body)),
        (0.4, format!("{chunked}{:x}\r\n{body}\r\n0\r\n\r\n", body.len())),
        (0.2, large_head.clone()),
        (0.1, large_head),
    ] {
        let limits = json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": DESCRIPTORS});
        let limiter = Limiter::with_limits(limits, command(), settings(), &discovery, counter().address);
        let mut client = limiter.client();
        client.send_ignoring_errors(request.as_bytes());
        let answer =
            client.answer().unwrap_or_else(|| panic!("no answer: {memory_mb} MB, {} bytes", request.len()));
        assert_eq!(answer.status(), 503, "{memory_mb} MB, {} bytes", request.len());
        for request in [quote("roomy", 9_000), post("bind", &"x".repeat(212))] {
            assert_eq!(limiter.client().ask(&request).status(), 200, "{memory_mb} MB");
        }
    }
}
