//! The event queue of the host. Every part of the daemon pushes events to it, and only the host takes them out.
//!
//! Listeners, upstream connections and discovery hold a handle to the queue and do not depend on the host. Events are
//! handled in the order in which they were pushed. Everything runs on one thread, so the queue needs no lock.

mod answer;
mod attempt;
mod endpoint;
mod open_ids;
mod queue;
mod request;

pub use answer::{Answer, DisconnectGuard, Rejection, RejectionCause};
pub use attempt::AttemptResult;
pub use endpoint::ListedEndpoint;
pub use open_ids::{OpenRequestId, OpenRequestIds};
pub use queue::{EventQueue, ReplySender};
pub use request::{ForwardedRequest, IncomingRequest, RequestKind};

use liftrouter_decision::{EndpointId, LoadReport, Outcome, RequestId};
use std::time::Duration;

/// An event that the host handles.
pub enum HostEvent {
    /// A request has been received completely.
    RequestReceived {
        /// The request's id.
        id: RequestId,
        /// The request.
        request: IncomingRequest,
        /// Channel for the answer.
        reply: ReplySender,
    },
    /// A client closed its connection before it received the answer to this request.
    ClientDisconnected(RequestId),
    /// An attempt has ended. Its connection is closed, unless it can be reused.
    AttemptEnded {
        /// The request's id.
        id: RequestId,
        /// The attempt's number, from 0.
        attempt: u32,
        /// How it ended.
        result: AttemptResult,
    },
    /// A call to the counter has ended.
    CounterReply {
        /// Key of the count at the counter service.
        key: String,
        /// How the call ended.
        outcome: Outcome,
        /// The count's total after the increment; 0 unless the outcome is [`Outcome::Ok`].
        total: f64,
        /// How long the call took.
        elapsed: Duration,
    },
    /// The counter validation has a new verdict on how far the counter's totals are reliable.
    CounterValidity {
        /// The ratio of each quota, from 0 to 1, that may be divided among limiters by the totals.
        usable_quota_ratio: f64,
        /// Number of pauses of the process that the validation had been notified of.
        pauses: u32,
    },
    /// A health check has ended.
    HealthChecked {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// How the check ended.
        outcome: Outcome,
        /// The load that the endpoint reported.
        report: LoadReport,
    },
    /// The complete endpoint list, or changes to it.
    EndpointUpdate {
        /// Whether `endpoints` is the complete list; otherwise endpoints that are not named are unchanged.
        complete: bool,
        /// The listed or changed endpoints.
        endpoints: Vec<ListedEndpoint>,
        /// Version of the inventory file, which requests carry in `X-Inventory`; `None` if the list comes from the
        /// discovery service.
        version: Option<u64>,
    },
    /// The watch of the endpoint list has failed.
    WatchFailed,
    /// The endpoint list has not been confirmed in time; new requests are rejected until it is.
    EndpointListExpired,
    /// The endpoint list has been confirmed again.
    EndpointListConfirmed,
    /// The time for a graceful shutdown is nearly over: every unanswered request fails now.
    ShutdownDeadline,
}
