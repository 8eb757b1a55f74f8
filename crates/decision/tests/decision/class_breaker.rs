//! Endpoints that fail or reject one class and serve the others.

use crate::support::*;
use liftrouter_decision::*;

#[test]
fn a_class_without_responses_moves_alone() {
    // Guards against an endpoint that leaves one class unanswered: heard on the others, it counts as alive.
    let mut host = Host::new(settings());
    let in_service = EndpointState::InService;
    host.event(Event::EndpointList(vec![
        endpoint(A, "east", in_service, None),
        endpoint(B, "east", in_service, None),
    ]));
    let mut unsafe_at_a = 0;
    for n in 0..60 {
        for class in ["unsafe", "read"] {
            host.now += 0.05;
            let (id, actions) = host.request(&format!("{class}{n}"), "plain", class, 1.0);
            let Some(to) = sent_endpoint(&actions) else { continue };
            if class == "unsafe" && &*to == A {
                unsafe_at_a += u32::from(n >= 20);
                host.now += 0.7;
                host.event(Event::Timer { token: id * 4 + 2 });
                host.event(Event::ClientDisconnected { id });
                host.end_attempt(id, 0, Outcome::Timeout, None);
            } else {
                host.end_attempt(id, 0, Outcome::Ok, None);
            }
        }
    }
    assert!(unsafe_at_a <= 4, "{unsafe_at_a} of 40 of the unanswered class");
    host.event(Event::EndpointChanges(vec![endpoint(B, "east", EndpointState::Draining, None)]));
    assert_eq!(
        sent_endpoint(&host.request("z", "plain", "read", 1.0).1).as_deref(),
        Some(A),
        "it serves the others"
    );
}

/// Endpoint A is near, the two others far: what can go to A does.
fn one_near_endpoint() -> Host {
    let mut host = Host::new(settings());
    let in_service = EndpointState::InService;
    let far = [C, "10.0.0.4:1"].map(|id| endpoint(id, "west", in_service, None));
    host.event(Event::EndpointList(far.into_iter().chain([endpoint(A, "east", in_service, None)]).collect()));
    host
}

/// Sends a request of a class and ends its attempt as given; true if it went to endpoint A.
fn request_went_to_a(host: &mut Host, n: u32, class: &str, at_a: Outcome) -> bool {
    let (id, actions) = host.request(&format!("{class}{n}"), "plain", class, 1.0);
    let a = sent_endpoint(&actions).as_deref() == Some(A);
    let mut actions = host.end_attempt(id, 0, if a { at_a } else { Outcome::Ok }, None);
    for attempt in 1.. {
        if sent_endpoint(&actions).is_none() {
            break;
        }
        actions = host.end_attempt(id, attempt, Outcome::Ok, None);
    }
    a
}

#[test]
fn a_class_that_an_endpoint_rejects_goes_elsewhere_and_other_classes_stay() {
    let mut host = one_near_endpoint();
    let (mut reads, mut others) = (0, 0);
    for n in 0..100 {
        host.now += 0.2;
        reads += u32::from(request_went_to_a(&mut host, n, "read", Outcome::Overloaded));
        // Several at once: each endpoint is needed.
        let asked: Vec<_> = (0..6).map(|c| host.request(&format!("c{c}"), "plain", "unsafe", 1.0)).collect();
        others += asked.iter().filter(|(_, actions)| sent_endpoint(actions).as_deref() == Some(A)).count();
        for (id, _) in asked {
            host.end_attempt(id, 0, Outcome::Ok, None);
        }
    }
    assert!(reads <= 2, "{reads} sent to a server that turns the class away");
    assert!(others >= 150, "{others} of 600 of a class that it serves");
    // It serves the class again: once that was tried, it gets its part as before.
    host.now += 30.0;
    let again: Vec<_> = (0..6).map(|c| host.request(&format!("d{c}"), "plain", "read", 1.0)).collect();
    assert_eq!(again.iter().filter(|(_, actions)| sent_endpoint(actions).as_deref() == Some(A)).count(), 2);
}

#[test]
fn what_one_endpoint_rejects_finds_capacity_at_the_others() {
    // Two may be out at each at first; a third endpoint that rejects the class leaves half as many more.
    let mut host = one_near_endpoint();
    for n in 0..2 {
        host.now += 60.0;
        assert!(request_went_to_a(&mut host, n, "read", Outcome::Overloaded));
    }
    host.event(Event::Timer { token: 0 });
    let sent = (0..20).filter_map(|n| sent_endpoint(&host.request(&format!("c{n}"), "plain", "read", 1.0).1));
    let sent: Vec<_> = sent.collect();
    assert!(sent.len() == 6 && sent.iter().all(|s| &**s != A), "{sent:?}");
}

#[test]
fn a_class_that_every_endpoint_rejects_still_gets_some_attempts() {
    let mut host = Host::new(settings());
    let sent = (0..60).filter(|n| {
        host.now += 0.1;
        let (id, actions) = host.request(&format!("c{n}"), "plain", "unsafe", 1.0);
        let sent = sent_endpoint(&actions).is_some();
        (0..4).for_each(|attempt| drop(host.end_attempt(id, attempt, Outcome::Overloaded, None)));
        sent
    });
    assert!(sent.count() > 30);
}
