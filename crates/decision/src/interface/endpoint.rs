//! Entries of the endpoint list.

use std::sync::Arc;

/// Address of an endpoint.
pub type EndpointId = Arc<str>;

/// State of an endpoint in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    InService,
    /// Finishes the requests that it has; no new one may be sent.
    Draining,
    /// Withdrawn.
    #[default]
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// Address.
    pub id: EndpointId,
    /// Zone.
    pub zone: Arc<str>,
    /// Machine type.
    pub machine_type: Arc<str>,
    /// Cell within the zone.
    pub cell: i64,
    /// State.
    pub state: EndpointState,
    /// Capacity relative to other endpoints.
    pub weight: f64,
    /// Time of its latest start; `None` if that is too long ago to matter.
    pub started_at: Option<f64>,
}
