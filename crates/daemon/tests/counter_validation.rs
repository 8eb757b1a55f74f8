//! The real binary with counters that fail: what it logs, which counter it uses, and that validation is off by default.
mod common;

use common::*;
use serde_json::json;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What the counter service does to validation calls.
#[derive(Clone, Copy, PartialEq)]
enum Mode {
    /// Adds, and the other limiter has called each roll.
    Sound,
    /// Adds, and nobody else has called.
    Alone,
    Silent,
    /// Forgets every name before each call.
    Lost,
    /// Answers, and adds nothing.
    Frozen,
    Doubled,
}

struct CounterService {
    fake: Fake,
    mode: Arc<Mutex<Mode>>,
}

fn counter_service() -> CounterService {
    let mode = Arc::new(Mutex::new(Mode::Sound));
    let (now, numbers) = (mode.clone(), Mutex::<HashMap<String, f64>>::default());
    let fake = Fake::new(move |call| {
        let (name, add) = counter_call(call);
        let (mode, mut numbers) = (*now.lock().expect("lock"), numbers.lock().expect("lock"));
        if mode == Mode::Lost {
            numbers.clear();
        }
        let total = numbers.entry(name.to_string()).or_default();
        *total += match mode {
            Mode::Frozen => 0.0,
            Mode::Doubled => 2.0 * add,
            _ => add,
        };
        let others = f64::from(u8::from(name.starts_with("/tally/roll.") && mode != Mode::Alone));
        match mode {
            Mode::Silent => Reply::Silence,
            _ => ok(&(*total + others).to_string()),
        }
    });
    CounterService { fake, mode }
}

impl CounterService {
    /// Waits for the next line of the log that says so.
    fn until(&self, limiter: &Limiter, mode: Mode, said: &str) {
        let before = limiter.errors().len();
        *self.mode.lock().expect("lock") = mode;
        wait_until(said, || limiter.errors()[before..].contains(said));
    }
}

fn validating(service: &CounterService, text: &str) -> Limiter {
    validating_with(service, text, settings())
}

fn validating_with(service: &CounterService, text: &str, settings: serde_json::Value) -> Limiter {
    let server = Fake::new(|_| ok("served"));
    let list = discovery(vec![instance("s-0", server.address, "in_service")]);
    let file = scratch(text);
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
    let sound = "keeper: the keeper is sound; limiters on its roll: 2; share 1.00";
    wait_until("it is believed", || limiter.errors().contains(sound));
    for (mode, said) in [
        (Mode::Silent, "the keeper gives no answers"),
        (Mode::Lost, "the keeper has lost its counts"),
        (Mode::Frozen, "the keeper answers with old totals"),
        (Mode::Doubled, "the keeper adds more than it is told"),
        (Mode::Alone, "the keeper is sound; limiters on its roll: 1; share 0.50"),
    ] {
        service.until(&limiter, mode, said);
        service.until(&limiter, Mode::Sound, sound);
    }
}

#[test]
fn validation_that_is_off_makes_no_call() {
    let service = counter_service();
    let limiter = validating(&service, "# nothing\n");
    // The customers' own calls come, and nothing else does.
    wait_until("customers are counted", || {
        limiter.client().ask(&quote("roomy", 9_000));
        service.fake.count() >= 2
    });
    let names = service.fake.seen().into_iter().map(|m| m.first);
    assert!(
        names.clone().all(|n| !n.contains("canary") && !n.contains("roll")),
        "{:?}",
        names.collect::<Vec<_>>()
    );
}

#[test]
fn a_census_period_too_short_for_its_calls_is_rejected_at_the_start() {
    let file = scratch("[keeper]\nevery_ms = 400\nroll_ms = 1500\n");
    let config = scratch(
        &json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9",
        "settings": settings()})
        .to_string(),
    );
    let out = command().arg("--operator").arg(&file).env("ROUTER_CONFIG", &config).output().expect("run");
    let said = String::from_utf8_lossy(&out.stderr);
    assert!(!out.status.success(), "{said}");
    assert!(said.contains(":3:11: roll_ms is 1500, expected five times every_ms (400) at least"), "{said}");
    for file in [file, config] {
        let _ = std::fs::remove_file(file);
    }
}

const QUICK: &str = "[keeper]\nevery_ms = 50\nroll_ms = 250\njitter_ms = 50\nsettle_s = 1\n";

/// Customers' calls that a counter service has received.
fn customers(service: &CounterService) -> usize {
    let names = service.fake.seen().into_iter().map(|m| m.first);
    names.filter(|n| !n.contains("canary") && !n.contains("roll")).count()
}

#[test]
fn customers_are_counted_at_the_standby_after_a_failover_and_at_the_first_after_the_failback() {
    let (first, second) = (counter_service(), counter_service());
    let limiter = validating(&first, &format!("{QUICK}others = ['{}']\n", second.fake.address));
    let ask = || drop(limiter.client().ask(&quote("roomy", 9_000)));
    wait_until("the first is believed", || {
        limiter.errors().contains("limiters on its roll: 2; share 1.00; keeper 1 of 2; at 127.0.0.1:")
    });
    assert_eq!(customers(&second), 0);
    let failed = "keeper 2 of 2 in place of keeper 1, which gives no answers; at ";
    first.until(&limiter, Mode::Silent, failed);
    let line = limiter.errors().lines().find(|l| l.contains(failed)).unwrap_or_default().to_string();
    let address = format!("; at {}; off by at most, in units: roomy +", second.fake.address);
    assert!(line.contains("share 0.00") && line.contains(&address), "{line}");
    wait_until("the second is believed", || limiter.errors().contains("share 1.00; keeper 2 of 2; at"));
    let before = customers(&first);
    wait_until("customers are counted at the second", || {
        ask();
        customers(&second) >= 2
    });
    assert_eq!(customers(&first), before, "none at the first any more");
    first.until(&limiter, Mode::Sound, "share 0.00; keeper 1 of 2 back from keeper 2");
    let before = customers(&first);
    wait_until("customers are counted at the first again", || {
        ask();
        customers(&first) >= before + 2
    });
}

#[test]
fn a_late_response_of_the_previous_counter_is_dropped() {
    let (slow, next) = (Fake::new(|_| late("7")), counter_service());
    let mut settings = settings();
    settings["family-info"]["count-limit-s"] = json!(9.0);
    let server = Fake::new(|_| ok("served"));
    let list = discovery(vec![instance("s-0", server.address, "in_service")]);
    let limiter = Limiter::start(settings, &list, slow.address);
    wait_until("a call is out", || {
        limiter.client().ask(&quote("roomy", 9_000));
        slow.count() > 0
    });
    limiter.move_to(list.address, next.fake.address);
    wait_until("it is seen for what it is", || {
        limiter.errors().contains("keeper: an answer came from the keeper before (1 so far)")
    });
    wait_until("the next is called", || {
        limiter.client().ask(&quote("roomy", 9_000));
        next.fake.count() > 0
    });
}

/// An answer that comes well after the limiter was moved.
fn late(total: &str) -> Reply {
    Reply::Pieces(vec![(Duration::from_millis(700), raw("200 OK", "", total))])
}

#[test]
fn totals_from_before_a_process_pause_are_not_used_after_it() {
    let service = counter_service();
    let limiter = validating(&service, QUICK);
    let sound = "the keeper is sound; limiters on its roll: 2; share 1.00";
    wait_until("it is believed", || limiter.errors().contains(sound));
    let before = limiter.errors().len();
    limiter.signal("-STOP");
    std::thread::sleep(Duration::from_millis(1_500));
    limiter.signal("-CONT");
    let woken = "has not been heard since this limiter stood still; limiters on its roll: ";
    wait_until("it says so", || limiter.errors()[before..].contains(woken));
    wait_until("it believes again", || limiter.errors()[before..].contains(sound));
    let said = limiter.errors()[before..].to_string();
    let places = [said.find("liftrouter: stood still for "), said.find(woken), said.find(sound)];
    assert!(places.is_sorted() && places[0].is_some(), "{said}");
    let line = said.lines().find(|l| l.contains(woken)).unwrap_or_default();
    assert!(line.contains("share 0.00"), "{line}");
}

/// The longest advice of some refusals of one customer: the time in which its limit here gives a request's unit.
fn advice(limiter: &Limiter) -> f64 {
    let mut client = limiter.client();
    let mut told = |_| {
        let answer = client.ask(&quote("small", 9_000).replace("spread=1", "spread=2"));
        answer.header("retry-after").and_then(|text| text.parse::<f64>().ok())
    };
    (0..60).filter_map(&mut told).fold(0.0, f64::max)
}

#[test]
fn the_usable_share_of_a_quota_follows_the_census() {
    let service = counter_service();
    let mut settings = settings();
    settings["tariffs"][1]["rate"] = json!(2.0);
    let limiter = validating_with(&service, QUICK, settings);
    let share = |share: &str| format!("share {share}; at ");
    wait_until("it is believed", || limiter.errors().contains(&share("1.00")));
    // All of the customer's demand is here: with the whole to divide, a unit comes in half a second.
    wait_until("the whole quota is granted", || (0.3..=0.65).contains(&advice(&limiter)));
    // The other limiter counts elsewhere: half of the quota is its.
    service.until(&limiter, Mode::Alone, &share("0.50"));
    wait_until("half of it is granted", || advice(&limiter) > 0.8);
    service.until(&limiter, Mode::Sound, &share("1.00"));
    wait_until("the whole is granted again", || (0.3..=0.65).contains(&advice(&limiter)));
}
