//! Authorizers: external services that decide about a request before it is submitted to the host.
//!
//! A check request is sent once. It is sent again only if it surely was not seen: its stream was refused, its stream
//! is above the last id of a GOAWAY, or it was never written. Any other fault leaves the request undecided, and its
//! class says what that means.

mod client;
mod error;
mod exchange;
mod pool;
mod settings;

pub use client::Authorizer;
pub use exchange::VIA;
pub use settings::{AuthorizerSettings, Fallback};

use liftrouter_authz::messages::envoy::service::auth::v3::CheckRequest;
use liftrouter_authz::Verdict;
use tokio::time::Instant;

/// What an authorizer would be asked about a request.
pub struct AuthorizationRequest<'a> {
    /// Builds the check request; called only if an authorizer is asked.
    pub build: &'a dyn Fn() -> CheckRequest,
    /// The limiters that the request came through, by name.
    pub via: &'a [String],
    /// When the request has to be answered.
    pub deadline: Instant,
}

/// What became of a check request.
pub enum Authorization {
    /// The authorizer decided.
    Decided(Verdict),
    /// There is no usable decision.
    Undecided {
        /// Seconds after which a retry may help; 0 if that is not known.
        retry_after: f64,
    },
}

/// All authorizers, by the classes whose requests they are asked about.
pub struct Authorizers {
    list: Vec<Authorizer>,
    /// The name that this limiter gives itself, to detect check requests that come back to it.
    instance_name: String,
}

impl Authorizers {
    /// Clients of the authorizers that the operator names; none connects before it is asked.
    pub fn new(settings: Vec<AuthorizerSettings>, instance_name: String) -> Authorizers {
        let list = settings.into_iter().map(Authorizer::new).collect();
        Authorizers { list, instance_name }
    }

    /// The authorizer that a class names, and what becomes of a request that it does not decide.
    pub fn for_class(&self, class: &str) -> Option<(&Authorizer, Fallback)> {
        self.list.iter().find_map(|authorizer| Some((authorizer, *authorizer.settings.classes.get(class)?)))
    }

    /// Asks an authorizer about a request.
    pub async fn authorize(
        &self,
        authorizer: &Authorizer,
        request: &AuthorizationRequest<'_>,
    ) -> Authorization {
        let check = (request.build)();
        let mut names: Vec<&str> = request.via.iter().map(String::as_str).collect();
        names.push(&self.instance_name);
        authorizer.check(&check, &names.join(","), request.deadline).await
    }
}
