//! Parses the request fields that are common to all listeners, whatever the protocol.
//!
//! A request with an invalid field reaches neither the decision module, which keeps totals per customer, nor a server.

#[cfg(test)]
mod tests;

use crate::decimal::parse_decimal;
use hyper::header::HeaderMap;
use liftrouter_decision::{Class, Settings};
use std::time::Duration;

/// The maximum length of a request id or idempotency key. Both are held in memory while the request is open, and
/// forwarded to servers.
pub const MAX_ID_BYTES: usize = 128;
/// Exclusive upper bound of customer numbers.
const CUSTOMER_NUMBER_LIMIT: u64 = 1 << 33;
const CUSTOMER_DIGITS: usize = 16;

/// What one entry of a map takes in memory beside its key and value, in bytes: its place in the map, and two small
/// allocations.
pub const MAP_ENTRY_BYTES: usize = 160;

/// About how much memory a map of headers takes, in bytes.
pub fn memory_of_headers(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + MAP_ENTRY_BYTES).sum()
}

/// Parses a customer number of 16 hexadecimal digits. Returns it in lower case, the form that the decision module uses.
pub fn parse_customer(text: &str) -> Option<String> {
    let is_number = text.len() == CUSTOMER_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let digits = Some(text).filter(|_| is_number)?;
    let number = u64::from_str_radix(digits, 16).ok().filter(|number| *number < CUSTOMER_NUMBER_LIMIT)?;
    Some(format!("{number:016x}"))
}

/// Parses a duration with a unit suffix (`480m` is 480 milliseconds, `1500u` is 1500 microseconds), and caps it at the
/// deadline of the class.
pub fn parse_time_left(text: &str, class: &Class) -> Option<Duration> {
    let (seconds_per_unit, number) = match (text.strip_suffix('m'), text.strip_suffix('u')) {
        (Some(number), _) => (1e-3, number),
        (_, Some(number)) => (1e-6, number),
        _ => return None,
    };
    let max_seconds = if class.deadline_s > 0.0 { class.deadline_s } else { f64::MAX };
    Duration::try_from_secs_f64((parse_decimal(number)? * seconds_per_unit).min(max_seconds)).ok()
}

/// Returns `units` if it is above zero and at most the maximum that the settings allow for one request.
pub fn check_units(units: f64, settings: &Settings) -> Option<f64> {
    let max_units = if settings.max_request_units > 0.0 { settings.max_request_units } else { f64::MAX };
    Some(units).filter(|units| *units > 0.0 && *units <= max_units)
}

/// Returns `count`, the number of instances that the customer's requests reach, if it is an integer from 1 to the
/// instance count.
pub fn check_reachable_instances(count: f64, settings: &Settings) -> Option<u32> {
    let instances = f64::from(settings.instance_count.max(1));
    let is_valid = count.fract() == 0.0 && (1.0..=instances).contains(&count);
    is_valid.then_some(count as u32)
}
