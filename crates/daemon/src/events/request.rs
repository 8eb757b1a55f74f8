//! A client's request, as a listener hands it in.

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::Method;
use std::rc::Rc;
use tokio::time::Instant;

/// What happens with a request that is admitted.
pub enum RequestKind {
    /// It is forwarded to a server.
    Forward(Rc<ForwardedRequest>),
    /// Its client makes the call itself, which counts as in flight until the deadline at most.
    Authorization {
        /// When the call is over at the latest.
        deadline: Instant,
    },
}

/// A client's request as the decision module needs it, and what is forwarded.
pub struct IncomingRequest {
    /// The customer that it belongs to.
    pub customer: String,
    /// Name of the customer's plan.
    pub plan: String,
    /// Name of the request's class.
    pub class: String,
    /// Units that it is expected to use.
    pub units: f64,
    /// Number of instances that the customer reaches.
    pub reachable_instances: u32,
    /// Whether the client says that it is a retry.
    pub is_retry: bool,
    /// What happens with it once it is admitted.
    pub kind: RequestKind,
}

/// The part of a client's request that is forwarded unchanged.
pub struct ForwardedRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: PathAndQuery,
    /// Id by which client and server correlate the request.
    pub correlation_id: HeaderValue,
    /// Key by which a server recognises a repeated request, if there is one.
    pub idempotency_key: Option<HeaderValue>,
    /// The client's headers that are forwarded, with an authoriser's changes.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When the answer has to be written.
    pub deadline: Instant,
}
