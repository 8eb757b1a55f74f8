//! The HTTP request that opens a watch, the same for the discovery service and for relays.

#[cfg(test)]
mod tests;

use liftrouter_catalog::Subscription;
use std::collections::BTreeSet;
use std::num::ParseIntError;

/// The path of a watch request.
pub const WATCH_PATH: &str = "/discovery/hosts";

/// The parameters of a watch request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchRequest {
    /// The followed services.
    pub subscription: Subscription,
    /// The revision to resume after; none to request the complete list.
    pub after: Option<u64>,
}

impl WatchRequest {
    /// The path and query of the request.
    ///
    /// Service names are validated when the configuration is read, so none needs escaping.
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

    /// Parses the query of a request. Unknown keys are ignored.
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
