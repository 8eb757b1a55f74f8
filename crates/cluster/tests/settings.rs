//! Validation of settings.
mod common;

use common::{address, GOSSIP, LEASE};

#[test]
fn all_unusable_settings_are_reported() {
    let mut settings = liftrouter_cluster::Settings {
        name: String::new(),
        address: "10.0.0.1:7000".parse().expect("an address"),
        seeds: vec!["192.168.0.1:7000".parse().expect("an address")],
        voters: vec![address(0), address(0)],
        shards: 0,
        gossip: GOSSIP,
        lease: LEASE,
    };
    settings.gossip.probe_timeout = settings.gossip.probe_period;
    let errors = settings.check().expect_err("invalid settings");
    let keys: Vec<&str> = errors.iter().map(liftrouter_cluster::SettingsError::key).collect();
    assert_eq!(keys, ["name", "join", "listen", "voters", "voters", "slots", "late_ms"]);
    assert_eq!(errors[0].to_string(), "name has 0 bytes, expected 1 to 64");
}
