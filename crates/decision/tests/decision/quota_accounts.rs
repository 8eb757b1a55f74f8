//! A customer's account at one limiter: settlement of units, the hard limit, the concurrency limit, and when
//! the account is dropped.

use crate::support::*;
use liftrouter_decision::*;

#[test]
fn settlement_may_take_the_bucket_below_zero() {
    let mut host = Host::new(Settings { units_are_estimates: true, ..settings() });
    let (id, _) = host.request("c", "plain", "read", 1.0);
    host.end_attempt(id, 0, Outcome::Ok, Some(14.0));
    assert!(!host.serve("c", "plain", 1.0));
    host.now += 0.9; // -4 + 4.5 < 1
    assert!(!host.serve("c", "plain", 1.0));
    host.now += 0.2;
    assert!(host.serve("c", "plain", 1.0));
}

#[test]
fn an_idle_account_is_dropped_only_when_its_bucket_would_be_full() {
    // The fallback is one request in two minutes. Dropping the account sooner would give the customer a full
    // bucket again.
    let mut host = Host::new(Settings { instance_count: 1200, ..settings() });
    host.reachable_instances = 1200;
    assert!(host.serve("c", "plain", 1.0));
    assert!(!host.serve("c", "plain", 1.0));
    for _ in 0..1600 {
        host.now += 0.05;
        host.event(Event::Timer { token: 0 });
    }
    assert!(!host.serve("c", "plain", 1.0), "80 s later, at one request in 120 s");
    for _ in 0..1600 {
        host.now += 0.05;
        host.event(Event::Timer { token: 0 });
    }
    assert!(host.serve("c", "plain", 1.0));
}

#[test]
fn the_hard_limit_holds_over_all_limiters_and_a_restart() {
    // Two limiters; one restarts after five seconds. Hard limit: 4 a second, burst 8, overdraft 1.
    let mut hosts = [Host::new(settings()), Host::new(settings())];
    let (mut tokens, mut lowest) = (8.0f64, f64::MAX);
    for step in 0..1000 {
        let now = 100.0 + f64::from(step) * 0.01;
        tokens = (tokens + 0.04).min(8.0);
        if step == 500 {
            hosts[0] = Host::new(settings());
            hosts[0].now = now;
            hosts[0].limiter = Limiter::new(settings(), 8, now);
            let in_service = EndpointState::InService;
            hosts[0].event(Event::EndpointList(vec![endpoint(A, "east", in_service, None)]));
        }
        for host in &mut hosts {
            host.now = now;
            if host.serve("c", "hard", 1.0) {
                tokens -= 1.0;
                lowest = lowest.min(tokens);
            }
        }
    }
    assert!(lowest >= -1.0, "{lowest}");
    assert!(lowest < 8.0, "some requests were admitted");
}

#[test]
fn a_plan_without_a_rate_has_no_bucket() {
    let mut host = Host::new(settings());
    assert_eq!(host.drain_bucket("c", "free"), 200);
}

#[test]
fn reachable_instances_beyond_the_instance_count_count_as_all_of_them() {
    let mut host = Host::new(settings());
    let request = Request {
        id: 1,
        customer: "c".into(),
        plan: "plain".into(),
        class: "read".into(),
        units: 9.0,
        reachable_instances: 50,
        is_retry: false,
        deadline: host.now + 1.0,
    };
    assert!(sent_endpoint(&host.event(Event::Request(request))).is_some(), "a bucket of 10, not of 20 / 50");
    assert!(!host.serve("c", "plain", 2.0));
}

#[test]
fn a_limiter_that_starts_late_in_an_epoch_keeps_the_concurrency_limit() {
    // If own demand since the limiter's start were compared with all demand since the start of the epoch, the
    // limiter's share would be many times the concurrency limit.
    let mut host = Host::new(Settings { instance_count: 1, ..settings() });
    (host.reachable_instances, host.now) = (1, 119.0);
    host.limiter = Limiter::new(Settings { instance_count: 1, ..settings() }, 7, host.now);
    let in_service = EndpointState::InService;
    host.event(Event::EndpointList(vec![
        endpoint(A, "east", in_service, None),
        endpoint(B, "east", in_service, None),
    ]));
    let mut in_flight = 0;
    for n in 0..40 {
        host.now += 0.02;
        let (id, actions) = host.request("c", "capped", "read", 1.0);
        if sent_endpoint(&actions).is_some() {
            in_flight += 1;
            // The first attempts end, so that more requests are admitted.
            if n < 8 {
                host.end_attempt(id, 0, Outcome::Ok, None);
                in_flight -= 1;
            }
        }
        host.answer_counter_calls(|increment| (Outcome::Ok, increment));
        assert!(in_flight <= 2, "{in_flight} are in flight at the {n}th request, of a limit of 2");
    }
    assert_eq!(in_flight, 2, "the limit was reached");
}

/// Guards against memory that grows without end while a client sends requests under ever new names.
#[test]
fn new_customers_beyond_the_limit_are_rejected_until_an_account_may_be_dropped() {
    let mut host = Host::new(settings());
    host.limiter.set_max_customers(3);
    for customer in ["a", "b", "c"] {
        assert!(host.serve(customer, "plain", 1.0));
    }
    // Their buckets are not full yet: without its account, a customer would get its burst again.
    let (_, actions) = host.request("d", "plain", "read", 1.0);
    let advised = actions.iter().find_map(|action| match action {
        Action::Reject { retry_after_s, .. } => Some(*retry_after_s),
        _ => None,
    });
    assert!(advised.is_some_and(|seconds| seconds > 0.0), "{advised:?}");
    assert!(host.serve("a", "plain", 1.0), "a known customer is served");
    host.answer_counter_calls(|increment| (Outcome::Ok, increment));
    assert!(host.drain_bucket("a", "plain") > 0);
    host.now += 1.5;
    assert!(host.serve("d", "plain", 1.0), "b and c have full buckets, and all their usage was reported");
    assert!(host.serve("e", "plain", 1.0));
    // The bucket of `a` was empty, and is not full again: its account is still there.
    assert!(host.drain_bucket("a", "plain") < 10);
    assert!(!host.serve("f", "plain", 1.0));
}

/// Guards against usage that no limiter learns of, because the account was dropped before it was reported.
#[test]
fn an_account_with_unreported_usage_makes_no_room() {
    let mut host = Host::new(settings()).with_fast_counter();
    host.limiter.set_max_customers(2);
    assert!(host.serve("a", "plain", 1.0));
    host.now += 0.1;
    assert!(host.serve("a", "plain", 1.0), "within the period after a call: not reported yet");
    host.answer_counter_calls(|increment| (Outcome::Ok, increment));
    host.now += 30.0;
    assert!(host.serve("warm", "plain", 0.1));
    host.answer_counter_calls(|increment| (Outcome::Ok, increment));
    assert!(!host.serve("b", "plain", 1.0));
    host.now += 60.0;
    assert!(host.serve("b", "plain", 1.0), "`warm` makes room");
}

/// Guards against a customer that gets its burst again, because its account made room too soon.
#[test]
fn an_account_makes_room_only_when_its_bucket_would_be_full() {
    // One limiter's share is half a unit a second, and a burst of one unit.
    let mut host = Host::new(Settings { instance_count: 20, has_counter: false, ..settings() });
    host.reachable_instances = 20;
    host.limiter.set_max_customers(1);
    assert!(host.serve("a", "plain", 1.0));
    // A new bucket would hold the largest request, of four units.
    host.now += 7.0;
    assert!(!host.serve("b", "plain", 1.0), "the bucket of `a` is full after 8 s");
    host.now += 2.0;
    assert!(host.serve("b", "plain", 1.0));
}
