//! Watch requests must stay byte for byte compatible with earlier versions.

use super::*;

const TARGETS: &str = include_str!("../../../tests/fixtures/watch-targets.txt");

/// One request of each kind, in the order of the lines of the fixture.
fn requests() -> Vec<WatchRequest> {
    let subscriptions = [Subscription::All, Subscription::services(["quotes", "payments"])];
    let requests = [None, Some(0), Some(42)]
        .into_iter()
        .flat_map(|after| subscriptions.clone().map(|subscription| WatchRequest { subscription, after }));
    requests.collect()
}

#[test]
fn watch_requests_of_earlier_versions_are_decoded() {
    let decoded: Vec<WatchRequest> = TARGETS
        .lines()
        .map(|target| {
            let (path, query) = target.split_once('?').expect("a query");
            assert_eq!(path, WATCH_PATH);
            WatchRequest::parse_query(query).expect("a watch request")
        })
        .collect();
    assert_eq!(decoded, requests());
}

#[test]
fn watch_requests_are_encoded_as_by_earlier_versions() {
    let encoded: Vec<String> = requests().iter().map(WatchRequest::target).collect();
    assert_eq!(encoded, TARGETS.lines().collect::<Vec<_>>());
}

#[test]
fn a_revision_that_is_not_a_number_is_rejected() {
    assert!(WatchRequest::parse_query("watch=1&after=latest").is_err());
}
