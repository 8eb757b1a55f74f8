//! Reads the body of a request within its limits of size and time.

use super::rejection::RequestError;
use crate::upstream::connection::MAX_BODY;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::{timeout_at, Instant};

/// The bytes to reserve for a body: its length, or the limit where it does not say.
///
/// # Errors
/// The body says that it is larger than the limit.
pub(super) fn expected_size(body: &Incoming) -> Result<usize, RequestError> {
    let size = body.size_hint();
    if size.lower() > MAX_BODY as u64 {
        return Err(RequestError::BodyTooLarge);
    }
    Ok(size.exact().map_or(MAX_BODY, |size| size as usize))
}

/// Reads the whole body.
///
/// # Errors
/// The body is larger than the limit, incomplete at `deadline`, or cannot be read.
pub(super) async fn read(body: Incoming, deadline: Instant) -> Result<Bytes, RequestError> {
    match timeout_at(deadline, Limited::new(body, MAX_BODY).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(RequestError::BodyTooLarge),
        Ok(Err(_)) => Err(RequestError::UnreadableBody),
        Err(_) => Err(RequestError::BodyTimeout),
    }
}
