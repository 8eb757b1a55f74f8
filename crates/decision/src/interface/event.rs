//! Events: the input that the host passes to a limiter.

use super::{EndpointEntry, EndpointId, LoadReport};
use std::sync::Arc;

/// Number of a client request, unique at its limiter.
pub type RequestId = u64;

/// How an attempt, a counter call or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Error response; may have run.
    Error,
    /// Rejected because of overload; did not run.
    Overloaded,
    /// No response in time; may have run.
    Timeout,
    /// No connection; did not run.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled by the limiter; may have run.
    Cancelled,
    /// Never sent; did not run.
    NotSent,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number of the request.
    pub id: RequestId,
    /// The customer whose quota it counts against.
    pub customer: Arc<str>,
    /// Name of the customer's plan.
    pub plan: Arc<str>,
    /// Name of the request's class.
    pub class: Arc<str>,
    /// Units that it costs; an estimate if they are settled with the response.
    pub units: f64,
    /// Number of limiters that the customer's requests can reach.
    pub reachable_instances: u32,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// Time at which the client gives up.
    pub deadline: f64,
}

/// An input to [`Limiter::handle`](crate::Limiter::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// The complete endpoint list; endpoints that are not in it are removed.
    EndpointList(Vec<EndpointEntry>),
    /// Changed entries of the endpoint list.
    EndpointChanges(Vec<EndpointEntry>),
    /// A call to discovery failed or the watch ended.
    DiscoveryFailed,
    /// A client's request.
    Request(Request),
    /// A client asks whether it may call the endpoints itself, until the request's `deadline`. An
    /// authorization draws the same units as the request would and is answered immediately, by
    /// [`Action::Authorize`](super::Action::Authorize) or [`Action::Reject`](super::Action::Reject).
    Authorization(Request),
    /// A streamed response has started.
    StreamStarted {
        /// The request.
        id: RequestId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Whether the request has its final response.
        request_finished: bool,
        /// How the attempt ended.
        outcome: Outcome,
        /// Seconds since the attempt was sent.
        elapsed_s: f64,
        /// The true units of the request if they are settled with the response; given once per request.
        units: Option<f64>,
        /// The endpoint's load report.
        report: LoadReport,
    },
    /// The client disconnected and needs no response. For an authorization: the client did not receive the
    /// decision and will not call the endpoints.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// The outcome of an [`Action::IncrementCounter`](super::Action::IncrementCounter).
    CounterReply {
        /// The counter's key.
        key: String,
        /// [`Outcome::Ok`], [`Outcome::Timeout`] (may have been added), or another (not added).
        outcome: Outcome,
        /// The total after the increment, with [`Outcome::Ok`].
        total: f64,
        /// Seconds since the call.
        elapsed_s: f64,
    },
    /// What fraction of the quotas may be divided by the counter's totals from now on. Before the first of
    /// these events it is 1.
    CounterValidity {
        /// Fraction of each quota that the limiters with this view of the counts may divide by demand, from 0
        /// (totals are not used, each limiter keeps its fallback) to 1.
        usable_quota_ratio: f64,
    },
    /// The outcome of an [`Action::CheckHealth`](super::Action::CheckHealth).
    HealthChecked {
        /// The endpoint.
        endpoint: EndpointId,
        /// How the check ended.
        outcome: Outcome,
        /// The endpoint's load report.
        report: LoadReport,
    },
    /// A timer expired.
    Timer {
        /// The token given in [`Action::SetTimer`](super::Action::SetTimer).
        token: u64,
    },
}

impl Event {
    /// The end of an attempt that the host did not send because a rule forbids it: it never ran.
    pub fn attempt_not_sent(id: RequestId, attempt: u32) -> Event {
        Event::AttemptEnded {
            id,
            attempt,
            request_finished: false,
            outcome: Outcome::NotSent,
            elapsed_s: 0.0,
            units: None,
            report: LoadReport::default(),
        }
    }
}
