//! Graceful shutdown: every request that the limiter has read is answered, no request is read from a connection that
//! is closed without an answer, and the process exits before it would be killed.
mod common;

use common::shutdown::assert_clean_exit;
use common::*;
use serde_json::{json, Value};
use std::thread;
use std::time::{Duration, Instant};

fn with_deadline(seconds: f64, may_cancel: bool) -> Value {
    let mut settings = settings_with_deadline(seconds);
    settings["limits"]["cancel"] = json!(may_cancel);
    settings
}

/// Lists the server under 16 ids, so that it gets many requests at once.
fn start_limiter(settings: Value, server: &Fake) -> Limiter {
    let list = (0..16).map(|n| instance(&format!("s-{n}"), server.address, "in_service")).collect();
    Limiter::start(settings, &discovery(list), counter().address)
}

#[test]
fn graceful_shutdown_answers_hanging_requests_whatever_their_deadline() {
    in_parallel([(0.8, true), (0.8, false), (5.0, true), (5.0, false)], |(deadline, may_cancel)| {
        let server = Fake::new(|_| Reply::Silence);
        let mut limiter = start_limiter(with_deadline(deadline, may_cancel), &server);
        let mut clients: Vec<Client> = (0..3).map(|_| limiter.client()).collect();
        for (client, request) in
            clients.iter_mut().zip([quote("roomy", 60_000), post("bind", "x"), post("once", "x")])
        {
            client.send(&request);
        }
        wait_until("the requests are sent", || server.count() == 3);
        limiter.terminate();
        let terminated = Instant::now();
        // A request that arrives with its whole deadline after the signal.
        let mut late = limiter.client();
        late.send(&quote("roomy", 60_000));
        clients.push(late);
        for client in &mut clients {
            let answer = client.answer().expect("an answer, not a close");
            assert!([429, 502, 503].contains(&answer.status()), "{}", answer.start_line);
        }
        assert_clean_exit(&mut limiter, terminated, deadline);
    });
}

#[test]
fn an_abandoned_attempt_does_not_delay_shutdown() {
    let server = Fake::new(|_| Reply::Silence);
    let mut limiter = start_limiter(with_deadline(20.0, false), &server);
    let mut client = limiter.client();
    client.send(&quote("roomy", 60_000));
    wait_until("the request is sent", || server.count() == 1);
    client.close();
    limiter.terminate();
    assert_clean_exit(&mut limiter, Instant::now(), 20.0);
}

#[test]
fn graceful_shutdown_loses_no_request_of_clients_that_keep_sending() {
    let server = Fake::new(|m| {
        thread::sleep(Duration::from_millis(if m.start_line.contains("/bind/") { 250 } else { 1 }));
        ok("served")
    });
    let mut limiter = start_limiter(with_deadline(1.5, true), &server);
    let clients: Vec<_> = (0..12)
        .map(|n| {
            let mut client = limiter.client();
            assert_eq!(client.ask(&quote("roomy", 9000)).status(), 200);
            let server = server.clone();
            thread::spawn(move || {
                for turn in n.. {
                    let request = if turn % 3 == 0 { post("bind", "x") } else { quote("roomy", 9000) };
                    client.send_ignoring_errors(request.as_bytes());
                    match client.answer() {
                        Some(answer) => {
                            assert!([200, 429, 503].contains(&answer.status()), "{}", answer.start_line);
                        }
                        // The connection was closed between requests: this one was never read.
                        None => {
                            return assert_eq!(
                                server.count_with_id(correlation_id(&request)),
                                0,
                                "read and dropped"
                            )
                        }
                    }
                }
            })
        })
        .collect();
    wait_until("they are served", || server.count() > 40);
    limiter.terminate();
    let terminated = Instant::now();
    for client in clients {
        client.join().expect("a client");
    }
    assert_clean_exit(&mut limiter, terminated, 1.5);
}

/// A complete or partial request and SIGTERM arrive at the same moment, in either order.
#[test]
fn a_request_that_crosses_sigterm_is_answered_or_was_never_read() {
    for signal_first in [true, false] {
        for whole in [true, false] {
            let server = Fake::new(|_| ok("served"));
            let mut limiter = start_limiter(with_deadline(2.0, true), &server);
            let mut clients: Vec<Client> = (0..30).map(|_| limiter.client()).collect();
            // Two in three have had a request and are idle; one in three is new.
            for client in clients.iter_mut().enumerate().filter(|(n, _)| n % 3 > 0).map(|(_, c)| c) {
                assert_eq!(client.ask(&quote("roomy", 9000)).status(), 200);
            }
            thread::sleep(Duration::from_millis(150));
            limiter.pause();
            if signal_first {
                limiter.terminate();
            }
            let requests: Vec<String> = clients.iter().map(|_| post("once", "whole")).collect();
            for (client, request) in clients.iter_mut().zip(&requests) {
                client.send(&request[..request.len() - if whole { 0 } else { 60 }]);
            }
            if !signal_first {
                limiter.terminate();
            }
            let terminated = Instant::now();
            limiter.resume();
            let mut answered = 0;
            for (client, request) in clients.iter_mut().zip(&requests) {
                if !whole {
                    client.send_ignoring_errors(&request.as_bytes()[request.len() - 60..]);
                }
                let copies = |n| {
                    let received = server.count_with_id(correlation_id(request));
                    assert_eq!(received, n, "signal first: {signal_first}");
                };
                match client.answer() {
                    Some(answer) => {
                        assert!([200, 429].contains(&answer.status()), "{}", answer.start_line);
                        assert_eq!(answer.header("connection"), Some("close"));
                        copies(usize::from(answer.status() == 200));
                        answered += 1;
                    }
                    None => copies(0),
                }
            }
            assert!(answered > 0, "no request was answered");
            assert_clean_exit(&mut limiter, terminated, 2.0);
        }
    }
}

#[test]
fn a_partial_request_may_complete_during_graceful_shutdown() {
    let server = Fake::new(|_| ok("served"));
    let mut limiter = start_limiter(with_deadline(3.0, true), &server);
    let request = post("bind", "a body");
    // Cut in the head and in the body, on a connection that has had a request and on a new one.
    let cases: Vec<_> = [request.len() - 40, request.len() - 3]
        .into_iter()
        .flat_map(|cut| [(cut, true), (cut, false)])
        .map(|(cut, known)| {
            let (mut client, request) = (limiter.client(), post("bind", "a body"));
            if known {
                assert_eq!(client.ask(&quote("roomy", 9000)).status(), 200);
            }
            client.send(&request[..cut]);
            (client, request[cut..].to_string(), known)
        })
        .collect();
    // Lets the limiter read the partial requests: unread bytes alone would keep their connections open.
    thread::sleep(Duration::from_millis(200));
    limiter.terminate();
    let terminated = Instant::now();
    // Past the time during which new connections are accepted.
    thread::sleep(Duration::from_millis(900));
    for (mut client, rest, known) in cases {
        client.send_ignoring_errors(rest.as_bytes());
        let answer = client.answer();
        assert_eq!(answer.map(|a| a.status()), Some(200), "{} bytes later, known: {known}", rest.len());
    }
    assert_clean_exit(&mut limiter, terminated, 3.0);
}

#[test]
fn idle_connections_do_not_delay_shutdown() {
    let server = Fake::new(|_| ok("served"));
    let mut limiter = start_limiter(with_deadline(3.0, true), &server);
    let mut clients: Vec<Client> = (0..9).map(|_| limiter.client()).collect();
    for client in clients.iter_mut().step_by(2) {
        assert_eq!(client.ask(&quote("roomy", 9000)).status(), 200);
    }
    limiter.terminate();
    let took = assert_clean_exit(&mut limiter, Instant::now(), 3.0);
    assert!(took < Duration::from_secs(2), "{took:?}");
    for client in &mut clients {
        assert!(client.answer().is_none());
    }
}

#[test]
fn further_signals_do_not_change_a_graceful_shutdown() {
    let (gate, server) = gated_server(|_| ok("served"));
    let mut limiter = start_limiter(with_deadline(3.0, true), &server);
    let mut client = limiter.client();
    client.send(&post("once", "x"));
    wait_until("the request is sent", || server.count() == 1);
    limiter.terminate();
    let terminated = Instant::now();
    for signal in ["-TERM", "-HUP", "-TERM"] {
        limiter.signal(signal);
    }
    gate.open();
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert_clean_exit(&mut limiter, terminated, 3.0);
}

#[test]
fn sigterm_before_readiness_ends_the_limiter() {
    let silent = Fake::new(|_| Reply::Silence);
    let known = update(9, true, &[]);
    let mut limiter = Limiter::with_known_list(&known, with_deadline(3.0, true), silent.address);
    limiter.terminate();
    let terminated = Instant::now();
    assert_eq!(limiter.client().ask(&quote("roomy", 9000)).status(), 429);
    assert!(!limiter.up());
    assert_clean_exit(&mut limiter, terminated, 3.0);
}

/// The response announces that the connection closes. A close while the client still sends would cause a reset, and
/// the client would lose the response.
#[test]
fn the_last_reply_reaches_a_client_that_is_still_sending() {
    let (gate, server) = gated_server(|_| ok("served"));
    let mut limiter = start_limiter(with_deadline(3.0, true), &server);
    let mut client = limiter.client();
    client.send(&post("once", "x"));
    wait_until("the request is sent", || server.count() == 1);
    limiter.terminate();
    let terminated = Instant::now();
    // Past the time during which new connections are accepted: from here on idle connections are closed.
    thread::sleep(Duration::from_millis(700));
    gate.open();
    // Longer than the time after which a connection counts as idle, and shorter than the time for which the limiter
    // continues to read.
    for _ in 0..15 {
        client.send("what is behind it goes on coming");
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(client.answer().expect("its answer, not a reset").status(), 200);
    assert_clean_exit(&mut limiter, terminated, 3.0);
}
