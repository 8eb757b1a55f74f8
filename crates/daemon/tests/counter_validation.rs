//! The limiter binary with faulty counters: its log lines, the counter that it uses, and that validation is off by default.
mod common;

use common::*;
use serde_json::json;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Behavior of the counter service.
#[derive(Clone, Copy, PartialEq)]
enum Mode {
    /// No fault, and the other limiter is registered in each census.
    Valid,
    /// No fault, but the other limiter is missing from each census.
    OtherMissing,
    /// Does not answer.
    Unavailable,
    /// Loses all counts before each call.
    CountsLost,
    /// Answers without applying increments.
    Stale,
    /// Applies every increment twice.
    DoubleCounted,
}

struct CounterService {
    fake: Fake,
    mode: Arc<Mutex<Mode>>,
}

fn counter_service() -> CounterService {
    let mode = Arc::new(Mutex::new(Mode::Valid));
    let (now, counts) = (mode.clone(), Mutex::<HashMap<String, f64>>::default());
    let fake = Fake::new(move |call| {
        let (name, add) = parse_counter_call(call);
        let (mode, mut counts) = (*now.lock().expect("lock"), counts.lock().expect("lock"));
        if mode == Mode::CountsLost {
            counts.clear();
        }
        let total = counts.entry(name.to_string()).or_default();
        *total += match mode {
            Mode::Stale => 0.0,
            Mode::DoubleCounted => 2.0 * add,
            _ => add,
        };
        let others = f64::from(u8::from(name.starts_with("/tally/roll.") && mode != Mode::OtherMissing));
        match mode {
            Mode::Unavailable => Reply::Silence,
            _ => ok(&(*total + others).to_string()),
        }
    });
    CounterService { fake, mode }
}

impl CounterService {
    /// Sets the mode, and waits until the log written since then contains `text`.
    fn set_mode_and_wait(&self, limiter: &Limiter, mode: Mode, text: &str) {
        let before = limiter.errors().len();
        *self.mode.lock().expect("lock") = mode;
        wait_until(text, || limiter.errors()[before..].contains(text));
    }
}

fn validating(service: &CounterService, text: &str) -> Limiter {
    validating_with(service, text, settings())
}

fn validating_with(service: &CounterService, text: &str, settings: serde_json::Value) -> Limiter {
    let server = Fake::new(|_| ok("served"));
    let list = discovery(vec![instance("s-0", server.address, "in_service")]);
    let file = temp_file(text);
    let counter = Some(service.fake.address);
    let limiter = Limiter::with_operator_and_counter(&file, settings, list.address, counter);
    wait_until("the limiter is up", || limiter.up());
    let _ = std::fs::remove_file(file);
    limiter
}

#[test]
fn each_fault_of_the_counter_and_its_end_is_logged() {
    let service = counter_service();
    let limiter = validating(&service, "[keeper]\nevery_ms = 50\nroll_ms = 250\n");
    let valid = "keeper: the keeper is sound; limiters on its roll: 2; share 1.00";
    wait_until("the counter is valid", || limiter.errors().contains(valid));
    for (mode, text) in [
        (Mode::Unavailable, "the keeper gives no answers"),
        (Mode::CountsLost, "the keeper has lost its counts"),
        (Mode::Stale, "the keeper answers with old totals"),
        (Mode::DoubleCounted, "the keeper adds more than it is told"),
        (Mode::OtherMissing, "the keeper is sound; limiters on its roll: 1; share 0.50"),
    ] {
        service.set_mode_and_wait(&limiter, mode, text);
        service.set_mode_and_wait(&limiter, Mode::Valid, valid);
    }
}

#[test]
fn validation_that_is_off_makes_no_call() {
    let service = counter_service();
    let limiter = validating(&service, "# nothing\n");
    // Only calls for customers are made.
    wait_until("customers are counted", || {
        limiter.client().ask(&quote("roomy", 9_000));
        service.fake.count() >= 2
    });
    let names = service.fake.seen().into_iter().map(|m| m.start_line);
    assert!(
        names.clone().all(|n| !n.contains("canary") && !n.contains("roll")),
        "{:?}",
        names.collect::<Vec<_>>()
    );
}

#[test]
fn a_census_period_too_short_for_its_calls_is_rejected_at_the_start() {
    let file = temp_file("[keeper]\nevery_ms = 400\nroll_ms = 1500\n");
    let config = temp_file(
        &json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9",
        "settings": settings()})
        .to_string(),
    );
    let out = command().arg("--operator").arg(&file).env("ROUTER_CONFIG", &config).output().expect("run");
    let log = String::from_utf8_lossy(&out.stderr);
    assert!(!out.status.success(), "{log}");
    assert!(log.contains(":3:11: roll_ms is 1500, expected five times every_ms (400) at least"), "{log}");
    for file in [file, config] {
        let _ = std::fs::remove_file(file);
    }
}

const QUICK: &str = "[keeper]\nevery_ms = 50\nroll_ms = 250\njitter_ms = 50\nsettle_s = 1\n";

/// Number of calls for customers that a counter service has received.
fn customer_calls(service: &CounterService) -> usize {
    let names = service.fake.seen().into_iter().map(|m| m.start_line);
    names.filter(|n| !n.contains("canary") && !n.contains("roll")).count()
}

#[test]
fn customers_are_counted_at_the_standby_after_a_failover_and_at_the_first_after_the_failback() {
    let (first, second) = (counter_service(), counter_service());
    let limiter = validating(&first, &format!("{QUICK}others = ['{}']\n", second.fake.address));
    let send_request = || drop(limiter.client().ask(&quote("roomy", 9_000)));
    wait_until("the first counter is valid", || {
        limiter.errors().contains("limiters on its roll: 2; share 1.00; keeper 1 of 2; at 127.0.0.1:")
    });
    assert_eq!(customer_calls(&second), 0);
    let failed = "keeper 2 of 2 in place of keeper 1, which gives no answers; at ";
    first.set_mode_and_wait(&limiter, Mode::Unavailable, failed);
    let line = limiter.errors().lines().find(|l| l.contains(failed)).unwrap_or_default().to_string();
    let address = format!("; at {}; off by at most, in units: roomy +", second.fake.address);
    assert!(line.contains("share 0.00") && line.contains(&address), "{line}");
    wait_until("the second counter is valid", || limiter.errors().contains("share 1.00; keeper 2 of 2; at"));
    let before = customer_calls(&first);
    wait_until("customers are counted at the second", || {
        send_request();
        customer_calls(&second) >= 2
    });
    assert_eq!(customer_calls(&first), before, "the first counter gets no more calls");
    first.set_mode_and_wait(&limiter, Mode::Valid, "share 0.00; keeper 1 of 2 back from keeper 2");
    let before = customer_calls(&first);
    wait_until("customers are counted at the first again", || {
        send_request();
        customer_calls(&first) >= before + 2
    });
}

#[test]
fn a_late_response_of_the_previous_counter_is_dropped() {
    let (slow, next) = (Fake::new(|_| late_answer("7")), counter_service());
    let mut settings = settings();
    settings["family-info"]["count-limit-s"] = json!(9.0);
    let server = Fake::new(|_| ok("served"));
    let list = discovery(vec![instance("s-0", server.address, "in_service")]);
    let limiter = Limiter::start(settings, &list, slow.address);
    wait_until("a call is in flight", || {
        limiter.client().ask(&quote("roomy", 9_000));
        slow.count() > 0
    });
    limiter.move_to(list.address, next.fake.address);
    wait_until("the late answer is dropped", || {
        limiter.errors().contains("keeper: dropped a late answer from the previous counter (1 so far)")
    });
    wait_until("the next counter is called", || {
        limiter.client().ask(&quote("roomy", 9_000));
        next.fake.count() > 0
    });
}

/// An answer that arrives well after the limiter was given another counter.
fn late_answer(total: &str) -> Reply {
    Reply::Pieces(vec![(Duration::from_millis(700), raw("200 OK", "", total))])
}

#[test]
fn totals_from_before_a_process_pause_are_not_used_after_it() {
    let service = counter_service();
    let limiter = validating(&service, QUICK);
    let valid = "the keeper is sound; limiters on its roll: 2; share 1.00";
    wait_until("the counter is valid", || limiter.errors().contains(valid));
    let before = limiter.errors().len();
    limiter.signal("-STOP");
    std::thread::sleep(Duration::from_millis(1_500));
    limiter.signal("-CONT");
    let paused = "has not been heard since this limiter stood still; limiters on its roll: ";
    wait_until("the pause is logged", || limiter.errors()[before..].contains(paused));
    wait_until("the counter is valid again", || limiter.errors()[before..].contains(valid));
    let log = limiter.errors()[before..].to_string();
    let places = [log.find("liftrouter: stood still for "), log.find(paused), log.find(valid)];
    assert!(places.is_sorted() && places[0].is_some(), "{log}");
    let line = log.lines().find(|l| l.contains(paused)).unwrap_or_default();
    assert!(line.contains("share 0.00"), "{line}");
}

/// The longest `Retry-After` of 60 requests of one customer: the time in which its limit at this limiter yields one unit.
fn max_retry_after(limiter: &Limiter) -> f64 {
    let mut client = limiter.client();
    let mut retry_after = |_| {
        let answer = client.ask(&quote("small", 9_000).replace("spread=1", "spread=2"));
        answer.header("retry-after").and_then(|text| text.parse::<f64>().ok())
    };
    (0..60).filter_map(&mut retry_after).fold(0.0, f64::max)
}

#[test]
fn the_usable_share_of_a_quota_follows_the_census() {
    let service = counter_service();
    let mut settings = settings();
    settings["tariffs"][1]["rate"] = json!(2.0);
    let limiter = validating_with(&service, QUICK, settings);
    let share = |share: &str| format!("share {share}; at ");
    wait_until("the counter is valid", || limiter.errors().contains(&share("1.00")));
    // All of the customer's demand is at this limiter, so with the whole quota of 2 units/s a unit takes half a second.
    wait_until("the whole quota is granted", || (0.3..=0.65).contains(&max_retry_after(&limiter)));
    // The other limiter uses another counter, so half of the quota is reserved for it.
    service.set_mode_and_wait(&limiter, Mode::OtherMissing, &share("0.50"));
    wait_until("half of it is granted", || max_retry_after(&limiter) > 0.8);
    service.set_mode_and_wait(&limiter, Mode::Valid, &share("1.00"));
    wait_until("the whole is granted again", || (0.3..=0.65).contains(&max_retry_after(&limiter)));
}
