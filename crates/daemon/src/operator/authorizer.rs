//! `[[authoriser]]`: an external service that authorizes requests of some classes before they are admitted.

use super::error::{Fault, OperatorConfigError};
use super::source::{NumberKey, SourceText};
use super::ClassLocation;
use crate::authorizer::{AuthorizerSettings, Fallback};
use liftrouter_authz::BreakerPolicy;
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use toml::Spanned;

/// The keys of the section.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct AuthorizerSection {
    name: String,
    address: Spanned<String>,
    classes: BTreeMap<Spanned<String>, Spanned<String>>,
    connections: Option<Spanned<u64>>,
    #[serde(rename = "questions")]
    max_in_flight: Option<Spanned<u64>>,
    timeout_ms: Option<Spanned<u64>>,
    message_kb: Option<Spanned<u64>>,
    failures: Option<Spanned<u64>>,
    #[serde(rename = "rest_ms")]
    open_ms: Option<Spanned<u64>>,
    #[serde(rename = "most_rest_ms")]
    max_open_ms: Option<Spanned<u64>>,
}

/// Checks the section, and adds each of its classes with its location to `authorized`.
pub(super) fn check(
    source: &SourceText,
    section: AuthorizerSection,
    authorized: &mut Vec<ClassLocation>,
) -> Result<AuthorizerSettings, OperatorConfigError> {
    let address = source.address("address is", &section.address)?;
    let classes = check_classes(source, section.classes, authorized)?;
    let milliseconds =
        |value, key, default| source.number(value, NumberKey::milliseconds(key), 1..=600_000, default);
    let count =
        |value, key, unit, most, default| source.number(value, NumberKey::new(key, unit), 1..=most, default);
    let open_ms = milliseconds(section.open_ms, "rest_ms", 500)?;
    Ok(AuthorizerSettings {
        name: section.name,
        address,
        max_connections: count(section.connections, "connections", "connections", 64, 1)? as usize,
        max_open_checks: count(section.max_in_flight, "questions", "questions", 10_000, 100)? as usize,
        timeout: Duration::from_millis(milliseconds(section.timeout_ms, "timeout_ms", 100)?),
        max_message_bytes: 1_024 * count(section.message_kb, "message_kb", "kilobytes", 1_024, 64)? as usize,
        breaker: BreakerPolicy {
            failure_threshold: count(section.failures, "failures", "failures in a row", 1_000, 5)? as u32,
            open_s: open_ms as f64 / 1e3,
            max_open_s: milliseconds(section.max_open_ms, "most_rest_ms", 10_000)?.max(open_ms) as f64 / 1e3,
        },
        classes,
    })
}

/// Reads the fallback of each class. A class that another section has already is an error: it can have only one
/// authorizer.
fn check_classes(
    source: &SourceText,
    classes: BTreeMap<Spanned<String>, Spanned<String>>,
    authorized: &mut Vec<ClassLocation>,
) -> Result<HashMap<String, Fallback>, OperatorConfigError> {
    let mut fallbacks = HashMap::new();
    for (class, fallback) in classes {
        let offset = class.span().start;
        let class = class.into_inner();
        if let Some(first) = authorized.iter().find(|first| first.class == class) {
            let first = first.location.clone();
            return Err(source.error(offset, Fault::DuplicateClass { class, first }));
        }
        let fallback = match fallback.get_ref().as_str() {
            "pass" => Fallback::Pass,
            "refuse" => Fallback::Refuse,
            found => {
                let found = found.to_string();
                return Err(source.error(fallback.span().start, Fault::UnknownFallback { class, found }));
            }
        };
        authorized.push(ClassLocation { class: class.clone(), location: source.location(offset) });
        fallbacks.insert(class, fallback);
    }
    Ok(fallbacks)
}
