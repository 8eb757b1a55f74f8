//! The real binary and a discovery that is silent, half there, slow to return, or says things in other layouts.
mod common;

use common::*;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// What discovery has counts as notified after this time, and after this time from a move.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
const NOTIFIED_AFTER_MOVE: Duration = Duration::from_secs(4);

fn list(generation: u64, servers: &[(&Fake, &str)]) -> String {
    let named = servers.iter().enumerate();
    let named: Vec<Value> =
        named.map(|(n, (s, state))| instance(&format!("s-{n}"), s.address, state)).collect();
    update(generation, true, &named)
}

fn two_servers() -> (Fake, Fake) {
    (Fake::new(|_| ok("first")), Fake::new(|_| ok("second")))
}

/// Two lists: at first one of two servers serves, and then the other, which answers `second`.
fn swapped() -> (String, String) {
    let (first, second) = two_servers();
    let before = list(10, &[(&first, "in_service"), (&second, "terminating")]);
    (before, list(11, &[(&first, "terminating"), (&second, "in_service")]))
}

/// A discovery whose watches each get what the rule makes of their number, from 0.
fn watches(rule: impl Fn(usize) -> Reply + Send + Sync + 'static) -> Fake {
    let next = AtomicUsize::new(0);
    Fake::new(move |_| rule(next.fetch_add(1, Ordering::SeqCst)))
}

fn whole(line: &str) -> Reply {
    Reply::Raw(format!("{WATCH_HEAD}{}", chunk(line)))
}

#[test]
fn a_list_is_read_in_any_layout_and_split_anywhere() {
    let (first, second) = two_servers();
    let pretty = |text: &str| {
        let value: Value = serde_json::from_str(text).expect("JSON");
        serde_json::to_string_pretty(&value).expect("JSON")
    };
    let indented = pretty(&list(10, &[(&first, "in_service"), (&second, "terminating")]));
    let discovery = watches(move |_| whole(&indented));
    let limiter = Limiter::start(settings(), &discovery, counter().address);
    assert_eq!(limiter.client().ask(&quote("roomy", 9000)).text(), "first");
    // A change, byte by byte, between empty lines.
    let text = pretty(&list(11, &[(&first, "terminating"), (&second, "in_service")]));
    for byte in format!("\n\n{text}\n\n").chars() {
        discovery.push(&format!("1\r\n{byte}\r\n"));
    }
    wait_until("the change holds", || limiter.client().ask(&quote("roomy", 9000)).text() == "second");
    assert_eq!(discovery.count(), 1, "one watch was enough: {}", limiter.errors());
}

#[test]
fn neither_spaces_nor_a_partial_message_keep_a_dead_watch_alive() {
    let begun = "{\"generation\": 11, \"instances\": [ {\"instanceId\": \"s-0\", ";
    let never_whole = [String::new(), begun.to_string(), begun.replace(' ', "\n\n")];
    let cases: Vec<_> = never_whole
        .into_iter()
        .map(|start| {
            thread::spawn(move || {
                let server = Fake::new(|_| ok("served"));
                let line = list(10, &[(&server, "in_service")]);
                let discovery = watches(move |n| match n {
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
                    _ => whole(&line),
                });
                let _limiter = Limiter::start(settings(), &discovery, counter().address);
                let began = Instant::now();
                wait_until("another watch is open", || discovery.count() > 1);
                assert!(began.elapsed() < NOTIFIED_AFTER, "{:?}", began.elapsed());
            })
        })
        .collect();
    for case in cases {
        case.join().expect("a case");
    }
}

/// How an opening may come to nothing.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Hangs,
    HeadAlone,
    Status,
    Cut,
}

impl Fault {
    fn reply(self) -> Reply {
        match self {
            Fault::Hangs => Reply::Silence,
            Fault::HeadAlone => Reply::Raw(WATCH_HEAD.into()),
            Fault::Status => Reply::Raw(raw("503 Service Unavailable", "", "")),
            Fault::Cut => Reply::RawThenClose(String::new()),
        }
    }
}

/// As many as have to fit with room to spare: once, and several times in a row.
const ROWS: [(Fault, usize); 6] = [
    (Fault::Hangs, 1),
    (Fault::Hangs, 6),
    (Fault::HeadAlone, 1),
    (Fault::HeadAlone, 4),
    (Fault::Status, 6),
    (Fault::Cut, 6),
];

#[test]
fn a_silent_watch_is_replaced_in_time_whatever_becomes_of_the_calls() {
    let rows = ROWS.map(|(fault, times)| {
        thread::spawn(move || {
            let (before, after) = swapped();
            let discovery = watches(move |n| match n {
                0 => whole(&before),
                n if n <= times => fault.reply(),
                _ => whole(&after),
            });
            let limiter = Limiter::start(settings(), &discovery, counter().address);
            // Not before the last sign of life.
            let began = Instant::now();
            wait_until("the change holds", || limiter.client().ask(&quote("roomy", 9000)).text() == "second");
            assert!(began.elapsed() < NOTIFIED_AFTER, "{fault:?} {times} times: {:?}", began.elapsed());
        })
    });
    for row in rows {
        row.join().expect("a row");
    }
}

#[test]
fn a_moved_discovery_is_followed_in_time_whatever_becomes_of_the_calls() {
    let rows = ROWS.map(|(fault, times)| {
        thread::spawn(move || {
            let (before, after) = swapped();
            let (old, count) = (watches(move |_| whole(&before)), counter());
            let new = watches(move |n| if n < times { fault.reply() } else { whole(&after) });
            let limiter = Limiter::start(settings(), &old, count.address);
            let began = Instant::now();
            limiter.move_to(new.address, count.address);
            wait_until("the change holds", || limiter.client().ask(&quote("roomy", 9000)).text() == "second");
            assert!(began.elapsed() < NOTIFIED_AFTER_MOVE, "{fault:?} {times} times: {:?}", began.elapsed());
        })
    });
    for row in rows {
        row.join().expect("a row");
    }
}

#[test]
fn a_discovery_that_refuses_connections_is_followed_soon_after_its_return() {
    let (before, after) = swapped();
    let (old, count) = (watches(move |_| whole(&before)), counter());
    let limiter = Limiter::start(settings(), &old, count.address);
    let (socket, address) = unused_address();
    limiter.move_to(address, count.address);
    wait_until("openings are refused", || limiter.errors().contains("no connection"));
    socket.listen(16).expect("listen");
    let (new, began) = (Fake::on_listener(socket.into(), move |_| whole(&after)), Instant::now());
    wait_until("the change holds", || limiter.client().ask(&quote("roomy", 9000)).text() == "second");
    // Not after pauses that grew: one of a fifth of a second at most, on a busy machine.
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
    assert!(new.count() >= 1);
}

/// What comes at the return counts at once, so one who asks has to be there in that moment.
#[test]
fn while_discovery_is_down_a_call_is_always_in_flight() {
    let server = Fake::new(|_| ok("served"));
    let line = list(10, &[(&server, "in_service")]);
    let discovery = watches(move |n| if n == 0 { whole(&line) } else { Reply::Silence });
    let _limiter = Limiter::start(settings(), &discovery, counter().address);
    wait_until("the first opening hangs", || discovery.count() > 1);
    let (mut alone, end) = (0, Instant::now() + Duration::from_secs(3));
    while Instant::now() < end {
        // The silent watch and whatever hangs.
        let waiting = discovery.accepted() - discovery.ended();
        alone = if waiting < 2 { alone + 1 } else { 0 };
        assert!(alone < 5, "only the silent watch is left");
        thread::sleep(Duration::from_millis(10));
    }
    let most = discovery.accepted() - discovery.ended();
    assert!(most <= 11, "{most} descriptors at once");
}

#[test]
fn a_watch_with_a_heartbeat_after_silence_is_kept() {
    let (first, second) = two_servers();
    let before = list(10, &[(&first, "in_service"), (&second, "terminating")]);
    let discovery = watches(move |n| if n == 0 { whole(&before) } else { Reply::Silence });
    let limiter = Limiter::start(settings(), &discovery, counter().address);
    wait_until("openings hang", || discovery.count() > 3);
    // Those that hang take what is pushed for no answer.
    discovery.push(&chunk(&list(11, &[(&first, "terminating"), (&second, "in_service")])));
    wait_until("the change holds", || limiter.client().ask(&quote("roomy", 9000)).text() == "second");
    wait_until("the openings end", || discovery.accepted() - discovery.ended() == 1);
}

// ----- a new process -----

#[test]
fn nothing_goes_out_by_the_list_at_hand_while_the_agent_may_know_more() {
    let (first, second) = two_servers();
    let known = list(9, &[(&first, "in_service")]);
    let now = list(10, &[(&first, "terminating"), (&second, "in_service")]);
    let silent = Arc::new(AtomicBool::new(true));
    let gate = silent.clone();
    let discovery = watches(move |_| if gate.load(Ordering::SeqCst) { Reply::Silence } else { whole(&now) });
    let limiter = Limiter::with_known_list(&known, settings(), discovery.address);
    // Longer than a list takes to come, asked over and over. What comes before it is ready is refused at once.
    let end = Instant::now() + Duration::from_secs(2);
    while Instant::now() < end {
        assert_eq!(limiter.client().ask(&quote("roomy", 9000)).status(), 429);
        assert!(!limiter.up(), "clients are asked in");
    }
    silent.store(false, Ordering::SeqCst);
    wait_until("the limiter is up", || limiter.up());
    assert_eq!(limiter.client().ask(&quote("roomy", 9000)).text(), "second");
    assert_eq!(first.count(), 0, "a server that drains got something");
    assert!(!discovery.seen()[0].start_line.contains("after"), "a new process asks for the whole list");
}

#[test]
fn a_new_process_without_discovery_goes_by_the_list_at_hand_before_ten_seconds() {
    let server = Fake::new(|_| ok("served"));
    let discovery = watches(|_| Reply::Silence);
    let began = Instant::now();
    let limiter =
        Limiter::with_known_list(&list(9, &[(&server, "in_service")]), settings(), discovery.address);
    wait_until("the limiter is up", || limiter.up());
    assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
    assert_eq!(limiter.client().ask(&quote("roomy", 9000)).text(), "served");
    assert!(json!(limiter.errors()).to_string().contains("no list came"));
}
