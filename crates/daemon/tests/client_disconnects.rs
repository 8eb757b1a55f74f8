//! Clients that disconnect: the limiter starts no further attempt for them, whether cancellation is allowed or not,
//! and also if unread bytes precede the end of the connection.
mod common;

use common::*;
use serde_json::{json, Value};
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// No attempt may start later than this after its client has disconnected.
const DETECTION_TIME: Duration = Duration::from_millis(100);

/// Settings whose deadlines do not expire during a test, with cancellation of attempts allowed or not.
fn long_deadlines(may_cancel: bool) -> Value {
    let mut settings = settings_with_deadline(20.0);
    settings["limits"]["cancel"] = json!(may_cancel);
    settings
}

/// Lists the server under 16 ids, so that it gets many requests at once.
fn start_limiter(settings: Value, address: SocketAddr) -> Limiter {
    let list = (0..16).map(|n| instance(&format!("s-{n}"), address, "in_service")).collect();
    Limiter::start(settings, &discovery(list), counter().address)
}

#[test]
fn a_connecting_attempt_is_aborted_whether_cancellation_is_allowed_or_not() {
    in_parallel([true, false], |may_cancel| {
        let (listener, address, filled) = full_backlog();
        let mut settings = long_deadlines(may_cancel);
        settings["limits"]["connect-timeout-s"] = json!(10.0);
        // Without probes, the only connection is that of the request.
        settings["limits"]["may-probe"] = json!(false);
        let discovery = discovery(vec![instance("s-0", address, "in_service")]);
        let limiter = Limiter::with_known_list(&update(9, true, &[]), settings, discovery.address);
        wait_until("the limiter is up", || limiter.up());
        let mut client = limiter.client();
        client.send(&post("bind", "x"));
        wait_until("the limiter connects", || pending_connects(address) == 1);
        client.close();
        wait_until("the attempt is dropped", || pending_connects(address) == 0);
        // From here on connections succeed: the kernel retransmits the SYN of an open attempt within a second or two.
        drop(filled);
        listener.set_nonblocking(true).expect("set");
        let end = Instant::now() + Duration::from_millis(2_500);
        while Instant::now() < end {
            let Ok((accepted, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(5));
                continue;
            };
            let mut stream: TcpStream = accepted.into();
            stream.set_read_timeout(Some(Duration::from_millis(100))).expect("set");
            assert!(
                !matches!(stream.read(&mut [0]), Ok(1..)),
                "a request was sent for a client that had disconnected"
            );
        }
    });
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
    /// The client could still read a response, but the limiter cannot distinguish this from a close.
    HalfClose,
}

#[test]
fn a_disconnect_behind_unread_bytes_is_detected() {
    let behind =
        ["", "\r\n", "half a line", &quote("roomy", 9000), &"x".repeat(10_000), &"x".repeat(300_000)];
    in_parallel([Disconnect::Close, Disconnect::Reset, Disconnect::HalfClose], |end| {
        for behind in behind {
            let server = Fake::new(|_| Reply::Silence);
            let limiter = start_limiter(long_deadlines(true), server.address);
            let mut client = limiter.client();
            client.send(&quote("roomy", 60_000));
            wait_until("the request is sent", || server.count() == 1);
            client.send(behind);
            let began = Instant::now();
            match end {
                Disconnect::Close => client.close(),
                Disconnect::Reset => client.reset(),
                Disconnect::HalfClose => {
                    client.shutdown_write();
                    assert!(client.answer().is_none(), "a half-closed client gets no response");
                }
            }
            wait_until("its attempt is cancelled", || server.ended() == 1);
            let took = began.elapsed();
            assert!(took < Duration::from_secs(3), "{end:?} behind {} bytes: {took:?}", behind.len());
            assert_eq!(server.count(), 1, "no further attempt is sent for it");
        }
    });
}

#[test]
fn a_client_with_bytes_behind_its_request_is_answered() {
    for behind in ["\r\n".to_string(), "half a line".into(), "x".repeat(10_000), "x".repeat(300_000)] {
        let (gate, server) = gated_server(|_| ok("served"));
        let limiter = start_limiter(long_deadlines(true), server.address);
        let mut client = limiter.client();
        client.send(&quote("roomy", 60_000));
        wait_until("the request is sent", || server.count() == 1);
        client.send(&behind);
        gate.open();
        let answer = client.answer().expect("an answer");
        assert_eq!((answer.status(), answer.text().as_str()), (200, "served"), "{} bytes", behind.len());
    }
}

#[test]
fn a_pipelined_request_is_answered_after_the_one_before() {
    let (gate, server) = gated_server(|m| ok(m.header("x-correlation-id").unwrap_or_default()));
    let limiter = start_limiter(long_deadlines(true), server.address);
    let (mut client, first, second) = (limiter.client(), post("bind", "x"), post("bind", "yy"));
    client.send(&first);
    wait_until("the first is sent", || server.count() == 1);
    client.send(&second);
    gate.open();
    for request in [first, second] {
        assert_eq!(client.answer().expect("an answer").text(), correlation_id(&request));
    }
}

#[test]
fn a_failed_attempt_is_not_retried_after_its_client_disconnected() {
    for behind in ["", "half a line"] {
        let (gate, server) = gated_server(|_| Reply::RawThenClose(String::new()));
        // The attempt is not cancelled, so it fails after its client has disconnected.
        let limiter = start_limiter(long_deadlines(false), server.address);
        let mut client = limiter.client();
        client.send(&quote("roomy", 60_000));
        wait_until("the request is sent", || server.count() == 1);
        client.send(behind);
        client.close();
        thread::sleep(DETECTION_TIME);
        gate.open();
        wait_until("the attempt has failed", || server.ended() == 1);
        // The server would get a retry before this later request of another client.
        let mut other = limiter.client();
        other.send(&quote("roomy", 60_000));
        wait_until("the other request is sent", || server.count() >= 2);
        thread::sleep(DETECTION_TIME);
        let ids: Vec<_> =
            server.seen().iter().map(|m| m.header("x-correlation-id").map(String::from)).collect();
        assert_eq!(
            ids.iter().filter(|id| **id == ids[0]).count(),
            1,
            "retried for a client that had disconnected"
        );
    }
}

#[test]
fn fifty_clients_that_disconnect_at_once_are_not_forwarded() {
    for (end, behind) in [
        (Disconnect::Close, ""),
        (Disconnect::Close, "half a line"),
        (Disconnect::Close, &"x".repeat(60_000)),
        (Disconnect::Close, &quote("roomy", 60_000).repeat(400)),
        (Disconnect::Close, &"x".repeat(900_000)),
        (Disconnect::Reset, ""),
        (Disconnect::HalfClose, ""),
    ] {
        let server = Fake::new(|_| ok("served"));
        let limiter = start_limiter(long_deadlines(false), server.address);
        let mut clients: Vec<Client> = (0..50).map(|_| limiter.client()).collect();
        // Accepted by the limiter, and idle.
        for client in &mut clients {
            assert_eq!(client.ask("GET /up HTTP/1.1\r\n\r\n").status(), 200);
        }
        limiter.pause();
        let mut open = Vec::new();
        for mut client in clients {
            client.send(&quote("roomy", 60_000));
            client.send(behind);
            match end {
                Disconnect::Close => client.close(),
                Disconnect::Reset => client.reset(),
                Disconnect::HalfClose => {
                    client.shutdown_write();
                    open.push(client);
                }
            }
        }
        limiter.resume();
        // The limiter handles this later request after the fifty others.
        assert_eq!(limiter.client().ask(&quote("roomy", 60_000)).status(), 200);
        thread::sleep(DETECTION_TIME);
        assert_eq!(
            server.count(),
            1,
            "{end:?} behind {behind:?}: forwarded for clients that had disconnected"
        );
    }
}

/// Guards against an id that runs twice: it comes again while its first attempt still runs, or has been given up and may
/// have run, since its client has left.
#[test]
fn an_id_that_comes_again_after_its_client_left_is_not_run_again() {
    in_parallel([true, false], |may_cancel| {
        for request in [quote("roomy", 60_000), post("bind", "x"), post("once", "x")] {
            let server = Fake::new(|_| Reply::Silence);
            let limiter = start_limiter(long_deadlines(may_cancel), server.address);
            let mut client = limiter.client();
            client.send(&request);
            wait_until("the request is sent", || server.count() == 1);
            client.close();
            // The limiter notices the close at once, and what it does then is not seen from outside.
            thread::sleep(DETECTION_TIME);
            let mut again = limiter.client();
            again.set_read_timeout(Duration::from_secs(1));
            again.send(&request);
            let status = again.answer().map(|answer| answer.status());
            assert_eq!((status, server.count()), (Some(409), 1), "may cancel: {may_cancel}, {request}");
        }
    });
}
