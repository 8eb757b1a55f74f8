//! Several limiter processes together: their total rate to a server in slow start, and how soon they are
//! ready.
mod common;

use common::*;
use serde_json::json;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const LIMITERS: u32 = 8;
/// The slow start window in the settings.
const SLOW_START_WINDOW: Duration = Duration::from_secs(2);
/// How many requests a server without load history may receive within one window, from all limiters together.
const SLOW_START_BUDGET: f64 = 4.0;

fn limiter_settings(index: u32) -> serde_json::Value {
    let mut settings = settings();
    settings["me"] = json!(index);
    settings["peers-total"] = json!(LIMITERS);
    settings
}

#[test]
fn limiters_together_keep_the_slow_start_budget_of_a_server_through_restarts() {
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let recorded = arrivals.clone();
    let server = Fake::new(move |_| {
        recorded.lock().expect("lock").push(Instant::now());
        ok("served")
    });
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis() as u64;
    let mut cold = instance("s-0", server.address, "in_service");
    cold["startedAtMs"] = json!(now);
    let (discovery, count, done) = (discovery(vec![cold]), counter(), Arc::new(AtomicBool::new(false)));
    let run = |index| {
        let (discovery, count, done) = (discovery.clone(), count.address, done.clone());
        thread::spawn(move || {
            // Each limiter is killed and restarted repeatedly, with a period that differs from the others'.
            while !done.load(Ordering::SeqCst) {
                let limiter = Limiter::start(limiter_settings(index), &discovery, count);
                let end = Instant::now() + Duration::from_millis(500 + 150 * u64::from(index));
                let mut client = limiter.client();
                while Instant::now() < end && !done.load(Ordering::SeqCst) {
                    client.ask(&quote("roomy", 9000));
                    thread::sleep(Duration::from_millis(10));
                }
            }
        })
    };
    let limiters: Vec<_> = (0..LIMITERS).map(run).collect();
    thread::sleep(Duration::from_secs(7));
    done.store(true, Ordering::SeqCst);
    for limiter in limiters {
        limiter.join().expect("a limiter");
    }
    let arrivals = arrivals.lock().expect("lock");
    let within =
        |from: &Instant| arrivals.iter().filter(|t| **t >= *from && **t - *from <= SLOW_START_WINDOW).count();
    let max_in_window = arrivals.iter().map(within).max().unwrap_or(0) as f64;
    assert!(max_in_window > 0.0, "the server received no requests, so it never leaves slow start");
    assert!(
        max_in_window <= SLOW_START_BUDGET + 2.0 * SLOW_START_BUDGET.sqrt() + 2.0,
        "{max_in_window} in one window"
    );
}

#[test]
fn nine_of_ten_limiters_are_ready_in_time_though_discovery_is_silent_at_first() {
    let server = Fake::new(|_| ok("served"));
    let line = update(10, true, &[instance("s-0", server.address, "in_service")]);
    let (began, watches) = (Instant::now(), AtomicUsize::new(0));
    let discovery = Fake::new(move |_| {
        watches.fetch_add(1, Ordering::SeqCst);
        if began.elapsed() < Duration::from_secs(4) {
            Reply::Silence
        } else {
            Reply::Raw(format!("{WATCH_HEAD}{}", chunk(&line)))
        }
    });
    let ready: Vec<_> = (0..10)
        .map(|index| {
            let discovery = discovery.address;
            thread::spawn(move || {
                let started = Instant::now();
                let limiter = Limiter::with_known_list(
                    &update(9, true, &[]),
                    limiter_settings(index % LIMITERS),
                    discovery,
                );
                wait_until("the limiter is ready", || limiter.up());
                started.elapsed()
            })
        })
        .collect();
    let mut ready: Vec<Duration> = ready.into_iter().map(|r| r.join().expect("a limiter")).collect();
    ready.sort();
    assert!(ready[8] < Duration::from_secs(10), "{ready:?}");
    assert!(ready[0] > Duration::from_secs(3), "ready before discovery answered: {ready:?}");
}
