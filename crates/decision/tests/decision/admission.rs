//! Rejections by the concurrency limit and by load shedding, and isolation of customers from the retries of
//! others.

use crate::support::*;
use liftrouter_decision::*;

#[test]
fn the_concurrency_limit_rejects_at_once_and_admits_after_a_response() {
    let mut host = Host::new(settings());
    let (first, actions) = host.request("c", "capped", "read", 1.0);
    assert!(sent_endpoint(&actions).is_some());
    let (_, actions) = host.request("c", "capped", "read", 1.0);
    assert!(
        sent_endpoint(&actions).is_none() && rejections(&actions) == 1,
        "a limit of two over two limiters is one each"
    );
    host.end_attempt(first, 0, Outcome::Ok, None);
    assert!(sent_endpoint(&host.request("c", "capped", "read", 1.0).1).is_some());
}

#[test]
fn a_request_rejected_for_capacity_or_concurrency_may_be_retried_after_one_service_time() {
    let retry_after = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Reject { retry_after_s, .. } => Some(*retry_after_s),
            _ => None,
        })
    };
    // Before the first response the service time is taken to be a fifth of the latency objective.
    let mut host = Host::new(settings());
    host.request("c", "capped", "read", 1.0);
    let capped = retry_after(&host.request("c", "capped", "read", 1.0).1).expect("rejected");
    assert!((0.19..0.21).contains(&capped), "{capped}");
    let full = (0..100).find_map(|n| retry_after(&host.request(&format!("c{n}"), "plain", "read", 1.0).1));
    assert!((0.19..0.21).contains(&full.expect("rejected")), "{full:?}");
    // Afterwards it is the observed service time.
    let mut host = Host::new(settings()).with_fast_counter();
    host.request("c", "capped", "read", 1.0);
    let capped = retry_after(&host.request("c", "capped", "read", 1.0).1).expect("rejected");
    assert!((0.05..0.19).contains(&capped), "{capped}");
    // Zero if the settings do not allow Retry-After.
    let mut host = Host::new(Settings { may_send_retry_after: false, ..settings() });
    host.request("c", "capped", "read", 1.0);
    assert_eq!(retry_after(&host.request("c", "capped", "read", 1.0).1), Some(0.0));
}

#[test]
fn unmarked_retries_do_not_affect_other_customers() {
    // One customer's clients retry each rejected request many times at once, without marking the retries.
    let served = |abusive: bool| {
        let mut host = Host::new(settings());
        let mut others = 0;
        for n in 0..600u32 {
            host.now += 0.05;
            for _ in 0..if abusive { 20 } else { 0 } {
                host.serve("abuser", "plain", 1.0);
            }
            others += u32::from(host.serve(&format!("c{}", n % 10), "plain", 1.0));
            host.answer_counter_calls(|increment| (Outcome::Ok, increment));
        }
        others
    };
    assert_eq!(served(true), served(false));
}

#[test]
fn a_saturated_fleet_sheds_the_class_of_lowest_priority() {
    let mut settings = settings();
    settings.classes[3].priority_weight = 0.1;
    let mut host = Host::new(settings);
    // Almost all requests find the limits reached.
    let mut in_flight = Vec::new();
    for _ in 0..200 {
        let (id, actions) = host.request("c", "free", "read", 1.0);
        if sent_endpoint(&actions).is_some() {
            in_flight.push(id);
        }
    }
    let mut sent_after_a_response = |class: &str| {
        let id = in_flight.pop().expect("an attempt in flight");
        host.end_attempt(id, 0, Outcome::Ok, None);
        let (id, actions) = host.request("c", "free", class, 1.0);
        let sent = sent_endpoint(&actions).is_some();
        if sent {
            in_flight.push(id);
        }
        sent
    };
    assert!(sent_after_a_response("read"));
    assert!(!sent_after_a_response("unsafe"), "the slot is kept for a class of higher priority");
    assert!(sent_after_a_response("read"));
}
