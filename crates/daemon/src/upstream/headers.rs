//! Headers between clients, limiter and servers.

use hyper::header::HeaderName;

/// Id by which client and server correlate a request.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// Key by which a server recognises a repeated request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Time left until the deadline.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
/// Version of the endpoint list that the server was chosen from, if the list is a file.
pub(super) const INVENTORY: HeaderName = HeaderName::from_static("x-inventory");
/// Says that the server did not process the request.
pub(super) const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
/// Units that the server settled.
pub(super) const SETTLED: HeaderName = HeaderName::from_static("x-settled");
/// The server's load report.
pub(super) const BACKEND_LOAD: HeaderName = HeaderName::from_static("x-backend-load");

/// Headers that are reserved for the limiter: no authoriser sets or removes them.
pub const RESERVED: [HeaderName; 11] = [
    CORRELATION_ID,
    IDEMPOTENCY_KEY,
    TIME_LEFT,
    INVENTORY,
    UNPROCESSED,
    SETTLED,
    BACKEND_LOAD,
    HeaderName::from_static("x-metering"),
    HeaderName::from_static("x-contract"),
    HeaderName::from_static("x-repeat"),
    crate::authoriser::VIA,
];
