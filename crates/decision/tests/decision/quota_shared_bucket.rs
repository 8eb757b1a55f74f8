//! Probabilistic admission by the shared bucket, where each limiter has less than one token.

use crate::support::*;
use liftrouter_decision::*;

/// One of many limiters, of whose customer's demand it sees a part in a thousand.
fn one_of_many_limiters() -> Host {
    let mut host = Host::new(Settings { instance_count: 250, ..settings() }).with_fast_counter();
    host.reachable_instances = 250;
    // To the beginning of an epoch, so that reports are known from its start.
    host.now = (host.now / 20.0).ceil() * 20.0 + 0.01;
    host
}

/// Lets some seconds pass in which all limiters draw and are rejected so many units a second; one request of
/// this limiter ends them and reads the totals.
fn report_others(host: &mut Host, total: &mut (f64, f64), seconds: f64, used: f64, refused: f64) {
    host.now += seconds;
    *total = (total.0 + used * seconds, total.1 + refused * seconds);
    let told = total.1.round() * REJECTED_STEP_VALUE + total.0.round();
    while host.counter_calls.is_empty() {
        host.serve("c", "plain", 1.0);
        host.now += 0.01;
    }
    host.answer_counter_calls(|add| (Outcome::Ok, told + add));
}

#[test]
fn an_overdraft_by_many_limiters_is_made_up_for_by_all() {
    let mut host = one_of_many_limiters();
    let mut total = (0.0, 0.0);
    // Quota 10, burst 20: thrice the quota goes out for four seconds, and as much is rejected.
    report_others(&mut host, &mut total, 4.0, 30.0, 30.0);
    let passed = (0..40).filter(|_| host.serve("c", "plain", 1.0)).count();
    assert_eq!(passed, 0, "the joint store is overdrawn by a whole burst");
    // The same demand, with next to nothing passed: the shared bucket fills, and some requests are admitted
    // again.
    report_others(&mut host, &mut total, 4.0, 1.0, 59.0);
    let passed = (0..400).filter(|_| host.serve("c", "plain", 1.0)).count();
    assert!((40..160).contains(&passed), "{passed} of 400, a sixth by quota and some of the store");
}

#[test]
fn few_requests_are_all_admitted_while_the_shared_bucket_is_full() {
    let mut host = one_of_many_limiters();
    let mut total = (0.0, 0.0);
    for _ in 0..4 {
        report_others(&mut host, &mut total, 2.0, 9.0, 0.0);
        // Four at once, which no bucket of one request holds.
        assert!((0..4).all(|_| host.serve("c", "plain", 1.0)));
    }
}

#[test]
fn an_overdraft_of_the_shared_bucket_lasts_into_the_next_epoch() {
    let mut host = one_of_many_limiters();
    let mut total = (0.0, 0.0);
    report_others(&mut host, &mut total, 19.0, 30.0, 30.0);
    // The next epoch, a second old: nothing of the fourteen units it should have by itself.
    let mut total = (0.0, 0.0);
    report_others(&mut host, &mut total, 2.0, 30.0, 30.0);
    let passed = (0..40).filter(|_| host.serve("c", "plain", 1.0)).count();
    assert_eq!(passed, 0);
}

/// Reads so many customers of a plan, each of which all limiters ask for so many units a second, and get all
/// of.
fn read_customers(host: &mut Host, plan: &str, count: u32, demand: f64) {
    host.now += 4.0;
    for n in 0..count {
        let customer = format!("{plan}-{n}");
        while host.counter_calls.is_empty() {
            host.serve(&customer, plan, 1.0);
            host.now += 0.01;
        }
        host.answer_counter_calls(|add| (Outcome::Ok, (4.0 * demand).round() + add));
    }
}

#[test]
fn the_first_request_of_a_customer_has_the_admission_probability_of_its_plan() {
    let first =
        |host: &mut Host, plan: &str| (0..200).filter(|n| host.serve(&format!("new-{n}"), plan, 1.0)).count();
    // Nobody has been read: all go through, as they would from a fallback.
    assert_eq!(first(&mut one_of_many_limiters(), "plain"), 200);
    // Customers below their quota are all admitted.
    let mut host = one_of_many_limiters();
    read_customers(&mut host, "plain", 30, 2.0);
    assert_eq!(first(&mut host, "plain"), 200);
    // Where they ask for thrice their quota, one request from each limiter would be several bursts. Another
    // plan's customers have their own chance.
    let mut host = one_of_many_limiters();
    read_customers(&mut host, "plain", 30, 30.0);
    let passed = first(&mut host, "plain");
    assert!((10..120).contains(&passed), "{passed} of 200");
    let elsewhere = (0..50).filter(|n| host.serve(&format!("else-{n}"), "capped", 1.0)).count();
    assert_eq!(elsewhere, 50);
    // While the counter is down there is nothing to wait for: the fallback holds.
    for _ in 0..3 {
        while host.counter_calls.is_empty() {
            host.now += 0.6;
            host.serve("down", "plain", 0.1);
        }
        host.answer_counter_calls(|_| (Outcome::Timeout, 0.0));
    }
    let passed = (0..200).filter(|n| host.serve(&format!("down-{n}"), "plain", 1.0)).count();
    assert_eq!(passed, 200, "while the counter is down");
}
