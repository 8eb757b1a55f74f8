//! The events of the host: every part of the daemon reports what happened to one queue, and only the host takes events
//! out.
//!
//! Listeners, upstream connections and discovery hold a handle and push; none of them knows the host. Events are taken
//! in the order in which they were pushed. Everything runs on one thread, so there is no lock.

mod answer;
mod attempt;
mod endpoint;
mod queue;
mod request;

pub use answer::{Answer, DisconnectGuard, Rejection, RejectionCause};
pub use attempt::AttemptResult;
pub use endpoint::ListedEndpoint;
pub use queue::{EventQueue, ReplySender};
pub use request::{ForwardedRequest, IncomingRequest, RequestKind};

use liftrouter_decision::{EndpointId, LoadReport, Outcome, RequestId};
use std::time::Duration;

/// What happened.
pub enum HostEvent {
    /// A request has been received completely.
    RequestReceived {
        /// The request's id.
        id: RequestId,
        /// The request.
        request: IncomingRequest,
        /// Where its one answer goes.
        reply: ReplySender,
    },
    /// The client closed its connection before it was answered.
    ClientDisconnected(RequestId),
    /// An attempt has ended, and with it its use of a connection unless that can be used again.
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
        /// Name of the count.
        key: String,
        /// How the call ended.
        outcome: Outcome,
        /// The total; 0 unless the outcome is [`Outcome::Ok`].
        total: f64,
        /// How long the call took.
        elapsed: Duration,
    },
    /// How far the counter's totals may be relied on from now on.
    CounterValidity {
        /// Share of each quota that the totals may divide, from 0 to 1.
        usable_quota_ratio: f64,
        /// Pauses of the process that the validation knew of.
        pauses: u32,
    },
    /// A health check has ended.
    HealthChecked {
        /// The endpoint.
        endpoint: EndpointId,
        /// How the check ended.
        outcome: Outcome,
        /// The load that the endpoint reported.
        report: LoadReport,
    },
    /// The endpoint list, or changes to it.
    EndpointUpdate {
        /// Whether `endpoints` is the complete list.
        complete: bool,
        /// The endpoints.
        endpoints: Vec<ListedEndpoint>,
        /// Version of the list, if requests carry it to servers.
        version: Option<u64>,
    },
    /// The endpoint list can no longer be followed.
    WatchFailed,
    /// The endpoint list could not be confirmed in time; new requests are rejected until it is.
    EndpointListExpired,
    /// The endpoint list has been confirmed again.
    EndpointListConfirmed,
    /// The process ends soon: requests without an answer are answered now.
    ShutdownDeadline,
}
