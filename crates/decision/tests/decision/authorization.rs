//! Authorizations: the units they draw, and how long the authorized calls count as in flight.

use crate::support::*;
use liftrouter_decision::*;

fn request(host: &Host, id: u64, plan: &str, units: f64) -> Request {
    Request {
        id,
        customer: "c".into(),
        plan: plan.into(),
        class: "read".into(),
        units,
        reachable_instances: host.reachable_instances,
        is_retry: false,
        deadline: host.now + 4.0,
    }
}

/// Requests an authorization and returns whether it was granted. Checks that there is exactly one answer and
/// that nothing is sent.
fn is_authorized(host: &mut Host, id: u64, plan: &str, units: f64) -> bool {
    let call = request(host, id, plan, units);
    let actions = host.event(Event::Authorization(call));
    assert!(!actions.iter().any(|a| matches!(a, Action::Send { .. } | Action::Fail { .. })), "{actions:?}");
    let granted = actions.iter().filter(|a| **a == Action::Authorize { id }).count();
    let rejected = actions.iter().filter(|a| matches!(a, Action::Reject { id: i, .. } if *i == id)).count();
    assert_eq!(granted + rejected, 1, "{actions:?}");
    granted == 1
}

/// Advances the clock and fires the timers with these tokens.
fn expire_timers(host: &mut Host, elapsed_s: f64, tokens: &[u64]) -> Vec<Action> {
    host.now += elapsed_s;
    tokens.iter().flat_map(|token| host.event(Event::Timer { token: *token })).collect()
}

fn timer_tokens(actions: &[Action]) -> Vec<u64> {
    actions
        .iter()
        .filter_map(|a| if let Action::SetTimer { token, .. } = a { Some(*token) } else { None })
        .collect()
}

#[test]
fn an_authorization_draws_on_the_same_bucket_as_requests() {
    let mut host = Host::new(settings());
    // The bucket holds 10 tokens (see `quota_share.rs`): six authorizations, three requests and one more
    // authorization use them up.
    assert!((1..=6).all(|id| is_authorized(&mut host, id, "plain", 1.0)));
    let mut sent = 0;
    for id in 7..=9 {
        let r = request(&host, id, "plain", 1.0);
        let actions = host.event(Event::Request(r));
        sent += actions.iter().filter(|a| matches!(a, Action::Send { .. })).count();
    }
    assert_eq!(sent, 3);
    assert!(is_authorized(&mut host, 10, "plain", 1.0));
    assert!(!is_authorized(&mut host, 11, "plain", 1.0));
    let r = request(&host, 12, "plain", 1.0);
    assert!(matches!(host.event(Event::Request(r)).last(), Some(Action::Reject { .. })));
}

#[test]
fn authorizations_and_requests_get_the_same_answers_in_any_mixture() {
    // The same arrivals with different ratios of authorizations: about 10 a second, of one to three units, at
    // a limit of 5 units a second. Responses arrive at once, so that only the bucket and the hard limit
    // decide.
    let answers = |percent: u64| -> Vec<bool> {
        let mut host = Host::new(settings());
        (1..=200u64)
            .map(|id| {
                host.now += if id % 7 == 0 { 0.4 } else { 0.05 };
                let units = 1.0 + (id % 3) as f64;
                let plan = "hard";
                if id * 37 % 100 < percent {
                    return is_authorized(&mut host, id, plan, units);
                }
                let r = request(&host, id, plan, units);
                let actions = host.event(Event::Request(r));
                let sent = actions.iter().any(|a| matches!(a, Action::Send { .. }));
                if sent {
                    host.end_attempt(id, 0, Outcome::Ok, None);
                }
                sent
            })
            .collect()
    };
    let alone = answers(0);
    assert!(alone.contains(&true) && alone.contains(&false));
    for percent in [1, 10, 25, 50, 75, 90, 99, 100] {
        assert_eq!(answers(percent), alone, "{percent} % authorizations");
    }
}

#[test]
fn an_authorized_call_counts_as_in_flight_until_its_deadline() {
    let mut host = Host::new(settings());
    // The concurrency limit of 2 is divided between two limiters: one call for this limiter.
    let call = request(&host, 1, "capped", 1.0);
    let actions = host.event(Event::Authorization(call));
    assert!(actions.contains(&Action::Authorize { id: 1 }));
    let tokens: Vec<u64> = timer_tokens(&actions).into_iter().filter(|t| *t != 0).collect();
    assert_eq!(tokens.len(), 1);
    assert!(!is_authorized(&mut host, 2, "capped", 1.0));
    host.now += 3.9;
    assert!(!is_authorized(&mut host, 3, "capped", 1.0));
    assert!(expire_timers(&mut host, 0.1, &tokens).is_empty());
    assert!(is_authorized(&mut host, 4, "capped", 1.0));
    // Ending the same call again frees no further slot.
    expire_timers(&mut host, 0.0, &tokens);
    host.event(Event::ClientDisconnected { id: 1 });
    assert!(!is_authorized(&mut host, 5, "capped", 1.0));
}

#[test]
fn an_undelivered_authorization_frees_its_slot_but_not_its_units() {
    let mut host = Host::new(settings());
    assert!(is_authorized(&mut host, 1, "capped", 4.0));
    assert!(!is_authorized(&mut host, 2, "capped", 1.0));
    assert!(host.event(Event::ClientDisconnected { id: 1 }).is_empty());
    // The bucket held 10 units and 4 were drawn: the slot is free and six units are left.
    for id in 3..=8 {
        assert!(is_authorized(&mut host, id, "capped", 1.0), "{id}");
        host.event(Event::ClientDisconnected { id });
    }
    assert!(!is_authorized(&mut host, 9, "capped", 1.0));
}

#[test]
fn without_an_endpoint_nothing_is_authorized() {
    let mut host = Host::new(settings());
    host.event(Event::EndpointList(vec![endpoint(A, "east", EndpointState::Draining, None)]));
    assert!(!is_authorized(&mut host, 1, "plain", 1.0));
    // The rejected authorization drew nothing from the bucket.
    host.event(Event::EndpointList(vec![endpoint(A, "east", EndpointState::InService, None)]));
    assert!((2..=11).all(|id| is_authorized(&mut host, id, "plain", 1.0)));
}

#[test]
fn the_number_of_authorized_calls_in_flight_is_bounded() {
    let mut host = Host::new(settings());
    // Plan `free` has no quota.
    for id in 1..=100_000 {
        assert!(is_authorized(&mut host, id, "free", 1.0), "{id}");
    }
    assert!(!is_authorized(&mut host, 100_001, "free", 1.0));
    // Requests are still admitted, and so are authorizations once a call has ended.
    let r = request(&host, 100_002, "free", 1.0);
    assert!(host.event(Event::Request(r)).iter().any(|a| matches!(a, Action::Send { .. })));
    host.event(Event::ClientDisconnected { id: 7 });
    assert!(is_authorized(&mut host, 100_003, "free", 1.0));
}
