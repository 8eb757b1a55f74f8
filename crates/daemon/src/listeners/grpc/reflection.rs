//! `grpc.reflection.v1.ServerReflection`: describes the services to client tools.

use super::connection::OpenCall;
use super::context::CallContext;
use super::reply::{self, MessageSender, Reply, StreamMessage};
use super::unary::{frame_error, invalid_argument, out_of_memory};
use crate::memory::{MemoryReservation, ReservedBuffer};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::Response;
use liftrouter_authz::messages::grpc::reflection::v1::ServerReflectionRequest;
use liftrouter_authz::{frame, reflect, Code, FrameError, Message, MessageDecoder, Status};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// The next request of a stream must arrive within this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_MESSAGE_BYTES: usize = 4 * 1024;
/// The maximum number of requests on one stream.
const MAX_REQUESTS: usize = 100;

/// Answers the requests of a stream in order. `memory` is the reservation of the call.
///
/// # Errors
/// The status for a call that there is no memory for.
pub(super) fn serve(
    context: &Rc<CallContext>,
    body: Incoming,
    mut memory: MemoryReservation,
    open_call: OpenCall,
) -> Result<Response<Reply>, Status> {
    memory.grow_by(MAX_MESSAGE_BYTES).map_err(out_of_memory)?;
    let (sender, messages) = mpsc::channel(1);
    let context = context.clone();
    tokio::task::spawn_local(async move {
        let _memory = memory;
        answer_requests(&context, body, &open_call, sender).await;
    });
    Ok(reply::stream(messages))
}

async fn answer_requests(
    context: &CallContext,
    mut body: Incoming,
    open_call: &OpenCall,
    sender: MessageSender,
) {
    let mut decoder = MessageDecoder::new(MAX_MESSAGE_BYTES);
    for _ in 0..MAX_REQUESTS {
        let Some(request) = next_request(&mut body, &mut decoder).await else { return };
        let response = request.and_then(|request| response(context, request, open_call));
        let is_last = response.is_err();
        if sender.send(response).await.is_err() || is_last {
            return;
        }
    }
    let _ = sender.send(Err(Status::new(Code::ResourceExhausted, "too many questions"))).await;
}

/// The response to a request, whose memory is charged until it is sent: a client may send many requests and read nothing.
///
/// # Errors
/// The status for a response that there is no memory for.
fn response(
    context: &CallContext,
    request: ServerReflectionRequest,
    open_call: &OpenCall,
) -> Result<StreamMessage, Status> {
    let response = frame(&reflect(request));
    let mut buffer = ReservedBuffer::new(context.admission.memory().reservation(), response.len());
    buffer.push(&response).map_err(out_of_memory)?;
    Ok(StreamMessage::new(buffer.freeze(), open_call))
}

/// Reads the next request, or returns the status that ends the stream; `None` if the client ended or reset it.
async fn next_request(
    body: &mut Incoming,
    decoder: &mut MessageDecoder,
) -> Option<Result<ServerReflectionRequest, Status>> {
    loop {
        match decoder.next_message() {
            Ok(Some(message)) => {
                let malformed = |error| invalid_argument(format!("the message is malformed: {error}"));
                return Some(ServerReflectionRequest::decode(message).map_err(malformed));
            }
            Ok(None) => {}
            Err(error) => return Some(Err(frame_error(error))),
        }
        match timeout(IDLE_TIMEOUT, body.frame()).await {
            Ok(Some(Ok(frame))) => decoder.push(frame.data_ref().map_or(&[][..], |data| data)),
            Ok(None) if decoder.is_empty() => return None,
            Ok(None) => return Some(Err(frame_error(FrameError::Truncated))),
            Ok(Some(Err(_))) => return None,
            Err(_) => return Some(Err(Status::new(Code::DeadlineExceeded, "no question came"))),
        }
    }
}
