//! The share of a quota that a limiter gets by its share of the demand, and what it may borrow.

use crate::support::*;
use liftrouter_decision::*;

#[test]
fn a_new_customer_has_a_full_bucket_of_the_fallback() {
    let mut host = Host::new(settings());
    // Quota 10, burst 20, two limiters: fallback 5, bucket 10.
    assert_eq!(host.drain_bucket("c", "plain"), 10);
    host.now += 1.0;
    assert_eq!(host.drain_bucket("c", "plain"), 5);
}

#[test]
fn the_limit_is_the_demand_share_when_the_quota_is_used() {
    let mut host = Host::new(settings()).with_fast_counter();
    simulate_demand(&mut host, "c", 4.0, 4.0);
    // All used, a quarter of the demand: 10 / 4, no boost.
    let limit = measured_limit(&mut host, "c");
    assert!((2..=3).contains(&limit), "{limit}");
    let mut host = Host::new(settings()).with_fast_counter();
    simulate_demand(&mut host, "c", 1.25, 1.0);
    // Four fifths of the demand: above the fallback, by weight alone.
    let limit = measured_limit(&mut host, "c");
    assert!((7..=8).contains(&limit), "{limit}");
}

#[test]
fn unused_quota_raises_a_low_demand_share_to_the_fallback_at_most() {
    let mut host = Host::new(settings()).with_fast_counter();
    simulate_demand(&mut host, "c", 4.0, 0.2);
    assert!((4..=5).contains(&measured_limit(&mut host, "c")));
}

#[test]
fn tokens_are_kept_when_the_limit_falls() {
    let mut host = Host::new(settings()).with_fast_counter();
    assert!(host.serve("c", "plain", 1.0));
    host.now += 0.2;
    // Others ask for a hundred times as much: the limit falls to a hundredth at once, the tokens stay.
    assert_eq!(host.answer_counter_calls(|add| (Outcome::Ok, add + add * 100.0 * REJECTED_STEP_VALUE)), 1);
    assert!(host.drain_bucket("c", "plain") >= 9);
}

#[test]
fn a_counter_that_lost_its_counts_leaves_the_fallback() {
    let mut host = Host::new(settings()).with_fast_counter();
    let last = simulate_demand(&mut host, "c", 4.0, 4.0);
    host.now += 1.2;
    host.serve("c", "plain", 1.0);
    // The total has not even grown by the limiter's own part: back to the fallback of 5.
    assert_eq!(host.answer_counter_calls(|_| (Outcome::Ok, last)), 1);
    assert_eq!(measured_limit(&mut host, "c"), 5);
}

#[test]
fn an_idle_quota_lends_to_a_bucket_below_one_request() {
    // The third objection: the bucket holds a tenth of a request, and the quota is known to be idle.
    let mut host = Host::new(Settings { instance_count: 200, ..settings() }).with_fast_counter();
    host.reachable_instances = 200;
    assert!(host.serve("c", "plain", 2.0));
    host.answer_counter_calls(|add| (Outcome::Ok, add));
    host.now += 1.0;
    assert!(host.serve("c", "plain", 2.0), "idle: lent");
    let mut host = Host::new(Settings { instance_count: 200, ..settings() }).with_fast_counter();
    host.reachable_instances = 200;
    host.now = 210.0;
    assert!(host.serve("c", "plain", 2.0));
    host.answer_counter_calls(|add| (Outcome::Ok, add + 400.0));
    host.now += 1.0;
    assert!(!host.serve("c", "plain", 2.0), "used up: not lent");
}

#[test]
fn counter_validity_sets_the_part_of_the_quota_that_totals_divide() {
    let settled = |share: Option<f64>| {
        let mut host = Host::new(settings()).with_fast_counter();
        simulate_demand(&mut host, "c", 1.25, 1.0);
        if let Some(share) = share {
            host.event(Event::CounterValidity { usable_quota_ratio: share });
        }
        measured_limit(&mut host, "c")
    };
    // Four fifths of the demand: of all the quota, of half of it (but no less than is left of the fallback),
    // and none of it.
    assert!((7..=8).contains(&settled(None)));
    assert_eq!(settled(Some(1.0)), settled(None));
    assert!((3..=4).contains(&settled(Some(0.5))));
    assert_eq!(settled(Some(0.0)), 5);
}

#[test]
fn after_lost_counts_demand_is_averaged_with_what_was_read_before() {
    let mut host = Host::new(settings()).with_fast_counter();
    // A quarter of the demand is here, all of it used: a quarter of the quota.
    // Neither falls on the end of an epoch.
    host.now += 10.0;
    let before = simulate_demand(&mut host, "c", 4.0, 4.0);
    assert!(before > 100.0);
    // The counter replies with old totals for some calls and then has none of them; limiters go on adding as
    // before. The first difference tells of a second or so.
    let (mut total, mut heard) = (before, 0);
    while heard < 8 {
        host.now += 0.1;
        host.serve("c", "plain", 1.0);
        for (name, add) in std::mem::take(&mut host.counter_calls) {
            heard += 1;
            total = match heard {
                ..=6 => total,
                7 => 4.0 * add,
                _ => total + 4.0 * add,
            };
            host.event(Event::CounterReply { key: name, outcome: Outcome::Ok, total, elapsed_s: 0.001 });
        }
    }
    let limit = measured_limit(&mut host, "c");
    assert!((2..=3).contains(&limit), "{limit}: others are taken to ask less than before");
}
