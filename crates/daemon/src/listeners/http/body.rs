//! Reads the body of a request within the limits on its size, memory and time.

use super::rejection::RequestError;
use crate::memory::{MemoryBudget, ReservedBuffer};
use crate::upstream::connection::MAX_BODY;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::sync::Arc;
use tokio::time::{timeout_at, Instant};

/// Reads the whole body.
///
/// # Errors
/// The body exceeds the size limit or the memory budget, is incomplete at `deadline`, or cannot be read.
pub(super) async fn read(
    body: Incoming,
    memory: &Arc<MemoryBudget>,
    deadline: Instant,
) -> Result<Bytes, RequestError> {
    let size = body.size_hint();
    if size.lower() > MAX_BODY as u64 {
        return Err(RequestError::BodyTooLarge);
    }
    let expected = size.exact().map_or(0, |size| size as usize);
    let buffer = ReservedBuffer::new(memory.reservation(), expected);
    timeout_at(deadline, read_into(body, buffer)).await.map_err(|_| RequestError::BodyTimeout)?
}

async fn read_into(mut body: Incoming, mut buffer: ReservedBuffer) -> Result<Bytes, RequestError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RequestError::UnreadableBody)?;
        let Some(data) = frame.data_ref() else { continue };
        if buffer.len() + data.len() > MAX_BODY {
            return Err(RequestError::BodyTooLarge);
        }
        buffer.push(data)?;
    }
    Ok(buffer.freeze())
}
