//! The settings and load reports as the deployment words them, for every host of the module. Keys not
//! listed are skipped, missing ones take the type's zero.

use crate::interface::{Class, DeduplicationScope, Idempotency, LoadReport, Plan, Settings};
use serde::{Deserialize, Deserializer};

impl<'de> Deserialize<'de> for Settings {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Config::deserialize(deserializer).map(Config::settings)
    }
}

impl LoadReport {
    /// Takes in one value by its name in the settings or in the servers' answers; others are skipped.
    pub fn set(&mut self, name: &str, value: f64) {
        let value = Some(value);
        match name {
            "rif" | "inflight" => self.in_flight = value,
            "q" | "queue" => self.queued = value,
            "busy" | "util" => self.utilization = value,
            "lat_ms" | "latency_ms" => self.latency = value.map(|v| v / 1000.0),
            "rate" | "qps" => self.request_rate = value,
            "fail_rate" | "eps" => self.error_rate = value,
            _ => {}
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "kebab-case", expecting = "the settings")]
struct Config {
    me: u32,
    peers_total: u32,
    zone: String,
    period_s: f64,
    discovery: String,
    classes: Vec<WireClass>,
    tariffs: Vec<WirePlan>,
    family_info: Family,
    invariants: Rules,
    limits: Limits,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "kebab-case")]
struct WireClass {
    name: String,
    aim_s: f64,
    deadline_s: f64,
    worth: f64,
    late_share: f64,
    effect: String,
    group: String,
    window_s: f64,
    streaming: bool,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "kebab-case")]
struct WirePlan {
    name: String,
    rate: f64,
    depth: f64,
    open: f64,
    hard_rate: f64,
    hard_burst: f64,
    cap_slack: f64,
    pays: f64,
    extra_worth: f64,
    excess_cost: f64,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "kebab-case")]
struct Family {
    has_counter: bool,
    count_limit_s: f64,
    max_units: f64,
    post_paid: bool,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "kebab-case")]
struct Rules {
    must_ask_in_s: f64,
    start_capacity: f64,
    ramp_time_s: f64,
    fall_multiple: f64,
    overload_for_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "kebab-case")]
struct Limits {
    cancel: bool,
    max_attempts: u32,
    connect_timeout_s: f64,
    idle_close_s: f64,
    max_open: u32,
    max_retry_after_s: f64,
    may_probe: bool,
    retry_after: bool,
    second_copies: bool,
}

impl Config {
    fn settings(self) -> Settings {
        let class = |c: WireClass| Class {
            name: c.name,
            latency_objective: c.aim_s,
            deadline: c.deadline_s,
            priority_weight: c.worth,
            late_weight_ratio: c.late_share,
            idempotency: match c.effect.as_str() {
                "read_like" => Idempotency::Idempotent,
                "idempotency_key" => Idempotency::IdempotencyKey,
                _ => Idempotency::NonIdempotent,
            },
            deduplication_scope: match c.group.as_str() {
                "all" => DeduplicationScope::All,
                "zone" => DeduplicationScope::Zone,
                _ => DeduplicationScope::Cell,
            },
            deduplication_window: c.window_s,
            streaming: c.streaming,
        };
        let plan = |p: WirePlan| Plan {
            name: p.name,
            rate: p.rate,
            burst: p.depth,
            concurrency_limit: p.open,
            hard_limit_rate: p.hard_rate,
            hard_limit_burst: p.hard_burst,
            hard_limit_overdraft: p.cap_slack,
            weight_multiplier: p.pays,
            excess_weight_ratio: p.extra_worth,
            excess_penalty_ratio: p.excess_cost,
        };
        Settings {
            instance_index: self.me,
            instance_count: self.peers_total,
            zone: self.zone,
            tick_interval: self.period_s,
            classes: self.classes.into_iter().map(class).collect(),
            plans: self.tariffs.into_iter().map(plan).collect(),
            max_request_units: self.family_info.max_units,
            post_paid: self.family_info.post_paid,
            has_counter: self.family_info.has_counter,
            counter_timeout: self.family_info.count_limit_s,
            polls_discovery: self.discovery == "on_request",
            max_poll_interval: self.invariants.must_ask_in_s,
            slow_start_capacity: self.invariants.start_capacity,
            slow_start_duration: self.invariants.ramp_time_s,
            overload_multiple: self.invariants.fall_multiple,
            overload_window: self.invariants.overload_for_s,
            max_attempts: self.limits.max_attempts,
            may_cancel: self.limits.cancel,
            may_health_check: self.limits.may_probe,
            may_hedge: self.limits.second_copies,
            may_send_retry_after: self.limits.retry_after,
            max_retry_after: self.limits.max_retry_after_s,
            connect_timeout: self.limits.connect_timeout_s,
            idle_timeout: self.limits.idle_close_s,
            max_in_flight: self.limits.max_open,
        }
    }
}
