//! Reads and validates the head of a request: every field that the decision module or a server relies on.
//!
//! An invalid request reaches neither the decision module, which keeps totals per customer, nor a server. The checks
//! are cheap, and an invalid request is neither stored nor logged, because malformed requests may arrive at full rate.

use super::rejection::RequestError;
use crate::decimal::parse_decimal;
use crate::listeners::fields::{self, MAX_ID_BYTES};
use crate::upstream::headers::{CORRELATION_ID, IDEMPOTENCY_KEY, TIME_LEFT};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::Method;
use liftrouter_decision::{Class, Idempotency, Settings};
use std::time::Duration;

const METERING: HeaderName = HeaderName::from_static("x-metering");
const CONTRACT: HeaderName = HeaderName::from_static("x-contract");
/// Set to `1` by the client on a retry.
pub(super) const REPEAT: HeaderName = HeaderName::from_static("x-repeat");

/// The fields of a valid request head.
pub(super) struct CheckedHead {
    pub class: String,
    pub customer: String,
    pub plan: String,
    pub correlation_id: HeaderValue,
    pub time_left: Duration,
    pub metering: Metering,
}

/// The units that a request consumes, and the number of instances that the customer's requests are spread over.
pub(super) struct Metering {
    pub units: f64,
    pub reachable_instances: u32,
}

/// Validates a request head.
///
/// # Errors
/// The first error found. The path is checked first, so that an unknown path is reported as not found, whatever the
/// headers are.
pub(super) fn check(settings: &Settings, head: &Parts, body: &Incoming) -> Result<CheckedHead, RequestError> {
    let headers = &head.headers;
    let (class, customer) = parse_path(settings, head.uri.path())?;
    let customer = fields::parse_customer(customer).ok_or(RequestError::MalformedCustomer)?;
    let correlation_id =
        read_single_id(headers, CORRELATION_ID).ok_or(RequestError::MalformedCorrelationId)?;
    let plan = read_single(headers, CONTRACT).ok_or(RequestError::UnknownContract)?;
    if !settings.plans.iter().any(|known| known.name == plan) {
        return Err(RequestError::UnknownContract);
    }
    let time_left = read_single(headers, TIME_LEFT).and_then(|text| fields::parse_time_left(text, class));
    let time_left = time_left.ok_or(RequestError::MalformedTimeLeft)?;
    let metering = read_single(headers, METERING).and_then(|text| parse_metering(settings, text));
    let metering = metering.ok_or(RequestError::MalformedMetering)?;
    check_idempotency(class, head, body)?;
    Ok(CheckedHead {
        class: class.name.clone(),
        customer,
        plan: plan.to_string(),
        correlation_id: HeaderValue::from_str(correlation_id).map_err(|_| RequestError::MalformedHeader)?,
        time_left,
        metering,
    })
}

/// Splits `/class/customer`, and looks up the class.
fn parse_path<'s, 'p>(settings: &'s Settings, path: &'p str) -> Result<(&'s Class, &'p str), RequestError> {
    let (name, customer) =
        path.strip_prefix('/').and_then(|path| path.split_once('/')).ok_or(RequestError::UnknownPath)?;
    let class = settings.classes.iter().find(|class| class.name == name);
    let class = class.ok_or(RequestError::UnknownPath)?;
    if customer.contains('/') {
        return Err(RequestError::UnknownPath);
    }
    Ok((class, customer))
}

/// The value of a header that occurs exactly once. A repeated header is invalid, since a server could use another of
/// its values.
fn read_single(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().filter(|value| !value.is_empty()).and_then(|value| value.to_str().ok());
    value.filter(|_| values.next().is_none())
}

fn read_single_id(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    read_single(headers, name).filter(|id| id.len() <= MAX_ID_BYTES)
}

/// Checks that method, body and idempotency key fit the class.
fn check_idempotency(class: &Class, head: &Parts, body: &Incoming) -> Result<(), RequestError> {
    let is_idempotent = class.idempotency == Idempotency::Idempotent;
    let method = if is_idempotent { Method::GET } else { Method::POST };
    if head.method != method {
        return Err(RequestError::WrongMethod);
    }
    if is_idempotent && !body.is_end_stream() {
        return Err(RequestError::UnexpectedBody);
    }
    let needs_key = class.idempotency == Idempotency::IdempotencyKey;
    if needs_key && read_single_id(&head.headers, IDEMPOTENCY_KEY).is_none() {
        return Err(RequestError::MalformedIdempotencyKey);
    }
    Ok(())
}

/// Parses `units=2,spread=3,first=1`: the units, the number of instances that the customer reaches, and the first of
/// these, which is validated but not used. Unknown names are ignored.
fn parse_metering(settings: &Settings, text: &str) -> Option<Metering> {
    let (mut units, mut spread, mut first) = (None, None, None);
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        let value = parse_decimal(value.trim())?;
        let duplicate = match name.trim() {
            "units" => units.replace(value),
            "spread" => spread.replace(value),
            "first" => first.replace(value),
            _ => None,
        };
        if duplicate.is_some() {
            return None;
        }
    }
    let instances = settings.instance_count.max(1);
    first.filter(|first| first.fract() == 0.0 && *first < f64::from(instances))?;
    Some(Metering {
        units: fields::check_units(units?, settings)?,
        reachable_instances: fields::check_reachable_instances(spread?, settings)?,
    })
}
