//! An endpoint as discovery lists it.

use liftrouter_decision::EndpointEntry;
use std::net::SocketAddr;

/// An endpoint of the list, and where it listens.
#[derive(Clone)]
pub struct ListedEndpoint {
    /// What the decision module has to know of it.
    pub entry: EndpointEntry,
    /// Where it listens.
    pub address: SocketAddr,
}
