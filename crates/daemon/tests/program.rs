//! The limiter between fake servers, a fake discovery service and a fake counter service on loopback sockets.
mod common;

use common::*;
use serde_json::json;
use std::net::TcpStream;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const UNPROCESSED: &str = "X-Unprocessed: 1\r\n";

/// A rule that answers the first `n` requests by another rule, and all later ones with 200.
fn fault_first(n: u32, rule: impl Fn() -> Reply + Send + Sync + 'static) -> impl Fn(&Message) -> Reply {
    let count = AtomicU32::new(0);
    move |_| if count.fetch_add(1, Ordering::SeqCst) < n { rule() } else { ok("late but good") }
}

// ----- forwarding -----

#[test]
fn a_request_is_forwarded_unchanged_and_its_answer_returned() {
    let server = Fake::new(|m| ok(&format!("echo {}", m.text())));
    let limiter = Limiter::with_servers(&[&server]);
    let mut client = limiter.client();
    let sent = post("bind", "a policy");
    let answer = client.ask(&sent);
    assert_eq!((answer.status(), answer.text().as_str()), (200, "echo a policy"));
    // A connection has to be idle for some milliseconds before it is reused.
    std::thread::sleep(Duration::from_millis(50));
    let answer = client.ask(&quote("roomy", 1500));
    assert_eq!((answer.status(), answer.text().as_str()), (200, "echo "));

    let seen = server.seen();
    assert_eq!(seen[0].start_line, "POST /bind/00000000b4d65521 HTTP/1.1");
    for name in ["X-Correlation-Id", "Idempotency-Key"] {
        let value = seen[0].header(&name.to_ascii_lowercase()).expect(name);
        assert!(sent.contains(&format!("{name}: {value}\r\n")), "{name}: {value}");
    }
    assert_eq!(seen[0].text(), "a policy");
    assert_eq!(seen[1].start_line, "GET /quote/00000000b4d65521?from=tls&to=nce HTTP/1.1");
    let left = seen[1].header("x-time-left").and_then(|l| l.strip_suffix('u')?.parse::<u64>().ok());
    assert!((1..1_500_000).contains(&left.expect("microseconds")), "{left:?}");
    assert_eq!(server.accepted(), 1, "the connection is reused");
}

#[test]
fn a_customer_beyond_its_quota_is_rejected_with_retry_after() {
    let server = Fake::new(|_| ok("served"));
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let mut settings = settings();
    // `Retry-After` needs totals of the counter service, which must not seem to be down on a slow machine.
    settings["family-info"]["count-limit-s"] = json!(5.0);
    let limiter = Limiter::start(settings, &discovery, counter().address);
    let (mut client, began) = (limiter.client(), Instant::now());
    let (mut served, mut rejected) = (0, Vec::new());
    wait_until("a rejection has Retry-After", || {
        let answer = client.ask(&quote("small", 9000));
        match answer.status() {
            200 => served += 1,
            429 => rejected.push(answer.header("retry-after").map(str::parse::<f64>)),
            _ => panic!("{}", answer.start_line),
        }
        matches!(rejected.last(), Some(Some(_)))
    });
    let retry_after = rejected.pop().flatten();
    assert!(matches!(retry_after, Some(Ok(t)) if t > 0.0 && t <= 2.0), "{retry_after:?}");
    assert_eq!(served, server.count(), "rejected requests reach no server");
    // A burst of 4 and one more unit each second; half as much again for borrowed quota.
    let max_served = 6.0 + 2.0 * began.elapsed().as_secs_f64();
    assert!(served >= 4 && served as f64 <= max_served, "{served} served, {max_served} at most");
}

#[test]
fn an_empty_bucket_borrows_from_idle_quota() {
    let server = Fake::new(|_| ok("served"));
    let (discovery, counter) = (discovery(vec![instance("s-0", server.address, "in_service")]), counter());
    let mut settings = settings();
    settings["family-info"]["count-limit-s"] = json!(5.0);
    // The bucket of one of two limiters holds 80 units, and is filled at 20 to 40 units per second.
    settings["tariffs"][1] = json!({"name": "small", "rate": 40.0, "depth": 160.0, "pays": 1.0});
    let limiter = Limiter::start(settings, &discovery, counter.address);
    let request = || quote("small", 9000).replace("units=1,spread=1", "units=4,spread=2");
    let mut client = limiter.client();
    let (mut served, mut filled, began) = (0.0, 0.0, Instant::now());
    wait_until("more is served than the bucket ever held", || {
        served += if client.ask(&request()).status() == 200 { 4.0 } else { 0.0 };
        filled = 40.0 * began.elapsed().as_secs_f64();
        served > 80.0 + 8.0 + filled
    });
    while client.ask(&request()).status() == 200 {
        served += 4.0;
    }
    filled = 40.0 * began.elapsed().as_secs_f64();
    assert!(served <= 80.0 + 48.0 + filled, "{served} units served, more than may be borrowed");
}

// ----- outcomes -----

/// Sends a request whose first attempt gets this fault; returns the final response, and the requests that the server
/// received.
fn send_with_fault(
    fault: impl Fn() -> Reply + Send + Sync + 'static,
    request: &str,
) -> (Message, Vec<Message>) {
    let server = Fake::new(fault_first(1, fault));
    let limiter = Limiter::with_servers(&[&server]);
    (limiter.client().ask(request), server.seen())
}

#[test]
fn a_request_whose_connection_was_refused_is_retried_at_another_server() {
    for request in [quote("roomy", 9000), post("bind", "x"), post("once", "x")] {
        let good = Fake::new(|_| ok("served"));
        let (one, other) = (unused_address(), unused_address());
        let list = vec![
            instance("s-0", one.1, "in_service"),
            instance("s-1", other.1, "in_service"),
            instance("s-2", good.address, "in_service"),
        ];
        let limiter = Limiter::start(settings(), &discovery(list), counter().address);
        let mut client = limiter.client();
        let answer = client.ask(&request);
        assert_eq!((answer.status(), good.count()), (200, 1), "{}", answer.start_line);
    }
}

#[test]
fn an_unprocessed_request_is_retried_whatever_its_class() {
    for status in ["503 Service Unavailable", "504 Gateway Timeout"] {
        for request in [quote("roomy", 9000), post("bind", "x"), post("once", "x")] {
            let (answer, seen) = send_with_fault(move || Reply::Raw(raw(status, UNPROCESSED, "")), &request);
            assert_eq!((answer.status(), seen.len()), (200, 2), "{request}");
        }
    }
}

#[test]
fn a_request_that_may_have_run_is_retried_only_if_its_class_permits() {
    let faults: [fn() -> Reply; 6] = [
        || Reply::Raw(raw("500 Internal Server Error", "", "oops")),
        // A 503 without `X-Unprocessed` does not say that the request was not executed.
        || Reply::Raw(raw("503 Service Unavailable", "", "")),
        || Reply::RawThenClose(String::new()),
        || Reply::RawThenClose("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly a part".into()),
        || Reply::RawThenClose("!!! this is no HTTP\r\n\r\n".into()),
        || Reply::Raw(raw("200 OK", "", &"x".repeat(64 * 1024 + 1))),
    ];
    for (n, fault) in faults.into_iter().enumerate() {
        let (answer, seen) = send_with_fault(fault, &post("bind", "x"));
        assert_eq!((answer.status(), seen.len()), (200, 2), "fault {n}: {}", answer.start_line);
        assert_eq!(answer.text(), "late but good", "a broken answer never reaches a client");
        let key = |m: &Message| (m.header("idempotency-key").map(String::from), m.body.clone());
        assert_eq!(key(&seen[0]), key(&seen[1]), "the copy carries the same key");
        let (answer, seen) = send_with_fault(fault, &post("once", "x"));
        assert_eq!((answer.status(), seen.len()), (502, 1), "fault {n}: {}", answer.start_line);
    }
}

#[test]
fn an_answer_that_never_comes_fails_the_request_before_its_deadline() {
    let server = Fake::new(|_| Reply::Silence);
    let limiter = Limiter::with_servers(&[&server]);
    let began = Instant::now();
    let answer = limiter.client().ask(&quote("roomy", 1500));
    let took = began.elapsed();
    assert!(answer.status() >= 429, "{}", answer.start_line);
    assert!(took >= Duration::from_millis(200) && took < Duration::from_secs(4), "{took:?}");
    wait_until("the attempt's connection is closed", || server.ended() == server.accepted());
}

#[test]
fn an_attempt_starts_only_when_the_previous_one_is_closed() {
    // Requests hang at the first server, so the decision module cancels the attempts and retries at another server,
    // which answers once the connection to the first is closed, or records an overlap if that takes over 3 s.
    let overlaps = Arc::new(AtomicU32::new(0));
    let hung = Fake::new(|_| Reply::Silence);
    let (first, noted) = (hung.clone(), overlaps.clone());
    let good = Fake::new(move |m| {
        let id = m.header("x-correlation-id").unwrap_or_default().to_string();
        let end = Instant::now() + Duration::from_secs(3);
        while !first.abandoned_ids().contains(&id) {
            if Instant::now() > end {
                noted.fetch_add(1, Ordering::SeqCst);
                break;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        ok("served")
    });
    let list = vec![instance("s-0", hung.address, "in_service")];
    let discovery = discovery(list);
    let limiter = Limiter::start(settings(), &discovery, counter().address);
    // Two requests hang at the only server; then another server is added.
    let clients: Vec<_> = (0..2)
        .map(|_| {
            let mut client = limiter.client();
            client.send(&quote("roomy", 9000));
            client
        })
        .collect();
    wait_until("both requests hang", || hung.count() == 2);
    discovery.push(&chunk(&update(11, false, &[instance("s-1", good.address, "in_service")])));
    let answers: Vec<_> = clients.into_iter().map(|mut c| c.answer().expect("an answer").status()).collect();
    assert!(answers.contains(&200), "{answers:?}");
    assert!(good.count() >= 1);
    assert_eq!(overlaps.load(Ordering::SeqCst), 0, "two attempts of a request were open at once");
}

#[test]
fn an_idle_connection_closed_by_its_server_fails_no_request() {
    // Every answer is followed by a close that no header announces.
    let server = Fake::new(|_| Reply::RawThenClose(raw("200 OK", "", "bye")));
    let limiter = Limiter::with_servers(&[&server]);
    let mut client = limiter.client();
    for n in 1..=5 {
        assert_eq!(client.ask(&post("once", "x")).status(), 200);
        assert_eq!(server.count(), n);
        wait_until("the server has closed", || server.ended() == n as u32);
    }
}

#[test]
fn ejected_servers_are_used_again_later() {
    let (failing, go) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicBool::new(true)));
    let servers: Vec<Fake> = (0..4)
        .map(|_| {
            let (failing, gate) = (failing.clone(), go.clone());
            Fake::new(move |_| {
                let end = Instant::now() + WAIT_TIMEOUT;
                while !gate.load(Ordering::SeqCst) && Instant::now() < end {
                    std::thread::sleep(Duration::from_millis(1));
                }
                if failing.load(Ordering::SeqCst) {
                    Reply::Raw(raw("500 Internal Server Error", "", ""))
                } else {
                    ok("served")
                }
            })
        })
        .collect();
    let list = servers.iter().enumerate();
    let list = list.map(|(n, s)| instance(&format!("s-{n}"), s.address, "in_service")).collect();
    // Eight limiters share the servers, so that this one may have two requests in flight at all four together.
    let mut settings = settings();
    settings["peers-total"] = json!(8);
    let limiter = Limiter::start(settings, &discovery(list), counter().address);
    let mut clients: Vec<Client> = (0..4).map(|_| limiter.client()).collect();
    // Enough for three failures at each server: as many are ejected as are allowed.
    for _ in 0..12 {
        assert_eq!(clients[0].ask(&post("once", "x")).status(), 502);
    }
    failing.store(false, Ordering::SeqCst);
    // Sends `n` requests at once; the servers hold them until all have arrived, or for 300 ms if some are rejected.
    let mut served_at_once = |n: usize| {
        let seen = || servers.iter().map(Fake::count).sum::<usize>();
        let before = seen();
        go.store(false, Ordering::SeqCst);
        clients[..n].iter_mut().for_each(|c| c.send(&post("once", "x")));
        let end = Instant::now() + Duration::from_millis(300);
        while seen() < before + n && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(1));
        }
        go.store(true, Ordering::SeqCst);
        clients[..n].iter_mut().all(|c| c.answer().expect("an answer").status() == 200)
    };
    // After the ejection time each server answers with 200 again.
    std::thread::sleep(Duration::from_millis(1500));
    served_at_once(4);
    // Few tries: each timely response raises the concurrency limit a little, which would in the end hide the lost
    // capacity.
    let both = (0..5).any(|_| {
        std::thread::sleep(Duration::from_millis(300));
        served_at_once(2)
    });
    assert!(both, "the capacity of the ejected servers was never restored");
}

// ----- discovery -----

#[test]
fn a_server_that_drains_during_a_connect_gets_no_request() {
    let (listener, stuck, filled) = full_backlog();
    let good = Fake::new(|_| ok("served"));
    let discovery = discovery(vec![instance("s-0", stuck, "in_service")]);
    let mut settings = settings();
    settings["limits"]["connect-timeout-s"] = json!(10.0);
    let limiter = Limiter::start(settings, &discovery, counter().address);
    let mut client = limiter.client();
    client.send(&quote("roomy", 15_000));
    // The other server is announced while the limiter connects to the first for the request.
    std::thread::sleep(Duration::from_millis(100));
    let began = Instant::now();
    let change = [instance("s-0", stuck, "terminating"), instance("s-1", good.address, "in_service")];
    discovery.push(&chunk(&update(11, false, &change)));
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
    drop(filled);
    // Connections still in the kernel's queue carry no request.
    listener.set_nonblocking(true).expect("set");
    while let Ok((accepted, _)) = listener.accept() {
        let mut stream: TcpStream = accepted.into();
        stream.set_read_timeout(Some(Duration::from_millis(100))).expect("set");
        assert!(!matches!(std::io::Read::read(&mut stream, &mut [0]), Ok(1..)), "something was sent");
    }
}

#[test]
fn requests_in_flight_at_a_removed_server_are_ended() {
    let (hung, good) = (Fake::new(|_| Reply::Silence), Fake::new(|_| ok("served")));
    let discovery = discovery(vec![instance("s-0", hung.address, "in_service")]);
    // One late response does not make the decision module cancel an attempt: only the update can end this one.
    let limiter = Limiter::start(settings(), &discovery, counter().address);
    let mut client = limiter.client();
    client.send(&post("bind", "x"));
    wait_until("the request is sent", || hung.count() == 1);
    // A whole list without the server removes it; the line arrives in pieces.
    let line = chunk(&update(11, true, &[instance("s-1", good.address, "in_service")]));
    let (head, tail) = line.split_at(line.len() / 2);
    discovery.push(head);
    std::thread::sleep(Duration::from_millis(20));
    discovery.push(tail);
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert_eq!((hung.count(), good.count()), (1, 1));
    wait_until("the lost attempt is closed", || hung.ended() == hung.accepted());
}

#[test]
fn a_server_that_moved_is_found_at_its_new_address() {
    let (old, new) = (Fake::new(|_| ok("old")), Fake::new(|_| ok("new")));
    let discovery = discovery(vec![instance("s-0", old.address, "in_service")]);
    let limiter = Limiter::start(settings(), &discovery, counter().address);
    assert_eq!(limiter.client().ask(&quote("roomy", 9000)).text(), "old");
    discovery.push(&chunk(&update(11, false, &[instance("s-0", new.address, "in_service")])));
    wait_until("the kept connection is closed", || old.ended() == 1);
    assert_eq!(limiter.client().ask(&quote("roomy", 9000)).text(), "new");
    assert_eq!(old.count(), 1);
}

#[test]
fn a_broken_watch_is_resumed_at_its_revision() {
    let server = Fake::new(|_| ok("served"));
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let limiter = Limiter::start(settings(), &discovery, counter().address);
    assert!(discovery.seen()[0].start_line.starts_with("GET /discovery/hosts?watch=1"));
    wait_until("the first line is known", || limiter.client().ask(&quote("roomy", 9000)).status() == 200);
    // The watch ends; then a line is not JSON; then an entry lacks required fields.
    for (n, bad) in
        ["", "{\"generation\": 12, ", "{\"generation\":12,\"instances\":[{\"cell\":1}]}"].iter().enumerate()
    {
        if bad.is_empty() {
            discovery.disconnect_all();
        } else {
            discovery.push(&chunk(bad));
        }
        wait_until("the watch is back", || discovery.count() == n + 2);
        assert_eq!(discovery.seen()[n + 1].start_line, "GET /discovery/hosts?watch=1&after=10 HTTP/1.1");
        assert_eq!(limiter.client().ask(&quote("roomy", 9000)).status(), 200, "the old list stays in use");
    }
    wait_until("the faults are logged", || limiter.errors().matches("discovery: ").count() >= 3);
}

#[test]
fn an_entry_that_cannot_be_read_hides_no_other() {
    let server = Fake::new(|_| ok("served"));
    let bad = json!({"instanceId": "s-bad", "hostPort": "nowhere", "lifecycle": "in_service"});
    let discovery = discovery(vec![bad, instance("s-0", server.address, "in_service")]);
    let limiter = Limiter::start(settings(), &discovery, counter().address);
    wait_until("the other is known", || limiter.client().ask(&quote("roomy", 9000)).status() == 200);
    assert_eq!(discovery.count(), 1, "the watch continues");
}

#[test]
fn a_silent_watch_is_replaced() {
    // A watch whose peer is cut off from the network reports no error.
    let server = Fake::new(|_| ok("served"));
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let _limiter = Limiter::start(settings(), &discovery, counter().address);
    wait_until("a second watch", || discovery.count() == 2);
    wait_until("the first is closed", || discovery.ended() >= 1);
}

// ----- the counter -----

#[test]
fn the_counter_is_notified_of_forwarded_requests() {
    let (server, counter) = (Fake::new(|_| ok("served")), counter());
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let limiter = Limiter::start(settings(), &discovery, counter.address);
    let mut client = limiter.client();
    for n in 0.. {
        assert!(n < 50, "no call came");
        assert_eq!(client.ask(&quote("roomy", 9000)).status(), 200);
        if counter.count() > 0 {
            break;
        }
    }
    let call = counter.seen()[0].start_line.clone();
    let (path, query) = call.trim_end_matches(" HTTP/1.1").split_once('?').expect("a query");
    assert!(path.starts_with("POST /tally/") && path.len() <= "POST /tally/".len() + 64, "{call}");
    assert!(query.starts_with("n=") && query.contains("&keep_ms=40000"), "{call}");
}

#[test]
fn a_silent_or_faulty_counter_delays_no_request() {
    let late = || {
        std::thread::sleep(Duration::from_millis(300));
        ok("999999")
    };
    let rules: [fn() -> Reply; 4] =
        [|| Reply::Silence, || ok("no number"), || Reply::RawThenClose("garbage\r\n\r\n".into()), late];
    for (n, rule) in rules.into_iter().enumerate() {
        let server = Fake::new(|_| ok("served"));
        let counter = Fake::new(move |_| rule());
        let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
        let limiter = Limiter::start(settings(), &discovery, counter.address);
        let mut client = limiter.client();
        wait_until("calls were made", || {
            assert_eq!(client.ask(&quote("roomy", 9000)).status(), 200, "rule {n}");
            counter.count() >= 2
        });
        // Such a call closes its connection: a late answer must not be taken for that of the next call.
        assert!(counter.accepted() >= 2, "rule {n}");
        wait_until("the connections are closed", || counter.ended() >= 2);
    }
}

#[test]
fn a_counter_that_refuses_connections_is_reconnected() {
    let server = Fake::new(|_| ok("served"));
    let (counter, address) = unused_address();
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let limiter = Limiter::start(settings(), &discovery, address);
    let mut client = limiter.client();
    for _ in 0..20 {
        assert_eq!(client.ask(&quote("roomy", 9000)).status(), 200);
    }
    counter.listen(16).expect("listen");
    counter.set_nonblocking(true).expect("set");
    wait_until("the counter is called again", || {
        assert_eq!(client.ask(&quote("roomy", 9000)).status(), 200);
        counter.accept().is_ok()
    });
}

// ----- start and end -----

#[test]
fn a_closed_log_does_not_end_the_limiter() {
    let server = Fake::new(|_| ok("served"));
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let limiter = Limiter::start(settings(), &discovery, counter().address);
    limiter.close_log();
    // Each broken watch logs a line: the first line closes the log, and the others are written to the closed log.
    for watches in 2..5 {
        discovery.disconnect_all();
        wait_until("the watch is back", || discovery.count() == watches);
    }
    assert_eq!(limiter.client().ask(&quote("roomy", 9000)).status(), 200);
}

#[test]
fn a_missing_or_malformed_configuration_is_named_in_one_line() {
    let whole = json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings()});
    let with = |key: &str, value: serde_json::Value| {
        let mut config = whole.clone();
        config[key] = value;
        Some(config.to_string())
    };
    let mut no_classes = settings();
    no_classes["classes"] = json!([]);
    for (config, named) in [
        (None, "ROUTER_CONFIG"),
        (Some("{\"listen\":".into()), "ROUTER_CONFIG"),
        (with("settings", json!(null)), "settings"),
        (with("settings", no_classes), "classes"),
        (with("listen", json!(null)), "ROUTER_LISTEN"),
        (with("listen", json!("nowhere")), "ROUTER_CONFIG"),
        (with("discovery", json!(null)), "ROUTER_DISCOVERY"),
        (with("known", json!({"generation": "x"})), "ROUTER_CONFIG"),
    ] {
        let mut command = command();
        let file = config.as_deref().map(temp_file);
        if let Some(file) = &file {
            command.env("ROUTER_CONFIG", file);
        }
        let out = command.stderr(Stdio::piped()).output().expect("run");
        let message = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(1), "{message}");
        assert_eq!(message.lines().count(), 1, "{message}");
        assert!(message.contains(named), "{named}: {message}");
        if let Some(file) = file {
            let _ = std::fs::remove_file(file);
        }
    }
    let missing = command().env("ROUTER_CONFIG", "no/such/file").output().expect("run");
    assert!(String::from_utf8_lossy(&missing.stderr).contains("no/such/file"));
    assert_eq!(missing.status.code(), Some(1));
}
