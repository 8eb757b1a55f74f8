//! `[keeper]`: counter services are validated by calls of the limiter's own, and left for others where they fail.

use super::error::{Fault, OperatorError};
use super::source::{NumberKey, SourceText};
use liftrouter_counter::{FailoverPolicy, PacingSettings, ValidationSettings};
use serde::Deserialize;
use std::net::SocketAddr;
use toml::Spanned;

/// Counter services behind the first, at most.
pub(super) const MAX_FALLBACK_COUNTERS: usize = 7;
/// In each census every instance is called once and read once, with a call of the sentinel counter between.
const MIN_CALLS_PER_CENSUS: u64 = 5;
/// Share of the calls that customers keep whatever validation takes.
const MIN_CUSTOMER_SHARE: f64 = 0.1;

/// The section as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct CounterSection {
    #[serde(rename = "every_ms")]
    interval_ms: Option<Spanned<u64>>,
    #[serde(rename = "roll_ms")]
    census_ms: Option<Spanned<u64>>,
    #[serde(rename = "misses")]
    failure_threshold: Option<Spanned<u64>>,
    #[serde(rename = "sure")]
    success_threshold: Option<Spanned<u64>>,
    #[serde(default, rename = "others")]
    fallbacks: Vec<Spanned<String>>,
    #[serde(rename = "patience_ms")]
    fault_tolerance_ms: Option<Spanned<u64>>,
    #[serde(rename = "settle_s")]
    failback_delay_s: Option<Spanned<u64>>,
    #[serde(rename = "most_settle_s")]
    max_failback_delay_s: Option<Spanned<u64>>,
    jitter_ms: Option<Spanned<u64>>,
    calls_per_s: Option<Spanned<u64>>,
    #[serde(rename = "rise_ms")]
    ramp_up_ms: Option<Spanned<u64>>,
}

/// How counter services are validated and followed.
#[derive(Debug)]
pub struct CounterSettings {
    /// How they are validated; which limiter this is, is still to be set.
    pub validation: ValidationSettings,
    /// When another counter service becomes the active one.
    pub failover: FailoverPolicy,
    /// The counter services behind the one that the configuration names, in order.
    pub fallbacks: Vec<SocketAddr>,
    /// Calls a second that a counter service takes from all limiters, if stated.
    calls_per_s: Option<f64>,
    /// Seconds over which calls come back after an outage.
    ramp_up: f64,
}

impl CounterSettings {
    /// How calls are paced by each of so many limiters, if they are.
    pub fn pace(&self, limiters: u32) -> Option<PacingSettings> {
        let calls_per_s = self.calls_per_s?;
        // Validation calls are not paced: one in each interval, and few beside customers'.
        let validation = f64::from(limiters.max(1)) / self.validation.call_interval;
        let calls_per_s = (calls_per_s - validation).max(MIN_CUSTOMER_SHARE * calls_per_s);
        Some(PacingSettings {
            calls_per_second: calls_per_s,
            instance_count: limiters.max(1),
            ramp_up: self.ramp_up,
        })
    }
}

/// Checks the section.
pub(super) fn check(source: &SourceText, section: CounterSection) -> Result<CounterSettings, OperatorError> {
    let milliseconds =
        |value, key, range, default| source.number(value, NumberKey::milliseconds(key), range, default);
    let seconds = |value, key, default| {
        source.number(value, NumberKey::seconds(key), 1..=86_400, default).map(|seconds| seconds as f64)
    };
    let count = |value, key, unit, default| source.number(value, NumberKey::new(key, unit), 1..=100, default);
    let census_offset = section.census_ms.as_ref().map_or(0, |census| census.span().start);
    let interval_ms = milliseconds(section.interval_ms, "every_ms", 50..=3_000, 1_000)?;
    let census_ms =
        milliseconds(section.census_ms, "roll_ms", 250..=15_000, MIN_CALLS_PER_CENSUS * interval_ms)?;
    if census_ms < MIN_CALLS_PER_CENSUS * interval_ms {
        return Err(source.error(census_offset, Fault::ShortCensus { census_ms, interval_ms }));
    }
    let validation = ValidationSettings {
        call_interval: to_seconds(interval_ms),
        census_period: to_seconds(census_ms),
        max_misses: count(section.failure_threshold, "misses", "calls in a row", 3)? as u32,
        required_valid_answers: count(section.success_threshold, "sure", "answers in a row", 2)? as u32,
        ..ValidationSettings::default()
    };
    let fallbacks = check_fallbacks(source, section.fallbacks)?;
    let recovery_period = seconds(section.failback_delay_s, "settle_s", 30)?;
    let failover = FailoverPolicy {
        fault_tolerance: to_seconds(milliseconds(
            section.fault_tolerance_ms,
            "patience_ms",
            0..=600_000,
            census_ms,
        )?),
        recovery_period,
        max_recovery_period: seconds(section.max_failback_delay_s, "most_settle_s", 600)?
            .max(recovery_period),
        jitter: to_seconds(milliseconds(section.jitter_ms, "jitter_ms", 0..=60_000, interval_ms / 2)?),
        census_period: validation.census_period,
    };
    let calls_per_s = check_calls_per_s(source, section.calls_per_s)?;
    let ramp_up = to_seconds(milliseconds(section.ramp_up_ms, "rise_ms", 0..=600_000, 5_000)?);
    Ok(CounterSettings { validation, failover, fallbacks, calls_per_s, ramp_up })
}

fn to_seconds(milliseconds: u64) -> f64 {
    milliseconds as f64 / 1e3
}

fn check_calls_per_s(source: &SourceText, value: Option<Spanned<u64>>) -> Result<Option<f64>, OperatorError> {
    if value.is_none() {
        return Ok(None);
    }
    let key = NumberKey::new("calls_per_s", "calls a second");
    source.number(value, key, 1..=10_000_000, 1).map(|calls| Some(calls as f64))
}

/// The counter services behind the first one: no more than a limit, and none twice.
fn check_fallbacks(
    source: &SourceText,
    values: Vec<Spanned<String>>,
) -> Result<Vec<SocketAddr>, OperatorError> {
    let mut fallbacks = Vec::new();
    for value in values {
        let address = source.address("others has", &value)?;
        let offset = value.span().start;
        if fallbacks.contains(&address) {
            return Err(source.error(offset, Fault::RepeatedCounter(value.into_inner())));
        }
        if fallbacks.len() == MAX_FALLBACK_COUNTERS {
            return Err(source.error(offset, Fault::TooManyCounters));
        }
        fallbacks.push(address);
    }
    Ok(fallbacks)
}
