//! Permissions: what they draw, when they count as out, and that they end, on scripted events.
mod common;
use common::*;
use liftrouter_decision::*;

fn request(h: &Host, id: u64, plan: &str, units: f64) -> Request {
    Request {
        id,
        customer: "c".into(),
        plan: plan.into(),
        class: "read".into(),
        units,
        reachable_instances: h.width,
        is_retry: false,
        deadline: h.now + 4.0,
    }
}

/// Asks for a permission; whether it was granted. There must be one answer, and nothing may be sent.
fn permitted(h: &mut Host, id: u64, plan: &str, units: f64) -> bool {
    let question = request(h, id, plan, units);
    let out = h.event(Event::Authorization(question));
    assert!(!out.iter().any(|a| matches!(a, Action::Send { .. } | Action::Fail { .. })), "{out:?}");
    let yes = out.iter().filter(|a| **a == Action::Authorize { id }).count();
    let no = out.iter().filter(|a| matches!(a, Action::Reject { id: i, .. } if *i == id)).count();
    assert_eq!(yes + no, 1, "{out:?}");
    yes == 1
}

/// Fires every timer that is due by now and belongs to this permission.
fn pass(h: &mut Host, seconds: f64, tokens: &[u64]) -> Vec<Action> {
    h.now += seconds;
    tokens.iter().flat_map(|token| h.event(Event::Timer { token: *token })).collect()
}

fn timers(out: &[Action]) -> Vec<u64> {
    out.iter()
        .filter_map(|a| if let Action::SetTimer { token, .. } = a { Some(*token) } else { None })
        .collect()
}

#[test]
fn a_permission_draws_on_the_bucket_that_requests_draw_on() {
    let mut h = Host::new(settings());
    // The bucket holds 10 (see the quota's tests): six permitted, three sent, one more permitted, then none.
    assert!((1..=6).all(|id| permitted(&mut h, id, "plain", 1.0)));
    let mut sent = 0;
    for id in 7..=9 {
        let r = request(&h, id, "plain", 1.0);
        let out = h.event(Event::Request(r));
        sent += out.iter().filter(|a| matches!(a, Action::Send { .. })).count();
    }
    assert_eq!(sent, 3);
    assert!(permitted(&mut h, 10, "plain", 1.0));
    assert!(!permitted(&mut h, 11, "plain", 1.0));
    let r = request(&h, 12, "plain", 1.0);
    assert!(matches!(h.event(Event::Request(r)).last(), Some(Action::Reject { .. })));
}

#[test]
fn permissions_and_requests_get_the_same_answers_in_any_mixture() {
    // The same arrivals, 12 a second for a limit of 5 with bursts of units; answers come at once, so that
    // nothing but the bucket and the ceiling decides. Every ratio from none to all.
    let answers = |share: u64| -> Vec<bool> {
        let mut h = Host::new(settings());
        (1..=200u64)
            .map(|id| {
                h.now += if id % 7 == 0 { 0.4 } else { 0.05 };
                let units = 1.0 + (id % 3) as f64;
                let plan = "hard";
                if id * 37 % 100 < share {
                    return permitted(&mut h, id, plan, units);
                }
                let r = request(&h, id, plan, units);
                let out = h.event(Event::Request(r));
                let sent = out.iter().any(|a| matches!(a, Action::Send { .. }));
                if sent {
                    h.end(id, 0, Outcome::Ok, None);
                }
                sent
            })
            .collect()
    };
    let alone = answers(0);
    assert!(alone.contains(&true) && alone.contains(&false));
    for share in [1, 10, 25, 50, 75, 90, 99, 100] {
        assert_eq!(answers(share), alone, "{share} % over permissions");
    }
}

#[test]
fn a_permitted_call_counts_as_out_until_it_is_due() {
    let mut h = Host::new(settings());
    // The cap is 2 over two limiters: one from here.
    let question = request(&h, 1, "capped", 1.0);
    let out = h.event(Event::Authorization(question));
    assert!(out.contains(&Action::Authorize { id: 1 }));
    let tokens: Vec<u64> = timers(&out).into_iter().filter(|t| *t != 0).collect();
    assert_eq!(tokens.len(), 1);
    assert!(!permitted(&mut h, 2, "capped", 1.0));
    h.now += 3.9;
    assert!(!permitted(&mut h, 3, "capped", 1.0));
    assert!(pass(&mut h, 0.1, &tokens).is_empty());
    assert!(permitted(&mut h, 4, "capped", 1.0));
    // Over twice is over once: no place is won by it.
    pass(&mut h, 0.0, &tokens);
    h.event(Event::ClientDisconnected { id: 1 });
    assert!(!permitted(&mut h, 5, "capped", 1.0));
}

#[test]
fn one_that_its_client_never_got_frees_its_place_at_once_and_keeps_its_units() {
    let mut h = Host::new(settings());
    assert!(permitted(&mut h, 1, "capped", 4.0));
    assert!(!permitted(&mut h, 2, "capped", 1.0));
    assert!(h.event(Event::ClientDisconnected { id: 1 }).is_empty());
    // 10 held, 4 drawn: the place is free, six units are left.
    for id in 3..=8 {
        assert!(permitted(&mut h, id, "capped", 1.0), "{id}");
        h.event(Event::ClientDisconnected { id });
    }
    assert!(!permitted(&mut h, 9, "capped", 1.0));
}

#[test]
fn where_no_server_takes_work_nothing_is_permitted() {
    let mut h = Host::new(settings());
    h.event(Event::EndpointList(vec![server(A, "east", EndpointState::Draining, None)]));
    assert!(!permitted(&mut h, 1, "plain", 1.0));
    // And nothing was drawn for it.
    h.event(Event::EndpointList(vec![server(A, "east", EndpointState::InService, None)]));
    assert!((2..=11).all(|id| permitted(&mut h, id, "plain", 1.0)));
}

#[test]
fn no_more_permitted_calls_are_kept_than_memory_allows() {
    let mut h = Host::new(settings());
    // Plan `free` has no quota at all.
    for id in 1..=100_000 {
        assert!(permitted(&mut h, id, "free", 1.0), "{id}");
    }
    assert!(!permitted(&mut h, 100_001, "free", 1.0));
    // Requests go on, and so do permissions once one is over.
    let r = request(&h, 100_002, "free", 1.0);
    assert!(h.event(Event::Request(r)).iter().any(|a| matches!(a, Action::Send { .. })));
    h.event(Event::ClientDisconnected { id: 7 });
    assert!(permitted(&mut h, 100_003, "free", 1.0));
}
