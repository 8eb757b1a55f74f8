//! Reads the body of a request or response within the limits on its size and memory.

use crate::memory::{MemoryBudget, OutOfMemory, ReservedBuffer};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::sync::Arc;

/// Maximum size of a request or response body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is larger than [`MAX_BODY_BYTES`], or announced as such.
    #[error("the body exceeds {MAX_BODY_BYTES} bytes")]
    TooLarge,
    /// There is no memory for the body.
    #[error("the body: {0}")]
    OutOfMemory(#[from] OutOfMemory),
    /// The connection ended before the body did, or the body is malformed.
    #[error("the body cannot be read")]
    Unreadable,
}

/// Reads the whole body into one buffer that is charged to `memory`. A body that is announced as too large is not read.
///
/// # Errors
/// Any [`BodyError`].
pub async fn read(mut body: Incoming, memory: &Arc<MemoryBudget>) -> Result<Bytes, BodyError> {
    let size = body.size_hint();
    if size.lower() > MAX_BODY_BYTES as u64 {
        return Err(BodyError::TooLarge);
    }
    let expected = size.exact().map_or(0, |size| size as usize);
    let mut buffer = ReservedBuffer::new(memory.reservation(), expected);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Unreadable)?;
        let Some(data) = frame.data_ref() else { continue };
        if buffer.len() + data.len() > MAX_BODY_BYTES {
            return Err(BodyError::TooLarge);
        }
        buffer.push(data)?;
    }
    Ok(buffer.freeze())
}
