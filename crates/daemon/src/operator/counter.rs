//! `[keeper]`: what the keeper says is judged by calls of the limiter's own.

use super::Place;
use liftrouter_counter::{FailoverPolicy, PacingSettings, ValidationSettings};
use serde::Deserialize;
use std::net::SocketAddr;
use toml::Spanned;

/// Keepers behind the first, at most.
const MOST_OTHERS: usize = 7;

/// The section as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct KeeperFile {
    every_ms: Option<Spanned<u64>>,
    roll_ms: Option<Spanned<u64>>,
    misses: Option<Spanned<u64>>,
    sure: Option<Spanned<u64>>,
    #[serde(default)]
    others: Vec<Spanned<String>>,
    patience_ms: Option<Spanned<u64>>,
    settle_s: Option<Spanned<u64>>,
    most_settle_s: Option<Spanned<u64>>,
    jitter_ms: Option<Spanned<u64>>,
    calls_per_s: Option<Spanned<u64>>,
    rise_ms: Option<Spanned<u64>>,
}

/// How keepers are judged and followed.
pub struct Judged {
    /// Who judges is still to be told.
    pub terms: ValidationSettings,
    /// When the keeper is changed.
    pub order: FailoverPolicy,
    /// The keepers behind the one that the configuration names, in order.
    pub others: Vec<SocketAddr>,
    /// Calls a second that a keeper takes, if stated, and the seconds over which they come back after a silence.
    calls_per_s: Option<f64>,
    rise: f64,
}

impl Judged {
    /// How calls are spread by each of so many limiters, if they are.
    pub fn pace(&self, limiters: u32) -> Option<PacingSettings> {
        let calls_per_s = self.calls_per_s?;
        // What judges call is not spread: a call each time, and little beside customers'.
        let judging = f64::from(limiters.max(1)) / self.terms.call_interval;
        let calls_per_s = (calls_per_s - judging).max(0.1 * calls_per_s);
        Some(PacingSettings {
            calls_per_second: calls_per_s,
            instance_count: limiters.max(1),
            ramp_up: self.rise,
        })
    }
}

/// Checks the section.
pub(super) fn check(place: &Place, k: KeeperFile) -> Result<Judged, String> {
    let at = k.roll_ms.as_ref().map_or(0, |r| r.span().start);
    let every = place.number(k.every_ms, ("every_ms", "milliseconds"), 50..=3_000, 1_000)?;
    let roll = place.number(k.roll_ms, ("roll_ms", "milliseconds"), 250..=15_000, 5 * every)?;
    if roll < 5 * every {
        // Each roll is called once and read once, with a canary between.
        let what = format!("roll_ms is {roll}, expected five times every_ms ({every}) at least");
        return Err(place.fault(at, what));
    }
    let terms = ValidationSettings {
        call_interval: every as f64 / 1e3,
        census_period: roll as f64 / 1e3,
        max_misses: place.number(k.misses, ("misses", "calls in a row"), 1..=100, 3)? as u32,
        required_valid_answers: place.number(k.sure, ("sure", "answers in a row"), 1..=100, 2)? as u32,
        ..ValidationSettings::default()
    };
    let mut others: Vec<SocketAddr> = Vec::new();
    for other in k.others {
        let address = place.address("others has", &other)?;
        let at = other.span().start;
        let found = other.into_inner();
        if others.contains(&address) {
            return Err(place.fault(at, format!("others has {found:?} twice, expected different keepers")));
        }
        if others.len() == MOST_OTHERS {
            return Err(place.fault(at, format!("others has more than {MOST_OTHERS} keepers")));
        }
        others.push(address);
    }
    let ms = |value, key, range, default| {
        place.number(value, (key, "milliseconds"), range, default).map(|ms| ms as f64 / 1e3)
    };
    let seconds =
        |value, key, default| place.number(value, (key, "seconds"), 1..=86_400, default).map(|s| s as f64);
    let settle = seconds(k.settle_s, "settle_s", 30)?;
    let order = FailoverPolicy {
        fault_tolerance: ms(k.patience_ms, "patience_ms", 0..=600_000, roll)?,
        recovery_period: settle,
        max_recovery_period: seconds(k.most_settle_s, "most_settle_s", 600)?.max(settle),
        jitter: ms(k.jitter_ms, "jitter_ms", 0..=60_000, every / 2)?,
        census_period: terms.census_period,
    };
    let calls_per_s = match k.calls_per_s {
        None => None,
        some => Some(place.number(some, ("calls_per_s", "calls a second"), 1..=10_000_000, 1)? as f64),
    };
    let rise = ms(k.rise_ms, "rise_ms", 0..=600_000, 5_000)?;
    Ok(Judged { terms, order, others, calls_per_s, rise })
}
