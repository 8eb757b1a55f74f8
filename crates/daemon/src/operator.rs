//! The operator's own file: settings that the platform's configuration does not have. It is TOML, and is validated
//! completely at the start; without it the limiter runs as the platform configures it.
//!
//! Each section has a module that reads and checks it. The keys of the file keep their names; fields here have the
//! field's terms, mapped by `serde`.

mod authorizer;
mod cluster;
mod counter;
mod error;
mod grpc;
mod inventory;
mod relays;
mod source;
#[cfg(test)]
mod tests;

use crate::authorizer::AuthorizerSettings;
use crate::cluster::ClusterConfig;
use crate::discovery::inventory_file::InventorySource;
pub use counter::CounterSettings;
pub use error::{Fault, Location, OperatorConfigError, Position};
pub use grpc::GrpcConfig;
use liftrouter_decision::Settings;
pub use relays::{RelayRegion, Relays};
use serde::Deserialize;
use source::SourceText;
use std::path::Path;
use toml::Spanned;

/// The file as it is written.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct OperatorFile {
    inventory: Option<Spanned<inventory::InventorySection>>,
    grpc: Option<grpc::GrpcSection>,
    #[serde(default, rename = "authoriser")]
    authorizers: Vec<authorizer::AuthorizerSection>,
    #[serde(rename = "keeper")]
    counter: Option<counter::CounterSection>,
    #[serde(rename = "members")]
    cluster: Option<Spanned<cluster::ClusterSection>>,
    relays: Option<Spanned<relays::RelaysSection>>,
}

/// What the operator has chosen.
#[derive(Default)]
pub struct OperatorConfig {
    /// The inventory file, in place of discovery.
    pub inventory: Option<InventorySource>,
    /// The gRPC listener.
    pub grpc: Option<GrpcConfig>,
    /// The services that authorise requests first; their classes are still to be checked.
    pub authorizers: Vec<AuthorizerSettings>,
    /// How counter services are validated and followed, if they are.
    pub counter: Option<CounterSettings>,
    /// How this limiter is a member of a cluster, if it is.
    pub cluster: Option<ClusterConfig>,
    /// The relays that the endpoint list comes through, in place of discovery.
    pub relays: Option<Relays>,
    /// Where each class of an authoriser stands.
    authorized_classes: Vec<ClassLocation>,
}

/// A class that an authoriser is named for, and where it stands.
struct ClassLocation {
    class: String,
    location: Location,
}

impl OperatorConfig {
    /// Checks that every class that names an authoriser exists.
    ///
    /// # Errors
    /// `file:line:column`, what was found and what was expected.
    pub fn check_classes(&self, settings: &Settings) -> Result<(), OperatorConfigError> {
        let is_known = |name: &str| settings.classes.iter().any(|class| class.name == name);
        let unknown = self.authorized_classes.iter().find(|authorized| !is_known(&authorized.class));
        let Some(ClassLocation { class, location }) = unknown else { return Ok(()) };
        let expected = settings.classes.iter().map(|class| class.name.clone()).collect();
        let fault = Fault::UnknownClass { found: class.clone(), expected };
        Err(OperatorConfigError::Invalid { location: location.clone(), fault })
    }
}

/// Reads the file and checks it.
///
/// # Errors
/// The file cannot be read; or `file:line:column`, what was found and what was expected.
pub fn read(path: &Path) -> Result<OperatorConfig, OperatorConfigError> {
    let name = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse(&name, &text),
        Err(source) => Err(OperatorConfigError::Unreadable { path: name, source }),
    }
}

fn parse(name: &str, text: &str) -> Result<OperatorConfig, OperatorConfigError> {
    let source = SourceText { name, text };
    let file: OperatorFile = toml::from_str(text).map_err(|error| {
        let offset = error.span().map_or(0, |span| span.start);
        source.error(offset, Fault::Syntax(error.message().to_string()))
    })?;
    let mut authorized_classes = Vec::new();
    let has_inventory = file.inventory.is_some();
    let relays = file.relays.map(|section| relays::check(&source, section, has_inventory)).transpose()?;
    let authorizers = file
        .authorizers
        .into_iter()
        .map(|section| authorizer::check(&source, section, &mut authorized_classes));
    Ok(OperatorConfig {
        authorizers: authorizers.collect::<Result<_, _>>()?,
        authorized_classes,
        counter: file.counter.map(|section| counter::check(&source, section)).transpose()?,
        cluster: file.cluster.map(|section| cluster::check(&source, section)).transpose()?,
        inventory: file.inventory.map(|section| inventory::check(&source, section)).transpose()?,
        grpc: file.grpc.map(|section| grpc::check(&source, section)).transpose()?,
        relays,
    })
}
