//! Reads the body of a request within the limits on its size and time.

use super::rejection::RequestError;
use crate::upstream::connection::MAX_BODY;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::{timeout_at, Instant};

/// The number of bytes to reserve for a body: its length, or the size limit if the length is not declared.
///
/// # Errors
/// The declared length exceeds the size limit.
pub(super) fn reserved_size(body: &Incoming) -> Result<usize, RequestError> {
    let size = body.size_hint();
    if size.lower() > MAX_BODY as u64 {
        return Err(RequestError::BodyTooLarge);
    }
    Ok(size.exact().map_or(MAX_BODY, |size| size as usize))
}

/// Reads the whole body.
///
/// # Errors
/// The body exceeds the size limit, is incomplete at `deadline`, or cannot be read.
pub(super) async fn read(body: Incoming, deadline: Instant) -> Result<Bytes, RequestError> {
    match timeout_at(deadline, Limited::new(body, MAX_BODY).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(RequestError::BodyTooLarge),
        Ok(Err(_)) => Err(RequestError::UnreadableBody),
        Err(_) => Err(RequestError::BodyTimeout),
    }
}
