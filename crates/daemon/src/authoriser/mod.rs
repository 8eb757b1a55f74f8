//! Authorisers: external services that decide about a request before it is submitted to the host.
//!
//! A check request is sent once. It is sent again only if it surely was not seen: its stream was refused, its stream
//! is above the last id of a GOAWAY, or it was never written. Any other fault leaves the request undecided, and its
//! class says what that means.

mod client;
mod error;
mod exchange;
mod pool;
mod settings;

pub use client::Authoriser;
pub use exchange::VIA;
pub use settings::{AuthoriserSettings, WhenUnsure};

use liftrouter_authz::messages::envoy::service::auth::v3::CheckRequest;
use liftrouter_authz::Verdict;
use tokio::time::Instant;

/// What an authoriser would be asked about a request.
pub struct AuthorisationRequest<'a> {
    /// Builds the check request; called only if an authoriser is asked.
    pub build: &'a dyn Fn() -> CheckRequest,
    /// The limiters that the request came through, by name.
    pub via: &'a [String],
    /// When the request has to be answered.
    pub deadline: Instant,
}

/// What became of a check request.
pub enum Authorisation {
    /// The authoriser decided.
    Decided(Verdict),
    /// There is no usable decision.
    Undecided {
        /// Seconds after which a retry may help; 0 if that is not known.
        retry_after: f64,
    },
}

/// All authorisers, by the classes whose requests they are asked about.
pub struct Authorisers {
    list: Vec<Authoriser>,
    /// The name that this limiter gives itself, to detect check requests that come back to it.
    instance_name: String,
}

impl Authorisers {
    /// Clients of the authorisers that the operator names; none connects before it is asked.
    pub fn new(settings: Vec<AuthoriserSettings>, instance_name: String) -> Authorisers {
        let list = settings.into_iter().map(Authoriser::new).collect();
        Authorisers { list, instance_name }
    }

    /// The authoriser that a class names, and what becomes of a request that it does not decide.
    pub fn for_class(&self, class: &str) -> Option<(&Authoriser, WhenUnsure)> {
        self.list.iter().find_map(|authoriser| Some((authoriser, *authoriser.settings.classes.get(class)?)))
    }

    /// Asks an authoriser about a request.
    pub async fn authorise(
        &self,
        authoriser: &Authoriser,
        request: &AuthorisationRequest<'_>,
    ) -> Authorisation {
        let check = (request.build)();
        let mut names: Vec<&str> = request.via.iter().map(String::as_str).collect();
        names.push(&self.instance_name);
        authoriser.check(&check, &names.join(","), request.deadline).await
    }
}
