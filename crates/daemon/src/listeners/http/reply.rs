//! Builds HTTP replies to clients.

use super::rejection::RequestError;
use crate::events::{Answer, Rejection, RejectionCause};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Method, Response, StatusCode};
use liftrouter_authz::{Denial, HeaderChanges};

pub(super) type Reply = Response<Full<Bytes>>;

/// Announces that the connection closes after this reply.
pub(super) fn close_connection(reply: &mut Reply) {
    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// The reply to a request that was not admitted.
pub(super) fn not_admitted(error: RequestError) -> Reply {
    let mut reply = immediate(error.status(), error.body());
    if error == RequestError::OutOfMemory {
        // The rest of the body is not read: without a lingering close the client could lose the reply.
        close_connection(&mut reply);
    }
    reply
}

/// The reply to `/up`, the readiness check.
pub(super) fn readiness(method: &Method, is_ready: bool) -> Reply {
    match (method, is_ready) {
        (&Method::GET, true) => immediate(StatusCode::OK, "up\n"),
        (&Method::GET, false) => immediate(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        _ => immediate(StatusCode::METHOD_NOT_ALLOWED, "only GET\n"),
    }
}

/// The reply for the host's answer. `changes` are the authorizer's header changes, which apply only to a served answer.
pub(super) fn from_answer(answer: Answer, changes: &HeaderChanges) -> Reply {
    match answer {
        Answer::Served(answer) => served(answer, changes),
        Answer::Rejected(rejection) => rejected(&rejection),
        Answer::Denied(denial) => denied(denial),
        // A forwarded request is never answered with an authorization.
        Answer::Failed | Answer::Authorized(_) => plain(StatusCode::BAD_GATEWAY, "failed\n"),
    }
}

/// A reply to a request that may not have been read completely. After an error the connection is closed, so that the
/// unread rest is not parsed as the next request.
fn immediate(status: StatusCode, body: &'static str) -> Reply {
    let mut reply = plain(status, body);
    if status != StatusCode::OK && status != StatusCode::SERVICE_UNAVAILABLE {
        close_connection(&mut reply);
    }
    reply
}

fn served(answer: Response<Bytes>, changes: &HeaderChanges) -> Reply {
    let (head, body) = answer.into_parts();
    let mut reply = Response::new(Full::new(body));
    if let Some(content_type) = head.headers.get(CONTENT_TYPE) {
        reply.headers_mut().insert(CONTENT_TYPE, content_type.clone());
    }
    changes.apply_to_response(reply.headers_mut(), &[RETRY_AFTER]);
    reply
}

fn rejected(rejection: &Rejection) -> Reply {
    let status = match rejection.cause {
        RejectionCause::Limit | RejectionCause::EndpointListExpired => StatusCode::TOO_MANY_REQUESTS,
        RejectionCause::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut reply = plain(status, rejection.body());
    if rejection.retry_after_s > 0.0 {
        if let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", rejection.retry_after_s)) {
            reply.headers_mut().insert(RETRY_AFTER, seconds);
        }
    }
    reply
}

/// The reply for a denial, as the authorizer specified it. `Denial` contains no hop-by-hop headers, so all are copied.
fn denied(denial: Denial) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(denial.body)));
    *reply.status_mut() = StatusCode::from_u16(denial.status).unwrap_or(StatusCode::FORBIDDEN);
    for (name, value) in denial.headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value)) {
            reply.headers_mut().append(name, value);
        }
    }
    reply
}

fn plain(status: StatusCode, body: &'static str) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from_static(body.as_bytes())));
    *reply.status_mut() = status;
    reply
}
