//! The server side of the discovery protocol: watches of the endpoint list over HTTP/1.1.

use super::subscribers::{SubscriberId, SubscriberTable};
use crate::discovery::watch_request::{WatchRequest, WATCH_PATH};
use crate::listeners::accept;
use crate::log;
use bytes::Bytes;
use http_body_util::{Either, Empty};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Receiver;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// The most subscribers of one relay. 7,100 limiters over 16 relays are 444 each, and half of the relays may fail.
const MAX_SUBSCRIBERS: usize = 2_000;
/// The `Retry-After` header of a rejected watch request, in seconds.
const RETRY_AFTER_SECONDS: HeaderValue = HeaderValue::from_static("1");

type SharedSubscribers = Rc<RefCell<SubscriberTable>>;

/// Accepts connections of subscribers for as long as the future is polled.
pub async fn accept(listener: TcpListener, subscribers: SharedSubscribers) {
    let closed = Notify::new();
    let serve = |stream: TcpStream| {
        spawn_local(serve_connection(stream, subscribers.clone()));
    };
    accept::accept(&listener, "relay", &closed, || false, serve).await;
}

async fn serve_connection(stream: TcpStream, subscribers: SharedSubscribers) {
    // Heartbeats and small updates are sent without waiting for more data.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let subscribers = subscribers.clone();
        async move { Ok::<_, Infallible>(respond(&request, &subscribers)) }
    });
    let served = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = served.await {
        if !error.is_canceled() && !error.is_incomplete_message() {
            log("relay", format_args!("a subscriber's connection failed: {error}"));
        }
    }
}

type WatchResponse = Response<Either<WatchBody, Empty<Bytes>>>;

fn respond(request: &Request<Incoming>, subscribers: &SharedSubscribers) -> WatchResponse {
    match (request.method(), request.uri().path()) {
        (&Method::GET, WATCH_PATH) => open_watch(request.uri().query().unwrap_or(""), subscribers),
        (&Method::GET, "/up") if subscribers.borrow().is_fresh() => empty(StatusCode::OK),
        (&Method::GET, "/up") => empty(StatusCode::SERVICE_UNAVAILABLE),
        _ => empty(StatusCode::NOT_FOUND),
    }
}

fn empty(status: StatusCode) -> WatchResponse {
    let mut response = Response::new(Either::Right(Empty::new()));
    *response.status_mut() = status;
    response
}

fn open_watch(query: &str, subscribers: &SharedSubscribers) -> WatchResponse {
    let Ok(request) = WatchRequest::parse_query(query) else { return empty(StatusCode::BAD_REQUEST) };
    let mut table = subscribers.borrow_mut();
    let is_full = table.len() >= MAX_SUBSCRIBERS;
    let subscribed = (!is_full).then(|| table.subscribe(request.subscription, request.after));
    let Some(Ok((id, messages))) = subscribed else {
        let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
        response.headers_mut().insert(RETRY_AFTER, RETRY_AFTER_SECONDS);
        return response;
    };
    let body = WatchBody { id, messages, subscribers: subscribers.clone() };
    let mut response = Response::new(Either::Left(body));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// The response body of a watch. Dropping it removes the subscriber.
struct WatchBody {
    id: SubscriberId,
    messages: Receiver<Bytes>,
    subscribers: SharedSubscribers,
}

impl Body for WatchBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.messages.poll_recv(context).map(|message| message.map(|bytes| Ok(Frame::data(bytes))))
    }
}

impl Drop for WatchBody {
    fn drop(&mut self) {
        self.subscribers.borrow_mut().unsubscribe(self.id);
    }
}
