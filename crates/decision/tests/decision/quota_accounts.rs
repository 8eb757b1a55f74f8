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
