//! Reads and checks the head of a client's request: everything that the module or a server is to rely on.
//!
//! What is refused here reaches neither the module, whose totals go by customer, nor a server. It must stay
//! cheap: nothing is kept or logged of it, since the same junk may come again at full speed.

use super::fields;
use crate::number::read_number;
use crate::upstream::servers::{CORRELATION_ID, IDEMPOTENCY_KEY, TIME_LEFT};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Method, StatusCode};
use liftrouter_decision::{Idempotency, Settings};
use std::time::Duration;

const METERING: HeaderName = HeaderName::from_static("x-metering");
const CONTRACT: HeaderName = HeaderName::from_static("x-contract");
pub const REPEAT: HeaderName = HeaderName::from_static("x-repeat");

/// The most headers that hyper reads of a request.
const MAX_HEADERS: usize = 100;

/// A request that is answered before the module hears of it, and why.
pub struct Rejected(pub StatusCode, pub &'static str);

pub struct Checked {
    pub class: String,
    pub customer: String,
    pub plan: String,
    pub correlation_id: HeaderValue,
    pub time_left: Duration,
    pub units: f64,
    pub width: u32,
}

/// `raw` is all that the connection has brought since the request before, the head first.
pub fn check(
    settings: &Settings,
    (method, path, headers): (&Method, &str, &HeaderMap),
    body: &Incoming,
    raw: &[u8],
) -> Result<Checked, Rejected> {
    let bad = |why| Rejected(StatusCode::BAD_REQUEST, why);
    // The path comes first: what lies nowhere is not found, whatever its headers say.
    let unknown = || Rejected(StatusCode::NOT_FOUND, "no such path\n");
    let (name, customer) = path.strip_prefix('/').and_then(|p| p.split_once('/')).ok_or_else(unknown)?;
    let class = settings.classes.iter().find(|c| c.name == name).ok_or_else(unknown)?;
    if customer.contains('/') {
        return Err(unknown());
    }
    if headers.contains_key(TRANSFER_ENCODING) && !only_chunked(raw) {
        return Err(bad("Transfer-Encoding beside Content-Length\n"));
    }
    let customer = fields::customer(customer).ok_or(bad("the customer is malformed\n"))?;
    let text = |name: HeaderName| {
        let mut values = headers.get_all(name).iter();
        // Given twice, a header may be read one way here and another way at a server.
        let value = values.next().filter(|v| !v.is_empty()).and_then(|v| v.to_str().ok());
        value.filter(|_| values.next().is_none())
    };
    let id = |name| text(name).filter(|id| id.len() <= fields::MAX_ID);
    let correlation_id = id(CORRELATION_ID).ok_or(bad("X-Correlation-Id is missing or malformed\n"))?;
    let plan = text(CONTRACT).filter(|name| settings.plans.iter().any(|p| p.name == *name));
    let plan = plan.ok_or(bad("X-Contract is missing or unknown\n"))?;
    let time_left = text(TIME_LEFT).and_then(|text| fields::time_left(text, class));
    let time_left = time_left.ok_or(bad("X-Time-Left is missing or malformed\n"))?;
    let metering = text(METERING).and_then(|text| read_metering(settings, text));
    let (units, width) = metering.ok_or(bad("X-Metering is missing or malformed\n"))?;
    let right = if class.idempotency == Idempotency::Idempotent { Method::GET } else { Method::POST };
    if *method != right {
        return Err(bad("the method does not fit the class\n"));
    }
    if class.idempotency == Idempotency::Idempotent && !body.is_end_stream() {
        return Err(bad("a GET carries no body\n"));
    }
    if class.idempotency == Idempotency::IdempotencyKey && id(IDEMPOTENCY_KEY).is_none() {
        return Err(bad("Idempotency-Key is missing or malformed\n"));
    }
    Ok(Checked {
        class: class.name.clone(),
        customer,
        plan: plan.to_string(),
        correlation_id: HeaderValue::from_str(correlation_id).map_err(|_| bad("malformed\n"))?,
        time_left,
        units,
        width,
    })
}

/// Whether a chunked request came without a length. hyper takes the length away where both are there, and a
/// peer that goes by it would find another request in the body: so the head is read once more as it came.
fn only_chunked(raw: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    // What cannot be found again (it was written behind another request) is refused like both.
    matches!(head.parse(raw), Ok(httparse::Status::Complete(_)))
        && head.headers.iter().all(|h| !h.name.eq_ignore_ascii_case(CONTENT_LENGTH.as_str()))
}

/// `units=2,spread=3,first=1`: the units, and the number of limiters in the customer's set.
fn read_metering(settings: &Settings, text: &str) -> Option<(f64, u32)> {
    let (mut units, mut spread, mut first) = (None, None, None);
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        let value = read_number(value.trim())?;
        let twice = match name.trim() {
            "units" => units.replace(value),
            "spread" => spread.replace(value),
            "first" => first.replace(value),
            _ => None,
        };
        if twice.is_some() {
            return None;
        }
    }
    let peers = settings.instance_count.max(1);
    first.filter(|first| first.fract() == 0.0 && *first < f64::from(peers))?;
    Some((fields::units(units?, settings)?, fields::width(spread?, settings)?))
}
