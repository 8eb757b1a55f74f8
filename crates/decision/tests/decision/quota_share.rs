//! The share of a quota that a limiter gets in proportion to its demand, and what it may borrow.

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
    // The quota is fully used and a quarter of the demand is here: 10 / 4, without a raise to the fallback.
    let limit = measured_limit(&mut host, "c");
    assert!((2..=3).contains(&limit), "{limit}");
    let mut host = Host::new(settings()).with_fast_counter();
    simulate_demand(&mut host, "c", 1.25, 1.0);
    // Four fifths of the demand: above the fallback, by the demand share alone.
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
    // The other limiters have a hundred times the demand: the limit falls to a hundredth at once, but the
    // tokens stay.
    assert_eq!(
        host.answer_counter_calls(|increment| (
            Outcome::Ok,
            increment + increment * 100.0 * REJECTED_STEP_VALUE
        )),
        1
    );
    assert!(host.drain_bucket("c", "plain") >= 9);
}

#[test]
fn the_fallback_applies_after_the_counter_lost_its_counts() {
    let mut host = Host::new(settings()).with_fast_counter();
    let last = simulate_demand(&mut host, "c", 4.0, 4.0);
    host.now += 1.2;
    host.serve("c", "plain", 1.0);
    // The total did not grow even by this limiter's own increment: back to the fallback of 5.
    assert_eq!(host.answer_counter_calls(|_| (Outcome::Ok, last)), 1);
    assert_eq!(measured_limit(&mut host, "c"), 5);
}

#[test]
fn an_idle_quota_lends_to_a_bucket_below_one_request() {
    // The bucket holds a tenth of a request, and the quota is known to be idle.
    let mut host = Host::new(Settings { instance_count: 200, ..settings() }).with_fast_counter();
    host.reachable_instances = 200;
    assert!(host.serve("c", "plain", 2.0));
    host.answer_counter_calls(|increment| (Outcome::Ok, increment));
    host.now += 1.0;
    assert!(host.serve("c", "plain", 2.0), "an idle quota lends");
    let mut host = Host::new(Settings { instance_count: 200, ..settings() }).with_fast_counter();
    host.reachable_instances = 200;
    host.now = 210.0;
    assert!(host.serve("c", "plain", 2.0));
    host.answer_counter_calls(|increment| (Outcome::Ok, increment + 400.0));
    host.now += 1.0;
    assert!(!host.serve("c", "plain", 2.0), "a used-up quota does not lend");
}

#[test]
fn counter_validity_sets_the_ratio_of_the_quota_that_totals_divide() {
    let limit_with = |ratio: Option<f64>| {
        let mut host = Host::new(settings()).with_fast_counter();
        simulate_demand(&mut host, "c", 1.25, 1.0);
        if let Some(ratio) = ratio {
            host.event(Event::CounterValidity { usable_quota_ratio: ratio });
        }
        measured_limit(&mut host, "c")
    };
    // The limit at four fifths of the demand, if totals divide all of the quota, half of it (but at least the
    // remaining part of the fallback) or none of it.
    assert!((7..=8).contains(&limit_with(None)));
    assert_eq!(limit_with(Some(1.0)), limit_with(None));
    assert!((3..=4).contains(&limit_with(Some(0.5))));
    assert_eq!(limit_with(Some(0.0)), 5);
}

#[test]
fn after_lost_counts_demand_is_averaged_with_earlier_readings() {
    let mut host = Host::new(settings()).with_fast_counter();
    // A quarter of the demand is here and the quota is fully used: a quarter of the quota. Neither the demand
    // nor the loss of counts falls on the end of an epoch.
    host.now += 10.0;
    let before = simulate_demand(&mut host, "c", 4.0, 4.0);
    assert!(before > 100.0);
    // The counter replies to some calls with an old total and then has lost its counts, while all limiters
    // report as before. The first difference of totals covers only about a second.
    let (mut total, mut replies) = (before, 0);
    while replies < 8 {
        host.now += 0.1;
        host.serve("c", "plain", 1.0);
        for (key, increment) in std::mem::take(&mut host.counter_calls) {
            replies += 1;
            total = match replies {
                ..=6 => total,
                7 => 4.0 * increment,
                _ => total + 4.0 * increment,
            };
            host.event(Event::CounterReply { key, outcome: Outcome::Ok, total, elapsed_s: 0.001 });
        }
    }
    let limit = measured_limit(&mut host, "c");
    assert!((2..=3).contains(&limit), "{limit}: the demand of the others is underestimated");
}
