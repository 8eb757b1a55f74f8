//! Servers whose responses are malformed, are followed by surplus bytes, or carry impossible values.
mod common;

use common::*;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

#[test]
fn a_malformed_response_fails_at_once_and_closes_its_connection() {
    let faults = [
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly a part",
        "HTTP/1.1 200 OK\r\nX-Endless: ",
        "HTTP/1.1 200 OK\r\n\r\nwith no length",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on",
        "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "HTTP/1.1 2000 OK\r\n\r\n",
        "\u{1}\u{2}\u{3} noise",
    ];
    for fault in faults {
        let count = AtomicU32::new(0);
        let server = Fake::new(move |_| match count.fetch_add(1, Ordering::SeqCst) {
            0 => Reply::Raw(fault.into()),
            _ => ok("good"),
        });
        let limiter = Limiter::with_servers(&[&server]);
        // The server may have executed the request: only its idempotency key permits the retry, which has to end within
        // the client's deadline.
        let began = Instant::now();
        let answer = limiter.client().ask(&post("bind", "x"));
        assert_eq!((answer.status(), answer.text().as_str()), (200, "good"), "{fault:?}");
        assert!(began.elapsed() < Duration::from_millis(1500), "{fault:?}: {:?}", began.elapsed());
        assert_eq!(server.count(), 2);
        wait_until("its connection is closed", || server.ended() >= 1);
    }
}

#[test]
fn surplus_bytes_after_a_response_do_not_answer_the_next_request() {
    let own = |m: &Message| m.header("x-correlation-id").unwrap_or_default().to_string();
    for pause in [None, Some(0), Some(1), Some(3), Some(8), Some(12)] {
        let server = Fake::new(move |m| {
            let (good, copy) = (raw("200 OK", "", &own(m)), raw("200 OK", "", "a copy"));
            match pause {
                None => Reply::Raw(good + &copy),
                Some(ms) => Reply::Pieces(vec![(Duration::ZERO, good), (Duration::from_millis(ms), copy)]),
            }
        });
        let limiter = Limiter::with_servers(&[&server]);
        let mut client = limiter.client();
        for _ in 0..20 {
            let request = post("once", "x");
            let answer = client.ask(&request);
            assert!(request.contains(&answer.text()), "{pause:?}: {}", answer.text());
        }
    }
}

#[test]
fn an_informational_response_is_skipped_however_late_the_final_one_is() {
    let server = Fake::new(|_| {
        Reply::Pieces(vec![
            (Duration::ZERO, "HTTP/1.1 102 Processing\r\n\r\n".into()),
            (Duration::from_millis(600), raw("200 OK", "", "served")),
        ])
    });
    let limiter = Limiter::with_servers(&[&server]);
    for _ in 0..2 {
        let answer = limiter.client().ask(&post("once", "x"));
        assert_eq!((answer.status(), answer.text().as_str()), (200, "served"));
    }
}

#[test]
fn impossible_units_in_a_response_block_no_customer() {
    for figure in ["-5", "99999", "1e9", "NaN", "inf", "much"] {
        let headers = format!("X-Settled: {figure}\r\nX-Backend-Load: util={figure},queue=-1\r\n");
        let server = Fake::new(move |_| Reply::Raw(raw("200 OK", &headers, "served")));
        let limiter = Limiter::with_servers(&[&server]);
        let mut client = limiter.client();
        // The burst of this plan is four units.
        for n in 0..4 {
            assert_eq!(client.ask(&quote("small", 9000)).status(), 200, "{figure}: request {n}");
        }
    }
}
