//! What the host tells a limiter.

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
    /// Rejected as overloaded; did not run.
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
    /// Its number.
    pub id: RequestId,
    /// The customer that it counts for.
    pub customer: Arc<str>,
    /// Name of the customer's plan.
    pub plan: Arc<str>,
    /// Name of its class.
    pub class: Arc<str>,
    /// Its units; an estimate where they are settled with the response.
    pub units: f64,
    /// Number of limiters that the customer's requests can reach.
    pub reachable_instances: u32,
    /// Marked by the client as a retry.
    pub is_retry: bool,
    /// Time at which the client gives up.
    pub deadline: f64,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The complete endpoint list; what it does not name is removed.
    EndpointList(Vec<EndpointEntry>),
    /// Changed entries of the endpoint list.
    EndpointChanges(Vec<EndpointEntry>),
    /// A call to discovery failed or the watch ended.
    DiscoveryFailed,
    /// A client's request.
    Request(Request),
    /// A client asks whether it may call the endpoints by itself, until the request's `deadline`. It draws
    /// the units that the request would draw and is answered at once, by
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
        /// The request has its final response.
        request_finished: bool,
        /// How the attempt ended.
        outcome: Outcome,
        /// Seconds since it was sent.
        elapsed_s: f64,
        /// The true units, given once, where they are settled with the response.
        units: Option<f64>,
        /// The endpoint's load report.
        report: LoadReport,
    },
    /// The client disconnected; no response is due. For an authorization: the client never got it and will
    /// not call.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// The answer to one [`Action::IncrementCounter`](super::Action::IncrementCounter).
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
    /// How far the counter's totals can be used from now on; before the first of these events, fully.
    CounterValidity {
        /// Ratio of each quota that the limiters with this view of the counts may divide by their demand,
        /// from 0 (totals are not used, each limiter keeps its fallback) to 1.
        usable_quota_ratio: f64,
    },
    /// The answer to one [`Action::CheckHealth`](super::Action::CheckHealth).
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
        /// The token that [`Action::SetTimer`](super::Action::SetTimer) gave it.
        token: u64,
    },
}

impl Event {
    /// The end of an attempt that the host did not start because a rule forbids it: it never ran.
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
