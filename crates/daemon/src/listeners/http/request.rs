//! Handles one request: validates the head, reads the body, submits the request, and builds the reply.

use super::check_request::build_check_request;
use super::connection::Connection;
use super::exchange::HEAD_TIMEOUT;
use super::head::{self, CheckedHead, REPEAT};
use super::rejection::RequestError;
use super::reply::{self, Reply};
use super::HttpServer;
use crate::authorizer::AuthorizationRequest;
use crate::body;
use crate::events::{ForwardedRequest, IncomingRequest, OpenRequestId, RequestKind};
use crate::listeners::fields::memory_of_headers;
use crate::memory::MemoryReservation;
use crate::upstream::headers::IDEMPOTENCY_KEY;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// An answer is due this much before the client's deadline, because the reply still has to reach the client, and the
/// client's timer started before the request arrived here.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);
/// The body of a request must be complete within this time after its head. For the first request of a connection,
/// [`HEAD_TIMEOUT`] covers the body too.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

impl HttpServer {
    /// Handles a request up to its reply.
    ///
    /// # Errors
    /// The request is malformed, arrived too slowly, or exceeds a limit. It was not submitted to the host.
    pub(super) async fn handle(
        &self,
        request: Request<Incoming>,
        mut head_memory: MemoryReservation,
        connection: &Connection,
        accepted_at: Option<Instant>,
    ) -> Result<Reply, RequestError> {
        let admission = &self.admission;
        let (head, body) = request.into_parts();
        let checked = head::check(&admission.settings, &head, &body)?;
        let forwarded = ForwardedHead::copy(&head)?;
        // Its many small allocations are freed before the body is awaited, unless an authorizer needs them.
        let head = admission.needs_authorization(&checked.class).then_some(head);
        if let Some(head) = &head {
            head_memory.grow_by(memory_of_headers(&head.headers))?;
        }
        let body_deadline = match accepted_at {
            Some(accepted_at) => accepted_at + HEAD_TIMEOUT,
            None => Instant::now() + BODY_TIMEOUT,
        };
        // A body that is still incomplete at the shutdown deadline could become complete just as the process exits.
        let body = timeout_at(body_deadline, body::read(body, admission.memory()));
        let body = admission.shutdown_deadline().limit(body).await.ok_or(RequestError::ShuttingDown)?;
        let body = body.map_err(|_| RequestError::BodyTimeout)??;
        if admission.is_full() {
            return Err(RequestError::TooManyOpenRequests);
        }
        // The request is complete: from here on it is accepted and must get exactly one answer.
        let deadline = Instant::now() + checked.time_left.saturating_sub(DEADLINE_MARGIN);
        let deadline = admission.shutdown_deadline().cap(deadline).ok_or(RequestError::ShuttingDown)?;
        let open_id = admission.open_request_id(&checked.correlation_id);
        let open_id = open_id.ok_or(RequestError::DuplicateId)?;
        let body_size = body.len();
        let request = incoming_request(forwarded, checked, body, deadline, open_id);
        let build = || head.as_ref().map(|head| build_check_request(head, body_size)).unwrap_or_default();
        let authorization = AuthorizationRequest { build: &build, via: &[], deadline };
        connection.awaiting_answer.set(true);
        let (answer, changes) = admission.answer(request, &authorization).await;
        connection.awaiting_answer.set(false);
        Ok(reply::from_answer(answer, &changes))
    }
}

/// The fields of a head that are forwarded. They are copies: a part of the head would keep all of it in memory.
struct ForwardedHead {
    method: Method,
    target: PathAndQuery,
    idempotency_key: Option<HeaderValue>,
    content_type: Option<HeaderValue>,
    is_retry: bool,
}

impl ForwardedHead {
    fn copy(head: &Parts) -> Result<ForwardedHead, RequestError> {
        let target = head.uri.path_and_query().ok_or(RequestError::MissingTarget)?;
        let copy = |name: HeaderName| head.headers.get(name).map(copy_value).transpose();
        Ok(ForwardedHead {
            method: head.method.clone(),
            target: target.as_str().parse().map_err(|_| RequestError::MissingTarget)?,
            idempotency_key: copy(IDEMPOTENCY_KEY)?,
            content_type: copy(CONTENT_TYPE)?,
            is_retry: head.headers.get(REPEAT).is_some_and(|value| value == "1"),
        })
    }
}

fn copy_value(value: &HeaderValue) -> Result<HeaderValue, RequestError> {
    HeaderValue::from_bytes(value.as_bytes()).map_err(|_| RequestError::MalformedHeader)
}

fn incoming_request(
    head: ForwardedHead,
    checked: CheckedHead,
    body: Bytes,
    deadline: Instant,
    open_id: OpenRequestId,
) -> IncomingRequest {
    let forward = ForwardedRequest {
        method: head.method,
        target: head.target,
        correlation_id: checked.correlation_id,
        idempotency_key: head.idempotency_key,
        headers: head.content_type.map(|value| (CONTENT_TYPE, value)).into_iter().collect(),
        body,
        deadline,
    };
    IncomingRequest {
        customer: checked.customer,
        plan: checked.plan,
        class: checked.class,
        units: checked.metering.units,
        reachable_instances: checked.metering.reachable_instances,
        is_retry: head.is_retry,
        kind: RequestKind::Forward(Rc::new(forward)),
        open_id,
    }
}
