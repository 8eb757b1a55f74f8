//! The limit of attempts in flight at one endpoint.

use crate::support::*;
use liftrouter_decision::*;

#[test]
fn attempts_in_flight_at_an_endpoint_are_limited() {
    let mut host = Host::new(settings());
    let sent = (0..100)
        .filter(|n| sent_endpoint(&host.request(&format!("c{n}"), "plain", "read", 1.0).1).is_some())
        .count();
    assert!((3..=30).contains(&sent), "{sent} attempts in flight at three endpoints without a response yet");
}

/// Sends requests until the limit is reached, then ends each attempt with the outcome. Returns their number.
fn fill_limit(host: &mut Host, outcome: Outcome) -> usize {
    let mut in_flight = Vec::new();
    loop {
        let (id, actions) = host.request("c", "free", "unsafe", 1.0);
        if sent_endpoint(&actions).is_none() {
            break;
        }
        in_flight.push(id);
    }
    for id in &in_flight {
        host.end_attempt(*id, 0, outcome, None);
    }
    in_flight.len()
}

#[test]
fn the_limit_grows_with_fast_responses_and_shrinks_with_timeouts() {
    let mut host = Host::new(settings());
    host.event(Event::EndpointList(vec![endpoint(A, "east", EndpointState::InService, None)]));
    let mut limit_after = |rounds: usize, outcome: Outcome| {
        for _ in 0..rounds {
            host.now += 1.0;
            host.event(Event::Timer { token: 0 });
            fill_limit(&mut host, outcome);
        }
        host.now += 1.0;
        host.event(Event::Timer { token: 0 });
        fill_limit(&mut host, Outcome::Ok)
    };
    // The initial limit of four attempts is divided between two limiters.
    let initial = limit_after(0, Outcome::Ok);
    assert_eq!(initial, 2);
    let grown = limit_after(40, Outcome::Ok);
    assert!(grown >= 2 * initial, "{grown} from {initial}");
    let shrunk = limit_after(10, Outcome::Timeout);
    assert!(shrunk <= grown / 2, "{shrunk} from {grown}");
}
