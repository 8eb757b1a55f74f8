//! What a subscriber follows.

use std::collections::BTreeSet;

/// The services whose servers a subscriber follows.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subscription {
    /// All services; relays and old subscribers follow these.
    All,
    /// The named ones.
    Services(BTreeSet<String>),
}

impl Subscription {
    /// A subscription of the named services.
    pub fn services<S: Into<String>>(names: impl IntoIterator<Item = S>) -> Self {
        Subscription::Services(names.into_iter().map(Into::into).collect())
    }

    /// Whether the servers of a service are part of it.
    pub fn includes(&self, service: &str) -> bool {
        match self {
            Subscription::All => true,
            Subscription::Services(names) => names.contains(service),
        }
    }
}
