//! Interprets the complete response of a server.

use super::headers::{SETTLED, UNPROCESSED};
use super::load_report;
use crate::decimal::parse_decimal;
use crate::events::AttemptResult;
use bytes::Bytes;
use hyper::{Response, StatusCode};
use liftrouter_decision::Outcome;

/// The result of an attempt whose response is complete. `max_units` is the most that a request can use.
pub(super) fn interpret(response: Response<Bytes>, max_units: f64) -> AttemptResult {
    let headers = response.headers();
    let unprocessed = headers.get(UNPROCESSED).is_some_and(|value| value == "1");
    let outcome = match response.status() {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => Outcome::Overloaded,
        _ => Outcome::Error,
    };
    // A number of units above the maximum is ignored: taken from the customer's token bucket, it could block the
    // customer indefinitely.
    let units = headers.get(SETTLED).and_then(|value| parse_decimal(value.to_str().ok()?.trim()));
    let units = units.filter(|units| *units > 0.0 && *units <= max_units);
    let report = load_report::from_headers(headers);
    AttemptResult { outcome, units, report, response: (outcome == Outcome::Ok).then_some(response) }
}
