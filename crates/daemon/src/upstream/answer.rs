//! What a server's complete answer means.

use super::headers::{SETTLED, UNPROCESSED};
use super::load_report;
use crate::decimal::parse_decimal;
use crate::events::AttemptResult;
use bytes::Bytes;
use hyper::{Response, StatusCode};
use liftrouter_decision::Outcome;

/// The result of an attempt that was answered. `max_units` is the most that a request can use.
pub(super) fn interpret(answer: Response<Bytes>, max_units: f64) -> AttemptResult {
    let headers = answer.headers();
    let unprocessed = headers.get(UNPROCESSED).is_some_and(|value| value == "1");
    let outcome = match answer.status() {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => Outcome::Overloaded,
        _ => Outcome::Error,
    };
    // More than a request can use is not a valid number: taken from a bucket, it would stop a customer for good.
    let units = headers.get(SETTLED).and_then(|value| parse_decimal(value.to_str().ok()?.trim()));
    let units = units.filter(|units| *units > 0.0 && *units <= max_units);
    let report = load_report::from_headers(headers);
    AttemptResult { outcome, units, report, answer: (outcome == Outcome::Ok).then_some(answer) }
}
