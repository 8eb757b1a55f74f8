//! The real binary against a discovery service that falls silent, fails calls, moves, or formats its
//! JSON differently.
mod common;

use common::*;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long after a change a limiter counts as notified of it.
const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// How long after its move to another discovery address a limiter counts as notified of earlier changes.
const NOTIFICATION_DEADLINE_AFTER_MOVE: Duration = Duration::from_secs(4);

fn list(revision: u64, servers: &[(&Fake, &str)]) -> String {
    let named = servers.iter().enumerate();
    let named: Vec<Value> =
        named.map(|(n, (s, state))| instance(&format!("s-{n}"), s.address, state)).collect();
    update(revision, true, &named)
}

fn two_servers() -> (Fake, Fake) {
    (Fake::new(|_| ok("first")), Fake::new(|_| ok("second")))
}

/// Two lists of two servers: in the first one server is in service, in the second the other one, which
/// answers `second`.
fn swapped_lists() -> (String, String) {
    let (first, second) = two_servers();
    let before = list(10, &[(&first, "in_service"), (&second, "terminating")]);
    (before, list(11, &[(&first, "terminating"), (&second, "in_service")]))
}

/// A discovery stand-in that answers each watch by its number, counted from 0.
fn discovery_by_watch(rule: impl Fn(usize) -> Reply + Send + Sync + 'static) -> Fake {
    let next = AtomicUsize::new(0);
    Fake::new(move |_| rule(next.fetch_add(1, Ordering::SeqCst)))
}

/// The response to a watch with this list.
fn list_reply(line: &str) -> Reply {
    Reply::Raw(format!("{WATCH_HEAD}{}", chunk(line)))
}

#[test]
fn a_list_is_read_with_any_whitespace_and_in_any_chunks() {
    let (first, second) = two_servers();
    let pretty = |text: &str| {
        let value: Value = serde_json::from_str(text).expect("JSON");
        serde_json::to_string_pretty(&value).expect("JSON")
    };
    let indented = pretty(&list(10, &[(&first, "in_service"), (&second, "terminating")]));
    let discovery = discovery_by_watch(move |_| list_reply(&indented));
    let limiter = Limiter::start(settings(), &discovery, counter().address);
    assert_eq!(limiter.client().ask(&quote("roomy", 9000)).text(), "first");
    // A change in chunks of one byte, between empty lines.
    let text = pretty(&list(11, &[(&first, "terminating"), (&second, "in_service")]));
    for byte in format!("\n\n{text}\n\n").chars() {
        discovery.push(&format!("1\r\n{byte}\r\n"));
    }
    wait_until("the change is in force", || limiter.client().ask(&quote("roomy", 9000)).text() == "second");
    assert_eq!(discovery.count(), 1, "one watch was enough: {}", limiter.errors());
}

#[test]
fn neither_spaces_nor_a_partial_message_count_as_a_heartbeat() {
    let partial = "{\"generation\": 11, \"instances\": [ {\"instanceId\": \"s-0\", ";
    let never_complete = [String::new(), partial.to_string(), partial.replace(' ', "\n\n")];
    let cases: Vec<_> = never_complete
        .into_iter()
        .map(|start| {
            thread::spawn(move || {
                let server = Fake::new(|_| ok("served"));
                let line = list(10, &[(&server, "in_service")]);
                let discovery = discovery_by_watch(move |n| match n {
                    0 => {
                        let head = format!("{WATCH_HEAD}{}", chunk(&line));
                        let mut pieces = vec![(Duration::ZERO, head)];
                        if !start.is_empty() {
                            pieces.push((Duration::ZERO, format!("{:x}\r\n{start}\r\n", start.len())));
                        }
                        let trickle = (Duration::from_millis(100), "1\r\n \r\n".to_string());
                        pieces.extend(std::iter::repeat_n(trickle, 120));
                        Reply::Pieces(pieces)
                    }
                    _ => list_reply(&line),
                });
                let _limiter = Limiter::start(settings(), &discovery, counter().address);
                let began = Instant::now();
                wait_until("another watch is open", || discovery.count() > 1);
                assert!(began.elapsed() < NOTIFICATION_DEADLINE, "{:?}", began.elapsed());
            })
        })
        .collect();
    for case in cases {
        case.join().expect("a case");
    }
}

/// How the opening of a watch may fail.
#[derive(Clone, Copy, Debug)]
enum OpenFault {
    Hang,
    HeadOnly,
    Status,
    Cut,
}

impl OpenFault {
    fn reply(self) -> Reply {
        match self {
            OpenFault::Hang => Reply::Silence,
            OpenFault::HeadOnly => Reply::Raw(WATCH_HEAD.into()),
            OpenFault::Status => Reply::Raw(raw("503 Service Unavailable", "", "")),
            OpenFault::Cut => Reply::RawThenClose(String::new()),
        }
    }
}

/// Failures before the opening that succeeds. The larger numbers are as many as must fit into the
/// notification deadline with time to spare.
const FAULT_CASES: [(OpenFault, usize); 6] = [
    (OpenFault::Hang, 1),
    (OpenFault::Hang, 6),
    (OpenFault::HeadOnly, 1),
    (OpenFault::HeadOnly, 4),
    (OpenFault::Status, 6),
    (OpenFault::Cut, 6),
];

#[test]
fn a_silent_watch_is_replaced_in_time_however_calls_fail() {
    let cases = FAULT_CASES.map(|(fault, times)| {
        thread::spawn(move || {
            let (before, after) = swapped_lists();
            let discovery = discovery_by_watch(move |n| match n {
                0 => list_reply(&before),
                n if n <= times => fault.reply(),
                _ => list_reply(&after),
            });
            let limiter = Limiter::start(settings(), &discovery, counter().address);
            // The deadline counts from the last heartbeat, which was before this moment.
            let began = Instant::now();
            wait_until("the change is in force", || {
                limiter.client().ask(&quote("roomy", 9000)).text() == "second"
            });
            assert!(
                began.elapsed() < NOTIFICATION_DEADLINE,
                "{fault:?} {times} times: {:?}",
                began.elapsed()
            );
        })
    });
    for case in cases {
        case.join().expect("a case");
    }
}

#[test]
fn a_moved_discovery_is_followed_in_time_however_calls_fail() {
    let cases = FAULT_CASES.map(|(fault, times)| {
        thread::spawn(move || {
            let (before, after) = swapped_lists();
            let (old, count) = (discovery_by_watch(move |_| list_reply(&before)), counter());
            let new = discovery_by_watch(move |n| if n < times { fault.reply() } else { list_reply(&after) });
            let limiter = Limiter::start(settings(), &old, count.address);
            let began = Instant::now();
            limiter.move_to(new.address, count.address);
            wait_until("the change is in force", || {
                limiter.client().ask(&quote("roomy", 9000)).text() == "second"
            });
            assert!(
                began.elapsed() < NOTIFICATION_DEADLINE_AFTER_MOVE,
                "{fault:?} {times} times: {:?}",
                began.elapsed()
            );
        })
    });
    for case in cases {
        case.join().expect("a case");
    }
}

#[test]
fn a_discovery_that_refuses_connections_is_followed_soon_after_its_return() {
    let (before, after) = swapped_lists();
    let (old, count) = (discovery_by_watch(move |_| list_reply(&before)), counter());
    let limiter = Limiter::start(settings(), &old, count.address);
    let (socket, address) = unused_address();
    limiter.move_to(address, count.address);
    wait_until("connections are refused", || limiter.errors().contains("no connection"));
    socket.listen(16).expect("listen");
    let (new, began) = (Fake::on_listener(socket.into(), move |_| list_reply(&after)), Instant::now());
    wait_until("the change is in force", || limiter.client().ask(&quote("roomy", 9000)).text() == "second");
    // Pauses after refused connections do not grow: each is 0.2 s at most; the rest allows for a busy
    // machine.
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
    assert!(new.count() >= 1);
}

/// A change counts as notified from the moment that discovery is back, so a call has to be in flight then.
#[test]
fn while_discovery_is_down_a_call_is_always_in_flight() {
    let server = Fake::new(|_| ok("served"));
    let line = list(10, &[(&server, "in_service")]);
    let discovery = discovery_by_watch(move |n| if n == 0 { list_reply(&line) } else { Reply::Silence });
    let _limiter = Limiter::start(settings(), &discovery, counter().address);
    wait_until("the first new call hangs", || discovery.count() > 1);
    let (mut polls_without_call, end) = (0, Instant::now() + Duration::from_secs(3));
    while Instant::now() < end {
        // The silent watch and the calls that hang.
        let waiting = discovery.accepted() - discovery.ended();
        polls_without_call = if waiting < 2 { polls_without_call + 1 } else { 0 };
        assert!(polls_without_call < 5, "only the silent watch is left");
        thread::sleep(Duration::from_millis(10));
    }
    let open = discovery.accepted() - discovery.ended();
    assert!(open <= 11, "{open} descriptors at once");
}

#[test]
fn a_watch_that_resumes_after_silence_is_kept() {
    let (first, second) = two_servers();
    let before = list(10, &[(&first, "in_service"), (&second, "terminating")]);
    let discovery = discovery_by_watch(move |n| if n == 0 { list_reply(&before) } else { Reply::Silence });
    let limiter = Limiter::start(settings(), &discovery, counter().address);
    wait_until("new calls hang", || discovery.count() > 3);
    // The hanging calls do not take what is pushed for a response: it has no head.
    discovery.push(&chunk(&list(11, &[(&first, "terminating"), (&second, "in_service")])));
    wait_until("the change is in force", || limiter.client().ask(&quote("roomy", 9000)).text() == "second");
    wait_until("the other calls end", || discovery.accepted() - discovery.ended() == 1);
}

// ----- start of a process -----

#[test]
fn a_new_process_does_not_use_its_configured_list_while_discovery_may_answer() {
    let (first, second) = two_servers();
    let known = list(9, &[(&first, "in_service")]);
    let now = list(10, &[(&first, "terminating"), (&second, "in_service")]);
    let silent = Arc::new(AtomicBool::new(true));
    let gate = silent.clone();
    let discovery =
        discovery_by_watch(
            move |_| if gate.load(Ordering::SeqCst) { Reply::Silence } else { list_reply(&now) },
        );
    let limiter = Limiter::with_known_list(&known, settings(), discovery.address);
    // Longer than a list takes to arrive. Requests before the limiter is ready are refused without delay.
    let end = Instant::now() + Duration::from_secs(2);
    while Instant::now() < end {
        assert_eq!(limiter.client().ask(&quote("roomy", 9000)).status(), 429);
        assert!(!limiter.up(), "the limiter reports that it is ready");
    }
    silent.store(false, Ordering::SeqCst);
    wait_until("the limiter is up", || limiter.up());
    assert_eq!(limiter.client().ask(&quote("roomy", 9000)).text(), "second");
    assert_eq!(first.count(), 0, "a draining server received requests");
    assert!(!discovery.seen()[0].start_line.contains("after"), "a new process asks for the whole list");
}

#[test]
fn a_new_process_without_discovery_uses_its_configured_list_within_ten_seconds() {
    let server = Fake::new(|_| ok("served"));
    let discovery = discovery_by_watch(|_| Reply::Silence);
    let began = Instant::now();
    let limiter =
        Limiter::with_known_list(&list(9, &[(&server, "in_service")]), settings(), discovery.address);
    wait_until("the limiter is up", || limiter.up());
    assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
    assert_eq!(limiter.client().ask(&quote("roomy", 9000)).text(), "served");
    assert!(json!(limiter.errors()).to_string().contains("no list came"));
}
