//! The messages between discovery, relays and their subscribers.

use crate::Digest;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::str::FromStr;

/// A whole list of servers, or what changed in it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "RawUpdate")]
pub struct Update {
    /// The revision that the receiver holds after this message.
    #[serde(rename = "generation")]
    pub revision: u64,
    /// Whether the message is a whole list. Servers that it does not name are gone then.
    pub reset: bool,
    /// The servers; in a delta those that changed, with `Terminated` where they are gone.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub instances: Vec<Instance>,
    /// The digest of all servers that the receiver holds after this message.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub digest: Option<Digest>,
    /// How many milliseconds ago the sender's own list was last confirmed, where that is not now: a relay that
    /// has lost touch with its upstream does not make a list fresh by sending it once more.
    #[serde(rename = "confirmedAgoMs", skip_serializing_if = "is_zero")]
    pub confirmed_ago_ms: u64,
    /// Why entries of the message were left out: they could not be read. They do not hide the others.
    #[serde(skip)]
    pub unreadable: Vec<String>,
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde calls it with a reference")]
fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// One server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// The identity of the server.
    pub instance_id: String,
    /// Where it listens.
    pub host_port: SocketAddr,
    /// The service that it belongs to; empty where discovery names none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub service: String,
    /// The zone that it runs in.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub zone: String,
    /// The type of its machine.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub machine_type: String,
    /// The cell of the zone.
    #[serde(default)]
    pub cell: i64,
    /// Whether it may get work.
    pub lifecycle: Lifecycle,
    /// Its share of the work relative to others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
    /// When it started, in milliseconds since 1970.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_at_ms: Option<f64>,
}

impl Instance {
    /// The same server as terminated.
    pub fn terminated(&self) -> Instance {
        Instance { lifecycle: Lifecycle::Terminated, ..self.clone() }
    }

    /// Whether the server is gone.
    pub fn is_terminated(&self) -> bool {
        self.lifecycle == Lifecycle::Terminated
    }
}

/// The state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", from = "String")]
pub enum Lifecycle {
    /// It gets work.
    InService,
    /// It finishes what it has and gets nothing new.
    Terminating,
    /// It is gone.
    Terminated,
}

impl From<String> for Lifecycle {
    fn from(text: String) -> Self {
        match text.as_str() {
            "in_service" => Lifecycle::InService,
            "terminating" => Lifecycle::Terminating,
            // A state that is not known here is no state to send work to.
            _ => Lifecycle::Terminated,
        }
    }
}

impl FromStr for Lifecycle {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(Lifecycle::from(text.to_owned()))
    }
}

/// An update as it is read from text.
#[derive(Deserialize)]
struct RawUpdate {
    #[serde(rename = "generation")]
    revision: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: ReadableInstances,
    #[serde(default)]
    digest: Option<Digest>,
    #[serde(default, rename = "confirmedAgoMs")]
    confirmed_ago_ms: u64,
}

impl From<RawUpdate> for Update {
    fn from(raw: RawUpdate) -> Self {
        Update {
            revision: raw.revision,
            reset: raw.reset,
            instances: raw.instances.instances,
            digest: raw.digest,
            confirmed_ago_ms: raw.confirmed_ago_ms,
            unreadable: raw.instances.unreadable,
        }
    }
}

/// The entries that can be read, and why the others cannot. Asked for again, those would be the same.
#[derive(Default)]
struct ReadableInstances {
    instances: Vec<Instance>,
    unreadable: Vec<String>,
}

impl<'de> Deserialize<'de> for ReadableInstances {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let entries = Vec::<serde_json::Value>::deserialize(deserializer)?;
        let mut readable = ReadableInstances::default();
        for entry in entries {
            match Instance::deserialize(entry) {
                Ok(instance) => readable.instances.push(instance),
                Err(error) => readable.unreadable.push(error.to_string()),
            }
        }
        // Where none can be read, the message carries no information: least of all that every server is gone.
        if readable.instances.is_empty() && !readable.unreadable.is_empty() {
            return Err(D::Error::custom(format!("no entry can be read: {}", readable.unreadable[0])));
        }
        Ok(readable)
    }
}
