//! Actions: the operations that a limiter asks its host to carry out.

use super::{EndpointId, RequestId};

/// An operation for the host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt of a request; attempts are numbered from 0 in this order.
    Send {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Give up after this many seconds; 0: at the client's deadline.
        timeout_s: f64,
        /// Time by which the request must be written completely: after it the endpoints may have dropped its
        /// idempotency key from the deduplication window. Infinite if there is no such bound.
        send_deadline: f64,
    },
    /// Final answer to an authorization: the client may call the endpoints.
    Authorize {
        /// The authorization.
        id: RequestId,
    },
    /// Final answer: rejected; the request has no effect and may be retried.
    Reject {
        /// The request.
        id: RequestId,
        /// Seconds after which the client should retry; 0: no advice.
        retry_after_s: f64,
    },
    /// Final answer: failed; the request may have had an effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt: its response is no longer needed.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Abort an attempt unless its request is written completely: its endpoint may not recognize the
    /// idempotency key any more. One that is aborted ends as never sent, any other goes on.
    Withdraw {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Add to a total of the counter service and read it.
    IncrementCounter {
        /// The counter's key.
        key: String,
        /// What to add; 0 only reads.
        increment: f64,
        /// Seconds after which a new key expires.
        ttl_s: f64,
    },
    /// Set a timer.
    SetTimer {
        /// The time at which it expires.
        expires_at: f64,
        /// Returned in [`Event::Timer`](super::Event::Timer).
        token: u64,
    },
    /// Check the health of an endpoint.
    CheckHealth {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Start or restart the watch of the endpoint list.
    WatchEndpoints,
}
