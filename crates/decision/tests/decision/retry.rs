//! Retries allowed by each kind of idempotency, and the retry budget.

use crate::support::*;
use liftrouter_decision::*;

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_never_ran() {
    for outcome in [Outcome::Overloaded, Outcome::ConnectFailed] {
        let mut host = Host::new(settings());
        let (id, _) = host.request("c", "plain", "unsafe", 1.0);
        assert!(sent_endpoint(&host.end_attempt(id, 0, outcome, None)).is_some(), "{outcome:?}");
    }
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut host = Host::new(settings());
        let (id, _) = host.request("c", "plain", "unsafe", 1.0);
        let actions = host.end_attempt(id, 0, outcome, None);
        assert_eq!(
            (sent_endpoint(&actions), rejections(&actions), failures(&actions)),
            (None, 0, 1),
            "{outcome:?}"
        );
    }
}

#[test]
fn an_idempotent_request_is_retried_after_any_failure_until_attempts_run_out() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Overloaded] {
        let mut host = Host::new(settings());
        let (id, actions) = host.request("c", "plain", "read", 1.0);
        let first = sent_endpoint(&actions);
        let actions = host.end_attempt(id, 0, outcome, None);
        assert!(sent_endpoint(&actions).is_some() && sent_endpoint(&actions) != first, "{outcome:?}");
        host.end_attempt(id, 1, outcome, None);
        host.end_attempt(id, 2, outcome, None);
        let actions = host.end_attempt(id, 3, outcome, None);
        assert_eq!(
            (sent_endpoint(&actions), rejections(&actions) + failures(&actions)),
            (None, 1),
            "{outcome:?}"
        );
    }
}

#[test]
fn a_request_with_an_idempotency_key_stays_in_its_deduplication_scope_and_window() {
    let mut host = Host::new(settings());
    let (id, actions) = host.request("c", "plain", "keyed-zone", 1.0);
    let first = sent_endpoint(&actions).expect("sent");
    let other = if &*first == A { B } else { A };
    // All endpoints of the deduplication scope are draining. The request may have run, so it is neither sent
    // to another zone nor rejected.
    host.event(Event::EndpointChanges(vec![
        endpoint(other, "east", EndpointState::Draining, None),
        endpoint(&first, "east", EndpointState::Draining, None),
    ]));
    let actions = host.end_attempt(id, 0, Outcome::Reset, None);
    assert_eq!((sent_endpoint(&actions), rejections(&actions), failures(&actions)), (None, 0, 1));

    let mut host = Host::new(settings());
    let (id, _) = host.request("c", "plain", "keyed-all", 1.0);
    host.now += 1.9;
    let actions = host.end_attempt(id, 0, Outcome::Reset, None);
    assert_eq!(
        (sent_endpoint(&actions), rejections(&actions)),
        (None, 1),
        "too close to the end of the deduplication window"
    );
    let (id, _) = host.request("c", "plain", "keyed-all", 1.0);
    host.now += 0.5;
    assert!(sent_endpoint(&host.end_attempt(id, 0, Outcome::Reset, None)).is_some());
}

#[test]
fn retries_end_when_the_budget_is_spent_and_requests_earn_more() {
    let mut host = Host::new(settings());
    // Attempts that were not sent are no evidence about their endpoints, so only the budget limits retries.
    let retries = |host: &mut Host, requests: u32| -> usize {
        let mut retries = 0;
        for _ in 0..requests {
            host.now += 0.1;
            let (id, _) = host.request("c", "free", "read", 1.0);
            let ended = (0..4).map(|attempt| host.end_attempt(id, attempt, Outcome::NotSent, None));
            retries += ended.filter(|actions| sent_endpoint(actions).is_some()).count();
        }
        retries
    };
    // The budget starts with ten retries, and each request earns a tenth of one.
    let initial_retries = retries(&mut host, 30);
    assert!((11..=13).contains(&initial_retries), "{initial_retries} retries of 30 requests");
    let later_retries = retries(&mut host, 100);
    assert!((9..=11).contains(&later_retries), "{later_retries} retries of 100 requests");
}
