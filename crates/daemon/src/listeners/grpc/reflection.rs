//! `grpc.reflection.v1.ServerReflection`: describes the services to client tools.

use super::connection::OpenCall;
use super::reply::{self, Reply};
use super::unary::{frame_error, invalid_argument};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::Response;
use liftrouter_authz::messages::grpc::reflection::v1::ServerReflectionRequest;
use liftrouter_authz::{frame, reflect, Code, FrameError, Message, MessageDecoder, Status};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// The next request of a stream must arrive within this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_MESSAGE_BYTES: usize = 4 * 1024;
/// The maximum number of requests on one stream.
const MAX_REQUESTS: usize = 100;

/// Answers the requests of a stream in order.
pub(super) fn serve(body: Incoming, open_call: OpenCall) -> Response<Reply> {
    let (sender, messages) = mpsc::channel(1);
    tokio::task::spawn_local(async move {
        let _open_call = open_call;
        answer_requests(body, sender).await;
    });
    reply::stream(messages)
}

async fn answer_requests(mut body: Incoming, sender: mpsc::Sender<Result<Bytes, Status>>) {
    let mut decoder = MessageDecoder::new(MAX_MESSAGE_BYTES);
    for _ in 0..MAX_REQUESTS {
        let Some(request) = next_request(&mut body, &mut decoder).await else { return };
        let response = request.map(|request| frame(&reflect(request)));
        let is_last = response.is_err();
        if sender.send(response).await.is_err() || is_last {
            return;
        }
    }
    let _ = sender.send(Err(Status::new(Code::ResourceExhausted, "too many questions"))).await;
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
