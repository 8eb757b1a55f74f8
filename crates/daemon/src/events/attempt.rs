//! The result of an attempt.

use bytes::Bytes;
use hyper::Response;
use liftrouter_decision::{LoadReport, Outcome};

/// How an attempt ended, and the response if it succeeded.
pub struct AttemptResult {
    /// The outcome that is reported to the decision module.
    pub outcome: Outcome,
    /// Units that the server says the request used, if it sent a valid `X-Settled` header.
    pub units: Option<f64>,
    /// The load that the server reported; empty if it sent no report.
    pub report: LoadReport,
    /// The complete response, if the outcome is [`Outcome::Ok`].
    pub response: Option<Response<Bytes>>,
}

impl AttemptResult {
    /// A result with this outcome and no response, units or load report.
    pub fn without_response(outcome: Outcome) -> Self {
        AttemptResult { outcome, units: None, report: LoadReport::default(), response: None }
    }
}
