//! Reports to the counter service: how often, how they are packed, and replies that are lost, doubled or
//! late.

use crate::support::*;
use liftrouter_decision::*;

#[test]
#[allow(clippy::float_cmp, reason = "steps are whole numbers")]
fn a_report_that_timed_out_is_not_repeated_and_a_rejected_one_is() {
    for (outcome, again) in [(Outcome::Timeout, 0.0), (Outcome::Overloaded, 1.0)] {
        let mut host = Host::new(settings()).with_fast_counter();
        host.serve("c", "plain", 1.0);
        assert_eq!(host.answer_counter_calls(|_| (outcome, 0.0)), 1);
        host.now += 1.2;
        while host.counter_calls.is_empty() {
            host.serve("c", "plain", 0.0);
        }
        assert_eq!(host.counter_calls[0].1 % REJECTED_STEP_VALUE, again, "{outcome:?}");
    }
}

#[test]
fn an_unresponsive_counter_is_called_rarely_and_leaves_the_fallback() {
    let mut host = Host::new(settings()).with_fast_counter();
    for n in 0..50 {
        host.serve(&format!("c{n}"), "plain", 1.0);
    }
    assert_eq!(host.answer_counter_calls(|_| (Outcome::Timeout, 0.0)), 50);
    let mut calls = 0;
    for _ in 0..100 {
        host.now += 0.1;
        for n in 0..50 {
            host.serve(&format!("c{n}"), "plain", 0.01);
        }
        calls += host.answer_counter_calls(|_| (Outcome::Timeout, 0.0));
    }
    assert!((8..=24).contains(&calls), "{calls} calls in twenty periods of silence");
    assert_eq!(measured_limit(&mut host, "c1"), 5);
    // It answers again: calls come back, and with them totals.
    let calls: usize = (0..400)
        .map(|n| {
            host.now += 0.1;
            host.serve(&format!("c{}", n % 50), "plain", 1.0);
            host.answer_counter_calls(|add| (Outcome::Ok, add * 3.0))
        })
        .sum();
    assert!(calls > 100, "{calls} calls after its return");
}

#[test]
fn a_slow_counter_is_called_for_few_requests_and_for_more_when_quick_again() {
    // Guards against a counter crowded by hundreds of limiters, each with many rare customers.
    let mut host = Host::new(settings()).with_fast_counter();
    let calls = |host: &mut Host, from: u32, elapsed_s: f64| {
        let mut made = 0;
        for n in from..from + 400 {
            host.now += 0.05;
            host.serve(&format!("c{n}"), "plain", 1.0);
            for (name, total) in std::mem::take(&mut host.counter_calls) {
                made += 1;
                host.event(Event::CounterReply { key: name, outcome: Outcome::Ok, total, elapsed_s });
            }
        }
        made
    };
    calls(&mut host, 0, 0.04);
    let slow = calls(&mut host, 400, 0.04);
    assert!((1..=40).contains(&slow), "{slow} of 400 tries call a slow counter");
    for round in 0..10 {
        calls(&mut host, 1000 + 400 * round, 0.001);
    }
    assert!(calls(&mut host, 9000, 0.001) > 300, "a quick counter is called for most again");
}

#[test]
fn no_demand_runs_over_from_one_packed_number_into_the_other() {
    // Three hundred limiters' worth of one customer's calls, each with mass retries: no step of the rejected
    // may show as used, nor the sum pass its seven digits.
    let reachable_instances = 300;
    let mut host =
        Host::new(Settings { instance_count: reachable_instances, ..settings() }).with_fast_counter();
    host.reachable_instances = reachable_instances;
    let (mut used, mut refused, mut name_now) = (0.0, 0.0, String::new());
    for _ in 0..3000 {
        host.now += 0.05;
        for _ in 0..20 {
            host.serve("c", "plain", 4.0);
        }
        for (name, add) in std::mem::take(&mut host.counter_calls) {
            if name != name_now {
                (used, refused, name_now) = (0.0, 0.0, name.clone());
            }
            used += add % REJECTED_STEP_VALUE * f64::from(reachable_instances);
            refused += (add / REJECTED_STEP_VALUE).floor() * f64::from(reachable_instances);
            assert!(
                used < REJECTED_STEP_VALUE && refused + 1.0 < 10_000_000.0 / REJECTED_STEP_VALUE,
                "{used} used, {refused} refused"
            );
            let total = used + refused * REJECTED_STEP_VALUE;
            host.event(Event::CounterReply { key: name, outcome: Outcome::Ok, total, elapsed_s: 0.001 });
        }
    }
}

#[test]
fn totals_of_an_unknown_customer_are_ignored() {
    let mut host = Host::new(settings());
    let name = "0123456789abcdef.10".to_string();
    assert!(host
        .event(Event::CounterReply { key: name, outcome: Outcome::Ok, total: 5.0, elapsed_s: 0.001 })
        .is_empty());
    host.event(Event::CounterReply {
        key: "no such form".into(),
        outcome: Outcome::Ok,
        total: 5.0,
        elapsed_s: 0.001,
    });
}

#[test]
fn a_doubled_increment_is_gone_with_the_next_epoch() {
    let mut host = Host::new(settings()).with_fast_counter();
    let last = simulate_demand(&mut host, "c", 1.25, 1.0);
    host.now += 1.2;
    host.serve("c", "plain", 1.0);
    // The call was added many times over: for a while the share looks small.
    assert_eq!(host.answer_counter_calls(|add| (Outcome::Ok, last + add * 40.0)), 1);
    assert!(measured_limit(&mut host, "c") < 7);
    simulate_demand(&mut host, "c", 1.25, 1.0);
    let limit = measured_limit(&mut host, "c");
    assert!((7..=8).contains(&limit), "{limit}");
}

#[test]
fn requests_of_customers_seen_once_are_reported_for_all_that_do_not_call() {
    // At first one request in two calls and stands for two: of four units each, eight units reported by one
    // call.
    let mut host = Host::new(Settings { instance_count: 250, ..settings() });
    host.reachable_instances = 250;
    let mut told = 0.0;
    for n in 0..2000 {
        host.serve(&format!("c{n}"), "plain", 4.0);
        told += host.counter_calls.drain(..).map(|(_, add)| add % REJECTED_STEP_VALUE).sum::<f64>();
    }
    assert!((7_000.0..9_000.0).contains(&told), "{told} of 8000 units");
}
