//! Handles one request: validates the head, reads the body, submits the request, and builds the reply.

use super::check_request::build_check_request;
use super::connection::Connection;
use super::exchange::HEAD_TIMEOUT;
use super::head::{self, CheckedHead, REPEAT};
use super::rejection::RequestError;
use super::reply::{self, Reply};
use super::{body, HttpServer};
use crate::authorizer::AuthorizationRequest;
use crate::events::{ForwardedRequest, IncomingRequest, RequestKind};
use crate::upstream::headers::IDEMPOTENCY_KEY;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderName, CONTENT_TYPE};
use hyper::http::request::Parts;
use hyper::Request;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

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
        connection: &Connection,
        accepted_at: Option<Instant>,
    ) -> Result<Reply, RequestError> {
        let admission = &self.admission;
        let (head, body) = request.into_parts();
        let checked = head::check(&admission.settings, &head, &body)?;
        let size = body::reserved_size(&body)?;
        // Held until the request is answered, so that the bodies of all open requests stay within the memory limit.
        let _reservation = admission.reserve_body(size).ok_or(RequestError::BodyMemoryExhausted)?;
        let body_deadline = match accepted_at {
            Some(accepted_at) => accepted_at + HEAD_TIMEOUT,
            None => Instant::now() + BODY_TIMEOUT,
        };
        // A body that is still incomplete at the shutdown deadline could become complete just as the process exits.
        let body = admission.shutdown_deadline().limit(body::read(body, body_deadline)).await;
        let body = body.ok_or(RequestError::ShuttingDown)??;
        if admission.is_full() {
            return Err(RequestError::TooManyOpenRequests);
        }
        // The request is complete: from here on it is accepted and must get exactly one answer.
        let deadline = Instant::now() + checked.time_left.saturating_sub(DEADLINE_MARGIN);
        let deadline = admission.shutdown_deadline().cap(deadline).ok_or(RequestError::ShuttingDown)?;
        let open_id = admission.open_request_id(&checked.correlation_id);
        let _open_id = open_id.ok_or(RequestError::DuplicateId)?;
        let request = incoming_request(&head, checked, body, deadline)?;
        let build = || build_check_request(&head, size);
        let authorization = AuthorizationRequest { build: &build, via: &[], deadline };
        connection.awaiting_answer.set(true);
        let (answer, changes) = admission.answer(request, &authorization).await;
        connection.awaiting_answer.set(false);
        Ok(reply::from_answer(answer, &changes))
    }
}

fn incoming_request(
    head: &Parts,
    checked: CheckedHead,
    body: Bytes,
    deadline: Instant,
) -> Result<IncomingRequest, RequestError> {
    let target = head.uri.path_and_query().cloned().ok_or(RequestError::MissingTarget)?;
    let header = |name: HeaderName| head.headers.get(name).cloned();
    let forward = ForwardedRequest {
        method: head.method.clone(),
        target,
        correlation_id: checked.correlation_id,
        idempotency_key: header(IDEMPOTENCY_KEY),
        headers: header(CONTENT_TYPE).map(|value| (CONTENT_TYPE, value)).into_iter().collect(),
        body,
        deadline,
    };
    Ok(IncomingRequest {
        customer: checked.customer,
        plan: checked.plan,
        class: checked.class,
        units: checked.metering.units,
        reachable_instances: checked.metering.reachable_instances,
        is_retry: header(REPEAT).is_some_and(|value| value == "1"),
        kind: RequestKind::Forward(Rc::new(forward)),
    })
}
