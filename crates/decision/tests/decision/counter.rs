//! Reports to the counter service: how often they are sent, how they are encoded, and the effect of lost,
//! duplicated and slow replies.

use crate::support::*;
use liftrouter_decision::*;

#[test]
#[allow(clippy::float_cmp, reason = "steps are integers")]
fn a_report_that_timed_out_is_not_repeated_and_a_rejected_one_is() {
    for (outcome, repeated) in [(Outcome::Timeout, 0.0), (Outcome::Overloaded, 1.0)] {
        let mut host = Host::new(settings()).with_fast_counter();
        host.serve("c", "plain", 1.0);
        assert_eq!(host.answer_counter_calls(|_| (outcome, 0.0)), 1);
        host.now += 1.2;
        while host.counter_calls.is_empty() {
            host.serve("c", "plain", 0.0);
        }
        assert_eq!(host.counter_calls[0].1 % REJECTED_STEP_VALUE, repeated, "{outcome:?}");
    }
}

#[test]
fn an_unresponsive_counter_is_called_rarely_and_the_fallback_applies() {
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
    assert!((8..=24).contains(&calls), "{calls} calls in twenty periods without a reply");
    assert_eq!(measured_limit(&mut host, "c1"), 5);
    // Once the counter replies again, calls and totals resume.
    let calls: usize = (0..400)
        .map(|n| {
            host.now += 0.1;
            host.serve(&format!("c{}", n % 50), "plain", 1.0);
            host.answer_counter_calls(|increment| (Outcome::Ok, increment * 3.0))
        })
        .sum();
    assert!(calls > 100, "{calls} calls after the counter recovered");
}

#[test]
fn a_slow_counter_is_called_for_few_requests_and_for_more_when_fast_again() {
    // Guards against hundreds of limiters, each with many rare customers, overloading the counter.
    let mut host = Host::new(settings()).with_fast_counter();
    let calls = |host: &mut Host, from: u32, elapsed_s: f64| {
        let mut call_count = 0;
        for n in from..from + 400 {
            host.now += 0.05;
            host.serve(&format!("c{n}"), "plain", 1.0);
            for (key, total) in std::mem::take(&mut host.counter_calls) {
                call_count += 1;
                host.event(Event::CounterReply { key, outcome: Outcome::Ok, total, elapsed_s });
            }
        }
        call_count
    };
    calls(&mut host, 0, 0.04);
    let slow = calls(&mut host, 400, 0.04);
    assert!((1..=40).contains(&slow), "{slow} of 400 requests call a slow counter");
    for round in 0..10 {
        calls(&mut host, 1000 + 400 * round, 0.001);
    }
    assert!(calls(&mut host, 9000, 0.001) > 300, "a fast counter is called for most requests again");
}

#[test]
fn accepted_steps_never_overflow_into_rejected_steps() {
    // The calls of 300 limiters for one customer whose clients retry in masses: the accepted steps must stay
    // below the value of a rejected step, and the total within its seven digits.
    let reachable_instances = 300;
    let mut host =
        Host::new(Settings { instance_count: reachable_instances, ..settings() }).with_fast_counter();
    host.reachable_instances = reachable_instances;
    let (mut accepted, mut rejected, mut current_key) = (0.0, 0.0, String::new());
    for _ in 0..3000 {
        host.now += 0.05;
        for _ in 0..20 {
            host.serve("c", "plain", 4.0);
        }
        for (key, increment) in std::mem::take(&mut host.counter_calls) {
            if key != current_key {
                (accepted, rejected, current_key) = (0.0, 0.0, key.clone());
            }
            accepted += increment % REJECTED_STEP_VALUE * f64::from(reachable_instances);
            rejected += (increment / REJECTED_STEP_VALUE).floor() * f64::from(reachable_instances);
            assert!(
                accepted < REJECTED_STEP_VALUE && rejected + 1.0 < 10_000_000.0 / REJECTED_STEP_VALUE,
                "{accepted} accepted, {rejected} rejected"
            );
            let total = accepted + rejected * REJECTED_STEP_VALUE;
            host.event(Event::CounterReply { key, outcome: Outcome::Ok, total, elapsed_s: 0.001 });
        }
    }
}

#[test]
fn totals_of_an_unknown_customer_are_ignored() {
    let mut host = Host::new(settings());
    let key = "0123456789abcdef.10".to_string();
    assert!(host
        .event(Event::CounterReply { key, outcome: Outcome::Ok, total: 5.0, elapsed_s: 0.001 })
        .is_empty());
    host.event(Event::CounterReply {
        key: "no such form".into(),
        outcome: Outcome::Ok,
        total: 5.0,
        elapsed_s: 0.001,
    });
}

#[test]
fn the_effect_of_a_duplicated_increment_ends_with_the_epoch() {
    let mut host = Host::new(settings()).with_fast_counter();
    let last = simulate_demand(&mut host, "c", 1.25, 1.0);
    host.now += 1.2;
    host.serve("c", "plain", 1.0);
    // The counter added the call many times: the share looks too small until the epoch ends.
    assert_eq!(host.answer_counter_calls(|increment| (Outcome::Ok, last + increment * 40.0)), 1);
    assert!(measured_limit(&mut host, "c") < 7);
    simulate_demand(&mut host, "c", 1.25, 1.0);
    let limit = measured_limit(&mut host, "c");
    assert!((7..=8).contains(&limit), "{limit}");
}

#[test]
fn calls_for_customers_seen_once_also_report_requests_without_a_call() {
    // At first one request in two calls the counter and reports the units of two: eight units a call, for
    // requests of four units.
    let mut host = Host::new(Settings { instance_count: 250, ..settings() });
    host.reachable_instances = 250;
    let mut reported = 0.0;
    for n in 0..2000 {
        host.serve(&format!("c{n}"), "plain", 4.0);
        reported +=
            host.counter_calls.drain(..).map(|(_, increment)| increment % REJECTED_STEP_VALUE).sum::<f64>();
    }
    assert!((7_000.0..9_000.0).contains(&reported), "{reported} of 8000 units");
}
