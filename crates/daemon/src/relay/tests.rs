//! The messages of a relay must stay byte for byte compatible with earlier versions.

use super::list_sink::RelayList;
use super::subscribers::SubscriberTable;
use crate::discovery::sink::{Heartbeat, ListSink};
use bytes::Bytes;
use liftrouter_catalog::{Instance, Lifecycle, Subscription, Update};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::Receiver;

/// The stream of a subscriber of all services: a complete list with its digest and age, a delta, heartbeats, and a
/// message that contains only a digest.
const ALL_SERVICES: &str = include_str!("../../tests/fixtures/relay-all-services.stream");
/// The stream of a subscriber of one service that already holds the list, so it begins with a delta.
const ONE_SERVICE: &str = include_str!("../../tests/fixtures/relay-one-service.stream");
/// Age of the list that upstream sends.
const AGE: Duration = Duration::from_millis(1_200);
/// Number of heartbeats up to and including the one that carries a digest.
const HEARTBEATS: usize = 5;
/// The field with a message's age, the last one of the object.
const AGE_FIELD: &str = ",\"confirmedAgoMs\":";

fn instance(id: &str, service: &str, lifecycle: Lifecycle) -> Instance {
    Instance {
        instance_id: id.into(),
        host_port: "127.0.0.1:8080".parse().expect("an address"),
        service: service.into(),
        zone: "zone-1".into(),
        machine_type: "large".into(),
        cell: Some(3),
        lifecycle,
        weight: Some(0.75),
        started_at_ms: Some(1_700_000_000_123.0),
    }
}

fn stream(mut messages: Receiver<Bytes>) -> String {
    let mut stream = String::new();
    while let Ok(message) = messages.try_recv() {
        stream += std::str::from_utf8(&message).expect("UTF-8");
    }
    stream
}

/// The streams of a subscriber of all services, and of one that holds the list of one service.
fn streams() -> [String; 2] {
    let subscribers = Rc::new(RefCell::new(SubscriberTable::default()));
    let mut list = RelayList::new(subscribers.clone());
    let servers = vec![
        instance("server-1", "payments", Lifecycle::InService),
        instance("server-2", "payments", Lifecycle::Terminating),
        instance("server-3", "quotes", Lifecycle::InService),
    ];
    let changes = vec![
        instance("server-1", "payments", Lifecycle::Terminating),
        instance("server-2", "payments", Lifecycle::Terminated),
    ];
    let aged = Update { confirmed_ago_ms: AGE.as_millis() as u64, ..Update::default() };
    list.apply(Update { revision: 41, reset: true, instances: servers, ..aged.clone() }).expect("applied");
    let subscribe = |subscription, after| {
        subscribers.borrow_mut().subscribe(subscription, after).expect("a fresh list").1
    };
    let all = subscribe(Subscription::All, None);
    let one = subscribe(Subscription::services(["payments"]), Some(41));
    list.apply(Update { revision: 42, instances: changes, ..aged }).expect("applied");
    list.heartbeat(Heartbeat::Message { confirmed_ago: AGE });
    for _ in 0..HEARTBEATS {
        list.heartbeat(Heartbeat::EmptyLine);
    }
    [stream(all), stream(one)]
}

/// Splits a line into its text without the age, and the age, which depends on how long the test runs.
fn split_age(line: &str) -> (String, Option<u64>) {
    match line.split_once(AGE_FIELD) {
        Some((before, age)) => {
            (format!("{before}}}"), Some(age.trim_end_matches('}').parse().expect("milliseconds")))
        }
        None => (line.to_owned(), None),
    }
}

fn assert_same_stream(sent: &str, expected: &str) {
    let (sent_lines, expected_lines): (Vec<_>, Vec<_>) =
        (sent.split('\n').map(split_age).collect(), expected.split('\n').map(split_age).collect());
    let texts =
        |lines: &[(String, Option<u64>)]| lines.iter().map(|(text, _)| text.clone()).collect::<Vec<_>>();
    assert_eq!(texts(&sent_lines), texts(&expected_lines));
    for ((text, sent), (_, expected)) in sent_lines.iter().zip(&expected_lines) {
        // A list that was just confirmed has an age of zero or a few milliseconds.
        assert!(sent >= expected, "{text}: {sent:?}, expected {expected:?}");
    }
}

#[test]
fn relay_messages_are_encoded_as_by_earlier_versions() {
    let [all, one] = streams();
    assert_same_stream(&all, ALL_SERVICES);
    assert_same_stream(&one, ONE_SERVICE);
}

#[test]
fn the_error_for_a_stale_list_names_the_exceeded_time() {
    let error = SubscriberTable::default().subscribe(Subscription::All, None).err();
    let text = error.map(|error| error.to_string());
    assert_eq!(text.as_deref(), Some("the list was not confirmed within 2.5 s"));
}
