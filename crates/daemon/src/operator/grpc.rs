//! `[grpc]`: the gRPC listener, at which this limiter serves external authorization.

use super::error::{Fault, Location, OperatorConfigError};
use super::source::{NumberKey, SourceText};
use crate::listeners::grpc::Limits;
use liftrouter_authz::{FrameLimits, Mapping, MappingRules};
use liftrouter_decision::Settings;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;
use toml::Spanned;

/// The key under which mapping errors refer to the rules of added headers.
const ADDED_HEADERS_KEY: &str = "add";

/// The section as parsed, before validation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct GrpcSection {
    listen: Spanned<String>,
    #[serde(rename = "streams")]
    max_streams: Option<Spanned<u64>>,
    #[serde(rename = "connections")]
    max_connections: Option<Spanned<u64>>,
    message_kb: Option<Spanned<u64>>,
    header_list_kb: Option<Spanned<u64>>,
    #[serde(rename = "idle_s")]
    idle_timeout_s: Option<Spanned<u64>>,
    #[serde(rename = "age_s")]
    max_age_s: Option<Spanned<u64>>,
    resets_per_s: Option<Spanned<u64>>,
    #[serde(rename = "control_per_s")]
    control_frames_per_s: Option<Spanned<u64>>,
    #[serde(rename = "hold_ms")]
    max_hold_ms: Option<Spanned<u64>>,
    #[serde(default, rename = "mapping")]
    rules: BTreeMap<Spanned<String>, Spanned<String>>,
    #[serde(default, rename = "add")]
    added_headers: BTreeMap<String, Spanned<String>>,
}

/// Configuration of the gRPC listener. [`mapping`](Self::mapping) checks its rules against the classes and plans.
pub struct GrpcConfig {
    /// Address and limits of the listener.
    pub limits: Limits,
    rules: MappingRules,
    /// Location of each rule, by its key.
    locations: BTreeMap<String, Location>,
    /// Path of the file: the location of a rule that the file omits.
    file: String,
}

impl GrpcConfig {
    /// Builds the mapping from requests to the fields of an admission, for the classes and plans of the settings.
    ///
    /// # Errors
    /// The first rule that is malformed or refers to an unknown class or plan, with its location.
    pub fn mapping(&self, settings: &Settings) -> Result<Mapping, OperatorConfigError> {
        let classes: Vec<&str> = settings.classes.iter().map(|class| class.name.as_str()).collect();
        let plans: Vec<&str> = settings.plans.iter().map(|plan| plan.name.as_str()).collect();
        Mapping::new(&self.rules, &classes, &plans).map_err(|fault| {
            let whole_file = || Location { file: self.file.clone(), position: None };
            let location = self.locations.get(fault.key).cloned().unwrap_or_else(whole_file);
            OperatorConfigError::Invalid { location, fault: Fault::Mapping(fault) }
        })
    }
}

/// Validates the section and applies the defaults.
pub(super) fn check(source: &SourceText, section: GrpcSection) -> Result<GrpcConfig, OperatorConfigError> {
    let limits = check_limits(source, &section)?;
    let mut rules = MappingRules::default();
    let mut locations = BTreeMap::new();
    for (key, rule) in section.rules {
        locations.insert(key.get_ref().clone(), source.location(rule.span().start));
        let Some(slot) = rule_mut(&mut rules, key.get_ref()) else {
            return Err(source.error(key.span().start, Fault::UnknownMappingKey(key.into_inner())));
        };
        *slot = rule.into_inner();
    }
    for (header, rule) in section.added_headers {
        locations.insert(ADDED_HEADERS_KEY.into(), source.location(rule.span().start));
        rules.add.push((header, rule.into_inner()));
    }
    Ok(GrpcConfig { limits, rules, locations, file: source.name.to_string() })
}

fn check_limits(source: &SourceText, section: &GrpcSection) -> Result<Limits, OperatorConfigError> {
    let count = |value: &Option<Spanned<u64>>, key, unit, max, default| {
        source.number(value.clone(), NumberKey::new(key, unit), 1..=max, default)
    };
    let seconds = |value: &Option<Spanned<u64>>, key, default| {
        let number = source.number(value.clone(), NumberKey::seconds(key), 1..=86_400, default);
        number.map(Duration::from_secs)
    };
    let control_key = NumberKey::new("control_per_s", "per second");
    Ok(Limits {
        listen: source.address("listen is", &section.listen)?,
        max_streams: count(&section.max_streams, "streams", "streams", 10_000, 100)? as u32,
        max_connections: count(&section.max_connections, "connections", "connections", 10_000, 32)? as usize,
        max_message_bytes: kilobytes_to_bytes(count(
            &section.message_kb,
            "message_kb",
            "kilobytes",
            1_024,
            64,
        )?),
        max_header_list_bytes: kilobytes_to_bytes(count(
            &section.header_list_kb,
            "header_list_kb",
            "kilobytes",
            64,
            16,
        )?) as u32,
        idle_timeout: seconds(&section.idle_timeout_s, "idle_s", 60)?,
        max_age: seconds(&section.max_age_s, "age_s", 600)?,
        frame_limits: FrameLimits {
            resets_per_s: count(&section.resets_per_s, "resets_per_s", "per second", 1_000_000, 100)? as f64,
            control_per_s: source.number(
                section.control_frames_per_s.clone(),
                control_key,
                10..=1_000_000,
                500,
            )? as f64,
        },
        max_hold: match &section.max_hold_ms {
            None => None,
            some => {
                let hold = count(some, "hold_ms", "milliseconds", 600_000, 0)?;
                Some(Duration::from_millis(hold))
            }
        },
    })
}

fn kilobytes_to_bytes(kilobytes: u64) -> usize {
    kilobytes as usize * 1_024
}

/// The rule that a key of the mapping sets, or `None` for an unknown key.
fn rule_mut<'a>(rules: &'a mut MappingRules, key: &str) -> Option<&'a mut String> {
    Some(match key {
        "class" => &mut rules.class,
        "customer" => &mut rules.customer,
        "plan" => &mut rules.plan,
        "units" => &mut rules.units,
        "width" => &mut rules.width,
        "id" => &mut rules.id,
        "key" => &mut rules.key,
        "time_left" => &mut rules.time_left,
        "repeat" => &mut rules.repeat,
        _ => return None,
    })
}
