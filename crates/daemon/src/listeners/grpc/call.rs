//! Dispatches a call to its method, and builds its reply.

use super::authorization::{self, Decision};
use super::connection::OpenCall;
use super::context::CallContext;
use super::reply::{self, Reply};
use super::{health, reflection};
use crate::memory::MemoryReservation;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_TYPE};
use hyper::{Method, Request, Response, StatusCode};
use liftrouter_authz::{Code, Status, AUTHORIZATION, HEALTH, REFLECTION};
use std::rc::Rc;
use tokio::time::Instant;

/// The earlier name of the reflection service, with the same messages. Tools that predate its first stable version use
/// it.
const REFLECTION_ALPHA: &str = "grpc.reflection.v1alpha.ServerReflection";

/// Answers a call. `memory` is what its head and task take; its message is added to it. The future is dropped if the
/// stream is reset or the connection ends. This cancels what the call waits for, and reports the disconnect to the host.
pub(super) async fn respond(
    context: &Rc<CallContext>,
    open_call: OpenCall,
    request: Request<Incoming>,
    memory: MemoryReservation,
) -> Response<Reply> {
    let received_at = Instant::now();
    let (head, body) = request.into_parts();
    if head.method != Method::POST {
        return reply::http_status(StatusCode::METHOD_NOT_ALLOWED);
    }
    if !is_grpc(&head.headers) {
        return reply::http_status(StatusCode::UNSUPPORTED_MEDIA_TYPE);
    }
    let (path, headers) = (head.uri.path(), &head.headers);
    let (service, method) = path.strip_prefix('/').and_then(|path| path.rsplit_once('/')).unwrap_or_default();
    let result = match (service, method) {
        (AUTHORIZATION, "Check") => {
            let decision = authorization::check(context, headers, body, memory, received_at).await;
            decision.map(|Decision { response, disconnect }| {
                let reply = reply::message(&response, open_call.track_reply());
                reply.map(|reply| reply.with_disconnect_guard(disconnect))
            })
        }
        (HEALTH, "Check") => {
            let response = health::check(context, headers, body, memory, received_at).await;
            response.map(|response| reply::message(&response, open_call.track_reply()))
        }
        (HEALTH, "Watch") => health::watch(context, headers, body, memory, received_at, open_call).await,
        (REFLECTION | REFLECTION_ALPHA, "ServerReflectionInfo") => {
            reflection::serve(context, body, memory, open_call)
        }
        _ => Err(Status::new(Code::Unimplemented, "no such method")),
    };
    result.unwrap_or_else(|status| reply::status(&status))
}

/// Whether the content type is gRPC. The specification "gRPC over HTTP/2" asks servers to answer any other with 415.
fn is_grpc(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE).map_or(&b""[..], HeaderValue::as_bytes);
    let suffix = content_type.strip_prefix(b"application/grpc");
    suffix.is_some_and(|suffix| suffix.is_empty() || suffix == b"+proto" || suffix.starts_with(b";"))
}
