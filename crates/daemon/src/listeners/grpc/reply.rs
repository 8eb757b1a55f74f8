//! gRPC replies: one message and its status, a status alone, or a stream of messages.

use super::connection::{OpenCall, UndeliveredReply};
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

/// The body of a reply.
pub(super) struct Reply {
    content: Content,
    /// Counts the reply, or the latest message of a stream, as undelivered until it is sent.
    undelivered: Option<UndeliveredReply>,
    /// Reports a disconnect if the reply is dropped before its message is sent.
    disconnect: Option<DisconnectGuard>,
}

impl Reply {
    /// Attaches a guard that reports a disconnect if the client leaves before the message is sent.
    pub(super) fn with_disconnect_guard(mut self, disconnect: Option<DisconnectGuard>) -> Reply {
        self.disconnect = disconnect;
        self
    }
}

enum Content {
    /// A message, then trailers.
    Unary {
        message: Option<Bytes>,
        trailers: Option<HeaderMap>,
    },
    Stream {
        messages: mpsc::Receiver<Result<StreamMessage, Status>>,
        ended: bool,
    },
}

/// A message of a stream.
pub(super) struct StreamMessage {
    bytes: Bytes,
    undelivered: UndeliveredReply,
}

impl StreamMessage {
    /// A framed message, which counts as undelivered from now on.
    pub(super) fn new(bytes: Bytes, open_call: &OpenCall) -> StreamMessage {
        StreamMessage { bytes, undelivered: open_call.track_reply() }
    }
}

/// The sending end of a stream of messages.
pub(super) type MessageSender = mpsc::Sender<Result<StreamMessage, Status>>;

impl Content {
    fn empty() -> Content {
        Content::Unary { message: None, trailers: None }
    }
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

fn grpc_response(content: Content, undelivered: Option<UndeliveredReply>) -> Response<Reply> {
    let mut response = Response::new(Reply { content, undelivered, disconnect: None });
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/grpc"));
    response
}

/// One message and status OK.
pub(super) fn message(message: &impl Message, undelivered: UndeliveredReply) -> Response<Reply> {
    let trailers = Some(trailers(&Status::new(Code::Ok, "")));
    grpc_response(Content::Unary { message: Some(frame(message)), trailers }, Some(undelivered))
}

/// A status alone. It is sent in the headers, which flow control does not delay.
pub(super) fn status(status: &Status) -> Response<Reply> {
    let mut response = grpc_response(Content::empty(), None);
    response.headers_mut().extend(trailers(status));
    if status.code == Code::Unimplemented {
        response.headers_mut().insert(ACCEPT_ENCODING, HeaderValue::from_static("identity"));
    }
    response
}

/// The reply to a request that is not gRPC: a plain HTTP status.
pub(super) fn http_status(status: StatusCode) -> Response<Reply> {
    let mut response =
        Response::new(Reply { content: Content::empty(), undelivered: None, disconnect: None });
    *response.status_mut() = status;
    response
}

/// A stream of messages, which ends with status OK when the channel is closed.
pub(super) fn stream(messages: mpsc::Receiver<Result<StreamMessage, Status>>) -> Response<Reply> {
    grpc_response(Content::Stream { messages, ended: false }, None)
}

impl Body for Reply {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let reply = &mut *self;
        Poll::Ready(match &mut reply.content {
            Content::Unary { message, trailers } => {
                if let Some(message) = message.take() {
                    return Poll::Ready(Some(Ok(Frame::data(message))));
                }
                // hyper polls again once the client's flow-control window has admitted the message.
                if let Some(disconnect) = reply.disconnect.take() {
                    disconnect.disarm();
                }
                trailers.take().map(|trailers| Ok(Frame::trailers(trailers)))
            }
            Content::Stream { ended: true, .. } => None,
            Content::Stream { messages, ended } => {
                // hyper polls again once the client's flow-control window has admitted the message before.
                reply.undelivered = None;
                match messages.poll_recv(context) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(Some(Ok(message))) => {
                        reply.undelivered = Some(message.undelivered);
                        Some(Ok(Frame::data(message.bytes)))
                    }
                    Poll::Ready(end) => {
                        *ended = true;
                        let status = end.and_then(Result::err).unwrap_or_else(|| Status::new(Code::Ok, ""));
                        Some(Ok(Frame::trailers(trailers(&status))))
                    }
                }
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        matches!(
            &self.content,
            Content::Unary { message: None, trailers: None } | Content::Stream { ended: true, .. }
        )
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
