//! A client's request, as a listener passes it to the host.

use super::OpenRequestId;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::Method;
use std::rc::Rc;
use tokio::time::Instant;

/// What happens once a request is admitted.
pub enum RequestKind {
    /// The limiter forwards the request to a server.
    Forward(Rc<ForwardedRequest>),
    /// The client calls a server itself; the call counts as in flight until the deadline at the latest.
    Authorization {
        /// When the call has ended at the latest.
        deadline: Instant,
    },
}

/// A client's request: the parameters for the decision module, and the part to forward.
pub struct IncomingRequest {
    /// Id of the customer that the request belongs to.
    pub customer: String,
    /// Name of the customer's plan.
    pub plan: String,
    /// Name of the request's class.
    pub class: String,
    /// Units that the request is expected to use.
    pub units: f64,
    /// Number of limiters that the customer's requests can reach.
    pub reachable_instances: u32,
    /// Whether the client marks the request as a retry.
    pub is_retry: bool,
    /// What happens once the request is admitted.
    pub kind: RequestKind,
    /// Keeps the request's id registered as open.
    pub open_id: OpenRequestId,
}

/// The part of a client's request that is forwarded unchanged.
pub struct ForwardedRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: PathAndQuery,
    /// Value of `X-Correlation-Id`, by which client and server correlate the request.
    pub correlation_id: HeaderValue,
    /// Key by which servers detect duplicates of the request, if the client sent one.
    pub idempotency_key: Option<HeaderValue>,
    /// The client's headers that are forwarded, after changes by the authorizer.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When the response has to be written to the client.
    pub deadline: Instant,
}
