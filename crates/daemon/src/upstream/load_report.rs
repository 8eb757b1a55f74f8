//! Load reports of servers: `name=value` pairs in a header of an answer, or in the body of a health check.

use super::headers::BACKEND_LOAD;
use crate::decimal::parse_decimal;
use hyper::header::HeaderMap;
use liftrouter_decision::LoadReport;

/// No server has a load above this, whatever its unit.
const MAX_LOAD: f64 = 1e6;

/// The load report in an answer's headers; empty if there is none.
pub(super) fn from_headers(headers: &HeaderMap) -> LoadReport {
    let mut report = LoadReport::default();
    if let Some(text) = headers.get(BACKEND_LOAD).and_then(|value| value.to_str().ok()) {
        read_into(text, &mut report);
    }
    report
}

/// Reads comma-separated `name=value` pairs into a report. A pair that is malformed or cannot be a load is left out.
pub(super) fn read_into(text: &str, report: &mut LoadReport) {
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        if let Some(value) = parse_decimal(value.trim()).filter(|load| *load <= MAX_LOAD) {
            report.set(name.trim(), value);
        }
    }
}
