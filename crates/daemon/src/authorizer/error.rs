//! Why a check request led to no decision.

#[cfg(test)]
mod tests;

use hyper::header::{HeaderMap, HeaderValue};
use liftrouter_authz::FrameError;
use std::error::Error;
use thiserror::Error;

pub(super) const GRPC_STATUS: &str = "grpc-status";

/// A failure of the authorizer, as the log shows it.
#[derive(Debug, Error)]
pub(super) enum CheckError {
    #[error("HTTP status {0}, expected 200")]
    HttpStatus(u16),
    #[error("content-type {0:?}, expected application/grpc")]
    ContentType(String),
    #[error("the response is compressed, but no compression was offered")]
    Compressed,
    #[error("grpc-status {0}, expected 0")]
    GrpcStatus(String),
    #[error("no grpc-status, expected 0")]
    NoGrpcStatus,
    #[error("{0}")]
    Frame(FrameError),
    #[error("the response is malformed: {0}")]
    Malformed(String),
    /// The response is well formed, but its decision is contradictory or cannot be applied.
    #[error("{0}")]
    Verdict(String),
    #[error("{0}")]
    Http2(String),
    #[error("{0}")]
    Hyper(String),
    #[error("both attempts were refused before they were processed")]
    RefusedTwice,
    #[error("no response within the timeout")]
    Timeout,
}

/// Why one attempt failed, by whether the authorizer may have processed it (RFC 9113, section 8.7).
#[derive(Debug)]
pub(super) enum AttemptError {
    /// Not processed: the stream was refused. It may be retried on the same connection.
    StreamRefused,
    /// Not processed: the connection accepts no more streams. It may be retried on another connection.
    ConnectionClosed,
    /// It may have been processed, so it is not retried.
    Failed(CheckError),
}

impl From<CheckError> for AttemptError {
    fn from(error: CheckError) -> Self {
        AttemptError::Failed(error)
    }
}

impl From<FrameError> for AttemptError {
    fn from(error: FrameError) -> Self {
        AttemptError::Failed(CheckError::Frame(error))
    }
}

impl From<&hyper::Error> for AttemptError {
    fn from(error: &hyper::Error) -> Self {
        match error.source().and_then(|source| source.downcast_ref::<h2::Error>()) {
            // A GOAWAY from the peer fails only the streams above its last id, which were not processed.
            Some(http2) if http2.is_remote() && http2.is_go_away() => AttemptError::ConnectionClosed,
            Some(http2) if http2.is_remote() && http2.reason() == Some(h2::Reason::REFUSED_STREAM) => {
                AttemptError::StreamRefused
            }
            Some(http2) => CheckError::Http2(http2.to_string()).into(),
            None => CheckError::Hyper(error.to_string()).into(),
        }
    }
}

/// Checks that `grpc-status` in the headers or trailers is OK.
pub(super) fn check_status(headers: &HeaderMap) -> Result<(), CheckError> {
    match headers.get(GRPC_STATUS).map(HeaderValue::as_bytes) {
        Some(b"0") => Ok(()),
        Some(status) => Err(CheckError::GrpcStatus(String::from_utf8_lossy(status).into_owned())),
        None => Err(CheckError::NoGrpcStatus),
    }
}
