//! The limit of attempts in flight at one endpoint.

use crate::support::*;

#[test]
fn attempts_in_flight_at_an_endpoint_are_limited() {
    let mut host = Host::new(settings());
    let sent = (0..100)
        .filter(|n| sent_endpoint(&host.request(&format!("c{n}"), "plain", "read", 1.0).1).is_some())
        .count();
    assert!((3..=30).contains(&sent), "{sent} out at three servers that have shown nothing yet");
}
