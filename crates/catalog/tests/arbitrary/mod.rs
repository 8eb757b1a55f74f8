//! Test data and configuration shared by the property tests.

use liftrouter_catalog::{Instance, Lifecycle};
use proptest::prelude::*;

/// A configuration with a fixed seed, so that every run tests the same cases.
pub fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

/// A server whose fields are derived from the arguments.
pub fn instance(id: u8, service: &str, weight: u8, lifecycle: Lifecycle) -> Instance {
    Instance {
        instance_id: format!("i{id}"),
        host_port: ([10, 0, 0, id], 80).into(),
        service: service.into(),
        zone: "z".into(),
        machine_type: String::new(),
        cell: None,
        lifecycle,
        weight: Some(f64::from(weight)),
        started_at_ms: None,
    }
}

/// Any lifecycle state, most often in service.
pub fn any_lifecycle() -> impl Strategy<Value = Lifecycle> {
    prop_oneof![
        4 => Just(Lifecycle::InService),
        1 => Just(Lifecycle::Terminating),
        2 => Just(Lifecycle::Terminated),
    ]
}
