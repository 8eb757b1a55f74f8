//! The JSON form of messages, which must stay compatible with earlier readers and writers.

use liftrouter_catalog::{Digest, Instance, Lifecycle, Update};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

fn instance(id: &str) -> Instance {
    Instance {
        instance_id: id.into(),
        host_port: "10.0.0.1:8080".parse().expect("an address"),
        service: String::new(),
        zone: "z1".into(),
        machine_type: "m".into(),
        cell: Some(3),
        lifecycle: Lifecycle::InService,
        weight: None,
        started_at_ms: None,
    }
}

#[test]
fn a_discovery_message_is_decoded() {
    let text = r#"{"generation":43,"reset":false,"extra":1,"instances":[{"instanceId":"a","hostPort":"10.0.0.1:8080",
        "zone":"z1","machineType":"m","cell":3,"lifecycle":"in_service","weight":1.5,"startedAtMs":1700000000000,"new":{}}]}"#;
    let update: Update = serde_json::from_str(text).unwrap();
    let expected = Instance { weight: Some(1.5), started_at_ms: Some(1.7e12), ..instance("a") };
    assert_eq!(update, Update { revision: 43, instances: vec![expected], ..Update::default() });
}

#[test]
fn absent_fields_are_not_encoded() {
    let update = Update { revision: 7, instances: vec![instance("a")], ..Update::default() };
    let expected = r#"{"generation":7,"reset":false,"instances":[{"instanceId":"a","hostPort":"10.0.0.1:8080","zone":"z1","machineType":"m","cell":3,"lifecycle":"in_service"}]}"#;
    assert_eq!(serde_json::to_string(&update).unwrap(), expected);
    let empty = Update { revision: 7, ..Update::default() };
    assert_eq!(serde_json::to_string(&empty).unwrap(), r#"{"generation":7,"reset":false}"#);
}

/// Guards against servers without a cell that are taken for those of cell 0. Relays of earlier versions read a missing
/// cell as 0, so that both must have the same digest.
#[test]
fn a_missing_cell_is_not_cell_0_but_has_its_digest() {
    let without_cell = r#"{"instanceId":"a","hostPort":"10.0.0.1:8080","zone":"z1","machineType":"m","lifecycle":"in_service"}"#;
    let decoded: Instance = serde_json::from_str(without_cell).unwrap();
    assert_eq!(decoded, Instance { cell: None, ..instance("a") });
    assert_eq!(serde_json::to_string(&decoded).unwrap(), without_cell);
    let in_cell_0 = Instance { cell: Some(0), ..instance("a") };
    assert_ne!(decoded, in_cell_0);
    assert_eq!(Digest::of([&decoded]), Digest::of([&in_cell_0]));
}

#[test]
fn an_unknown_lifecycle_is_decoded_as_terminated() {
    for (text, expected) in [
        ("in_service", Lifecycle::InService),
        ("terminating", Lifecycle::Terminating),
        ("terminated", Lifecycle::Terminated),
        ("rebooting", Lifecycle::Terminated),
    ] {
        let read: Lifecycle = serde_json::from_value(text.into()).unwrap();
        assert_eq!(read, expected, "{text}");
    }
}

#[test]
fn an_unreadable_entry_does_not_hide_the_others() {
    let text = r#"{"generation":1,"reset":true,"instances":[{"instanceId":"a","hostPort":"nowhere","lifecycle":"in_service"},
        {"instanceId":"b","hostPort":"10.0.0.1:8080","lifecycle":"in_service"}]}"#;
    let update: Update = serde_json::from_str(text).unwrap();
    let ids: Vec<&str> = update.instances.iter().map(|instance| instance.instance_id.as_str()).collect();
    assert_eq!(ids, ["b"]);
    assert_eq!(update.unreadable.len(), 1);
}

#[test]
fn a_message_without_a_readable_entry_is_an_error() {
    let text = r#"{"generation":1,"reset":true,"instances":[{"instanceId":"a"}]}"#;
    assert!(serde_json::from_str::<Update>(text).is_err());
    let none = r#"{"generation":1,"reset":true,"instances":[]}"#;
    assert!(serde_json::from_str::<Update>(none).is_ok());
}

/// Replicas of different versions must compute the same digest of the same servers, so this value must never change.
#[test]
fn the_digest_of_a_server_is_the_same_in_every_version() {
    let whole =
        Instance { service: "s".into(), weight: Some(0.5), started_at_ms: Some(1.7e12), ..instance("a") };
    assert_eq!(Digest::of([&whole]).to_string(), "f3457f0fb7158e03");
    assert_eq!(Digest::of([]).to_string(), "0000000000000000");
}

#[test]
fn every_field_changes_the_digest() {
    let plain = instance("a");
    let others = [
        Instance { instance_id: "b".into(), ..plain.clone() },
        Instance { host_port: "10.0.0.1:8081".parse().unwrap(), ..plain.clone() },
        Instance { service: "s".into(), ..plain.clone() },
        Instance { zone: "z2".into(), ..plain.clone() },
        Instance { machine_type: "n".into(), ..plain.clone() },
        Instance { cell: Some(4), ..plain.clone() },
        Instance { lifecycle: Lifecycle::Terminating, ..plain.clone() },
        Instance { weight: Some(0.0), ..plain.clone() },
        Instance { started_at_ms: Some(0.0), ..plain.clone() },
        // The same concatenated text as `plain`: only the lengths in the hash show where a field ends.
        Instance { zone: "z1m".into(), machine_type: String::new(), ..plain.clone() },
    ];
    let digests: BTreeSet<String> =
        others.iter().chain([&plain]).map(|instance| Digest::of([instance]).to_string()).collect();
    assert_eq!(digests.len(), others.len() + 1);
}

#[test]
fn a_terminated_server_is_not_in_the_digest() {
    assert_eq!(Digest::of([&instance("a").terminated()]), Digest::default());
    assert_eq!(Digest::of([&instance("a"), &instance("b").terminated()]), Digest::of([&instance("a")]));
}

#[test]
fn only_sixteen_hex_digits_are_parsed_as_a_digest() {
    assert_eq!("00000000000000ff".parse::<Digest>().unwrap().to_string(), "00000000000000ff");
    for text in ["", "ff", "+0000000000000ff", "000000000000000g", "00000000000000ff0"] {
        assert!(text.parse::<Digest>().is_err(), "{text}");
    }
}

fn any_instance() -> impl Strategy<Value = Instance> {
    let lifecycle =
        prop_oneof![Just(Lifecycle::InService), Just(Lifecycle::Terminating), Just(Lifecycle::Terminated)];
    let finite = prop::num::f64::NORMAL | prop::num::f64::ZERO | prop::num::f64::SUBNORMAL;
    let address = (any::<[u8; 4]>(), any::<u16>()).prop_map(SocketAddr::from);
    (
        ".{0,4}",
        ".{0,4}",
        ".{0,4}",
        address,
        prop::option::of(any::<i64>()),
        lifecycle,
        prop::option::of(finite),
        prop::option::of(finite),
    )
        .prop_map(|(instance_id, service, zone, host_port, cell, lifecycle, weight, started_at_ms)| {
            Instance {
                instance_id,
                host_port,
                service,
                machine_type: zone.clone(),
                zone,
                cell,
                lifecycle,
                weight,
                started_at_ms,
            }
        })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn encoded_updates_are_decoded_unchanged(
        revision: u64,
        reset: bool,
        instances in prop::collection::vec(any_instance(), 0..4),
        with_digest: bool,
        confirmed_ago_ms in prop_oneof![Just(0), any::<u64>()],
    ) {
        let digest = with_digest.then(|| Digest::of(&instances));
        let update = Update { revision, reset, instances, digest, confirmed_ago_ms, ..Update::default() };
        let text = serde_json::to_string(&update).unwrap();
        let read: Update = serde_json::from_str(&text).unwrap();
        prop_assert_eq!(Digest::of(&read.instances), Digest::of(&update.instances));
        prop_assert_eq!(read, update);
    }
}
