//! Maps the keys of serialized settings to the fields of [`Settings`].
//!
//! Unknown keys are ignored; a missing key takes the zero value of its type. Existing deployments write these
//! keys, so they must not change; `tests/decision/settings.rs` checks that each key reaches its field.

use super::{Class, DeduplicationScope, Idempotency, Plan, Settings};
use serde::{Deserialize, Deserializer};

impl<'de> Deserialize<'de> for Settings {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        WireSettings::deserialize(deserializer).map(Settings::from)
    }
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "kebab-case", expecting = "the settings")]
struct WireSettings {
    #[serde(rename = "me")]
    instance_index: u32,
    #[serde(rename = "peers-total")]
    instance_count: u32,
    zone: String,
    #[serde(rename = "period-s")]
    tick_interval_s: f64,
    discovery: String,
    classes: Vec<WireClass>,
    #[serde(rename = "tariffs")]
    plans: Vec<WirePlan>,
    #[serde(rename = "family-info")]
    accounting: WireAccounting,
    #[serde(rename = "invariants")]
    rules: WireRules,
    limits: WireLimits,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "kebab-case", expecting = "a request class")]
struct WireClass {
    name: String,
    #[serde(rename = "aim-s")]
    latency_objective_s: f64,
    #[serde(rename = "deadline-s")]
    deadline_s: f64,
    #[serde(rename = "worth")]
    priority_weight: f64,
    #[serde(rename = "late-share")]
    late_weight_ratio: f64,
    #[serde(rename = "effect")]
    idempotency: String,
    #[serde(rename = "group")]
    deduplication_scope: String,
    #[serde(rename = "window-s")]
    deduplication_window_s: f64,
    streaming: bool,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "kebab-case", expecting = "a plan")]
struct WirePlan {
    name: String,
    rate: f64,
    #[serde(rename = "depth")]
    burst: f64,
    #[serde(rename = "open")]
    concurrency_limit: f64,
    #[serde(rename = "hard-rate")]
    hard_limit_rate: f64,
    #[serde(rename = "hard-burst")]
    hard_limit_burst: f64,
    #[serde(rename = "cap-slack")]
    hard_limit_overdraft: f64,
    #[serde(rename = "pays")]
    weight_multiplier: f64,
    #[serde(rename = "extra-worth")]
    excess_weight_ratio: f64,
    #[serde(rename = "excess-cost")]
    excess_penalty_ratio: f64,
}

/// Settings of the counter and of how units are accounted for.
#[derive(Deserialize, Default)]
#[serde(default, rename_all = "kebab-case", expecting = "the family-info object")]
struct WireAccounting {
    has_counter: bool,
    #[serde(rename = "count-limit-s")]
    counter_timeout_s: f64,
    #[serde(rename = "max-units")]
    max_request_units: f64,
    #[serde(rename = "post-paid")]
    units_are_estimates: bool,
}

/// Properties of the endpoints and of the endpoint list that a limiter must respect.
#[derive(Deserialize, Default)]
#[serde(default, rename_all = "kebab-case", expecting = "the invariants object")]
struct WireRules {
    #[serde(rename = "must-ask-in-s")]
    max_poll_interval_s: f64,
    #[serde(rename = "start-capacity")]
    slow_start_capacity: f64,
    #[serde(rename = "ramp-time-s")]
    slow_start_duration_s: f64,
    #[serde(rename = "fall-multiple")]
    overload_multiple: f64,
    #[serde(rename = "overload-for-s")]
    overload_window_s: f64,
}

/// Limits on attempts, connections and retry advice.
#[derive(Deserialize, Default)]
#[serde(default, rename_all = "kebab-case", expecting = "the limits object")]
#[allow(clippy::struct_excessive_bools, reason = "independent switches of a deployment")]
struct WireLimits {
    #[serde(rename = "cancel")]
    may_cancel: bool,
    max_attempts: u32,
    #[serde(rename = "connect-timeout-s")]
    connect_timeout_s: f64,
    #[serde(rename = "idle-close-s")]
    idle_timeout_s: f64,
    #[serde(rename = "max-open")]
    max_in_flight: u32,
    #[serde(rename = "max-retry-after-s")]
    max_retry_after_s: f64,
    #[serde(rename = "may-probe")]
    may_health_check: bool,
    #[serde(rename = "retry-after")]
    may_send_retry_after: bool,
    #[serde(rename = "second-copies")]
    may_hedge: bool,
}

impl From<WireClass> for Class {
    fn from(wire: WireClass) -> Self {
        Class {
            name: wire.name,
            latency_objective_s: wire.latency_objective_s,
            deadline_s: wire.deadline_s,
            priority_weight: wire.priority_weight,
            late_weight_ratio: wire.late_weight_ratio,
            // Unknown values, such as those of a later version, are read as the strictest one: never retried,
            // or only within one cell.
            idempotency: match wire.idempotency.as_str() {
                "read_like" => Idempotency::Idempotent,
                "idempotency_key" => Idempotency::IdempotencyKey,
                _ => Idempotency::NonIdempotent,
            },
            deduplication_scope: match wire.deduplication_scope.as_str() {
                "all" => DeduplicationScope::All,
                "zone" => DeduplicationScope::Zone,
                _ => DeduplicationScope::Cell,
            },
            deduplication_window_s: wire.deduplication_window_s,
            streaming: wire.streaming,
        }
    }
}

impl From<WirePlan> for Plan {
    fn from(wire: WirePlan) -> Self {
        Plan {
            name: wire.name,
            rate: wire.rate,
            burst: wire.burst,
            concurrency_limit: wire.concurrency_limit,
            hard_limit_rate: wire.hard_limit_rate,
            hard_limit_burst: wire.hard_limit_burst,
            hard_limit_overdraft: wire.hard_limit_overdraft,
            weight_multiplier: wire.weight_multiplier,
            excess_weight_ratio: wire.excess_weight_ratio,
            excess_penalty_ratio: wire.excess_penalty_ratio,
        }
    }
}

impl From<WireSettings> for Settings {
    fn from(wire: WireSettings) -> Self {
        let WireSettings { accounting, rules, limits, .. } = wire;
        Settings {
            instance_index: wire.instance_index,
            instance_count: wire.instance_count,
            zone: wire.zone,
            tick_interval_s: wire.tick_interval_s,
            classes: wire.classes.into_iter().map(Class::from).collect(),
            plans: wire.plans.into_iter().map(Plan::from).collect(),
            max_request_units: accounting.max_request_units,
            units_are_estimates: accounting.units_are_estimates,
            has_counter: accounting.has_counter,
            counter_timeout_s: accounting.counter_timeout_s,
            polls_discovery: wire.discovery == "on_request",
            max_poll_interval_s: rules.max_poll_interval_s,
            slow_start_capacity: rules.slow_start_capacity,
            slow_start_duration_s: rules.slow_start_duration_s,
            overload_multiple: rules.overload_multiple,
            overload_window_s: rules.overload_window_s,
            max_attempts: limits.max_attempts,
            may_cancel: limits.may_cancel,
            may_health_check: limits.may_health_check,
            may_hedge: limits.may_hedge,
            may_send_retry_after: limits.may_send_retry_after,
            max_retry_after_s: limits.max_retry_after_s,
            connect_timeout_s: limits.connect_timeout_s,
            idle_timeout_s: limits.idle_timeout_s,
            max_in_flight: limits.max_in_flight,
        }
    }
}
