//! What discovery says: the whole list of servers, or what changed in it.

use crate::inbox::Listed;
use crate::log;
use liftrouter_decision::{ServerEntry, ServerState};
use serde::de::Error;
use serde::{Deserialize, Deserializer};
use std::net::SocketAddr;

/// A message of discovery: the whole list, or what changed.
#[derive(Clone, Deserialize)]
pub struct Update {
    pub generation: u64,
    #[serde(default)]
    pub reset: bool,
    #[serde(default, deserialize_with = "readable")]
    pub instances: Vec<Instance>,
}

impl Update {
    /// The servers that it names.
    pub fn servers(self) -> Vec<Listed> {
        let listed = |i: Instance| Listed { entry: i.entry(), address: i.host_port };
        self.instances.into_iter().map(listed).collect()
    }
}

/// The entries that can be read. One that cannot must not hide the others: asked for again, the line would be
/// the same.
fn readable<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Instance>, D::Error> {
    let entries = Vec::<serde_json::Value>::deserialize(deserializer)?;
    let (mut instances, named) = (Vec::new(), entries.len());
    for entry in entries {
        match Instance::deserialize(entry) {
            Ok(instance) => instances.push(instance),
            Err(e) => log("discovery", format_args!("an entry cannot be read: {e}")),
        }
    }
    // Where none can, the line says nothing: least of all that every server is gone.
    if instances.is_empty() && named > 0 {
        return Err(D::Error::custom("no entry can be read"));
    }
    Ok(instances)
}

/// One server in it.
#[derive(Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    instance_id: String,
    host_port: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: i64,
    lifecycle: String,
    weight: Option<f64>,
    started_at_ms: Option<f64>,
}

impl Instance {
    /// The same as the module knows it.
    fn entry(&self) -> ServerEntry {
        ServerEntry {
            id: self.instance_id.as_str().into(),
            zone: self.zone.as_str().into(),
            kind: self.machine_type.as_str().into(),
            cell: self.cell,
            state: match self.lifecycle.as_str() {
                "in_service" => ServerState::InService,
                "terminating" => ServerState::Draining,
                // A state that is not known here is no state to send work to.
                _ => ServerState::Gone,
            },
            weight: self.weight.unwrap_or(1.0),
            started: self.started_at_ms.filter(|at| *at > 0.0).map(|at| at / 1000.0),
        }
    }
}
