//! Attempts that take long: their place in the limit, cancellation, and pauses of this process.

use crate::support::*;
use liftrouter_decision::*;

#[test]
fn an_attempt_that_hangs_holds_its_place_for_one_latency_objective_at_most() {
    // Guards against hung attempts (incident ief87c6): each would fill a small limit until its client
    // disconnected.
    let mut host = Host::new(Settings { instance_count: 4, ..settings() });
    host.event(Event::EndpointList(vec![endpoint(A, "east", EndpointState::InService, None)]));
    let (id, actions) = host.request("c", "plain", "unsafe", 1.0);
    assert!(sent_endpoint(&actions).is_some());
    assert!(!host.serve("d", "plain", 1.0), "the window of one is full");
    host.now += 0.6;
    let actions = host.event(Event::Timer { token: id * 4 + 2 });
    let at = actions.iter().find_map(|a| match a {
        Action::SetTimer { expires_at, .. } => Some(*expires_at),
        _ => None,
    });
    assert!(!host.serve("d", "plain", 1.0));
    host.now = at.expect("a second look");
    host.event(Event::Timer { token: id * 4 + 2 });
    assert!(host.serve("d", "plain", 1.0));
}

#[test]
fn an_attempt_is_cancelled_only_after_two_slow_ones_in_a_row() {
    // Guards against the ejection spiral and against rare evidence read as a fault: one late response is
    // slow.
    let late = |host: &mut Host, id: u64, actions: &[Action]| {
        let (at, token) = find_timer(actions, id, 2).expect("patience");
        host.now = host.now.max(at);
        host.event(Event::Timer { token }).iter().any(|a| matches!(a, Action::Cancel { .. }))
    };
    for answered in [true, false] {
        let mut host = Host::new(settings());
        host.event(Event::EndpointList(vec![endpoint(A, "east", EndpointState::InService, None)]));
        let (id, actions) = host.request("c", "plain", "read", 1.0);
        assert!(!late(&mut host, id, &actions), "one late answer");
        if answered {
            host.end_attempt(id, 0, Outcome::Ok, None);
        }
        let (id, actions) = host.request("d", "plain", "read", 1.0);
        assert_eq!(late(&mut host, id, &actions), !answered);
    }
}

#[test]
fn a_paused_limiter_blames_no_endpoint() {
    // Guards against stalls: what is late after one is no endpoint's fault; nothing is cancelled or counted.
    let run = |stalled: bool| {
        let mut host = Host::new(settings());
        host.event(Event::Timer { token: 0 });
        host.event(Event::EndpointList(vec![endpoint(A, "east", EndpointState::InService, None)]));
        let mut cancels = 0;
        for n in 0..2 {
            let (id, actions) = host.request(&format!("c{n}"), "plain", "read", 1.0);
            let (at, token) = find_timer(&actions, id, 2).expect("patience");
            for step in 1..=10 {
                if !stalled {
                    host.now = host.now.max(at - 0.5 + f64::from(step) * 0.05);
                    host.event(Event::Timer { token: 0 });
                }
            }
            host.now = host.now.max(at);
            host.event(Event::Timer { token: 0 });
            cancels += host
                .event(Event::Timer { token })
                .iter()
                .filter(|a| matches!(a, Action::Cancel { .. }))
                .count();
        }
        cancels
    };
    assert_eq!((run(true), run(false)), (0, 1));
}
