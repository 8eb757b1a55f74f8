//! `[members]`: cluster membership of this limiter.

use super::error::{Fault, OperatorConfigError};
use super::source::{NumberKey, SourceText};
use crate::cluster::ClusterConfig;
use liftrouter_cluster::gossip::GossipSettings;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use toml::Spanned;

/// Default of `drift`: how much too fast or too slow a clock may run, as a ratio of true time.
const DEFAULT_CLOCK_DRIFT: f64 = 0.01;

/// The section as parsed, before validation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ClusterSection {
    name: String,
    listen: Spanned<String>,
    join: Vec<Spanned<String>>,
    #[serde(default)]
    voters: Vec<Spanned<String>>,
    #[serde(rename = "expected")]
    expected_members: Option<Spanned<u64>>,
    #[serde(rename = "slots")]
    shards: Option<Spanned<u64>>,
    period_ms: Option<Spanned<u64>>,
    #[serde(rename = "late_ms")]
    probe_timeout_ms: Option<Spanned<u64>>,
    suspicion_ms: Option<Spanned<u64>>,
    #[serde(rename = "term_ms")]
    lease_ms: Option<Spanned<u64>>,
    #[serde(rename = "drift")]
    clock_drift: Option<Spanned<f64>>,
    #[serde(rename = "ask")]
    status_socket: Option<PathBuf>,
    #[serde(rename = "probe_ms")]
    health_check_ms: Option<Spanned<u64>>,
    #[serde(rename = "via")]
    link_proxy: Option<Spanned<String>>,
}

/// Validates the section and applies the defaults.
pub(super) fn check(
    source: &SourceText,
    section: Spanned<ClusterSection>,
) -> Result<ClusterConfig, OperatorConfigError> {
    let (offset, section) = (section.span().start, section.into_inner());
    let addresses = |subject: &'static str, values: &[Spanned<String>]| {
        values.iter().map(|value| source.address(subject, value)).collect::<Result<Vec<_>, _>>()
    };
    let milliseconds =
        |value, key, default| source.number(value, NumberKey::milliseconds(key), 1..=3_600_000, default);
    let period_ms = milliseconds(section.period_ms, "period_ms", 1_000)?;
    let gossip = GossipSettings {
        probe_period: Duration::from_millis(period_ms),
        probe_timeout: Duration::from_millis(milliseconds(
            section.probe_timeout_ms,
            "late_ms",
            period_ms * 3 / 10,
        )?),
        suspicion_timeout: Duration::from_millis(milliseconds(
            section.suspicion_ms,
            "suspicion_ms",
            3 * period_ms,
        )?),
        expected_members: source.number(
            section.expected_members,
            NumberKey::new("expected", "members"),
            1..=4_096,
            8,
        )? as u32,
    };
    let lease = liftrouter_cluster::lease::LeaseSettings {
        duration: 1_000 * milliseconds(section.lease_ms, "term_ms", 4 * period_ms)?,
        clock_drift: section.clock_drift.map_or(DEFAULT_CLOCK_DRIFT, Spanned::into_inner),
    };
    let health_check_ms =
        section.health_check_ms.map(|value| milliseconds(Some(value), "probe_ms", 1)).transpose()?;
    let settings = liftrouter_cluster::Settings {
        name: section.name,
        address: source.address("listen has", &section.listen)?,
        seeds: addresses("join has", &section.join)?,
        voters: addresses("voters has", &section.voters)?,
        shards: source.number(section.shards, NumberKey::new("slots", "slots"), 1..=1_024, 64)? as u16,
        gossip,
        lease,
    };
    settings.check().map_err(|errors| {
        let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
        source.error(offset, Fault::Cluster(messages.join("; ")))
    })?;
    let link_proxy = section.link_proxy.map(|address| check_link_proxy(source, &address)).transpose()?;
    let health_check_interval = health_check_ms.map(Duration::from_millis);
    Ok(ClusterConfig { settings, status_socket: section.status_socket, health_check_interval, link_proxy })
}

/// The address of the proxy that simulates link faults. Only debug builds accept one.
fn check_link_proxy(
    source: &SourceText,
    address: &Spanned<String>,
) -> Result<SocketAddr, OperatorConfigError> {
    if !cfg!(debug_assertions) {
        return Err(source.error(address.span().start, Fault::LinkProxyInRelease));
    }
    source.address("via has", address)
}
