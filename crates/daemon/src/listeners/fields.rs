//! The parts of a request that every front reads, whatever it reads them from.
//!
//! What does not pass here reaches neither the module, whose totals go by customer, nor a server.

use crate::number::read_number;
use liftrouter_decision::{Class, Settings};
use std::time::Duration;

/// The longest id of a request or key: ids are kept while requests are open, and go on to servers.
pub const MAX_ID: usize = 128;
/// Numbers of customers are below this.
const CUSTOMERS: u64 = 1 << 33;

/// A customer's number as the module knows it: 16 hexadecimal digits in lower case.
pub fn customer(text: &str) -> Option<String> {
    let digits = Some(text).filter(|c| c.len() == 16 && c.bytes().all(|b| b.is_ascii_hexdigit()))?;
    let number = u64::from_str_radix(digits, 16).ok().filter(|n| *n < CUSTOMERS)?;
    Some(format!("{number:016x}"))
}

/// A number and a unit: `480m` milliseconds or `1500u` microseconds. No client waits longer than its class.
pub fn time_left(text: &str, class: &Class) -> Option<Duration> {
    let (scale, number) = match (text.strip_suffix('m'), text.strip_suffix('u')) {
        (Some(number), _) => (1e-3, number),
        (_, Some(number)) => (1e-6, number),
        _ => return None,
    };
    let most = if class.deadline > 0.0 { class.deadline } else { f64::MAX };
    Duration::try_from_secs_f64((read_number(number)? * scale).min(most)).ok()
}

/// Units above none and up to what one request can count.
pub fn units(units: f64, settings: &Settings) -> Option<f64> {
    let most = if settings.max_request_units > 0.0 { settings.max_request_units } else { f64::MAX };
    Some(units).filter(|u| *u > 0.0 && *u <= most)
}

/// The number of limiters in the customer's set.
pub fn width(width: f64, settings: &Settings) -> Option<u32> {
    let peers = settings.instance_count.max(1);
    Some(width).filter(|w| w.fract() == 0.0 && (1.0..=f64::from(peers)).contains(w)).map(|w| w as u32)
}
