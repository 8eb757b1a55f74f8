//! Load reports of servers: `name=value` pairs in a response header, or in the body of the response to a health check.

use super::headers::BACKEND_LOAD;
use crate::decimal::parse_decimal;
use hyper::header::HeaderMap;
use liftrouter_decision::LoadReport;

/// Largest valid value of any load metric, whatever its unit; larger ones are ignored.
const MAX_LOAD: f64 = 1e6;

/// The load report in the headers of a response; empty if there is none.
pub(super) fn from_headers(headers: &HeaderMap) -> LoadReport {
    let mut report = LoadReport::default();
    if let Some(text) = headers.get(BACKEND_LOAD).and_then(|value| value.to_str().ok()) {
        parse_into(text, &mut report);
    }
    report
}

/// Parses comma-separated `name=value` pairs into a report. Ignores pairs that are malformed or out of range.
pub(super) fn parse_into(text: &str, report: &mut LoadReport) {
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        if let Some(value) = parse_decimal(value.trim()).filter(|load| *load <= MAX_LOAD) {
            report.set(name.trim(), value);
        }
    }
}
