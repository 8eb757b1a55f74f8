//! Tests of the operator's file: every key is read, and errors contain the location of the fault.

use super::*;
use crate::authorizer::Fallback;
use crate::listeners::grpc::Limits;
use liftrouter_authz::{BreakerPolicy, FrameLimits, Mapping, MappingRules};
use liftrouter_catalog::Subscription;
use liftrouter_inventory::Format;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

#[test]
fn an_empty_file_enables_nothing() {
    assert!(parse("o.toml", "# nothing\n").expect("good").inventory.is_none());
}

#[test]
fn the_sample_file_is_valid() {
    let sample = include_str!("../../../../deploy/sample-operator.toml");
    let source = parse("o.toml", sample).expect("good").inventory.expect("a file");
    assert_eq!((source.format, source.poll_interval), (Format::Csv, Duration::from_millis(50)));
    let grpc = parse("o.toml", sample).expect("good").grpc.expect("a gRPC listener");
    assert_eq!((grpc.limits.listen.port(), grpc.limits.max_streams), (9001, 100));
}

#[test]
fn an_unknown_class_is_located() {
    let text = "[[authoriser]]\nname = 'a'\naddress = '[::1]:1'\nclasses = { qoute = 'pass' }\n";
    let settings: Settings =
        serde_json::from_str(r#"{"classes": [{"name": "quote"}, {"name": "bind"}]}"#).expect("settings");
    let found =
        parse("o.toml", text).expect("good").check_classes(&settings).err().map(|error| error.to_string());
    assert_eq!(found.as_deref(), Some("o.toml:4:13: classes has \"qoute\", expected one of quote, bind"));
}

#[test]
fn a_mapping_rule_that_does_not_fit_the_settings_is_located() {
    let text = "[grpc]\nlisten = '127.0.0.1:0'\n[grpc.mapping]\nclass = 'value:qoute'\n";
    let grpc = parse("o.toml", text).expect("good").grpc.expect("a gRPC listener");
    let settings: Settings =
        serde_json::from_str(r#"{"classes": [{"name": "quote"}], "tariffs": [{"name": "roomy"}]}"#)
            .expect("settings");
    let found = grpc.mapping(&settings).err().map(|error| error.to_string());
    assert_eq!(found.as_deref(), Some("o.toml:4:9: class is \"value:qoute\", expected one of quote"));
}

/// Asserts that each text is rejected with an error that contains the expected message.
fn assert_errors(cases: &[(&str, &str)]) {
    for (text, expected) in cases {
        let error = parse("o.toml", text).err().map(|error| error.to_string()).unwrap_or_default();
        assert!(error.contains(expected), "{text:?}: {error:?} does not contain {expected:?}");
    }
}

#[test]
fn faulty_relays_sections_are_located() {
    assert_errors(&[
        ("[relays]\naddresses = []\n", "o.toml:1:1: relays has no address, expected at least one"),
        ("[relays]\naddresses = ['a']\n", "o.toml:2:14: addresses has \"a\", expected an address and a port"),
        (
            "[relays]\naddresses = ['127.0.0.1:1']\n[[relays.region]]\nname = 'w'\naddresses = ['127.0.0.1:2']\n",
            "o.toml:1:1: relays has addresses and regions, expected one of them",
        ),
        (
            "[[relays.region]]\nname = 'w'\naddresses = []\n",
            "o.toml:1:1: region has no address, expected at least one",
        ),
        (
            "[[relays.region]]\nname = ''\naddresses = ['127.0.0.1:1']\n",
            "o.toml:2:8: name is \"\", expected 1 to 64 letters, digits, or one of - . _ ~",
        ),
        (
            "[[relays.region]]\nname = 'w'\naddresses = ['127.0.0.1:1']\n\
             [[relays.region]]\nname = 'w'\naddresses = ['127.0.0.1:2']\n",
            "o.toml:5:8: name is \"w\" for two regions, expected a unique name for each region",
        ),
        (
            "[relays]\naddresses = ['127.0.0.1:1']\nservices = ['a b']\n",
            "o.toml:3:13: services has \"a b\", expected 1 to 64 letters, digits, or one of - . _ ~",
        ),
        (
            "[inventory]\ncsv = 'a'\n[relays]\naddresses = ['127.0.0.1:1']\n",
            "o.toml:3:1: relays and inventory are both present, expected one: their lists could differ",
        ),
    ]);
}

#[test]
fn faulty_inventory_sections_are_located() {
    assert_errors(&[
        ("[inventory]\n", "o.toml:1:1: inventory has no file, expected csv or yaml"),
        ("[inventory]\ncsv = 'a'\nyaml = 'b'\n", "inventory has both csv and yaml, expected one"),
        ("[inventory]\ncsv = 'a'\nquiet_ms = 0\n", "o.toml:3:12: quiet_ms is 0, expected 1 to 10000"),
        ("[inventory]\ncsv = 'a'\nmost_removed = 2.0\n", "o.toml:3:16: most_removed is 2, expected a ratio"),
    ]);
}

#[test]
fn faulty_grpc_sections_are_located() {
    assert_errors(&[
        ("[grpc]\n", "missing field `listen`"),
        ("[grpc]\nlisten = 'x'\n", "o.toml:2:10: listen is \"x\", expected an address and a port"),
        (
            "[grpc]\nlisten = '[::1]:1'\nstreams = 0\n",
            "o.toml:3:11: streams is 0, expected 1 to 10000 streams",
        ),
        (
            "[grpc]\nlisten = '[::1]:1'\nhold_ms = 0\n",
            "o.toml:3:11: hold_ms is 0, expected 1 to 600000 milliseconds",
        ),
        (
            "[grpc]\nlisten = '[::1]:1'\n[grpc.mapping]\nklass = 'id'\n",
            "o.toml:4:1: mapping has \"klass\", expected class,",
        ),
    ]);
}

#[test]
fn faulty_authorizer_sections_are_located() {
    assert_errors(&[
        (
            "[[authoriser]]\nname = 'a'\naddress = 'x'\nclasses = {}\n",
            "o.toml:3:11: address is \"x\", expected an address and a port",
        ),
        (
            "[[authoriser]]\nname = 'a'\naddress = '[::1]:1'\nclasses = { quote = 'open' }\n",
            "o.toml:4:21: quote is \"open\", expected pass or refuse",
        ),
        (
            "[[authoriser]]\nname = 'a'\naddress = '[::1]:1'\nclasses = { quote = 'pass' }\n\
             [[authoriser]]\nname = 'b'\naddress = '[::1]:1'\nclasses = { quote = 'pass' }\n",
            "o.toml:8:13: classes has \"quote\", which already has an authorizer at o.toml:4:13, \
             expected one for each class",
        ),
    ]);
}

#[test]
fn faulty_counter_sections_are_located() {
    assert_errors(&[
        (
            "[keeper]\nothers = ['127.0.0.1:1', 'x']\n",
            "o.toml:2:26: others has \"x\", expected an address and a port",
        ),
        (
            "[keeper]\nothers = ['127.0.0.1:1', '127.0.0.1:1']\n",
            "o.toml:2:26: others has \"127.0.0.1:1\" twice",
        ),
        ("[keeper]\ncalls_per_s = 0\n", "o.toml:2:15: calls_per_s is 0, expected 1 to"),
    ]);
}

#[test]
fn faulty_cluster_sections_are_located() {
    assert_errors(&[
        (
            "[members]\nname = 'n0'\nlisten = 'x'\njoin = []\n",
            "o.toml:3:10: listen has \"x\", expected an address and a port",
        ),
        (
            "[members]\nname = 'n0'\nlisten = '127.0.0.1:1'\njoin = ['10.0.0.1:1']\nvoters = ['127.0.0.1:1', '127.0.0.1:2']\n",
            "o.toml:1:1: join has 10.0.0.1:1, expected addresses of this machine: members talk on loopback only; \
             voters are 2, expected 1, 3, 5, 7 or 9",
        ),
        (
            "[members]\nname = 'n0'\nlisten = '127.0.0.1:1'\njoin = []\nlate_ms = 900\n",
            "late_ms is 900, expected 1 to half of period_ms, 500",
        ),
    ]);
}

#[test]
fn unknown_sections_and_broken_syntax_are_located() {
    assert_errors(&[
        ("[inventry]\n", "o.toml:1:2: unknown field `inventry`"),
        ("[inventory]\ncsv = \n", "o.toml:2:7"),
    ]);
}

/// A file that was written for an earlier version and has every key of its sections.
const EVERY_KEY: &str = include_str!("../../tests/fixtures/operator.toml");

fn every_key() -> OperatorConfig {
    parse("o.toml", EVERY_KEY).expect("every key is known")
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

#[test]
fn every_key_of_the_grpc_section_is_read() {
    let grpc = every_key().grpc.expect("a gRPC listener");
    let expected = Limits {
        listen: address("127.0.0.1:9101"),
        max_streams: 11,
        max_connections: 12,
        max_message_bytes: 13 * 1_024,
        max_header_list_bytes: 14 * 1_024,
        idle_timeout: Duration::from_secs(15),
        max_age: Duration::from_secs(16),
        frame_limits: FrameLimits { resets_per_s: 17.0, control_per_s: 18.0 },
        max_hold: Some(Duration::from_millis(19)),
    };
    assert_eq!(grpc.limits, expected);
    let settings: Settings =
        serde_json::from_str(r#"{"classes": [{"name": "quote"}], "tariffs": [{"name": "roomy"}]}"#)
            .expect("settings");
    let rules = MappingRules {
        class: "path:3".into(),
        customer: "header:x-customer".into(),
        plan: "header:x-plan".into(),
        units: "header:x-units".into(),
        width: "header:x-width".into(),
        id: "header:x-id".into(),
        key: "header:x-key".into(),
        time_left: "header:x-time".into(),
        repeat: "header:x-again".into(),
        add: vec![("x-added".into(), "value:yes".into())],
    };
    assert_eq!(grpc.mapping(&settings).ok(), Mapping::new(&rules, &["quote"], &["roomy"]).ok());
}

#[test]
fn every_key_of_an_authorizer_section_is_read() {
    let expected = AuthorizerSettings {
        name: "risk".into(),
        address: address("127.0.0.1:9102"),
        max_connections: 2,
        max_open_checks: 21,
        timeout: Duration::from_millis(22),
        max_message_bytes: 23 * 1_024,
        breaker: BreakerPolicy { failure_threshold: 24, open_s: 0.025, max_open_s: 0.026 },
        classes: HashMap::from([("bind".into(), Fallback::Refuse), ("quote".into(), Fallback::Pass)]),
    };
    assert_eq!(every_key().authorizers, [expected]);
}

#[test]
fn every_key_of_the_counter_section_is_read() {
    let counter = every_key().counter.expect("counter settings");
    let validation = &counter.validation;
    assert_eq!(
        (
            validation.call_interval_s,
            validation.census_period_s,
            validation.failure_threshold,
            validation.required_valid_answers
        ),
        (0.1, 0.6, 31, 32)
    );
    let failover = &counter.failover;
    assert_eq!(
        (failover.fault_tolerance_s, failover.recovery_period_s, failover.max_recovery_period_s),
        (0.033, 34.0, 35.0)
    );
    assert_eq!((failover.jitter_s, failover.census_period_s), (0.036, 0.6));
    assert_eq!(counter.fallbacks, [address("127.0.0.1:6401"), address("127.0.0.1:6402")]);
    let pacing = counter.pacing(3).expect("paced calls");
    assert_eq!((pacing.calls_per_second, pacing.instance_count, pacing.ramp_up_s), (970.0, 3, 0.037));
}

#[test]
fn every_key_of_the_cluster_section_is_read() {
    let setup = every_key().cluster.expect("a cluster");
    let settings = &setup.settings;
    assert_eq!((settings.name.as_str(), settings.address), ("n0", address("127.0.0.1:7100")));
    assert_eq!(settings.seeds, [address("127.0.0.1:7101")]);
    assert_eq!(settings.voters, ["127.0.0.1:7100", "127.0.0.1:7101", "127.0.0.1:7102"].map(address));
    assert_eq!((settings.gossip.expected_members, settings.shards), (41, 42));
    let milliseconds = |duration: Duration| duration.as_millis();
    assert_eq!(milliseconds(settings.gossip.probe_period), 430);
    assert_eq!(milliseconds(settings.gossip.probe_timeout), 44);
    assert_eq!(milliseconds(settings.gossip.suspicion_timeout), 450);
    assert_eq!((settings.lease.duration, settings.lease.clock_drift), (460_000, 0.047));
    assert_eq!(setup.status_socket, Some(PathBuf::from("cluster.sock")));
    assert_eq!(setup.health_check_interval, Some(Duration::from_millis(48)));
}

#[test]
fn every_key_of_the_inventory_section_is_read() {
    let text = "[inventory]\nyaml = 'nodes.yaml'\nquiet_ms = 51\nmost_removed = 0.52\npoll_ms = 53\n";
    let source = parse("o.toml", text).expect("good").inventory.expect("a file");
    assert_eq!((source.path, source.format), (PathBuf::from("nodes.yaml"), Format::Yaml));
    assert_eq!(
        (source.policy.quiet_period, source.policy.max_removed_ratio),
        (Duration::from_millis(51), 0.52)
    );
    assert_eq!(source.poll_interval, Duration::from_millis(53));
}

#[test]
fn every_key_of_the_relays_section_is_read() {
    let text = "[relays]\nservices = ['quotes', 'payments']\n\
                [[relays.region]]\nname = 'west'\naddresses = ['127.0.0.1:1', '127.0.0.1:2']\n";
    let relays = parse("o.toml", text).expect("good").relays.expect("relays");
    assert_eq!(relays.subscription, Subscription::services(["payments", "quotes"]));
    let regions: Vec<_> =
        relays.regions.iter().map(|region| (region.name.as_str(), region.addresses.clone())).collect();
    assert_eq!(regions, [("west", vec![address("127.0.0.1:1"), address("127.0.0.1:2")])]);
    let relays = parse("o.toml", "[relays]\naddresses = ['127.0.0.1:1']\n").expect("good").relays;
    let relays = relays.expect("relays");
    assert_eq!(relays.subscription, Subscription::All);
    assert_eq!((relays.regions[0].name.as_str(), relays.regions.len()), ("", 1));
}

#[test]
fn an_unreadable_file_is_named_in_the_error() {
    let error = read(Path::new("/nowhere/o.toml")).err().map(|error| error.to_string());
    let expected = "/nowhere/o.toml: cannot be read: No such file or directory (os error 2)";
    assert_eq!(error.as_deref(), Some(expected));
}
