//! What a client's request says of itself, and what becomes of it.

use crate::net::message::Request;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// The fields of a request that violations depend on.
pub(super) struct RequestInfo {
    pub id: u64,
    pub customer: u64,
    pub class: String,
    pub plan: String,
    pub units: f64,
    pub deadline: Instant,
}

impl RequestInfo {
    /// Reads them from the request; none where one that must be there is missing or malformed.
    pub fn read(request: &Request) -> Option<RequestInfo> {
        let header = |name: &str| request.headers.get(name);
        let hex = |text: &str| u64::from_str_radix(text, 16).ok();
        let mut path = request.target.trim_start_matches('/').split('/');
        let (class, customer) = (path.next()?.to_string(), hex(path.next()?)?);
        let remaining: u64 = header("x-time-left")?.trim_end_matches('u').parse().ok()?;
        let metering = header("x-metering").unwrap_or_default();
        let units = metering.split(',').find_map(|part| part.strip_prefix("units=")?.parse().ok());
        Some(RequestInfo {
            id: hex(header("x-correlation-id")?)?,
            customer,
            class,
            plan: header("x-contract")?.to_string(),
            units: units.unwrap_or(1.0),
            deadline: Instant::now() + Duration::from_micros(remaining),
        })
    }
}

/// A request in work, with the connections that it runs over.
pub(super) struct Exchange<'a> {
    pub request: &'a Request,
    /// The client's connection.
    pub client: &'a TcpStream,
    /// The pooled connection to the limiter that belongs to this client's connection.
    pub limiter: &'a mut Option<TcpStream>,
}

/// The bytes that answer a request, or why there are none.
pub(super) type Reply = Result<Vec<u8>, Unanswered>;

/// Why a request is not answered. Its connection ends in each case.
pub(super) enum Unanswered {
    /// The rogue closes the connection, by intent or since the limiter has closed its own.
    Closed,
    /// The client has closed it.
    ClientGone,
}
