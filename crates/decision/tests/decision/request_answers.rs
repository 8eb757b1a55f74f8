//! Each request gets exactly one final answer, on every path.

use crate::support::*;
use liftrouter_decision::*;

#[test]
fn a_request_without_an_endpoint_is_rejected_once() {
    let mut host = Host::new(settings());
    host.event(Event::EndpointList(Vec::new()));
    let (_, actions) = host.request("c", "plain", "unsafe", 1.0);
    assert_eq!((rejections(&actions), failures(&actions), sent_endpoint(&actions)), (1, 0, None));
}

#[test]
fn an_unknown_class_or_plan_is_rejected_once() {
    let mut host = Host::new(settings());
    assert_eq!(rejections(&host.request("c", "no such plan", "read", 1.0).1), 1);
    assert_eq!(rejections(&host.request("c", "plain", "no such class", 1.0).1), 1);
}

#[test]
fn a_request_without_a_response_fails_once_just_before_its_deadline() {
    let mut host = Host::new(settings());
    let (id, actions) = host.request("c", "plain", "read", 1.0);
    let (expires_at, token) = find_timer(&actions, id, 1).expect("a deadline timer");
    assert!(expires_at < host.now + 4.0 && expires_at > host.now + 3.9, "{expires_at}");
    host.now = expires_at;
    let actions = host.event(Event::Timer { token });
    assert_eq!(failures(&actions), 1);
    host.now += 0.01;
    let late = host.end_attempt(id, 0, Outcome::Timeout, None);
    assert_eq!((failures(&late), rejections(&late), sent_endpoint(&late)), (0, 0, None));
    assert!(host.event(Event::Timer { token }).is_empty());
}

#[test]
fn no_answer_is_due_after_the_client_disconnected() {
    let mut host = Host::new(settings());
    let (id, _) = host.request("c", "plain", "read", 1.0);
    let actions = host.event(Event::ClientDisconnected { id });
    assert_eq!((failures(&actions), rejections(&actions)), (0, 0));
    let actions = host.end_attempt(id, 0, Outcome::ConnectFailed, None);
    assert_eq!((failures(&actions), rejections(&actions), sent_endpoint(&actions)), (0, 0, None));
}

#[test]
fn a_streamed_response_has_no_deadline() {
    let mut host = Host::new(settings());
    let (id, actions) = host.request("c", "plain", "read", 1.0);
    let (expires_at, token) = find_timer(&actions, id, 1).expect("a deadline timer");
    host.event(Event::StreamStarted { id });
    host.now = expires_at;
    assert!(host.event(Event::Timer { token }).is_empty());
}
