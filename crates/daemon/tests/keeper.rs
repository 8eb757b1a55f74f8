//! The real binary before keepers that fail: what it says of them, and that it asks only where it is told to.
mod common;

use common::*;
use serde_json::json;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// What the keeper does to the judge's calls.
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

struct Keeper {
    fake: Fake,
    mode: Arc<Mutex<Mode>>,
}

fn keeper() -> Keeper {
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
    Keeper { fake, mode }
}

impl Keeper {
    /// Waits for the next line of the log that says so.
    fn until(&self, limiter: &Limiter, mode: Mode, said: &str) {
        let before = limiter.errors().len();
        *self.mode.lock().expect("lock") = mode;
        wait_until(said, || limiter.errors()[before..].contains(said));
    }
}

fn judged(keeper: &Keeper, text: &str) -> Limiter {
    let server = Fake::new(|_| ok("served"));
    let list = discovery(vec![instance("s-0", server.address, "in_service")]);
    let file = scratch(text);
    let counter = Some(keeper.fake.address);
    let limiter = Limiter::with_operator_and_counter(&file, settings(), list.address, counter);
    wait_until("the limiter is up", || limiter.up());
    let _ = std::fs::remove_file(file);
    limiter
}

#[test]
fn each_fault_of_the_keeper_is_told_in_a_line_and_so_is_its_end() {
    let keeper = keeper();
    let limiter = judged(&keeper, "[keeper]\nevery_ms = 50\nroll_ms = 250\n");
    let sound = "keeper: the keeper is sound; limiters on its roll: 2; share 1.00";
    wait_until("it is believed", || limiter.errors().contains(sound));
    for (mode, said) in [
        (Mode::Silent, "the keeper gives no answers"),
        (Mode::Lost, "the keeper has lost its counts"),
        (Mode::Frozen, "the keeper answers with old totals"),
        (Mode::Doubled, "the keeper adds more than it is told"),
        (Mode::Alone, "the keeper is sound; limiters on its roll: 1; share 0.50"),
    ] {
        keeper.until(&limiter, mode, said);
        keeper.until(&limiter, Mode::Sound, sound);
    }
}

#[test]
fn a_judge_that_is_not_wanted_costs_no_call() {
    let keeper = keeper();
    let limiter = judged(&keeper, "# nothing\n");
    // The customers' own calls come, and nothing else does.
    wait_until("customers are counted", || {
        limiter.client().ask(&quote("roomy", 9_000));
        keeper.fake.count() >= 2
    });
    let names = keeper.fake.seen().into_iter().map(|m| m.first);
    assert!(
        names.clone().all(|n| !n.contains("canary") && !n.contains("roll")),
        "{:?}",
        names.collect::<Vec<_>>()
    );
}

#[test]
fn a_judge_that_could_not_read_its_rolls_is_refused_at_the_start() {
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
