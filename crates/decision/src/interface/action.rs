//! What a limiter asks its host to do.

use super::{EndpointId, RequestId};

/// What the host is to do.
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
        /// Time by which the request must be written completely, since its idempotency key may be forgotten
        /// after that. Infinite where there is no such time.
        send_deadline: f64,
    },
    /// Final answer to an authorization: the client may call.
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
    /// Stop waiting for an attempt.
    Cancel {
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
        /// Comes back in [`Event::Timer`](super::Event::Timer).
        token: u64,
    },
    /// Check the health of an endpoint.
    CheckHealth {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Watch the endpoint list.
    WatchEndpoints,
}
