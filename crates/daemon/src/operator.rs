//! The operator's file: settings that the platform's configuration does not have. It is a TOML file that is validated
//! completely at startup. Without it the limiter runs with the platform's configuration alone.
//!
//! Each section has a module that parses and checks it. Keys of the file must not change; where the name of a field
//! differs from its key, `serde` maps it.

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

/// The sections of the file as parsed, before validation.
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

/// The validated settings of the operator's file. The default has every section absent.
#[derive(Default)]
pub struct OperatorConfig {
    /// The inventory file that replaces discovery.
    pub inventory: Option<InventorySource>,
    /// Configuration of the gRPC listener.
    pub grpc: Option<GrpcConfig>,
    /// The external authorizers. [`check_classes`](Self::check_classes) validates the names of their classes.
    pub authorizers: Vec<AuthorizerSettings>,
    /// Validation, failover and pacing of counter services; `None` turns all three off.
    pub counter: Option<CounterSettings>,
    /// Cluster membership; `None` for a limiter outside of a cluster.
    pub cluster: Option<ClusterConfig>,
    /// The relays that serve the endpoint list in place of discovery.
    pub relays: Option<Relays>,
    /// The classes that have an authorizer, with their locations in the file.
    authorized_classes: Vec<ClassLocation>,
}

/// A class that has an authorizer, and its location in the file.
struct ClassLocation {
    class: String,
    location: Location,
}

impl OperatorConfig {
    /// Checks that every class that has an authorizer exists in the settings.
    ///
    /// # Errors
    /// The first unknown class, with its location and the known classes.
    pub fn check_classes(&self, settings: &Settings) -> Result<(), OperatorConfigError> {
        let is_known = |name: &str| settings.classes.iter().any(|class| class.name == name);
        let unknown = self.authorized_classes.iter().find(|authorized| !is_known(&authorized.class));
        let Some(ClassLocation { class, location }) = unknown else { return Ok(()) };
        let expected = settings.classes.iter().map(|class| class.name.clone()).collect();
        let fault = Fault::UnknownClass { found: class.clone(), expected };
        Err(OperatorConfigError::Invalid { location: location.clone(), fault })
    }
}

/// Reads and validates the file.
///
/// # Errors
/// The file cannot be read, or it has a fault: the error contains the location, what was found and what was expected.
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
