//! Well-behaved and faulty clients: malformed requests, connection limits, and time limits of connections.
mod common;

use common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

#[test]
fn a_client_disconnect_cancels_its_attempt() {
    let server = Fake::new(|_| Reply::Silence);
    let limiter = Limiter::with_servers(&[&server]);
    let mut client = limiter.client();
    client.send(&quote("roomy", 60_000));
    wait_until("the request is sent", || server.count() == 1);
    client.close();
    wait_until("its attempt is closed", || server.ended() == 1);
    assert_eq!(server.count(), 1, "no further attempt is sent for it");
}

/// Requests with one fault each, and the status that they get.
fn malformed_requests(good: &str) -> Vec<(String, u16)> {
    vec![
        ("no HTTP\r\n\r\n".to_string(), 400),
        (good.replace("/bind/", "/elsewhere/"), 404),
        (good.replace("/bind/00000000b4d65521", "/"), 404),
        (good.replace("b4d65521 ", "b4d65521/more "), 404),
        (good.replace("00000000b4d65521", "b4d65521"), 400),
        (good.replace("00000000b4d65521", "zzzzzzzzb4d65521"), 400),
        (good.replace("POST ", "GET ").replace("Content-Length: 1\r\n", ""), 400),
        (good.replace(": roomy", ": unheard-of"), 400),
        (good.replace("9000m", "9000"), 400),
        (good.replace("9000m", "NaNm"), 400),
        (good.replace("9000m", "-5m"), 400),
        (good.replace("9000m", "1e3m"), 400),
        (good.replace("9000m", "infm"), 400),
        (good.replace("00000000b4d65521", "00000002b4d65521"), 400),
        (good.replace("00000000b4d65521", "+0000000b4d65521"), 400),
        (good.replace("units=2", "units=-2"), 400),
        (good.replace("units=2", "units=+2"), 400),
        (good.replace("units=2", "units=inf"), 400),
        (good.replace("units=2", "units=2,units=2"), 400),
        (good.replace("units=2", "units=2,"), 400),
        (good.replace("first=1", "first=0.5"), 400),
        (good.replace("first=1", "first=99999999999999999999"), 400),
        (good.replace("first=1", "first=-1"), 400),
        (quote("roomy", 9000).replace("\r\n\r\n", "\r\nContent-Length: 1\r\n\r\nx"), 400),
        (good.replace("Host:", &format!("X-Much: {}\r\nHost:", "x".repeat(20_000))), 431),
        (good.replace("Content-Length: 1\r\n", "Content-Length: 99999999999999999999\r\n"), 400),
        (good.replace("units=2", "units=NaN"), 400),
        (good.replace("units=2", "units=1e9"), 400),
        (good.replace("units=2", "units=0"), 400),
        (good.replace("spread=2", "spread=0"), 400),
        (good.replace("spread=2", "spread=3"), 400),
        (good.replace("first=1", "first=2"), 400),
        (good.replace("Content-Length: 1\r\n", "Content-Length: -1\r\n"), 400),
        (good.replace("Content-Length: 1\r\n", "Content-Length: 65537\r\n"), 413),
        (
            good.replace("Content-Length: 1\r\n", "Transfer-Encoding: chunked\r\n")
                .replace("\r\n\r\nx", &format!("\r\n\r\n10001\r\n{}\r\n0\r\n\r\n", "x".repeat(65537))),
            413,
        ),
    ]
}

/// Requests that lack a required header, or have it twice.
fn requests_without_or_with_two_of_a_header(good: &str) -> Vec<(String, u16)> {
    let mut cases = Vec::new();
    for name in ["X-Correlation-Id", "X-Contract", "X-Time-Left", "X-Metering", "Idempotency-Key"] {
        let without: Vec<&str> = good.split("\r\n").filter(|line| !line.starts_with(name)).collect();
        cases.push((without.join("\r\n"), 400));
        let twice = good.split("\r\n").find(|line| line.starts_with(name)).expect("there");
        cases.push((good.replace(twice, &format!("{twice}\r\n{twice}")), 400));
    }
    cases
}

#[test]
fn malformed_requests_get_a_4xx_status_and_reach_no_server() {
    let server = Fake::new(|_| ok("served"));
    let limiter = Limiter::with_servers(&[&server]);
    let good = post("bind", "x");
    let cases = malformed_requests(&good).into_iter().chain(requests_without_or_with_two_of_a_header(&good));
    for (text, status) in cases {
        assert_ne!(text, good);
        let mut client = limiter.client();
        assert_eq!(client.ask(&text).status(), status, "{}", &text[..text.len().min(400)]);
        assert!(client.answer().is_none(), "the connection is closed after that");
    }
    // An incomplete request, then a close.
    let mut client = limiter.client();
    client.send(&good[..good.len() - 1]);
    client.close();
    assert_eq!(server.count(), 0);
    assert_eq!(limiter.client().ask(&good).status(), 200, "the limiter still serves");
}

#[test]
fn at_the_connection_limit_the_longest_idle_connection_is_closed_for_a_new_one() {
    let server = Fake::new(|_| ok("served"));
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    // 72 descriptors leave room for about twenty clients.
    let limiter = Limiter::with_descriptor_limit(72, settings(), &discovery, counter().address);
    let mut clients: Vec<Client> = Vec::new();
    for n in 0..60 {
        let mut client = limiter.client();
        assert_eq!(client.ask(&quote("roomy", 9000)).status(), 200, "client {n}");
        clients.push(client);
    }
    assert!(clients[0].answer().is_none(), "the first has been closed");
    assert_eq!(clients[59].ask(&quote("roomy", 9000)).status(), 200, "the last has not");
}

#[test]
fn connections_beyond_the_limit_wait_until_others_are_answered() {
    let go = Arc::new(AtomicBool::new(false));
    let gate = go.clone();
    let server = Fake::new(move |_| {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !gate.load(Ordering::SeqCst) && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(1));
        }
        ok("served")
    });
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let limiter = Limiter::with_descriptor_limit(40, settings(), &discovery, counter().address);
    // 40 descriptors leave room for four clients: all wait for responses, and stay connected after them.
    let mut clients: Vec<Client> = (0..12).map(|_| limiter.client()).collect();
    for client in &mut clients {
        client.send(&quote("roomy", 9000));
    }
    wait_until("some requests are sent", || server.count() > 0);
    go.store(true, Ordering::SeqCst);
    for client in &mut clients {
        assert!(matches!(client.answer(), Some(a) if a.status() == 200 || a.status() == 429));
    }
}

#[test]
fn a_request_with_content_length_and_chunked_encoding_smuggles_no_request() {
    let server = Fake::new(|_| ok("served"));
    let limiter = Limiter::with_servers(&[&server]);
    let (hidden, outer) = (quote("roomy", 9000), post("bind", ""));
    let length = format!("Content-Length: {}\r\n", hidden.len() + 5);
    let chunked = "Transfer-Encoding: chunked\r\n";
    for both in [format!("{length}{chunked}"), format!("{chunked}{length}")] {
        let mut client = limiter.client();
        let text = outer.replace("Content-Length: 0\r\n", &both) + "0\r\n\r\n" + &hidden;
        assert_eq!(client.ask(&text).status(), 400, "{both}");
        assert!(client.answer().is_none(), "the bytes behind it are not read");
    }
    assert_eq!(server.count(), 0, "neither reaches a server");
    // With chunked encoding alone the request is served; the bytes behind it are not read as a request either.
    let mut client = limiter.client();
    let text = outer.replace("Content-Length: 0\r\n", chunked) + "1\r\nx\r\n0\r\n\r\n" + &hidden;
    let answer = client.ask(&text);
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(client.answer().is_none());
    assert_eq!((server.count(), server.seen()[0].text().as_str()), (1, "x"));
}

#[test]
fn a_duplicate_open_request_id_gets_409_and_is_not_forwarded() {
    let go = Arc::new(AtomicBool::new(false));
    let gate = go.clone();
    let server = Fake::new(move |_| {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !gate.load(Ordering::SeqCst) && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(1));
        }
        ok("served")
    });
    let limiter = Limiter::with_servers(&[&server]);
    let (mut first, copy) = (limiter.client(), quote("roomy", 9000));
    first.send(&copy);
    wait_until("the request is sent", || server.count() == 1);
    assert_eq!(limiter.client().ask(&copy).status(), 409);
    go.store(true, Ordering::SeqCst);
    assert_eq!(first.answer().expect("an answer").status(), 200);
    assert_eq!(server.count(), 1);
    // The limiter forgets the id once the request is answered.
    assert_eq!(limiter.client().ask(&copy).status(), 200);
}

#[test]
fn an_error_reply_reaches_a_client_that_is_still_sending() {
    let server = Fake::new(|_| ok("served"));
    let limiter = Limiter::with_servers(&[&server]);
    let junk = "x".repeat(128 * 1024);
    for (text, status) in [
        (post("bind", "x").replace("Content-Length: 1\r\n", "Content-Length: 60000000\r\n"), 413),
        (post("bind", "x").replace("units=2", "units=0"), 400),
        ("no HTTP at all\r\n\r\n".to_string(), 400),
    ] {
        for _ in 0..5 {
            let mut client = limiter.client();
            client.send(&text);
            // In pieces, so that bytes still arrive after the response is sent. A reset would make the test fail.
            for piece in junk.as_bytes().chunks(1024) {
                client.send(std::str::from_utf8(piece).expect("text"));
            }
            assert_eq!(client.answer().expect("the error, not a reset").status(), status, "{text}");
        }
    }
    assert_eq!(server.count(), 0);
}

/// Each case is what a connection sends first, and what it then sends repeatedly without completing a request.
#[test]
fn a_connection_without_a_complete_request_is_closed_in_time() {
    let server = Fake::new(|_| ok("served"));
    let limiter = Limiter::with_servers(&[&server]);
    let whole = post("bind", "12345678");
    let cases: [(&str, &str); 5] = [
        ("", ""),
        ("POST /bind/0000", ""),
        (&whole[..whole.len() - 4], ""),
        ("POST /bind/00000000b4d65521 HTTP/1.1\r\n", "X-More: 1\r\n"),
        (&whole.replace("Content-Length: 8", "Content-Length: 6000"), "xxxxxxxx"),
    ];
    let ends: Vec<_> = cases
        .iter()
        .map(|(start, more)| {
            let (mut client, began, more) = (limiter.client(), Instant::now(), more.to_string());
            client.send(start);
            std::thread::spawn(move || {
                client.set_read_timeout(Duration::from_millis(100));
                while began.elapsed() < WAIT_TIMEOUT && !client.has_input_or_eof() {
                    client.send_ignoring_errors(more.as_bytes());
                }
                began.elapsed()
            })
        })
        .collect();
    for (n, end) in ends.into_iter().enumerate() {
        let took = end.join().expect("joined");
        // 3 s from the connect, however many bytes arrive, and 2 s more for a slow machine.
        assert!(took < Duration::from_secs(5), "case {n}: {took:?}");
    }
    assert_eq!(server.count(), 0);
}

#[test]
fn silent_connections_displace_no_active_client() {
    let server = Fake::new(|_| ok("served"));
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    // Leaves room for about twenty clients.
    let limiter = Limiter::with_descriptor_limit(72, settings(), &discovery, counter().address);
    let mut active: Vec<Client> = (0..8).map(|_| limiter.client()).collect();
    for client in &mut active {
        assert_eq!(client.ask(&quote("roomy", 9000)).status(), 200);
    }
    let _silent: Vec<Client> = (0..60).map(|_| limiter.client()).collect();
    // A later client is served before the silent connections time out.
    let began = Instant::now();
    assert_eq!(limiter.client().ask(&quote("roomy", 9000)).status(), 200);
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
    for client in &mut active {
        assert_eq!(client.ask(&quote("roomy", 9000)).status(), 200, "active clients stay connected");
    }
}

#[test]
fn an_idle_keep_alive_connection_is_closed_after_its_timeout() {
    let server = Fake::new(|_| ok("served"));
    let limiter = Limiter::with_servers(&[&server]);
    let mut client = limiter.client();
    assert_eq!(client.ask(&quote("roomy", 9000)).status(), 200);
    let began = Instant::now();
    assert!(client.answer().is_none(), "it is closed");
    let idle = began.elapsed();
    assert!(idle > Duration::from_secs(2) && idle < Duration::from_secs(8), "{idle:?}");
}
