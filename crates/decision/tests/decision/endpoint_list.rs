//! Endpoint lists and changes.

use crate::support::*;
use liftrouter_decision::*;

#[test]
fn draining_and_missing_endpoints_get_no_new_requests() {
    let mut host = Host::new(settings());
    host.event(Event::EndpointChanges(vec![endpoint(A, "east", EndpointState::Draining, None)]));
    // The requests stay in flight, so that an idle endpoint would be selected.
    let sent: Vec<_> = (0..4)
        .filter_map(|n| sent_endpoint(&host.request(&format!("c{n}"), "plain", "read", 1.0).1))
        .collect();
    assert!(sent.len() > 1 && sent.iter().all(|s| &**s != A), "{sent:?}");
    host.event(Event::EndpointList(vec![endpoint(C, "west", EndpointState::InService, None)]));
    let sent: Vec<_> = (0..4)
        .filter_map(|n| sent_endpoint(&host.request(&format!("d{n}"), "plain", "read", 1.0).1))
        .collect();
    assert!(sent.iter().all(|s| &**s == C), "{sent:?}");
}
