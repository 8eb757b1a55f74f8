//! The request that opens a watch: the same text for discovery and for relays.

#[cfg(test)]
mod tests;

use liftrouter_catalog::Subscription;
use std::collections::BTreeSet;
use std::num::ParseIntError;

/// The path of a watch.
pub const WATCH_PATH: &str = "/discovery/hosts";

/// What is watched, and from which revision on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchRequest {
    /// The services that are followed.
    pub subscription: Subscription,
    /// The revision that the caller holds; none where it needs the complete list.
    pub after: Option<u64>,
}

impl WatchRequest {
    /// Path and query of the request.
    ///
    /// The names of services are checked where they are configured: none needs to be escaped.
    pub fn target(&self) -> String {
        let after = self.after.map(|revision| format!("&after={revision}")).unwrap_or_default();
        let services: String = match &self.subscription {
            Subscription::All => String::new(),
            Subscription::Services(names) => {
                names.iter().flat_map(|name| ["&service=", name.as_str()]).collect()
            }
        };
        format!("{WATCH_PATH}?watch=1{after}{services}")
    }

    /// Reads the query of a request. Keys that are not known are passed over.
    ///
    /// # Errors
    /// The revision is not a number.
    pub fn parse_query(query: &str) -> Result<Self, ParseIntError> {
        let mut services = BTreeSet::new();
        let mut after = None;
        for (key, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
            match key {
                "after" => after = Some(value.parse()?),
                "service" => drop(services.insert(value.to_string())),
                _ => {}
            }
        }
        let subscription =
            if services.is_empty() { Subscription::All } else { Subscription::Services(services) };
        Ok(WatchRequest { subscription, after })
    }
}
