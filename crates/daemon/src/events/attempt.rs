//! The result of an attempt.

use bytes::Bytes;
use hyper::Response;
use liftrouter_decision::{LoadReport, Outcome};

/// How an attempt ended, and the answer if the server served it.
pub struct AttemptResult {
    /// The outcome, as the decision module has to know it.
    pub outcome: Outcome,
    /// Units that the server settled, if it said so.
    pub units: Option<f64>,
    /// The server's load, as far as it reported it.
    pub report: LoadReport,
    /// The complete answer, if the outcome is [`Outcome::Ok`].
    pub answer: Option<Response<Bytes>>,
}

impl AttemptResult {
    /// A result without an answer, units or a load report.
    pub fn of(outcome: Outcome) -> Self {
        AttemptResult { outcome, units: None, report: LoadReport::default(), answer: None }
    }
}
