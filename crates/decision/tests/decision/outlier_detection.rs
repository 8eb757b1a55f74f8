//! Ejection of endpoints after consecutive failures.

use crate::support::*;
use liftrouter_decision::*;

#[test]
fn an_endpoint_with_consecutive_failures_is_ejected_but_never_all_endpoints() {
    let mut host = Host::new(settings());
    let mut to_a = 0;
    for n in 0..10 {
        host.now += 0.01;
        let (id, actions) = host.request(&format!("c{n}"), "plain", "unsafe", 1.0);
        let at_a = sent_endpoint(&actions).as_deref() == Some(A);
        to_a += usize::from(at_a);
        if at_a {
            host.end_attempt(id, 0, Outcome::Reset, None);
        }
    }
    assert!((1..=4).contains(&to_a), "{to_a} attempts at a failing endpoint");

    let mut host = Host::new(settings());
    let mut sent = 0;
    for n in 0..60 {
        host.now += 0.01;
        let (id, actions) = host.request(&format!("c{n}"), "plain", "unsafe", 1.0);
        sent += usize::from(sent_endpoint(&actions).is_some());
        host.end_attempt(id, 0, Outcome::Reset, None);
    }
    assert!(sent > 20, "some endpoints always stay in use: {sent} requests sent");
}
