//! `[relays]`: the endpoint list comes from relays, and discovery is not called.

use super::error::{Fault, OperatorConfigError};
use super::source::SourceText;
use liftrouter_catalog::Subscription;
use serde::Deserialize;
use std::net::SocketAddr;
use toml::Spanned;

/// Maximum length of the name of a service or region.
pub(super) const MAX_NAME_BYTES: usize = 64;

/// The section as parsed, before validation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RelaysSection {
    #[serde(default)]
    addresses: Vec<Spanned<String>>,
    #[serde(default)]
    services: Vec<Spanned<String>>,
    #[serde(default, rename = "region")]
    regions: Vec<Spanned<RegionSection>>,
}

/// A region as parsed, before validation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RegionSection {
    name: Spanned<String>,
    addresses: Vec<Spanned<String>>,
}

/// The relays that this limiter follows, and its subscription there.
pub struct Relays {
    /// The regions. Each has a separate endpoint list.
    pub regions: Vec<RelayRegion>,
    /// The services whose servers this limiter sends requests to.
    pub subscription: Subscription,
}

/// The relays of one region.
pub struct RelayRegion {
    /// Name in log lines; empty if the file lists relays without regions.
    pub name: String,
    /// Interchangeable relays: if one fails, the limiter moves to another.
    pub addresses: Vec<SocketAddr>,
}

/// Validates the section.
pub(super) fn check(
    source: &SourceText,
    section: Spanned<RelaysSection>,
    has_inventory: bool,
) -> Result<Relays, OperatorConfigError> {
    let (offset, section) = (section.span().start, section.into_inner());
    if has_inventory {
        return Err(source.error(offset, Fault::RelaysAndInventory));
    }
    let services = section.services.iter().map(|name| check_name(source, "services has", name));
    let services = services.collect::<Result<Vec<_>, _>>()?;
    let subscription = if services.is_empty() { Subscription::All } else { Subscription::services(services) };
    let regions = match (section.addresses.is_empty(), section.regions.is_empty()) {
        (false, false) => return Err(source.error(offset, Fault::AddressesAndRegions)),
        (_, true) => vec![RelayRegion {
            name: String::new(),
            addresses: check_addresses(source, offset, "relays", &section.addresses)?,
        }],
        (true, false) => check_regions(source, &section.regions)?,
    };
    Ok(Relays { regions, subscription })
}

fn check_regions(
    source: &SourceText,
    regions: &[Spanned<RegionSection>],
) -> Result<Vec<RelayRegion>, OperatorConfigError> {
    let mut checked: Vec<RelayRegion> = Vec::new();
    for region in regions {
        let (offset, region) = (region.span().start, region.get_ref());
        let name = check_name(source, "name is", &region.name)?;
        if checked.iter().any(|other| other.name == name) {
            return Err(source.error(region.name.span().start, Fault::DuplicateRegion(name)));
        }
        let addresses = check_addresses(source, offset, "region", &region.addresses)?;
        checked.push(RelayRegion { name, addresses });
    }
    Ok(checked)
}

fn check_addresses(
    source: &SourceText,
    offset: usize,
    section: &'static str,
    addresses: &[Spanned<String>],
) -> Result<Vec<SocketAddr>, OperatorConfigError> {
    if addresses.is_empty() {
        return Err(source.error(offset, Fault::MissingAddress { section }));
    }
    addresses.iter().map(|address| source.address("addresses has", address)).collect()
}

/// Checks that a name can be put into a query string without escaping.
fn check_name(
    source: &SourceText,
    subject: &'static str,
    name: &Spanned<String>,
) -> Result<String, OperatorConfigError> {
    let text = name.get_ref();
    let is_allowed =
        |character: char| character.is_ascii_alphanumeric() || matches!(character, '-' | '.' | '_' | '~');
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.chars().all(is_allowed) {
        return Err(source.error(name.span().start, Fault::InvalidName { subject, found: text.clone() }));
    }
    Ok(text.clone())
}
