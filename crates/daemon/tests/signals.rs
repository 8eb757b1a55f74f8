//! SIGHUP and SIGTERM, and the format of the log.
mod common;

use common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

// ----- SIGHUP -----

#[test]
fn sighup_moves_the_watch_and_the_counter_to_the_addresses_in_the_file() {
    let (old, new) = (Fake::new(|_| ok("old")), Fake::new(|_| ok("new")));
    let (counter_1, counter_2) = (counter(), counter());
    let discovery_1 = discovery(vec![instance("s-0", old.address, "in_service")]);
    let discovery_2 = discovery(vec![instance("s-1", new.address, "in_service")]);
    let limiter = Limiter::start(settings(), &discovery_1, counter_1.address);
    let mut client = limiter.client();
    wait_until("the first counter is called", || {
        assert_eq!(client.ask(&quote("roomy", 9000)).text(), "old");
        counter_1.count() > 0
    });

    limiter.move_to(discovery_2.address, counter_2.address);
    wait_until("the list of the second watch is in use", || {
        client.ask(&quote("roomy", 9000)).text() == "new"
    });
    assert_eq!(discovery_2.seen()[0].start_line, "GET /discovery/hosts?watch=1&after=10 HTTP/1.1");
    // The limiter closes its connections to the old addresses, whose services then close theirs.
    wait_until("the first watch is dropped", || discovery_1.ended() == discovery_1.accepted());
    wait_until("the first counter is dropped", || counter_1.ended() == counter_1.accepted());
    let calls = counter_1.count();
    wait_until("the second counter is called", || {
        assert_eq!(client.ask(&quote("roomy", 9000)).text(), "new");
        counter_2.count() > 0
    });
    assert_eq!(counter_1.count(), calls, "no further call goes to the first");

    // Then back, with two changes in quick succession: the last one applies.
    limiter.move_to(discovery_1.address, counter_2.address);
    limiter.move_to(discovery_1.address, counter_1.address);
    wait_until("the first counter is called again", || {
        assert_eq!(client.ask(&quote("roomy", 9000)).status(), 200);
        counter_1.count() > calls
    });
    assert_eq!(client.ask(&quote("roomy", 9000)).text(), "old");
}

#[test]
fn sighup_with_an_unreadable_file_changes_nothing() {
    let server = Fake::new(|_| ok("served"));
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let mut limiter = Limiter::start(settings(), &discovery, counter().address);
    for (n, text) in [Some("{\"discovery\":"), Some("{\"counter\":\"nowhere\"}"), None].iter().enumerate() {
        match text {
            Some(text) => std::fs::write(&limiter.file, text).expect("write"),
            None => std::fs::remove_file(&limiter.file).expect("remove"),
        }
        limiter.signal("-HUP");
        wait_until("it is logged", || limiter.errors().matches("SIGHUP").count() == n + 1);
        assert_eq!(limiter.client().ask(&quote("roomy", 9000)).status(), 200);
    }
    assert_eq!((discovery.count(), discovery.ended()), (1, 0), "the watch continues");
    limiter.terminate();
    limiter.signal("-HUP");
    assert_eq!(limiter.wait().code(), Some(0), "SIGHUP after SIGTERM does not kill the limiter");
}

// ----- SIGTERM -----

#[test]
fn sigterm_finishes_open_requests_and_accepts_new_ones_meanwhile() {
    let go = Arc::new(AtomicBool::new(false));
    let gate = go.clone();
    let server = Fake::new(move |m| {
        let end = Instant::now() + WAIT_TIMEOUT;
        while m.start_line.contains("/bind/") && !gate.load(Ordering::SeqCst) && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(1));
        }
        ok("served")
    });
    let mut limiter = Limiter::with_servers(&[&server]);
    let (mut busy, mut idle) = (limiter.client(), limiter.client());
    assert_eq!(idle.ask(&quote("roomy", 9000)).status(), 200);
    busy.send(&post("bind", "x"));
    wait_until("the request is sent", || server.count() == 2);

    limiter.terminate();
    assert!(idle.answer().is_none(), "an idle connection is closed");
    // New connections are still accepted for a while.
    let answer = limiter.client().ask(&quote("roomy", 9000));
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert_eq!(limiter.client().ask("GET /up HTTP/1.1\r\n\r\n").status(), 503);
    go.store(true, Ordering::SeqCst);
    let answer = busy.answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(busy.answer().is_none(), "and then its connection is closed");
    assert_eq!(limiter.wait().code(), Some(0));
}

#[test]
fn the_log_is_text_or_json_as_configured() {
    let stderr_with = |options: &[&str]| {
        let out = command().args(options).env_remove("ROUTER_CONFIG").output().expect("run");
        String::from_utf8_lossy(&out.stderr).into_owned()
    };
    assert_eq!(stderr_with(&[]), "liftrouter: ROUTER_CONFIG is not set\n");
    assert_eq!(stderr_with(&["--log", "text"]), stderr_with(&[]));
    let line: serde_json::Value = serde_json::from_str(&stderr_with(&["--log", "json"])).expect("an object");
    assert_eq!((&line["part"], &line["level"]), (&"liftrouter".into(), &"INFO".into()), "{line}");
    assert_eq!(line["message"], "ROUTER_CONFIG is not set");
    assert!(line["timestamp"].is_string(), "{line}");
}
