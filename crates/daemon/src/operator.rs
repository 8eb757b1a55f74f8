//! The operator's own file: what the platform does not tell. TOML, checked whole at the start; without it the
//! limiter is as the platform wants it.

mod authoriser;
mod grpc;
mod inventory;
mod keeper;
mod members;
mod relays;
#[cfg(test)]
mod tests;

use crate::authoriser::AuthoriserSettings;
use crate::cluster::Setup;
use crate::discovery::file::Source;
pub use grpc::Grpc;
pub use keeper::Judged;
use liftrouter_decision::Settings;
pub use relays::Relays;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use toml::Spanned;

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct File {
    inventory: Option<Spanned<inventory::InventoryFile>>,
    grpc: Option<grpc::GrpcFile>,
    #[serde(default)]
    authoriser: Vec<authoriser::AuthoriserFile>,
    keeper: Option<keeper::KeeperFile>,
    members: Option<Spanned<members::MembersFile>>,
    relays: Option<Spanned<relays::RelaysFile>>,
}

/// What the operator has chosen.
#[derive(Default)]
pub struct Operator {
    /// The inventory file, in place of discovery.
    pub inventory: Option<Source>,
    /// The gRPC front.
    pub grpc: Option<Grpc>,
    /// Who is asked first; their classes are still to be checked.
    pub authorisers: Vec<AuthoriserSettings>,
    /// How keepers are judged and followed, if they are.
    pub keeper: Option<Judged>,
    /// How this limiter is a member of a group, if it is.
    pub members: Option<Setup>,
    /// The relays that the list comes through, in place of discovery.
    pub relays: Option<Relays>,
    /// Where each class of an authoriser stands.
    places: Vec<(String, String)>,
}

impl Operator {
    /// Whether every class that names an authoriser exists.
    ///
    /// # Errors
    /// `file:line:column`, what was found and what was expected.
    pub fn check(&self, settings: &Settings) -> Result<(), String> {
        let known = |class: &str| settings.classes.iter().any(|c| c.name == class);
        let Some((class, place)) = self.places.iter().find(|(class, _)| !known(class)) else { return Ok(()) };
        let names: Vec<&str> = settings.classes.iter().map(|c| c.name.as_str()).collect();
        Err(format!("{place}: classes has {class:?}, expected one of {}", names.join(", ")))
    }
}

/// Reads the file and checks it.
///
/// # Errors
/// `file:line:column`, what was found and what was expected.
pub fn read(path: &Path) -> Result<Operator, String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: cannot be read: {e}"))?;
    parse(&name.to_string(), &text)
}

fn parse(name: &str, text: &str) -> Result<Operator, String> {
    let place = Place { name, text };
    let file: File = toml::from_str(text)
        .map_err(|e| place.fault(e.span().map_or(0, |s| s.start), e.message().to_string()))?;
    let mut places = Vec::new();
    let relays = file.relays.map(|r| relays::check(&place, r, file.inventory.is_some())).transpose()?;
    let authorisers = file.authoriser.into_iter().map(|a| authoriser::check(&place, a, &mut places));
    Ok(Operator {
        authorisers: authorisers.collect::<Result<_, _>>()?,
        places,
        keeper: file.keeper.map(|k| keeper::check(&place, k)).transpose()?,
        members: file.members.map(|m| members::check(&place, m)).transpose()?,
        inventory: file.inventory.map(|i| inventory::check(&place, i)).transpose()?,
        grpc: file.grpc.map(|g| grpc::check(&place, g)).transpose()?,
        relays,
    })
}

/// The file, for the places of its faults.
struct Place<'a> {
    name: &'a str,
    text: &'a str,
}

impl Place<'_> {
    /// `file:line:column` of a byte.
    fn at(&self, at: usize) -> String {
        let before = self.text.get(..at).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        format!("{}:{line}:{column}", self.name)
    }

    fn fault(&self, at: usize, what: String) -> String {
        format!("{}: {what}", self.at(at))
    }

    /// An address with its port; what it is said to be the value of: `listen is`, `others has`.
    fn address(&self, key: &str, found: &Spanned<String>) -> Result<SocketAddr, String> {
        let what = || format!("{key} {:?}, expected an address and a port", found.get_ref());
        found.get_ref().parse().map_err(|_| self.fault(found.span().start, what()))
    }

    /// A whole number within its range, or the default.
    fn number(
        &self,
        value: Option<Spanned<u64>>,
        (key, unit): (&str, &str),
        range: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> Result<u64, String> {
        match value {
            Some(v) if !range.contains(v.get_ref()) => {
                let (found, least, most) = (v.get_ref(), range.start(), range.end());
                Err(self
                    .fault(v.span().start, format!("{key} is {found}, expected {least} to {most} {unit}")))
            }
            Some(v) => Ok(v.into_inner()),
            None => Ok(default),
        }
    }
}
