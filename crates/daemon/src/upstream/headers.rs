//! Names of the headers that clients, the limiter and servers exchange.

use hyper::header::HeaderName;

/// Id by which client and server correlate a request.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// Key by which a server detects duplicates of a request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Time left until the deadline of the request.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
/// Version of the inventory file that the server was chosen from, if the endpoint list comes from a file.
pub(super) const INVENTORY: HeaderName = HeaderName::from_static("x-inventory");
/// Set to `1` by a server that did not process the request.
pub(super) const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
/// Units that the request used, as settled by the server.
pub(super) const SETTLED: HeaderName = HeaderName::from_static("x-settled");
/// The server's load report.
pub(super) const BACKEND_LOAD: HeaderName = HeaderName::from_static("x-backend-load");

/// Headers that are reserved for the limiter: an authorizer cannot set or remove them.
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
    crate::authorizer::VIA,
];
