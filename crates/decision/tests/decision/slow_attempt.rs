//! Slow attempts: their slot in the concurrency limit, cancellation, and pauses of the limiter's process.

use crate::support::*;
use liftrouter_decision::*;

#[test]
fn a_hung_attempt_holds_its_slot_for_one_latency_objective_at_most() {
    // Guards against hung attempts (incident ief87c6): each would occupy a small limit until its client
    // disconnects.
    let mut host = Host::new(Settings { instance_count: 4, ..settings() });
    host.event(Event::EndpointList(vec![endpoint(A, "east", EndpointState::InService, None)]));
    let (id, actions) = host.request("c", "plain", "unsafe", 1.0);
    assert!(sent_endpoint(&actions).is_some());
    assert!(!host.serve("d", "plain", 1.0), "the limit of one is reached");
    host.now += 0.6;
    let actions = host.event(Event::Timer { token: id * 4 + 2 });
    let at = actions.iter().find_map(|a| match a {
        Action::SetTimer { expires_at, .. } => Some(*expires_at),
        _ => None,
    });
    assert!(!host.serve("d", "plain", 1.0));
    host.now = at.expect("a second slow-attempt timer");
    host.event(Event::Timer { token: id * 4 + 2 });
    assert!(host.serve("d", "plain", 1.0));
}

#[test]
fn an_attempt_is_cancelled_only_after_two_consecutive_slow_ones() {
    // Guards against a spiral of ejections and against too little evidence being taken for a fault: a single
    // late response only means a slow attempt.
    let is_cancelled_when_slow = |host: &mut Host, id: u64, actions: &[Action]| {
        let (at, token) = find_timer(actions, id, 2).expect("a slow-attempt timer");
        host.now = host.now.max(at);
        host.event(Event::Timer { token }).iter().any(|a| matches!(a, Action::Cancel { .. }))
    };
    for answered in [true, false] {
        let mut host = Host::new(settings());
        host.event(Event::EndpointList(vec![endpoint(A, "east", EndpointState::InService, None)]));
        let (id, actions) = host.request("c", "plain", "read", 1.0);
        assert!(!is_cancelled_when_slow(&mut host, id, &actions), "cancelled after one slow attempt");
        if answered {
            host.end_attempt(id, 0, Outcome::Ok, None);
        }
        let (id, actions) = host.request("d", "plain", "read", 1.0);
        assert_eq!(is_cancelled_when_slow(&mut host, id, &actions), !answered);
    }
}

#[test]
fn a_pause_of_the_limiter_is_not_attributed_to_an_endpoint() {
    // Guards against pauses of the limiter's process: attempts that are late because of one are neither
    // cancelled nor counted against an endpoint.
    let run = |paused: bool| {
        let mut host = Host::new(settings());
        host.event(Event::Timer { token: 0 });
        host.event(Event::EndpointList(vec![endpoint(A, "east", EndpointState::InService, None)]));
        let mut cancels = 0;
        for n in 0..2 {
            let (id, actions) = host.request(&format!("c{n}"), "plain", "read", 1.0);
            let (at, token) = find_timer(&actions, id, 2).expect("a slow-attempt timer");
            for step in 1..=10 {
                if !paused {
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
