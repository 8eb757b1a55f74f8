//! Errors for requests that are answered without being submitted to the host.

#[cfg(test)]
mod tests;

use crate::body::BodyError;
use crate::memory::OutOfMemory;
use hyper::StatusCode;
use std::fmt;

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestError {
    UnknownPath,
    MissingTarget,
    AmbiguousLength,
    UnsupportedTransferEncoding,
    MalformedCustomer,
    MalformedCorrelationId,
    MalformedHeader,
    UnknownContract,
    MalformedTimeLeft,
    MalformedMetering,
    WrongMethod,
    UnexpectedBody,
    MalformedIdempotencyKey,
    BodyTooLarge,
    UnreadableBody,
    BodyTimeout,
    OutOfMemory,
    TooManyOpenRequests,
    ShuttingDown,
    DuplicateId,
}

impl RequestError {
    pub(super) fn status(self) -> StatusCode {
        match self {
            Self::UnknownPath | Self::MissingTarget => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::OutOfMemory | Self::TooManyOpenRequests | Self::ShuttingDown => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::DuplicateId => StatusCode::CONFLICT,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// The body of the reply. It is a static string, since malformed requests may arrive at full rate.
    pub(super) fn body(self) -> &'static str {
        match self {
            Self::UnknownPath => "no such path\n",
            Self::MissingTarget => "no path\n",
            Self::AmbiguousLength => "Transfer-Encoding beside Content-Length\n",
            Self::UnsupportedTransferEncoding => "a Transfer-Encoding other than chunked\n",
            Self::MalformedCustomer => "the customer is malformed\n",
            Self::MalformedCorrelationId => "X-Correlation-Id is missing or malformed\n",
            Self::MalformedHeader => "malformed\n",
            Self::UnknownContract => "X-Contract is missing or unknown\n",
            Self::MalformedTimeLeft => "X-Time-Left is missing or malformed\n",
            Self::MalformedMetering => "X-Metering is missing or malformed\n",
            Self::WrongMethod => "the method does not fit the class\n",
            Self::UnexpectedBody => "a GET carries no body\n",
            Self::MalformedIdempotencyKey => "Idempotency-Key is missing or malformed\n",
            Self::BodyTooLarge => "the body is too large\n",
            Self::UnreadableBody => "the body cannot be read\n",
            Self::BodyTimeout => "the body came too slowly\n",
            Self::OutOfMemory => "too much is open\n",
            Self::TooManyOpenRequests => "too many requests are open\n",
            Self::ShuttingDown => "ending\n",
            Self::DuplicateId => "a request with this id is open\n",
        }
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.body().trim_end())
    }
}

impl std::error::Error for RequestError {}

impl From<OutOfMemory> for RequestError {
    fn from(_: OutOfMemory) -> Self {
        Self::OutOfMemory
    }
}

impl From<BodyError> for RequestError {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLarge => Self::BodyTooLarge,
            BodyError::OutOfMemory(error) => error.into(),
            BodyError::Unreadable => Self::UnreadableBody,
        }
    }
}
