//! Updates of every kind in the exact bytes that earlier versions write.

use liftrouter_catalog::{Digest, Instance, Lifecycle, Update};

const UPDATES: &str = include_str!("fixtures/updates.jsonl");

fn instance(id: &str, lifecycle: Lifecycle) -> Instance {
    Instance {
        instance_id: id.into(),
        host_port: "10.0.0.1:8080".parse().expect("an address"),
        service: "payments".into(),
        zone: "zone-1".into(),
        machine_type: "large".into(),
        cell: Some(3),
        lifecycle,
        weight: Some(0.75),
        started_at_ms: Some(1_700_000_000_123.0),
    }
}

/// A server without optional fields.
fn plain_instance(id: &str) -> Instance {
    Instance {
        service: String::new(),
        zone: String::new(),
        machine_type: String::new(),
        cell: Some(0),
        weight: None,
        started_at_ms: None,
        ..instance(id, Lifecycle::InService)
    }
}

/// One update of each kind, in the order of the fixture's lines.
fn updates() -> Vec<Update> {
    let all = vec![
        instance("server-1", Lifecycle::InService),
        instance("server-2", Lifecycle::Terminating),
        plain_instance("server-3"),
    ];
    let changed =
        vec![instance("server-1", Lifecycle::Terminating), instance("server-2", Lifecycle::Terminated)];
    let digest = Some(Digest::of(&all));
    vec![
        Update { revision: 41, reset: true, instances: all.clone(), ..Update::default() },
        Update { revision: 41, reset: true, instances: all, digest, ..Update::default() },
        Update { revision: 42, instances: changed, ..Update::default() },
        Update { revision: 42, digest, ..Update::default() },
        Update { revision: 42, digest, confirmed_ago_ms: 1_200, ..Update::default() },
        Update { revision: 0, reset: true, ..Update::default() },
        Update { revision: u64::MAX, ..Update::default() },
    ]
}

#[test]
fn updates_of_earlier_versions_are_decoded() {
    let decoded: Vec<Update> =
        UPDATES.lines().map(|line| serde_json::from_str(line).expect("an update")).collect();
    assert_eq!(decoded, updates());
}

#[test]
fn updates_are_encoded_as_by_earlier_versions() {
    let encoded: Vec<String> =
        updates().iter().map(|update| serde_json::to_string(update).expect("JSON")).collect();
    assert_eq!(encoded, UPDATES.lines().collect::<Vec<_>>());
}
