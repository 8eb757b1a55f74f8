//! Entries of the endpoint list.

use std::sync::Arc;

/// Address of an endpoint.
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
    /// Address; identifies the endpoint.
    pub id: EndpointId,
    /// Zone in which the endpoint runs.
    pub zone: Arc<str>,
    /// Type of machine on which it runs.
    pub machine_type: Arc<str>,
    /// Cell within the zone.
    pub cell: i64,
    /// Whether the endpoint takes requests.
    pub state: EndpointState,
    /// Capacity relative to other endpoints.
    pub weight: f64,
    /// Time of its latest start; `None` if unknown or too long ago to matter.
    pub started_at: Option<f64>,
}
