//! Reads the deadline and the one message of a call, and names the faults of both.

use super::context::CallContext;
use crate::listeners::body_budget::BodyReservation;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName};
use liftrouter_authz::{parse_timeout, Code, FrameError, Message, Status, UnaryDecoder};
use std::borrow::Cow;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

const GRPC_TIMEOUT: HeaderName = HeaderName::from_static("grpc-timeout");
const GRPC_ENCODING: HeaderName = HeaderName::from_static("grpc-encoding");

/// A message must be complete within this time, as a body over HTTP/1.1.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest that a call waits for its decision.
pub(super) const MAX_WAIT: Duration = Duration::from_secs(10);

/// The status of a call whose fields or message are wrong.
pub(super) fn invalid_argument(message: impl Into<Cow<'static, str>>) -> Status {
    Status::new(Code::InvalidArgument, message)
}

/// The status of a call whose framing is wrong.
pub(super) fn frame_error(error: FrameError) -> Status {
    let code = match error {
        // "If the flag is set and no grpc-encoding was given, INTERNAL."
        FrameError::Compressed => Code::Internal,
        FrameError::TooLarge { .. } => Code::ResourceExhausted,
        _ => Code::InvalidArgument,
    };
    Status::new(code, error.to_string())
}

/// The status of a call without an answer before its deadline.
pub(super) fn deadline_exceeded() -> Status {
    Status::new(Code::DeadlineExceeded, "the call's deadline has passed")
}

/// When the call is over, by its `grpc-timeout`.
pub(super) fn read_deadline(headers: &HeaderMap, received_at: Instant) -> Result<Instant, Status> {
    let Some(value) = headers.get(GRPC_TIMEOUT) else { return Ok(received_at + MAX_WAIT) };
    let timeout = value.to_str().ok().and_then(parse_timeout);
    let timeout =
        timeout.ok_or_else(|| invalid_argument("grpc-timeout is malformed, expected digits and a unit"))?;
    Ok(received_at + timeout.min(MAX_WAIT))
}

/// Reads the call's one message, and reserves its memory.
pub(super) async fn read_message<'a, M: Message + Default>(
    context: &'a CallContext,
    headers: &HeaderMap,
    mut body: Incoming,
    deadline: Instant,
) -> Result<(M, BodyReservation<'a>), Status> {
    if headers.get(GRPC_ENCODING).is_some_and(|encoding| encoding != "identity") {
        return Err(Status::new(Code::Unimplemented, "grpc-encoding is not supported, expected identity"));
    }
    let no_memory = || Status::new(Code::ResourceExhausted, "too much is open");
    let mut reservation = context.admission.reserve_body(0).ok_or_else(no_memory)?;
    let mut unary = UnaryDecoder::new(context.limits.message);
    let until = deadline.min(Instant::now() + MESSAGE_TIMEOUT);
    loop {
        let frame = match timeout_at(until, body.frame()).await {
            Err(_) => return Err(Status::new(Code::DeadlineExceeded, "the message came too slowly")),
            Ok(None) => break,
            // The stream is reset or broken: nobody reads this.
            Ok(Some(Err(_))) => return Err(invalid_argument("the message cannot be read")),
            Ok(Some(Ok(frame))) => frame,
        };
        if let Some(data) = frame.data_ref() {
            if !reservation.try_grow(data.len()) {
                return Err(no_memory());
            }
            unary.push(data).map_err(frame_error)?;
        }
    }
    let message = unary.finish().map_err(frame_error)?;
    let message = M::decode(message);
    let message = message.map_err(|error| invalid_argument(format!("the message is malformed: {error}")))?;
    Ok((message, reservation))
}
