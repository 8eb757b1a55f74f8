//! The messages that discovery and relays send to their subscribers.

use crate::Digest;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::str::FromStr;

/// A whole list of servers, or the changes since an earlier revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "RawUpdate")]
pub struct Update {
    /// The revision of the receiver's list after this message.
    #[serde(rename = "generation")]
    pub revision: u64,
    /// Whether the message is a whole list, which removes every server that it does not name.
    pub reset: bool,
    /// The servers of a whole list, or those that a delta changes; `Terminated` marks removed ones.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub instances: Vec<Instance>,
    /// The digest of the receiver's list after this message.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub digest: Option<Digest>,
    /// Milliseconds since the sender's own list was last confirmed, zero if it is current. A relay that has lost its
    /// upstream must not make a list look fresh by sending it again.
    #[serde(rename = "confirmedAgoMs", skip_serializing_if = "is_zero")]
    pub confirmed_ago_ms: u64,
    /// The parse errors of entries that were skipped; the readable entries are still used.
    #[serde(skip)]
    pub unreadable: Vec<String>,
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde calls it with a reference")]
fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// A server as listed by discovery.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// The unique identity of the server.
    pub instance_id: String,
    /// The address that it listens on.
    pub host_port: SocketAddr,
    /// The service that it belongs to; empty if discovery names none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub service: String,
    /// The zone that it runs in; empty if unknown.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub zone: String,
    /// The type of its machine; empty if unknown.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub machine_type: String,
    /// The cell within its zone; none if discovery names none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cell: Option<i64>,
    /// Whether it accepts new requests.
    pub lifecycle: Lifecycle,
    /// Its share of the requests relative to other servers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
    /// Its start time in milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_at_ms: Option<f64>,
}

impl Instance {
    /// A copy of this server in the state `Terminated`.
    pub fn terminated(&self) -> Instance {
        Instance { lifecycle: Lifecycle::Terminated, ..self.clone() }
    }

    /// Whether the server no longer exists.
    pub fn is_terminated(&self) -> bool {
        self.lifecycle == Lifecycle::Terminated
    }
}

/// The lifecycle state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", from = "String")]
pub enum Lifecycle {
    /// It accepts requests.
    InService,
    /// It finishes its requests in flight and must get no new ones.
    Terminating,
    /// It no longer exists.
    Terminated,
}

impl From<String> for Lifecycle {
    fn from(text: String) -> Self {
        match text.as_str() {
            "in_service" => Lifecycle::InService,
            "terminating" => Lifecycle::Terminating,
            // No requests are sent to a server whose state this version does not know.
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

/// The JSON form of an [`Update`], in which unreadable entries are skipped.
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

/// The readable entries, and the parse errors of the others. Requesting the message again would not help: its
/// unreadable entries would be the same.
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
        // A message without any readable entry must not be taken for an empty list, which would remove every server.
        if readable.instances.is_empty() && !readable.unreadable.is_empty() {
            return Err(D::Error::custom(format!("no entry can be read: {}", readable.unreadable[0])));
        }
        Ok(readable)
    }
}
