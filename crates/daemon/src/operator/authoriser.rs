//! `[[authoriser]]`: a service that is asked about requests of some classes first.

use super::Place;
use crate::authoriser::{AuthoriserSettings, WhenUnsure};
use liftrouter_authz::BreakerPolicy;
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use toml::Spanned;

/// The section as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct AuthoriserFile {
    name: String,
    address: Spanned<String>,
    classes: BTreeMap<Spanned<String>, Spanned<String>>,
    connections: Option<Spanned<u64>>,
    questions: Option<Spanned<u64>>,
    timeout_ms: Option<Spanned<u64>>,
    message_kb: Option<Spanned<u64>>,
    failures: Option<Spanned<u64>>,
    rest_ms: Option<Spanned<u64>>,
    most_rest_ms: Option<Spanned<u64>>,
}

/// Checks the section; notes where each class stands.
pub(super) fn check(
    place: &Place,
    a: AuthoriserFile,
    places: &mut Vec<(String, String)>,
) -> Result<AuthoriserSettings, String> {
    let address = place.address("address is", &a.address)?;
    let mut classes = HashMap::new();
    for (class, unsure) in a.classes {
        let at = class.span().start;
        let class = class.into_inner();
        if let Some((_, other)) = places.iter().find(|(name, _)| *name == class) {
            let what = format!("classes has {class:?}, which names an authoriser at {other}, expected one");
            return Err(place.fault(at, what));
        }
        let when = match unsure.get_ref().as_str() {
            "pass" => WhenUnsure::Pass,
            "refuse" => WhenUnsure::Refuse,
            found => {
                let what = format!("{class} is {found:?}, expected pass or refuse");
                return Err(place.fault(unsure.span().start, what));
            }
        };
        places.push((class.clone(), place.at(at)));
        classes.insert(class, when);
    }
    let ms = |value, key, default| place.number(value, (key, "milliseconds"), 1..=600_000, default);
    let rest = ms(a.rest_ms, "rest_ms", 500)?;
    Ok(AuthoriserSettings {
        name: a.name,
        address,
        connections: place.number(a.connections, ("connections", "connections"), 1..=64, 1)? as usize,
        questions: place.number(a.questions, ("questions", "questions"), 1..=10_000, 100)? as usize,
        timeout: Duration::from_millis(ms(a.timeout_ms, "timeout_ms", 100)?),
        message: 1_024 * place.number(a.message_kb, ("message_kb", "kilobytes"), 1..=1_024, 64)? as usize,
        breaker: BreakerPolicy {
            failures: place.number(a.failures, ("failures", "failures in a row"), 1..=1_000, 5)? as u32,
            rest: rest as f64 / 1e3,
            most_rest: ms(a.most_rest_ms, "most_rest_ms", 10_000)?.max(rest) as f64 / 1e3,
        },
        classes,
    })
}
