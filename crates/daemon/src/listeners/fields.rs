//! The fields of a request that every listener reads, whatever protocol they come in.
//!
//! A request whose fields fail here reaches neither the decisions, whose totals go by customer, nor a server.

#[cfg(test)]
mod tests;

use crate::decimal::parse_decimal;
use liftrouter_decision::{Class, Settings};
use std::time::Duration;

/// The longest request id or idempotency key: both are kept while a request is open, and forwarded to servers.
pub const MAX_ID_BYTES: usize = 128;
/// Customer numbers are below this.
const CUSTOMER_NUMBER_LIMIT: u64 = 1 << 33;
const CUSTOMER_DIGITS: usize = 16;

/// Reads a customer's number of 16 hexadecimal digits, and writes it in lower case as the decisions know it.
pub fn read_customer(text: &str) -> Option<String> {
    let is_number = text.len() == CUSTOMER_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let digits = Some(text).filter(|_| is_number)?;
    let number = u64::from_str_radix(digits, 16).ok().filter(|number| *number < CUSTOMER_NUMBER_LIMIT)?;
    Some(format!("{number:016x}"))
}

/// Reads a number with a unit, `480m` milliseconds or `1500u` microseconds, capped at the deadline of the class.
pub fn read_time_left(text: &str, class: &Class) -> Option<Duration> {
    let (seconds_per_unit, number) = match (text.strip_suffix('m'), text.strip_suffix('u')) {
        (Some(number), _) => (1e-3, number),
        (_, Some(number)) => (1e-6, number),
        _ => return None,
    };
    let max_seconds = if class.deadline_s > 0.0 { class.deadline_s } else { f64::MAX };
    Duration::try_from_secs_f64((parse_decimal(number)? * seconds_per_unit).min(max_seconds)).ok()
}

/// Checks the units of a request: above zero, and at most what the settings allow one request.
pub fn check_units(units: f64, settings: &Settings) -> Option<f64> {
    let max_units = if settings.max_request_units > 0.0 { settings.max_request_units } else { f64::MAX };
    Some(units).filter(|units| *units > 0.0 && *units <= max_units)
}

/// Checks the number of instances that the customer's requests reach: whole, and from 1 to the instance count.
pub fn check_reachable_instances(count: f64, settings: &Settings) -> Option<u32> {
    let instances = f64::from(settings.instance_count.max(1));
    let is_valid = count.fract() == 0.0 && (1.0..=instances).contains(&count);
    is_valid.then_some(count as u32)
}
