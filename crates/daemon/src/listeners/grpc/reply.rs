//! Answers: one message and its status, a status alone, or a stream of messages.

use super::connection::Untaken;
use crate::events::DisconnectGuard;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE};
use hyper::{Response, StatusCode};
use liftrouter_authz::{frame, Code, Message, Status};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

const GRPC_STATUS: HeaderName = HeaderName::from_static("grpc-status");
const GRPC_MESSAGE: HeaderName = HeaderName::from_static("grpc-message");
const ACCEPT_ENCODING: HeaderName = HeaderName::from_static("grpc-accept-encoding");

/// What is sent of an answer beside its head.
pub struct Reply {
    parts: Parts,
    /// While it is not taken, its connection counts it.
    _untaken: Option<Untaken>,
    /// Told if it is dropped before its message was taken.
    gone: Option<DisconnectGuard>,
}

impl Reply {
    /// The same, but somebody is to know if its client leaves before it takes it.
    pub fn owed_to(mut self, gone: Option<DisconnectGuard>) -> Reply {
        self.gone = gone;
        self
    }
}

enum Parts {
    /// A message, then trailers.
    One {
        message: Option<Bytes>,
        trailers: Option<HeaderMap>,
    },
    Stream {
        messages: mpsc::Receiver<Result<Bytes, Status>>,
        ended: bool,
    },
}

fn trailers(status: &Status) -> HeaderMap {
    let mut trailers = HeaderMap::with_capacity(2);
    trailers.insert(GRPC_STATUS, HeaderValue::from(status.code as u16));
    if !status.message.is_empty() {
        if let Ok(message) = HeaderValue::try_from(status.encoded_message()) {
            trailers.insert(GRPC_MESSAGE, message);
        }
    }
    trailers
}

fn respond(parts: Parts, untaken: Option<Untaken>) -> Response<Reply> {
    let mut response = Response::new(Reply { parts, _untaken: untaken, gone: None });
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/grpc"));
    response
}

/// One message.
pub fn message(message: &impl Message, untaken: Untaken) -> Response<Reply> {
    let trailers = Some(trailers(&Status::new(Code::Ok, "")));
    respond(Parts::One { message: Some(frame(message)), trailers }, Some(untaken))
}

/// A status alone: in the head, which no window holds up.
pub fn status(status: &Status) -> Response<Reply> {
    let mut response = respond(Parts::One { message: None, trailers: None }, None);
    response.headers_mut().extend(trailers(status));
    if status.code == Code::Unimplemented {
        response.headers_mut().insert(ACCEPT_ENCODING, HeaderValue::from_static("identity"));
    }
    response
}

/// What is no gRPC is told so in plain HTTP.
pub fn plain(status: StatusCode) -> Response<Reply> {
    let parts = Parts::One { message: None, trailers: None };
    let mut response = Response::new(Reply { parts, _untaken: None, gone: None });
    *response.status_mut() = status;
    response
}

/// Messages as they come; the end of the channel is status OK.
pub fn stream(messages: mpsc::Receiver<Result<Bytes, Status>>) -> Response<Reply> {
    respond(Parts::Stream { messages, ended: false }, None)
}

impl Body for Reply {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let reply = &mut *self;
        Poll::Ready(match &mut reply.parts {
            Parts::One { message, trailers } => match message.take() {
                Some(message) => Some(Ok(Frame::data(message))),
                None => {
                    // hyper asks for more once the peer has opened a window for the message.
                    if let Some(gone) = reply.gone.take() {
                        gone.disarm();
                    }
                    trailers.take().map(|trailers| Ok(Frame::trailers(trailers)))
                }
            },
            Parts::Stream { ended: true, .. } => None,
            Parts::Stream { messages, ended } => match messages.poll_recv(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(message))) => Some(Ok(Frame::data(message))),
                Poll::Ready(end) => {
                    *ended = true;
                    let status = end.and_then(Result::err).unwrap_or_else(|| Status::new(Code::Ok, ""));
                    Some(Ok(Frame::trailers(trailers(&status))))
                }
            },
        })
    }

    fn is_end_stream(&self) -> bool {
        matches!(
            &self.parts,
            Parts::One { message: None, trailers: None } | Parts::Stream { ended: true, .. }
        )
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
