//! An endpoint in an update of the endpoint list.

use liftrouter_decision::EndpointEntry;
use std::net::SocketAddr;

/// An entry of the endpoint list, with the address of its server.
#[derive(Clone)]
pub struct ListedEndpoint {
    /// The entry that is passed to the decision module.
    pub entry: EndpointEntry,
    /// The address on which its server listens.
    pub address: SocketAddr,
}
