//! `[members]`: this limiter and the others know of each other.

use super::Place;
use crate::cluster::Setup;
use liftrouter_cluster::swim::Pace;
use serde::Deserialize;
use std::path::PathBuf;
use std::time::Duration;
use toml::Spanned;

/// The section as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct MembersFile {
    name: String,
    listen: Spanned<String>,
    join: Vec<Spanned<String>>,
    #[serde(default)]
    voters: Vec<Spanned<String>>,
    expected: Option<Spanned<u64>>,
    slots: Option<Spanned<u64>>,
    period_ms: Option<Spanned<u64>>,
    late_ms: Option<Spanned<u64>>,
    suspicion_ms: Option<Spanned<u64>>,
    term_ms: Option<Spanned<u64>>,
    drift: Option<Spanned<f64>>,
    ask: Option<PathBuf>,
    probe_ms: Option<Spanned<u64>>,
    via: Option<Spanned<String>>,
}

/// Checks the section.
pub(super) fn check(place: &Place, m: Spanned<MembersFile>) -> Result<Setup, String> {
    let (at, m) = (m.span().start, m.into_inner());
    let all = |key: &str, found: &[Spanned<String>]| {
        found.iter().map(|f| place.address(key, f)).collect::<Result<Vec<_>, _>>()
    };
    let ms = |value, key, default| place.number(value, (key, "milliseconds"), 1..=3_600_000, default);
    let period = ms(m.period_ms, "period_ms", 1_000)?;
    let pace = Pace {
        period: Duration::from_millis(period),
        late: Duration::from_millis(ms(m.late_ms, "late_ms", period * 3 / 10)?),
        suspicion: Duration::from_millis(ms(m.suspicion_ms, "suspicion_ms", 3 * period)?),
        expected: place.number(m.expected, ("expected", "members"), 1..=4_096, 8)? as u32,
    };
    let terms = liftrouter_cluster::lease::Terms {
        term: 1_000 * ms(m.term_ms, "term_ms", 4 * period)?,
        drift: m.drift.map_or(0.01, Spanned::into_inner),
    };
    let probe = m.probe_ms.map(|v| ms(Some(v), "probe_ms", 1)).transpose()?.map(Duration::from_millis);
    let settings = liftrouter_cluster::Settings {
        name: m.name,
        address: place.address("listen has", &m.listen)?,
        join: all("join has", &m.join)?,
        voters: all("voters has", &m.voters)?,
        slots: place.number(m.slots, ("slots", "slots"), 1..=1_024, 64)? as u16,
        pace,
        terms,
    };
    settings.check().map_err(|problems| {
        let what: Vec<String> = problems.iter().map(ToString::to_string).collect();
        place.fault(at, what.join("; "))
    })?;
    if let Some(via) = m.via.as_ref().filter(|_| !cfg!(debug_assertions)) {
        let what = "via is given, but only builds for tests take it: it lets another one play the links";
        return Err(place.fault(via.span().start, what.into()));
    }
    let via = m.via.map(|via| place.address("via has", &via)).transpose()?;
    Ok(Setup { settings, ask: m.ask, probe, via })
}
