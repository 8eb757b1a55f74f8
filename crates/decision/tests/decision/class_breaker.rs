//! Endpoints that fail or reject one class and serve the others.

use crate::support::*;
use liftrouter_decision::*;

#[test]
fn a_class_without_responses_avoids_the_endpoint_and_other_classes_stay() {
    // Guards against an endpoint that answers no requests of one class but seems healthy by its responses to
    // the other classes.
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
    assert!(unsafe_at_a <= 4, "{unsafe_at_a} of 40 requests of the class without responses");
    host.event(Event::EndpointChanges(vec![endpoint(B, "east", EndpointState::Draining, None)]));
    assert_eq!(
        sent_endpoint(&host.request("z", "plain", "read", 1.0).1).as_deref(),
        Some(A),
        "the endpoint still serves the other class"
    );
}

/// Endpoint A is in the limiter's zone and two others are not, so that A is preferred.
fn one_near_endpoint() -> Host {
    let mut host = Host::new(settings());
    let in_service = EndpointState::InService;
    let far = [C, "10.0.0.4:1"].map(|id| endpoint(id, "west", in_service, None));
    host.event(Event::EndpointList(far.into_iter().chain([endpoint(A, "east", in_service, None)]).collect()));
    host
}

/// Sends a request of a class. A first attempt at endpoint A ends with `outcome_at_a`, all other attempts
/// succeed. Returns whether the first attempt went to A.
fn request_went_to_a(host: &mut Host, n: u32, class: &str, outcome_at_a: Outcome) -> bool {
    let (id, actions) = host.request(&format!("{class}{n}"), "plain", class, 1.0);
    let went_to_a = sent_endpoint(&actions).as_deref() == Some(A);
    let mut actions = host.end_attempt(id, 0, if went_to_a { outcome_at_a } else { Outcome::Ok }, None);
    for attempt in 1.. {
        if sent_endpoint(&actions).is_none() {
            break;
        }
        actions = host.end_attempt(id, attempt, Outcome::Ok, None);
    }
    went_to_a
}

#[test]
fn a_class_that_an_endpoint_rejects_goes_elsewhere_and_other_classes_stay() {
    let mut host = one_near_endpoint();
    let (mut reads, mut others) = (0, 0);
    for n in 0..100 {
        host.now += 0.2;
        reads += u32::from(request_went_to_a(&mut host, n, "read", Outcome::Overloaded));
        // Six requests at once need the capacity of every endpoint.
        let requests: Vec<_> =
            (0..6).map(|c| host.request(&format!("c{c}"), "plain", "unsafe", 1.0)).collect();
        others += requests.iter().filter(|(_, actions)| sent_endpoint(actions).as_deref() == Some(A)).count();
        for (id, _) in requests {
            host.end_attempt(id, 0, Outcome::Ok, None);
        }
    }
    assert!(reads <= 2, "{reads} requests of a class sent to the endpoint that rejects it");
    assert!(others >= 150, "{others} of 600 requests of a class that the endpoint serves");
    // Once the breaker has closed, the endpoint gets its share of the class as before.
    host.now += 30.0;
    let again: Vec<_> = (0..6).map(|c| host.request(&format!("d{c}"), "plain", "read", 1.0)).collect();
    assert_eq!(again.iter().filter(|(_, actions)| sent_endpoint(actions).as_deref() == Some(A)).count(), 2);
}

#[test]
fn requests_of_a_rejected_class_find_capacity_at_the_other_endpoints() {
    // At first each of the three endpoints may have two attempts in flight. If one rejects the class, the
    // limits of the other two are raised by half for it.
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
