//! The slopes that the page shows, each with the size that it is taken to.

use crate::budget::Budget;

/// One slope and where it is taken to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlopeKey {
    /// The record's name.
    pub record: &'static str,
    /// What was measured.
    pub quantity: &'static str,
    /// What was varied.
    pub variable: &'static str,
    /// The size at which a value is wanted.
    pub target: f64,
}

impl SlopeKey {
    /// The file of its chart.
    pub fn chart_name(&self) -> String {
        format!("{}.{}.svg", self.record, self.quantity)
    }
}

/// Work of a discovery service for one call of each of 300 limiters, in seconds, in the dearest case of the study.
pub const STUDY_WORK_S: f64 = 8.0;
/// Limiters of the study.
pub const STUDY_LIMITERS: f64 = 300.0;

/// Every slope of the page.
pub fn slope_list(budget: &Budget) -> Vec<SlopeKey> {
    let fleet = &budget.fleet;
    let work = STUDY_WORK_S * fleet.limiters / STUDY_LIMITERS;
    let narrow = budget.tenants_per_limiter(budget.assumed.tenant_width_narrow).round();
    let wide = budget.tenants_per_limiter(budget.assumed.tenant_width_wide).round();
    let service = budget.servers_per_service().round();
    let groups: [(&'static str, &'static str, f64, &[&'static str]); 12] = [
        (
            "slope-decision",
            "servers",
            fleet.servers,
            &["decision.cpu_us", "survey.cpu_us", "change.cpu_us", "whole_list.cpu_us"],
        ),
        (
            "slope-decision-service",
            "servers",
            service,
            &["decision.cpu_us", "survey.cpu_us", "change.cpu_us", "whole_list.cpu_us"],
        ),
        (
            "slope-list-memory",
            "servers",
            fleet.servers,
            &["limiter.resident_kb", "catalog.resident_kb", "intake.peak_kb"],
        ),
        (
            "slope-list-bytes",
            "servers",
            fleet.servers,
            &["whole_list.bytes", "change.bytes", "read_list.cpu_us"],
        ),
        ("slope-tenants-w8", "tenants", narrow, &TENANT_QUANTITIES),
        ("slope-tenants-w64", "tenants", wide, &TENANT_QUANTITIES),
        ("slope-tenants-w7100", "tenants", fleet.tenants, &TENANT_QUANTITIES),
        ("slope-quota", "limiters", fleet.limiters, &["quota.admitted_ratio", "quota.calls_per_request"]),
        (
            "slope-gossip",
            "members",
            fleet.limiters,
            &[
                "gossip.sent_bytes_per_s",
                "gossip.sent_datagrams_per_s",
                "gossip.cpu_us_per_s",
                "gossip.resident_kb_per_member",
            ],
        ),
        (
            "slope-settings",
            "entries",
            fleet.routes,
            &["settings.resident_kb", "settings.bytes", "start.cpu_us", "decision.cpu_us", "survey.cpu_us"],
        ),
        ("slope-discovery-calls", "work_s", work, &["last_told.s"]),
        ("whole-limiters", "limiters", fleet.limiters, &WHOLE_QUANTITIES),
    ];
    let keys = |(record, variable, target, quantities): (_, _, f64, &[&'static str])| {
        let key = |quantity: &&'static str| SlopeKey { record, quantity, variable, target };
        quantities.iter().map(key).collect::<Vec<_>>()
    };
    let mut list: Vec<SlopeKey> = groups.into_iter().flat_map(keys).collect();
    list.extend(keys(("whole-servers", "servers", fleet.servers, &WHOLE_QUANTITIES)));
    list.extend(keys(("service-limiters", "limiters", fleet.limiters, &WHOLE_QUANTITIES)));
    list.extend(keys(("service-limiters", "limiters", fleet.limiters, &["relay.cpu_percent"])));
    list.extend(keys(("service-servers", "servers", fleet.servers, &WHOLE_QUANTITIES)));
    list.extend(keys(("service-servers", "servers", fleet.servers, &["relay.largest_rss_mb"])));
    list
}

const TENANT_QUANTITIES: [&str; 4] =
    ["tenants.resident_kb", "tenants.cpu_us_per_s", "counter.calls_per_s", "counter.bytes_per_s"];

/// Quantities of a run on loopback.
const WHOLE_QUANTITIES: [&str; 6] = [
    "lag.p999_ms",
    "limiter.bytes_in_per_s",
    "limiter.cpu_percent",
    "limiter.rss_kb",
    "discovery.cpu_percent",
    "request.added_p99_ms",
];
