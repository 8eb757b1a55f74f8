//! The real binary and clients that leave: nothing begins for them any more, whatever the settings say and
//! whatever lies unread before their end.
mod common;

use common::*;
use serde_json::{json, Value};
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// A further attempt that begins later than this after its client left is a break.
const GONE: Duration = Duration::from_millis(100);

/// Deadlines that end nothing in a test's time; attempts may be called off or not.
fn patient(may_cancel: bool) -> Value {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("classes") {
        class["deadline-s"] = json!(20.0);
    }
    settings["limits"]["cancel"] = json!(may_cancel);
    settings
}

/// Behind many names it takes many requests at once.
fn over(settings: Value, address: SocketAddr) -> Limiter {
    let list = (0..16).map(|n| instance(&format!("s-{n}"), address, "in_service")).collect();
    Limiter::start(settings, &discovery(list), counter().address)
}

#[test]
fn a_connecting_attempt_is_aborted_whether_cancellation_is_allowed_or_not() {
    in_parallel([true, false], |may_cancel| {
        let (listener, address, filled) = full_backlog();
        let mut settings = patient(may_cancel);
        settings["limits"]["connect-timeout-s"] = json!(10.0);
        // The only connection that is opened is that of the request.
        settings["limits"]["may-probe"] = json!(false);
        let discovery = discovery(vec![instance("s-0", address, "in_service")]);
        let limiter = Limiter::with_known_list(&update(9, true, &[]), settings, discovery.address);
        wait_until("the limiter is up", || limiter.up());
        let mut client = limiter.client();
        client.send(&post("bind", "x"));
        wait_until("it connects", || pending_connects(address) == 1);
        client.close();
        wait_until("the attempt is dropped", || pending_connects(address) == 0);
        // Now connections come up: the kernel tries again within a second or two, if anybody wants it to.
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
            assert!(!matches!(stream.read(&mut [0]), Ok(1..)), "written for a client that left");
        }
    });
}

/// How a client goes.
#[derive(Clone, Copy, Debug)]
enum End {
    Close,
    Reset,
    /// It could still read an answer. Nothing tells it from one that closed.
    HalfClose,
}

#[test]
fn a_disconnect_behind_unread_bytes_is_detected() {
    let behind =
        ["", "\r\n", "half a line", &quote("roomy", 9000), &"x".repeat(10_000), &"x".repeat(300_000)];
    in_parallel([End::Close, End::Reset, End::HalfClose], |end| {
        for behind in behind {
            let server = Fake::new(|_| Reply::Silence);
            let limiter = over(patient(true), server.address);
            let mut client = limiter.client();
            client.send(&quote("roomy", 60_000));
            wait_until("the request is out", || server.count() == 1);
            client.send(behind);
            let began = Instant::now();
            match end {
                End::Close => client.close(),
                End::Reset => client.reset(),
                End::HalfClose => {
                    client.shutdown_write();
                    assert!(client.answer().is_none(), "nobody answers it");
                }
            }
            wait_until("its attempt is called off", || server.ended() == 1);
            let took = began.elapsed();
            assert!(took < Duration::from_secs(3), "{end:?} behind {} bytes: {took:?}", behind.len());
            assert_eq!(server.count(), 1, "nothing more goes out for it");
        }
    });
}

#[test]
fn a_client_with_bytes_behind_its_request_is_answered() {
    for behind in ["\r\n".to_string(), "half a line".into(), "x".repeat(10_000), "x".repeat(300_000)] {
        let (gate, server) = gated_server(|_| ok("served"));
        let limiter = over(patient(true), server.address);
        let mut client = limiter.client();
        client.send(&quote("roomy", 60_000));
        wait_until("the request is out", || server.count() == 1);
        client.send(&behind);
        gate.open();
        let answer = client.answer().expect("an answer");
        assert_eq!((answer.status(), answer.text().as_str()), (200, "served"), "{} bytes", behind.len());
    }
}

#[test]
fn a_pipelined_request_is_answered_after_the_one_before() {
    let (gate, server) = gated_server(|m| ok(m.header("x-correlation-id").unwrap_or_default()));
    let limiter = over(patient(true), server.address);
    let (mut client, first, second) = (limiter.client(), post("bind", "x"), post("bind", "yy"));
    client.send(&first);
    wait_until("the first is out", || server.count() == 1);
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
        // The attempt stays out, so its failure comes to a request that nobody waits for.
        let limiter = over(patient(false), server.address);
        let mut client = limiter.client();
        client.send(&quote("roomy", 60_000));
        wait_until("the request is out", || server.count() == 1);
        client.send(behind);
        client.close();
        thread::sleep(GONE);
        gate.open();
        wait_until("the attempt has failed", || server.ended() == 1);
        // Another's request, sent behind it, would come behind a further attempt too.
        let mut other = limiter.client();
        other.send(&quote("roomy", 60_000));
        wait_until("the other request is out", || server.count() >= 2);
        thread::sleep(GONE);
        let ids: Vec<_> =
            server.seen().iter().map(|m| m.header("x-correlation-id").map(String::from)).collect();
        assert_eq!(ids.iter().filter(|id| **id == ids[0]).count(), 1, "sent again for a client that left");
    }
}

#[test]
fn fifty_clients_that_disconnect_at_once_are_not_forwarded() {
    for (end, behind) in
        [(End::Close, ""), (End::Close, "half a line"), (End::Reset, ""), (End::HalfClose, "")]
    {
        let server = Fake::new(|_| ok("served"));
        let limiter = over(patient(false), server.address);
        let mut clients: Vec<Client> = (0..50).map(|_| limiter.client()).collect();
        // Known to it, and at rest.
        for client in &mut clients {
            assert_eq!(client.ask("GET /up HTTP/1.1\r\n\r\n").status(), 200);
        }
        limiter.pause();
        let mut open = Vec::new();
        for mut client in clients {
            client.send(&quote("roomy", 60_000));
            client.send(behind);
            match end {
                End::Close => client.close(),
                End::Reset => client.reset(),
                End::HalfClose => {
                    client.shutdown_write();
                    open.push(client);
                }
            }
        }
        limiter.resume();
        // One that comes behind them all is served, and by then they have had their turn.
        assert_eq!(limiter.client().ask(&quote("roomy", 60_000)).status(), 200);
        thread::sleep(GONE);
        assert_eq!(server.count(), 1, "{end:?} behind {behind:?}: sent on for clients that had left");
    }
}
