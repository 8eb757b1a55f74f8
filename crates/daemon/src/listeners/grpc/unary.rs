//! Reads the deadline and the message of a unary call, and maps errors in them to statuses.

use super::context::CallContext;
use crate::memory::{MemoryReservation, OutOfMemory};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName};
use liftrouter_authz::{parse_timeout, Code, FrameError, Message, Status, UnaryDecoder};
use std::borrow::Cow;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

const GRPC_TIMEOUT: HeaderName = HeaderName::from_static("grpc-timeout");
const GRPC_ENCODING: HeaderName = HeaderName::from_static("grpc-encoding");

/// A message must be complete within this time, the same as an HTTP/1.1 body.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// What a message takes in memory, as a multiple of its size: it is received, and then decoded.
const MESSAGE_MEMORY_FACTOR: usize = 2;
/// The maximum time that a call waits for its decision.
pub(super) const MAX_WAIT: Duration = Duration::from_secs(10);

/// The status for a call with invalid fields or an invalid message.
pub(super) fn invalid_argument(message: impl Into<Cow<'static, str>>) -> Status {
    Status::new(Code::InvalidArgument, message)
}

/// The status for a call with invalid framing.
pub(super) fn frame_error(error: FrameError) -> Status {
    let code = match error {
        // The specification requires INTERNAL if the compressed flag is set without a grpc-encoding.
        FrameError::Compressed => Code::Internal,
        FrameError::TooLarge { .. } => Code::ResourceExhausted,
        _ => Code::InvalidArgument,
    };
    Status::new(code, error.to_string())
}

/// The status for a call that there is no memory for.
pub(super) fn out_of_memory(_: OutOfMemory) -> Status {
    Status::new(Code::ResourceExhausted, "too much is open")
}

/// The status for a call that was not answered before its deadline.
pub(super) fn deadline_exceeded() -> Status {
    Status::new(Code::DeadlineExceeded, "the call's deadline has passed")
}

/// The status for a call that was not decided before the limiter ended.
pub(super) fn shutting_down() -> Status {
    Status::new(Code::Unavailable, "the limiter is ending")
}

/// The deadline of a call by its `grpc-timeout`, at most [`MAX_WAIT`] after `received_at`.
pub(super) fn parse_deadline(headers: &HeaderMap, received_at: Instant) -> Result<Instant, Status> {
    let Some(value) = headers.get(GRPC_TIMEOUT) else { return Ok(received_at + MAX_WAIT) };
    let timeout = value.to_str().ok().and_then(parse_timeout);
    let timeout =
        timeout.ok_or_else(|| invalid_argument("grpc-timeout is malformed, expected digits and a unit"))?;
    Ok(received_at + timeout.min(MAX_WAIT))
}

/// Reads the message of a unary call, until the shutdown deadline at most. Returns it with `memory`, the reservation of
/// the call, which has grown by what the message takes.
pub(super) async fn read_message<M: Message + Default>(
    context: &CallContext,
    headers: &HeaderMap,
    body: Incoming,
    memory: MemoryReservation,
    deadline: Instant,
) -> Result<(M, MemoryReservation), Status> {
    let message = read_whole_message(context, headers, body, memory, deadline);
    let message = context.admission.shutdown_deadline().limit(message).await;
    message.unwrap_or_else(|| Err(shutting_down()))
}

async fn read_whole_message<M: Message + Default>(
    context: &CallContext,
    headers: &HeaderMap,
    mut body: Incoming,
    mut memory: MemoryReservation,
    deadline: Instant,
) -> Result<(M, MemoryReservation), Status> {
    if headers.get(GRPC_ENCODING).is_some_and(|encoding| encoding != "identity") {
        return Err(Status::new(Code::Unimplemented, "grpc-encoding is not supported, expected identity"));
    }
    let mut unary = UnaryDecoder::new(context.limits.max_message_bytes);
    let message_deadline = deadline.min(Instant::now() + MESSAGE_TIMEOUT);
    loop {
        let frame = match timeout_at(message_deadline, body.frame()).await {
            Err(_) => return Err(Status::new(Code::DeadlineExceeded, "the message came too slowly")),
            Ok(None) => break,
            // The stream was reset or the connection failed, so the client does not receive this status.
            Ok(Some(Err(_))) => return Err(invalid_argument("the message cannot be read")),
            Ok(Some(Ok(frame))) => frame,
        };
        if let Some(data) = frame.data_ref() {
            memory.grow_by(data.len() * MESSAGE_MEMORY_FACTOR).map_err(out_of_memory)?;
            unary.push(data).map_err(frame_error)?;
        }
    }
    let message = unary.finish().map_err(frame_error)?;
    let message = M::decode(message);
    let message = message.map_err(|error| invalid_argument(format!("the message is malformed: {error}")))?;
    Ok((message, memory))
}
