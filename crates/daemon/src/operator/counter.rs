//! The `[keeper]` section of the operator's file: validation of the counter services, failover and pacing of calls.

use super::error::{Fault, OperatorConfigError};
use super::source::{NumberKey, SourceText};
use liftrouter_counter::{FailoverPolicy, PacingSettings, ValidationSettings};
use serde::Deserialize;
use std::net::SocketAddr;
use toml::Spanned;

/// Maximum number of counter services besides the first.
pub(super) const MAX_FALLBACK_COUNTERS: usize = 7;
/// Validation calls that must fit into a census period: each instance registers once and reads the census once, with
/// calls to the sentinel counter between.
const MIN_CALLS_PER_CENSUS: u64 = 5;
/// Minimum ratio of the call rate that remains for customers after validation calls are deducted.
const MIN_CUSTOMER_RATIO: f64 = 0.1;

/// The section as it is written in the file.
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

/// Settings of the counter services: validation, failover and pacing.
#[derive(Debug)]
pub struct CounterSettings {
    /// Settings of the validation. The identity of the limiter is not part of the file and is set later.
    pub validation: ValidationSettings,
    /// Policy for switching the active counter service.
    pub failover: FailoverPolicy,
    /// The counter services to fail over to, in order, after the one that the configuration names.
    pub fallbacks: Vec<SocketAddr>,
    /// Calls per second that a counter service accepts from all limiters together, if set.
    calls_per_s: Option<f64>,
    /// Seconds over which the call rate ramps up after an outage.
    ramp_up_s: f64,
}

impl CounterSettings {
    /// The pacing of calls by each of `limiter_count` limiters, if a call rate is set.
    pub fn pacing(&self, limiter_count: u32) -> Option<PacingSettings> {
        let calls_per_s = self.calls_per_s?;
        // Validation calls bypass the pacer, so their rate, one call per limiter and interval, is deducted here.
        let validation = f64::from(limiter_count.max(1)) / self.validation.call_interval_s;
        let calls_per_s = (calls_per_s - validation).max(MIN_CUSTOMER_RATIO * calls_per_s);
        Some(PacingSettings {
            calls_per_second: calls_per_s,
            instance_count: limiter_count.max(1),
            ramp_up_s: self.ramp_up_s,
        })
    }
}

/// Checks the section and converts it into settings.
pub(super) fn check(
    source: &SourceText,
    section: CounterSection,
) -> Result<CounterSettings, OperatorConfigError> {
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
        return Err(source.error(census_offset, Fault::CensusTooShort { census_ms, interval_ms }));
    }
    let validation = ValidationSettings {
        call_interval_s: to_seconds(interval_ms),
        census_period_s: to_seconds(census_ms),
        failure_threshold: count(section.failure_threshold, "misses", "consecutive calls", 3)? as u32,
        required_valid_answers: count(section.success_threshold, "sure", "consecutive answers", 2)? as u32,
        ..ValidationSettings::default()
    };
    let fallbacks = check_fallbacks(source, section.fallbacks)?;
    let recovery_period_s = seconds(section.failback_delay_s, "settle_s", 30)?;
    let failover = FailoverPolicy {
        fault_tolerance_s: to_seconds(milliseconds(
            section.fault_tolerance_ms,
            "patience_ms",
            0..=600_000,
            census_ms,
        )?),
        recovery_period_s,
        max_recovery_period_s: seconds(section.max_failback_delay_s, "most_settle_s", 600)?
            .max(recovery_period_s),
        jitter_s: to_seconds(milliseconds(section.jitter_ms, "jitter_ms", 0..=60_000, interval_ms / 2)?),
        census_period_s: validation.census_period_s,
    };
    let calls_per_s = check_calls_per_s(source, section.calls_per_s)?;
    let ramp_up_s = to_seconds(milliseconds(section.ramp_up_ms, "rise_ms", 0..=600_000, 5_000)?);
    Ok(CounterSettings { validation, failover, fallbacks, calls_per_s, ramp_up_s })
}

fn to_seconds(milliseconds: u64) -> f64 {
    milliseconds as f64 / 1e3
}

fn check_calls_per_s(
    source: &SourceText,
    value: Option<Spanned<u64>>,
) -> Result<Option<f64>, OperatorConfigError> {
    if value.is_none() {
        return Ok(None);
    }
    let key = NumberKey::new("calls_per_s", "calls per second");
    source.number(value, key, 1..=10_000_000, 1).map(|calls| Some(calls as f64))
}

/// Parses the addresses of the fallback counter services, and rejects duplicates and more than [`MAX_FALLBACK_COUNTERS`].
fn check_fallbacks(
    source: &SourceText,
    values: Vec<Spanned<String>>,
) -> Result<Vec<SocketAddr>, OperatorConfigError> {
    let mut fallbacks = Vec::new();
    for value in values {
        let address = source.address("others has", &value)?;
        let offset = value.span().start;
        if fallbacks.contains(&address) {
            return Err(source.error(offset, Fault::DuplicateCounter(value.into_inner())));
        }
        if fallbacks.len() == MAX_FALLBACK_COUNTERS {
            return Err(source.error(offset, Fault::TooManyCounters));
        }
        fallbacks.push(address);
    }
    Ok(fallbacks)
}
