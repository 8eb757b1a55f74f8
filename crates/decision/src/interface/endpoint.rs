//! Entries of the endpoint list.

use std::net::SocketAddr;
use std::sync::Arc;

/// Name of an endpoint.
pub type EndpointId = Arc<str>;

/// State of an endpoint in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    InService,
    /// Completes its requests in flight; must not be sent new ones.
    Draining,
    /// Removed from service; must not be sent requests.
    #[default]
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// Identifies the endpoint.
    pub id: EndpointId,
    /// Where it listens; `None` if the host has no addresses. Another endpoint that is listed with it may have
    /// received what was sent there before.
    pub address: Option<SocketAddr>,
    /// Zone in which the endpoint runs; empty if none is known.
    pub zone: Arc<str>,
    /// Type of machine on which it runs.
    pub machine_type: Arc<str>,
    /// Cell within the zone; `None` if it is in none.
    pub cell: Option<i64>,
    /// Whether the endpoint takes requests.
    pub state: EndpointState,
    /// Capacity relative to other endpoints.
    pub weight: f64,
    /// Time of its latest start; `None` if unknown or too long ago to matter.
    pub started_at: Option<f64>,
}
