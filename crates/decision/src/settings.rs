//! The settings and load reports as the deployment words them, for every host of the module. Keys not
//! listed are skipped, missing ones take the type's zero.

use crate::interface::{Class, Effect, LoadReport, Plan, Scope, Settings};
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
            "q" | "queue" => self.queue = value,
            "busy" | "util" => self.busy = value,
            "lat_ms" | "latency_ms" => self.latency = value.map(|v| v / 1000.0),
            "rate" | "qps" => self.rate = value,
            "fail_rate" | "eps" => self.errors = value,
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
            aim: c.aim_s,
            deadline: c.deadline_s,
            worth: c.worth,
            late_share: c.late_share,
            effect: match c.effect.as_str() {
                "read_like" => Effect::ReadLike,
                "idempotency_key" => Effect::Keyed,
                _ => Effect::NonIdempotent,
            },
            scope: match c.group.as_str() {
                "all" => Scope::All,
                "zone" => Scope::Zone,
                _ => Scope::Cell,
            },
            window: c.window_s,
            streaming: c.streaming,
        };
        let plan = |p: WirePlan| Plan {
            name: p.name,
            rate: p.rate,
            depth: p.depth,
            open: p.open,
            hard_rate: p.hard_rate,
            hard_burst: p.hard_burst,
            hard_slack: p.cap_slack,
            price: p.pays,
            extra_worth: p.extra_worth,
            excess_cost: p.excess_cost,
        };
        Settings {
            me: self.me,
            peers: self.peers_total,
            zone: self.zone,
            tick: self.period_s,
            classes: self.classes.into_iter().map(class).collect(),
            plans: self.tariffs.into_iter().map(plan).collect(),
            max_units: self.family_info.max_units,
            post_paid: self.family_info.post_paid,
            has_counter: self.family_info.has_counter,
            counter_timeout: self.family_info.count_limit_s,
            discovery_on_request: self.discovery == "on_request",
            must_ask_in: self.invariants.must_ask_in_s,
            start_capacity: self.invariants.start_capacity,
            ramp_time: self.invariants.ramp_time_s,
            fall_multiple: self.invariants.fall_multiple,
            overload_for: self.invariants.overload_for_s,
            max_attempts: self.limits.max_attempts,
            may_cancel: self.limits.cancel,
            may_probe: self.limits.may_probe,
            second_copies: self.limits.second_copies,
            may_advise: self.limits.retry_after,
            max_advice: self.limits.max_retry_after_s,
            connect_timeout: self.limits.connect_timeout_s,
            idle_close: self.limits.idle_close_s,
            max_open: self.limits.max_open,
        }
    }
}
