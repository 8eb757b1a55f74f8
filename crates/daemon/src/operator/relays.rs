//! `[relays]`: the list of servers comes through relays, and discovery is not asked.

use super::Place;
use liftrouter_catalog::Subscription;
use serde::Deserialize;
use std::net::SocketAddr;
use toml::Spanned;

/// The longest name of a service.
const LONGEST_NAME: usize = 64;

/// The section as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RelaysFile {
    addresses: Vec<Spanned<String>>,
    #[serde(default)]
    services: Vec<Spanned<String>>,
}

/// The relays, and what is followed there.
pub struct Relays {
    /// Each stands in for the others.
    pub addresses: Vec<SocketAddr>,
    /// The services whose servers this limiter sends to.
    pub subscription: Subscription,
}

/// Checks the section.
pub(super) fn check(
    place: &Place,
    section: Spanned<RelaysFile>,
    has_inventory: bool,
) -> Result<Relays, String> {
    let (at, file) = (section.span().start, section.into_inner());
    if has_inventory {
        return Err(place.fault(at, "relays beside inventory, expected one: they could disagree".into()));
    }
    if file.addresses.is_empty() {
        return Err(place.fault(at, "relays names no address, expected one at least".into()));
    }
    let addresses = file.addresses.iter().map(|address| place.address("addresses has", address));
    let addresses = addresses.collect::<Result<_, _>>()?;
    let names = file.services.iter().map(|name| service_name(place, name));
    let names = names.collect::<Result<Vec<_>, _>>()?;
    let subscription = if names.is_empty() { Subscription::All } else { Subscription::services(names) };
    Ok(Relays { addresses, subscription })
}

/// A name that can stand in a query as it is.
fn service_name(place: &Place, name: &Spanned<String>) -> Result<String, String> {
    let text = name.get_ref();
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_' | '~');
    if text.is_empty() || text.len() > LONGEST_NAME || !text.chars().all(allowed) {
        let what =
            format!("services has {text:?}, expected 1 to {LONGEST_NAME} letters, digits, or one of - . _ ~");
        return Err(place.fault(name.span().start, what));
    }
    Ok(text.clone())
}
