//! `grpc.health.v1.Health`: reports the state of the limiter, once or as a stream of changes.

use super::connection::OpenCall;
use super::context::CallContext;
use super::reply::{self, MessageSender, Reply, StreamMessage};
use super::unary::{parse_deadline, read_message};
use crate::memory::MemoryReservation;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::Response;
use liftrouter_authz::messages::grpc::health::v1::health_check_response::ServingStatus;
use liftrouter_authz::messages::grpc::health::v1::{HealthCheckRequest, HealthCheckResponse};
use liftrouter_authz::{frame, Code, Status, SERVICES};
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// `Check`: returns the current state.
///
/// # Errors
/// The status for a malformed call or an unknown service.
pub(super) async fn check(
    context: &CallContext,
    headers: &HeaderMap,
    body: Incoming,
    memory: MemoryReservation,
    received_at: Instant,
) -> Result<HealthCheckResponse, Status> {
    let deadline = parse_deadline(headers, received_at)?;
    let (request, _memory) =
        read_message::<HealthCheckRequest>(context, headers, body, memory, deadline).await?;
    match serving_status(context, &request.service) {
        ServingStatus::ServiceUnknown => Err(Status::new(Code::NotFound, "no such service")),
        status => Ok(response(status)),
    }
}

/// `Watch`: streams the current state and each change, until the client disconnects or its connection is closed with
/// GOAWAY.
///
/// # Errors
/// The status for a malformed call.
pub(super) async fn watch(
    context: &Rc<CallContext>,
    headers: &HeaderMap,
    body: Incoming,
    memory: MemoryReservation,
    received_at: Instant,
    open_call: OpenCall,
) -> Result<Response<Reply>, Status> {
    let deadline = parse_deadline(headers, received_at)?;
    let (request, memory) =
        read_message::<HealthCheckRequest>(context, headers, body, memory, deadline).await?;
    let (sender, messages) = mpsc::channel(1);
    let context = context.clone();
    tokio::task::spawn_local(async move {
        let _memory = memory;
        send_changes(context, request.service, open_call, sender).await;
    });
    Ok(reply::stream(messages))
}

async fn send_changes(context: Rc<CallContext>, service: String, open_call: OpenCall, sender: MessageSender) {
    let mut serving = context.serving.subscribe();
    let mut last_sent = None;
    loop {
        serving.mark_unchanged();
        let status = serving_status(&context, &service);
        if last_sent.replace(status) != Some(status)
            && sender.send(Ok(StreamMessage::new(frame(&response(status)), &open_call))).await.is_err()
        {
            return;
        }
        if open_call.is_going_away() {
            let end = Status::new(Code::Unavailable, "the connection is being closed");
            let _ = sender.send(Err(end)).await;
            return;
        }
        tokio::select! {
            _ = serving.changed() => {}
            () = open_call.going_away() => {}
            () = sender.closed() => return,
        }
    }
}

fn serving_status(context: &CallContext, service: &str) -> ServingStatus {
    let is_known = service.is_empty() || SERVICES.contains(&service);
    match (is_known, *context.serving.borrow()) {
        (true, true) => ServingStatus::Serving,
        (true, false) => ServingStatus::NotServing,
        (false, _) => ServingStatus::ServiceUnknown,
    }
}

fn response(status: ServingStatus) -> HealthCheckResponse {
    HealthCheckResponse { status: status.into() }
}
