//! `[relays]`: the list of servers comes through relays, and discovery is not asked.

use super::Place;
use liftrouter_catalog::Subscription;
use serde::Deserialize;
use std::net::SocketAddr;
use toml::Spanned;

/// The longest name of a service or region.
const LONGEST_NAME: usize = 64;

/// The section as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RelaysFile {
    #[serde(default)]
    addresses: Vec<Spanned<String>>,
    #[serde(default)]
    services: Vec<Spanned<String>>,
    #[serde(default)]
    region: Vec<Spanned<RegionFile>>,
}

/// A region as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RegionFile {
    name: Spanned<String>,
    addresses: Vec<Spanned<String>>,
}

/// The relays, and what is followed there.
pub struct Relays {
    /// Each has a list of its own.
    pub regions: Vec<RelayRegion>,
    /// The services whose servers this limiter sends to.
    pub subscription: Subscription,
}

/// The relays of one region.
pub struct RelayRegion {
    /// As the log calls it; empty where there is only one.
    pub name: String,
    /// Each stands in for the others.
    pub addresses: Vec<SocketAddr>,
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
    let names = file.services.iter().map(|name| checked_name(place, "services has", name));
    let names = names.collect::<Result<Vec<_>, _>>()?;
    let subscription = if names.is_empty() { Subscription::All } else { Subscription::services(names) };
    let regions = match (file.addresses.is_empty(), file.region.is_empty()) {
        (false, false) => {
            return Err(place.fault(at, "relays has addresses and regions, expected one of them".into()));
        }
        (_, true) => vec![RelayRegion {
            name: String::new(),
            addresses: checked_addresses(place, at, "relays", &file.addresses)?,
        }],
        (true, false) => checked_regions(place, &file.region)?,
    };
    Ok(Relays { regions, subscription })
}

fn checked_regions(place: &Place, regions: &[Spanned<RegionFile>]) -> Result<Vec<RelayRegion>, String> {
    let mut checked: Vec<RelayRegion> = Vec::new();
    for region in regions {
        let (at, region) = (region.span().start, region.get_ref());
        let name = checked_name(place, "name is", &region.name)?;
        if checked.iter().any(|other| other.name == name) {
            let what = format!("name is {name:?} once more, expected another for each region");
            return Err(place.fault(region.name.span().start, what));
        }
        let addresses = checked_addresses(place, at, "region", &region.addresses)?;
        checked.push(RelayRegion { name, addresses });
    }
    Ok(checked)
}

fn checked_addresses(
    place: &Place,
    at: usize,
    whose: &str,
    addresses: &[Spanned<String>],
) -> Result<Vec<SocketAddr>, String> {
    if addresses.is_empty() {
        return Err(place.fault(at, format!("{whose} names no address, expected one at least")));
    }
    addresses.iter().map(|address| place.address("addresses has", address)).collect()
}

/// A name that can stand in a query as it is.
fn checked_name(place: &Place, what: &str, name: &Spanned<String>) -> Result<String, String> {
    let text = name.get_ref();
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_' | '~');
    if text.is_empty() || text.len() > LONGEST_NAME || !text.chars().all(allowed) {
        let fault =
            format!("{what} {text:?}, expected 1 to {LONGEST_NAME} letters, digits, or one of - . _ ~");
        return Err(place.fault(name.span().start, fault));
    }
    Ok(text.clone())
}
