//! One client that sends as fast as it can leaves other clients their turns.
mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;

/// A request that is answered at once, and after which the connection stays open.
const SMALL_REQUEST: &str = "GET /up HTTP/1.1\r\n\r\n";
/// The requests of the other client.
const REQUESTS: usize = 200;
/// How many requests of the fast client may be served during one of the other client's: one each time that its
/// connection has a turn. tokio runs 61 tasks before it asks for new input, and the other client's request and its answer
/// may each wait for that.
const MAX_SERVED_MEANWHILE: usize = 2 * 61 * 2;

/// Sends small requests over one connection until `done`, and counts the bytes of the answers.
fn flood(address: SocketAddr, done: &AtomicBool, answered_bytes: &AtomicUsize) {
    let mut stream = TcpStream::connect(address).expect("connect");
    let mut reader = stream.try_clone().expect("clone");
    let requests = SMALL_REQUEST.repeat(100);
    thread::scope(|scope| {
        scope.spawn(move || {
            let mut buffer = [0; 16 * 1024];
            while let Ok(count @ 1..) = reader.read(&mut buffer) {
                answered_bytes.fetch_add(count, Ordering::SeqCst);
            }
        });
        while !done.load(Ordering::SeqCst) && stream.write_all(requests.as_bytes()).is_ok() {}
        let _ = stream.shutdown(Shutdown::Both);
    });
}

/// Guards against a client whose requests, sent at full speed over one connection, are all served before others have a
/// turn.
#[test]
fn a_client_at_full_speed_leaves_others_their_turns() {
    let server = Fake::new(|_| ok("served"));
    let limiter = Limiter::with_servers(&[&server]);
    let mut client = limiter.client();
    let answer = client.ask(SMALL_REQUEST);
    let answer_bytes = answer.start_line.len()
        + answer.body.len()
        + answer.headers.iter().map(|(name, value)| name.len() + value.len() + ": \r\n".len()).sum::<usize>()
        + "\r\n\r\n".len();
    let (done, answered_bytes) = (AtomicBool::new(false), AtomicUsize::new(0));
    let mut meanwhile: Vec<usize> = thread::scope(|scope| {
        scope.spawn(|| flood(limiter.address, &done, &answered_bytes));
        wait_until("the fast client is served", || {
            answered_bytes.load(Ordering::SeqCst) > 100 * answer_bytes
        });
        let ask = |_| {
            let before = answered_bytes.load(Ordering::SeqCst);
            assert_eq!(client.ask(SMALL_REQUEST).status(), 200);
            (answered_bytes.load(Ordering::SeqCst) - before) / answer_bytes
        };
        let meanwhile = (0..REQUESTS).map(ask).collect();
        done.store(true, Ordering::SeqCst);
        meanwhile
    });
    meanwhile.sort_unstable();
    // The median, since the machine may hold up this test's own threads now and then.
    let median = meanwhile[REQUESTS / 2];
    eprintln!("median {median}, most {}", meanwhile[REQUESTS - 1]);
    assert!(
        median <= MAX_SERVED_MEANWHILE,
        "{median} requests of the fast client were served before one of another"
    );
}
