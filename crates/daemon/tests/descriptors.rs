//! More connections than the descriptor limit allows: the limit holds, and every client that sends a request gets an
//! answer.
mod common;

use common::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const DESCRIPTOR_LIMIT: u32 = 128;

fn start_limiter(server: &Fake, count: std::net::SocketAddr) -> (Fake, Limiter) {
    // Lists the server under 16 ids, so that it gets many requests at once.
    let list = (0..16).map(|n| instance(&format!("s-{n}"), server.address, "in_service")).collect();
    let discovery = discovery(list);
    let limiter = Limiter::with_descriptor_limit(DESCRIPTOR_LIMIT, settings(), &discovery, count);
    (discovery, limiter)
}

/// The largest number of open descriptors that is seen during this time.
fn max_open_descriptors(limiter: &Limiter, time: Duration) -> usize {
    let (mut max_open, end) = (0, Instant::now() + time);
    while Instant::now() < end {
        max_open = max_open.max(limiter.descriptors());
    }
    max_open
}

#[test]
fn a_burst_of_connections_stays_within_the_descriptor_limit() {
    let server = Fake::new(|_| ok("served"));
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let limiter = Limiter::with_descriptor_limit(72, settings(), &discovery, counter().address);
    limiter.pause();
    // No more than the kernel's accept queue holds.
    let mut clients: Vec<Client> = (0..110).map(|_| limiter.client()).collect();
    limiter.resume();
    let max_open = max_open_descriptors(&limiter, Duration::from_millis(400));
    assert!(max_open <= 72, "{max_open} open");
    // The last of them is served, too.
    let last = clients.last_mut().expect("one");
    assert_eq!(last.ask(&quote("roomy", 9000)).status(), 200);
}

#[test]
fn idle_clients_leave_descriptors_for_discovery_counter_and_servers() {
    let (first, second) = (Fake::new(|_| ok("first")), Fake::new(|_| ok("second")));
    let list = |generation, a: &str, b: &str| {
        update(generation, true, &[instance("s-0", first.address, a), instance("s-1", second.address, b)])
    };
    let (before, after) = (list(10, "in_service", "terminating"), list(11, "terminating", "in_service"));
    let (next, down) = (AtomicUsize::new(0), Arc::new(AtomicBool::new(true)));
    let is_down = down.clone();
    let discovery = Fake::new(move |_| match next.fetch_add(1, Ordering::SeqCst) {
        0 => Reply::Raw(format!("{WATCH_HEAD}{}", chunk(&before))),
        _ if is_down.load(Ordering::SeqCst) => Reply::Silence,
        _ => Reply::Raw(format!("{WATCH_HEAD}{}", chunk(&after))),
    });
    let count = counter();
    let limiter = Limiter::with_descriptor_limit(DESCRIPTOR_LIMIT, settings(), &discovery, count.address);
    wait_until("discovery is down", || discovery.count() > 3);
    // The idle clients use all connections that are allowed, and reconnect when they are closed.
    let done = Arc::new(AtomicBool::new(false));
    let idle: Vec<_> = (0..4)
        .map(|_| {
            let (address, done) = (limiter.address, done.clone());
            thread::spawn(move || {
                let mut held = std::collections::VecDeque::new();
                while !done.load(Ordering::SeqCst) {
                    held.extend(
                        std::net::TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok(),
                    );
                    if held.len() > 60 {
                        held.pop_front();
                    }
                    thread::sleep(Duration::from_millis(1));
                }
            })
        })
        .collect();
    wait_until("the idle clients are connected", || limiter.descriptors() > 40);
    let (calls, mut served) = (count.count(), 0);
    wait_until("clients that send requests are served, and counted", || {
        served += usize::from(limiter.client().ask(&quote("roomy", 9000)).status() == 200);
        served > 20 && count.count() > calls
    });
    let max_open = max_open_descriptors(&limiter, Duration::from_millis(300));
    assert!(max_open <= DESCRIPTOR_LIMIT as usize, "{max_open} open");
    down.store(false, Ordering::SeqCst);
    let began = Instant::now();
    wait_until("the new list is in use", || limiter.client().ask(&quote("roomy", 9000)).text() == "second");
    assert!(began.elapsed() < Duration::from_secs(4), "{:?}", began.elapsed());
    done.store(true, Ordering::SeqCst);
    for client in idle {
        client.join().expect("an idle client");
    }
}

/// Spawns a client that sends requests until `done` is set, and returns the number of its responses.
fn spawn_active_client(limiter: &Limiter, done: &Arc<AtomicBool>) -> thread::JoinHandle<u32> {
    let (address, done) = (limiter.address, done.clone());
    let mut client = limiter.client();
    thread::spawn(move || {
        let mut answered = 0;
        while !done.load(Ordering::SeqCst) {
            let request = quote("roomy", 9000);
            client.send_ignoring_errors(request.as_bytes());
            match client.answer() {
                Some(answer) => {
                    assert!([200, 429].contains(&answer.status()), "{}", answer.start_line);
                    answered += 1;
                }
                // The connection was closed between two requests: the client sends the next one on a new connection.
                None => client = Client::to(address),
            }
            thread::sleep(Duration::from_millis(5));
        }
        answered
    })
}

#[test]
fn a_connection_flood_costs_no_client_its_answer() {
    let server = Fake::new(|_| ok("served"));
    let (_discovery, limiter) = start_limiter(&server, counter().address);
    let (done, floods) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let junk = [
        "x".repeat(100_000),
        post("once", "x") + &"y".repeat(100_000),
        "GET / HTTP/1.1\r\n\r\n".repeat(2_000),
    ];
    let flood: Vec<_> = junk
        .into_iter()
        .map(|junk| {
            let (address, done, floods) = (limiter.address, done.clone(), floods.clone());
            thread::spawn(move || {
                while !done.load(Ordering::SeqCst) {
                    if let Ok(mut stream) = std::net::TcpStream::connect(address) {
                        let _ = std::io::Write::write_all(&mut stream, junk.as_bytes());
                        floods.fetch_add(1, Ordering::SeqCst);
                    }
                }
            })
        })
        .collect();
    let active: Vec<_> = (0..6).map(|_| spawn_active_client(&limiter, &done)).collect();
    wait_until("the flood has opened more than 300 connections", || floods.load(Ordering::SeqCst) > 300);
    let max_open = max_open_descriptors(&limiter, Duration::from_millis(300));
    done.store(true, Ordering::SeqCst);
    for flood in flood {
        flood.join().expect("a flood");
    }
    for client in active {
        assert!(client.join().expect("a client") > 5, "a client got too few responses");
    }
    assert!(max_open <= DESCRIPTOR_LIMIT as usize, "{max_open} open");
}

/// The processor time that the process has used so far, in seconds.
fn processor_time_s(limiter: &Limiter) -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", limiter.pid())).expect("its state");
    let (_, fields) = stat.rsplit_once(')').expect("its name");
    // User and system time are fields 14 and 15 of the line, the 12th and 13th behind the name.
    let ticks = fields.split_whitespace().skip(11).take(2).map(|ticks| ticks.parse::<f64>().expect("ticks"));
    ticks.sum::<f64>() / TICKS_PER_SECOND
}

/// Guards against a process that ends, or turns all its time to failed accepts, once the system gives it no more
/// descriptors: fewer than its configuration says.
#[test]
fn descriptors_that_are_used_up_do_not_end_or_occupy_the_process() {
    const DESCRIPTORS_GIVEN: u32 = 48;
    let server = Fake::new(|_| ok("served"));
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    // The path of a socket has 108 bytes at most.
    let status = std::env::temp_dir().join(format!("liftrouter-{}.sock", std::process::id()));
    let operator = temp_file(&format!(
        "[members]\nname = 'n0'\nlisten = '127.0.0.1:0'\njoin = []\nvoters = []\nask = '{}'\n",
        status.display()
    ));
    let program = command();
    let mut limited = std::process::Command::new("sh");
    limited.args(["-c", &format!("ulimit -n {DESCRIPTORS_GIVEN}; exec \"$0\" \"$@\"")]);
    limited.arg(program.get_program()).arg("--operator").arg(&operator);
    let limits = serde_json::json!({"cores": 1.0, "memory_mb": 192, "sockets": 1024});
    let limiter = Limiter::with_limits(limits, limited, settings(), &discovery, counter().address);
    let clients: Vec<Client> = (0..60).map(|_| limiter.client()).collect();
    wait_until("no descriptor is left", || limiter.errors().contains("cannot accept"));
    let _query = std::os::unix::net::UnixStream::connect(&status).expect("connect");
    let (began, before) = (Instant::now(), processor_time_s(&limiter));
    thread::sleep(Duration::from_secs(1));
    let share = (processor_time_s(&limiter) - before) / began.elapsed().as_secs_f64();
    assert!(share < 0.5, "{share:.2} of a core is used while nothing can be accepted");
    drop(clients);
    wait_until("another client is served", || limiter.client().ask(&quote("roomy", 9_000)).status() == 200);
    let _ = std::fs::remove_file(operator);
    let _ = std::fs::remove_file(status);
}
