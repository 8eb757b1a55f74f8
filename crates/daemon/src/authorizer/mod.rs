//! Authorizers: external services that decide on a request before it is submitted to the host.
//!
//! A check request is retried once, and only if the authorizer certainly did not process it: its stream was refused,
//! its stream is above the last id of a GOAWAY, or it was never written. After any other failure the request is
//! undecided, and the fallback of its class applies.

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

/// What is needed to ask an authorizer about a request.
pub struct AuthorizationRequest<'a> {
    /// Builds the check request; called only if an authorizer is asked.
    pub build: &'a dyn Fn() -> CheckRequest,
    /// Names of the limiters that the request has passed through.
    pub via: &'a [String],
    /// When the request must be answered.
    pub deadline: Instant,
}

/// The result of a check request.
pub enum Authorization {
    /// The authorizer decided.
    Decided(Verdict),
    /// There is no usable decision; the fallback of the class applies.
    Undecided {
        /// Seconds after which the client may retry; 0 if that is not known.
        retry_after: f64,
    },
}

/// All authorizers of this limiter. Each decides on the requests of some classes.
pub struct Authorizers {
    list: Vec<Authorizer>,
    /// The name of this limiter in `VIA`, by which it detects its own check requests coming back.
    instance_name: String,
}

impl Authorizers {
    /// Creates the clients of the configured authorizers. A client connects when it sends its first check request.
    pub fn new(settings: Vec<AuthorizerSettings>, instance_name: String) -> Authorizers {
        let list = settings.into_iter().map(Authorizer::new).collect();
        Authorizers { list, instance_name }
    }

    /// The authorizer of a class, and the fallback for a request that it does not decide. `None` if requests of
    /// the class need no authorization.
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
