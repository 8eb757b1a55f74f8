//! Probabilistic admission by the shared bucket, where each limiter has less than one token.

use crate::support::*;
use liftrouter_decision::*;

/// One of 250 limiters, which sees about a thousandth of its customer's demand.
fn one_of_many_limiters() -> Host {
    let mut host = Host::new(Settings { instance_count: 250, ..settings() }).with_fast_counter();
    host.reachable_instances = 250;
    // Advances to the start of an epoch, so that its totals are known from the start.
    host.now = (host.now / 20.0).ceil() * 20.0 + 0.01;
    host
}

/// Simulates `seconds` in which all limiters together have `accepted` and `rejected` units a second. After
/// them, a request of this limiter reads the totals.
fn report_others(host: &mut Host, total: &mut (f64, f64), seconds: f64, accepted: f64, rejected: f64) {
    host.now += seconds;
    *total = (total.0 + accepted * seconds, total.1 + rejected * seconds);
    let reported = total.1.round() * REJECTED_STEP_VALUE + total.0.round();
    while host.counter_calls.is_empty() {
        host.serve("c", "plain", 1.0);
        host.now += 0.01;
    }
    host.answer_counter_calls(|increment| (Outcome::Ok, reported + increment));
}

#[test]
fn an_overdraft_by_many_limiters_is_repaid_by_all() {
    let mut host = one_of_many_limiters();
    let mut total = (0.0, 0.0);
    // Quota 10, burst 20: three times the quota is admitted for four seconds, and as much is rejected.
    report_others(&mut host, &mut total, 4.0, 30.0, 30.0);
    let admitted = (0..40).filter(|_| host.serve("c", "plain", 1.0)).count();
    assert_eq!(admitted, 0, "the shared bucket is overdrawn by a full burst");
    // The same demand, with almost nothing admitted: the shared bucket refills, and some requests are
    // admitted again.
    report_others(&mut host, &mut total, 4.0, 1.0, 59.0);
    let admitted = (0..400).filter(|_| host.serve("c", "plain", 1.0)).count();
    assert!(
        (40..160).contains(&admitted),
        "{admitted} of 400, a sixth by the quota and some by the shared bucket"
    );
}

#[test]
fn a_few_requests_are_all_admitted_while_the_shared_bucket_is_full() {
    let mut host = one_of_many_limiters();
    let mut total = (0.0, 0.0);
    for _ in 0..4 {
        report_others(&mut host, &mut total, 2.0, 9.0, 0.0);
        // Four at once, more than a local bucket of one request holds.
        assert!((0..4).all(|_| host.serve("c", "plain", 1.0)));
    }
}

#[test]
fn an_overdraft_of_the_shared_bucket_lasts_into_the_next_epoch() {
    let mut host = one_of_many_limiters();
    let mut total = (0.0, 0.0);
    report_others(&mut host, &mut total, 19.0, 30.0, 30.0);
    // The next epoch is one second old. Without the overdraft it would have fourteen units to admit.
    let mut total = (0.0, 0.0);
    report_others(&mut host, &mut total, 2.0, 30.0, 30.0);
    let admitted = (0..40).filter(|_| host.serve("c", "plain", 1.0)).count();
    assert_eq!(admitted, 0);
}

/// Reads the totals of `count` customers of a plan. For each of them all limiters together have a demand of
/// `demand` units a second, all of it accepted.
fn read_customers(host: &mut Host, plan: &str, count: u32, demand: f64) {
    host.now += 4.0;
    for n in 0..count {
        let customer = format!("{plan}-{n}");
        while host.counter_calls.is_empty() {
            host.serve(&customer, plan, 1.0);
            host.now += 0.01;
        }
        host.answer_counter_calls(|increment| (Outcome::Ok, (4.0 * demand).round() + increment));
    }
}

#[test]
fn the_first_request_of_a_customer_has_the_admission_probability_of_its_plan() {
    let admitted_first =
        |host: &mut Host, plan: &str| (0..200).filter(|n| host.serve(&format!("new-{n}"), plan, 1.0)).count();
    // Before any totals are read all requests are admitted, as by the fallback.
    assert_eq!(admitted_first(&mut one_of_many_limiters(), "plain"), 200);
    // With customers below their quota all requests are admitted.
    let mut host = one_of_many_limiters();
    read_customers(&mut host, "plain", 30, 2.0);
    assert_eq!(admitted_first(&mut host, "plain"), 200);
    // At three times their quota, one request from each limiter would amount to several bursts. The customers
    // of another plan have a separate probability.
    let mut host = one_of_many_limiters();
    read_customers(&mut host, "plain", 30, 30.0);
    let admitted = admitted_first(&mut host, "plain");
    assert!((10..120).contains(&admitted), "{admitted} of 200");
    let elsewhere = (0..50).filter(|n| host.serve(&format!("else-{n}"), "capped", 1.0)).count();
    assert_eq!(elsewhere, 50);
    // While the counter is down no totals will be read: the fallback applies.
    for _ in 0..3 {
        while host.counter_calls.is_empty() {
            host.now += 0.6;
            host.serve("down", "plain", 0.1);
        }
        host.answer_counter_calls(|_| (Outcome::Timeout, 0.0));
    }
    let admitted = (0..200).filter(|n| host.serve(&format!("down-{n}"), "plain", 1.0)).count();
    assert_eq!(admitted, 200, "while the counter is down");
}
