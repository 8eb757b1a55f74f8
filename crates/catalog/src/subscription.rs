//! The set of services that a subscriber follows.

use std::collections::BTreeSet;

/// The services whose servers a subscriber follows.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subscription {
    /// All services, as followed by relays and by subscribers of older versions.
    All,
    /// Only the services with these names.
    Services(BTreeSet<String>),
}

impl Subscription {
    /// Creates a subscription to the named services.
    pub fn services<S: Into<String>>(names: impl IntoIterator<Item = S>) -> Self {
        Subscription::Services(names.into_iter().map(Into::into).collect())
    }

    /// Whether this subscription includes a service.
    pub fn includes(&self, service: &str) -> bool {
        match self {
            Subscription::All => true,
            Subscription::Services(names) => names.contains(service),
        }
    }
}
