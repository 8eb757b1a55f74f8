//! The keys of the settings as deployments write them, and the fields that they set.
#![allow(clippy::float_cmp, reason = "the values are parsed, not computed")]
use liftrouter_decision::*;

#[test]
fn each_settings_key_reaches_its_field() {
    let settings: Settings =
        serde_json::from_str(include_str!("../fixtures/settings.json")).expect("settings");
    assert_eq!(settings.instance_index, 3);
    assert_eq!(settings.instance_count, 12);
    assert_eq!(settings.zone, "zone-b");
    assert_eq!(settings.tick_interval_s, 0.002);
    assert!(settings.polls_discovery);
    assert_eq!(settings.classes.len(), 3);
    assert_eq!(settings.plans.len(), 1);
    assert!(settings.has_counter);
    assert_eq!(settings.counter_timeout_s, 0.05);
    assert_eq!(settings.max_request_units, 7.5);
    assert!(settings.units_are_estimates);
    assert_eq!(settings.max_poll_interval_s, 31.5);
    assert_eq!(settings.slow_start_capacity, 0.15);
    assert_eq!(settings.slow_start_duration_s, 17.5);
    assert_eq!(settings.overload_multiple, 3.25);
    assert_eq!(settings.overload_window_s, 2.75);
    assert!(settings.may_cancel);
    assert_eq!(settings.max_attempts, 6);
    assert_eq!(settings.connect_timeout_s, 0.35);
    assert_eq!(settings.idle_timeout_s, 45.5);
    assert_eq!(settings.max_in_flight, 9000);
    assert_eq!(settings.max_retry_after_s, 8.5);
    assert!(settings.may_health_check);
    assert!(settings.may_send_retry_after);
    assert!(settings.may_hedge);
}

#[test]
fn each_key_of_a_class_reaches_its_field() {
    let settings: Settings =
        serde_json::from_str(include_str!("../fixtures/settings.json")).expect("settings");
    let [quote, bind, pay] = &settings.classes[..] else { panic!("{:?}", settings.classes) };
    assert_eq!(quote.name, "price-quote");
    assert_eq!(quote.latency_objective_s, 0.75);
    assert_eq!(quote.deadline_s, 2.5);
    assert_eq!(quote.priority_weight, 2.25);
    assert_eq!(quote.late_weight_ratio, 0.125);
    assert_eq!(quote.idempotency, Idempotency::Idempotent);
    assert_eq!(quote.deduplication_scope, DeduplicationScope::All);
    assert_eq!(quote.deduplication_window_s, 5.5);
    assert!(quote.streaming);
    assert_eq!(bind.idempotency, Idempotency::IdempotencyKey);
    assert_eq!(bind.deduplication_scope, DeduplicationScope::Zone);
    assert!(!bind.streaming);
    assert_eq!(pay.idempotency, Idempotency::NonIdempotent);
    assert_eq!(pay.deduplication_scope, DeduplicationScope::Cell);
    assert_eq!((pay.latency_objective_s, pay.deadline_s, pay.deduplication_window_s), (0.0, 0.0, 0.0));
}

#[test]
fn each_key_of_a_plan_reaches_its_field() {
    let settings: Settings =
        serde_json::from_str(include_str!("../fixtures/settings.json")).expect("settings");
    let plan = &settings.plans[0];
    assert_eq!(plan.name, "gold");
    assert_eq!(plan.rate, 40.5);
    assert_eq!(plan.burst, 81.5);
    assert_eq!(plan.concurrency_limit, 16.5);
    assert_eq!(plan.hard_limit_rate, 60.5);
    assert_eq!(plan.hard_limit_burst, 120.5);
    assert_eq!(plan.hard_limit_overdraft, 4.5);
    assert_eq!(plan.weight_multiplier, 1.5);
    assert_eq!(plan.excess_weight_ratio, 0.375);
    assert_eq!(plan.excess_penalty_ratio, 0.625);
}

#[test]
fn each_name_of_a_load_report_reaches_its_field() {
    let names = [
        ["rif", "q", "busy", "lat_ms", "rate", "fail_rate"],
        ["inflight", "queue", "util", "latency_ms", "qps", "eps"],
    ];
    for names in names {
        let mut report = LoadReport::default();
        for (name, value) in names.iter().zip([3.0, 4.0, 0.5, 250.0, 70.0, 2.0]) {
            report.set(name, value);
        }
        report.set("a-name-of-a-later-version", 9.0);
        let expected = LoadReport {
            in_flight: Some(3.0),
            queued: Some(4.0),
            utilization: Some(0.5),
            latency_s: Some(0.25),
            requests_per_s: Some(70.0),
            errors_per_s: Some(2.0),
        };
        assert_eq!(report, expected, "{names:?}");
    }
}
