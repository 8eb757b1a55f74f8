//! `[grpc]`: external authorisation is answered here.

use super::Place;
use crate::listeners::grpc::Limits;
use liftrouter_authz::{FrameLimits, Mapping, Rules};
use liftrouter_decision::Settings;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;
use toml::Spanned;

/// The section as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct GrpcFile {
    listen: Spanned<String>,
    streams: Option<Spanned<u64>>,
    connections: Option<Spanned<u64>>,
    message_kb: Option<Spanned<u64>>,
    header_list_kb: Option<Spanned<u64>>,
    idle_s: Option<Spanned<u64>>,
    age_s: Option<Spanned<u64>>,
    resets_per_s: Option<Spanned<u64>>,
    control_per_s: Option<Spanned<u64>>,
    hold_ms: Option<Spanned<u64>>,
    #[serde(default)]
    mapping: BTreeMap<Spanned<String>, Spanned<String>>,
    #[serde(default)]
    add: BTreeMap<String, Spanned<String>>,
}

/// The gRPC front; its mapping is still to be checked against classes and plans.
pub struct Grpc {
    pub limits: Limits,
    rules: Rules,
    /// Where each rule stands, by its key.
    places: BTreeMap<String, String>,
    name: String,
}

impl Grpc {
    /// The mapping, where it fits the settings.
    ///
    /// # Errors
    /// `file:line:column`, what was found and what was expected.
    pub fn mapping(&self, settings: &Settings) -> Result<Mapping, String> {
        let classes: Vec<&str> = settings.classes.iter().map(|c| c.name.as_str()).collect();
        let plans: Vec<&str> = settings.plans.iter().map(|p| p.name.as_str()).collect();
        Mapping::new(&self.rules, &classes, &plans).map_err(|fault| {
            let place = self.places.get(fault.key).unwrap_or(&self.name);
            format!("{place}: {fault}")
        })
    }
}

/// Checks the section.
pub(super) fn check(place: &Place, g: GrpcFile) -> Result<Grpc, String> {
    let listen = place.address("listen is", &g.listen)?;
    let kilobytes = |n: u64| n as usize * 1_024;
    let limits = Limits {
        listen,
        streams: place.number(g.streams, ("streams", "streams"), 1..=10_000, 100)? as u32,
        connections: place.number(g.connections, ("connections", "connections"), 1..=10_000, 32)? as usize,
        message: kilobytes(place.number(g.message_kb, ("message_kb", "kilobytes"), 1..=1_024, 64)?),
        header_list: kilobytes(place.number(g.header_list_kb, ("header_list_kb", "kilobytes"), 1..=64, 16)?)
            as u32,
        idle: Duration::from_secs(place.number(g.idle_s, ("idle_s", "seconds"), 1..=86_400, 60)?),
        age: Duration::from_secs(place.number(g.age_s, ("age_s", "seconds"), 1..=86_400, 600)?),
        frames: FrameLimits {
            resets: place.number(g.resets_per_s, ("resets_per_s", "a second"), 1..=1_000_000, 100)? as f64,
            control: place.number(g.control_per_s, ("control_per_s", "a second"), 10..=1_000_000, 500)?
                as f64,
        },
        hold: match g.hold_ms {
            None => None,
            some => {
                let ms = place.number(some, ("hold_ms", "milliseconds"), 1..=600_000, 0)?;
                Some(Duration::from_millis(ms))
            }
        },
    };
    let mut rules = Rules::default();
    let mut places = BTreeMap::new();
    for (key, rule) in g.mapping {
        places.insert(key.get_ref().clone(), place.at(rule.span().start));
        let slot = match key.get_ref().as_str() {
            "class" => &mut rules.class,
            "customer" => &mut rules.customer,
            "plan" => &mut rules.plan,
            "units" => &mut rules.units,
            "width" => &mut rules.width,
            "id" => &mut rules.id,
            "key" => &mut rules.key,
            "time_left" => &mut rules.time_left,
            "repeat" => &mut rules.repeat,
            found => {
                let what = format!(
                    "mapping has {found:?}, expected class, customer, plan, units, width, id, key, time_left \
                     or repeat"
                );
                return Err(place.fault(key.span().start, what));
            }
        };
        *slot = rule.into_inner();
    }
    for (header, rule) in g.add {
        places.insert("add".into(), place.at(rule.span().start));
        rules.add.push((header, rule.into_inner()));
    }
    Ok(Grpc { limits, rules, places, name: place.name.to_string() })
}
