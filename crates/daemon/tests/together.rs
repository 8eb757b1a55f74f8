//! Several real processes at once: what they send to a cold server in sum, and how soon they are ready.
mod common;

use common::*;
use serde_json::json;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const INSTANCES: u32 = 8;
/// The time that the settings name, and what may come in it to a cold server of which nobody knows more.
const SLOW_START_TIME: Duration = Duration::from_secs(2);
const SLOW_START_BUDGET: f64 = 4.0;

fn instance_settings(index: u32) -> serde_json::Value {
    let mut settings = settings();
    settings["me"] = json!(index);
    settings["peers-total"] = json!(INSTANCES);
    settings
}

#[test]
fn all_instances_together_keep_the_slow_start_budget_of_a_server_through_restarts() {
    let came: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let noted = came.clone();
    let server = Fake::new(move |_| {
        noted.lock().expect("lock").push(Instant::now());
        ok("served")
    });
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis() as u64;
    let mut cold = instance("s-0", server.address, "in_service");
    cold["startedAtMs"] = json!(now);
    let (discovery, count, done) = (discovery(vec![cold]), counter(), Arc::new(AtomicBool::new(false)));
    let run = |index| {
        let (discovery, count, done) = (discovery.clone(), count.address, done.clone());
        thread::spawn(move || {
            // Each is killed and started anew after a while, at another time than the others.
            while !done.load(Ordering::SeqCst) {
                let limiter = Limiter::start(instance_settings(index), &discovery, count);
                let end = Instant::now() + Duration::from_millis(500 + 150 * u64::from(index));
                let mut client = limiter.client();
                while Instant::now() < end && !done.load(Ordering::SeqCst) {
                    client.ask(&quote("roomy", 9000));
                    thread::sleep(Duration::from_millis(10));
                }
            }
        })
    };
    let limiters: Vec<_> = (0..INSTANCES).map(run).collect();
    thread::sleep(Duration::from_secs(7));
    done.store(true, Ordering::SeqCst);
    for limiter in limiters {
        limiter.join().expect("a limiter");
    }
    let came = came.lock().expect("lock");
    let within =
        |from: &Instant| came.iter().filter(|t| **t >= *from && **t - *from <= SLOW_START_TIME).count();
    let most = came.iter().map(within).max().unwrap_or(0) as f64;
    assert!(most > 0.0, "it never warms by work");
    assert!(most <= SLOW_START_BUDGET + 2.0 * SLOW_START_BUDGET.sqrt() + 2.0, "{most} in one window");
}

#[test]
fn nine_of_ten_instances_started_together_are_ready_in_time_though_discovery_is_silent_at_first() {
    let server = Fake::new(|_| ok("served"));
    let line = update(10, true, &[instance("s-0", server.address, "in_service")]);
    let (began, asked) = (Instant::now(), AtomicUsize::new(0));
    let discovery = Fake::new(move |_| {
        asked.fetch_add(1, Ordering::SeqCst);
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
                    instance_settings(index % INSTANCES),
                    discovery,
                );
                wait_until("it is ready", || limiter.up());
                started.elapsed()
            })
        })
        .collect();
    let mut ready: Vec<Duration> = ready.into_iter().map(|r| r.join().expect("a limiter")).collect();
    ready.sort();
    assert!(ready[8] < Duration::from_secs(10), "{ready:?}");
    assert!(ready[0] > Duration::from_secs(3), "before it had heard of anything: {ready:?}");
}
