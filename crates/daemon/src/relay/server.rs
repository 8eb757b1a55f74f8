//! The relay's side of discovery's protocol: watches of the list over HTTP/1.1.

use super::children::{ChildId, Children};
use crate::listeners::accept;
use crate::log;
use bytes::Bytes;
use http_body_util::{Either, Empty};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use liftrouter_catalog::Subscription;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Receiver;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// The most children of one relay: 7,100 limiters over 16 relays are 444, and half of the relays may be lost.
const MOST_CHILDREN: usize = 2_000;
/// A child that is refused may come again after so many seconds.
const RETRY_AFTER_SECONDS: HeaderValue = HeaderValue::from_static("1");

type Shared = Rc<RefCell<Children>>;

/// Accepts children for as long as it is polled.
pub async fn accept(listener: TcpListener, children: Shared) {
    let closed = Notify::new();
    let take = |stream: TcpStream| {
        spawn_local(connection(stream, children.clone()));
    };
    accept::accept(listener, "relay", &closed, || false, take).await;
}

async fn connection(stream: TcpStream, children: Shared) {
    // Small messages are to go out at once.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let children = children.clone();
        async move { Ok::<_, Infallible>(answer(&request, &children)) }
    });
    let served = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = served.await {
        if !error.is_canceled() && !error.is_incomplete_message() {
            log("relay", format_args!("a child's connection ended: {error}"));
        }
    }
}

type Answer = Response<Either<Watch, Empty<Bytes>>>;

fn answer(request: &Request<Incoming>, children: &Shared) -> Answer {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/discovery/hosts") => watch(request.uri().query().unwrap_or(""), children),
        (&Method::GET, "/up") if children.borrow().is_fresh() => empty(StatusCode::OK),
        (&Method::GET, "/up") => empty(StatusCode::SERVICE_UNAVAILABLE),
        _ => empty(StatusCode::NOT_FOUND),
    }
}

fn empty(status: StatusCode) -> Answer {
    let mut answer = Response::new(Either::Right(Empty::new()));
    *answer.status_mut() = status;
    answer
}

fn watch(query: &str, children: &Shared) -> Answer {
    let Ok(wanted) = Wanted::parse(query) else { return empty(StatusCode::BAD_REQUEST) };
    let mut table = children.borrow_mut();
    let full = table.len() >= MOST_CHILDREN;
    let subscribed = (!full).then(|| table.subscribe(wanted.subscription, wanted.after));
    let Some(Ok((id, messages))) = subscribed else {
        let mut answer = empty(StatusCode::SERVICE_UNAVAILABLE);
        answer.headers_mut().insert(RETRY_AFTER, RETRY_AFTER_SECONDS);
        return answer;
    };
    let stream = Watch { id, messages, children: children.clone() };
    let mut answer = Response::new(Either::Left(stream));
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

/// What a child asks for.
struct Wanted {
    subscription: Subscription,
    after: Option<u64>,
}

impl Wanted {
    fn parse(query: &str) -> Result<Wanted, std::num::ParseIntError> {
        let mut services = BTreeSet::new();
        let mut after = None;
        for (key, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
            match key {
                "after" => after = Some(value.parse()?),
                "service" => drop(services.insert(value.to_string())),
                _ => {}
            }
        }
        let subscription =
            if services.is_empty() { Subscription::All } else { Subscription::Services(services) };
        Ok(Wanted { subscription, after })
    }
}

/// The body of a watch; the child is forgotten when it is dropped.
struct Watch {
    id: ChildId,
    messages: Receiver<Bytes>,
    children: Shared,
}

impl Body for Watch {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.messages.poll_recv(context).map(|message| message.map(|bytes| Ok(Frame::data(bytes))))
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.children.borrow_mut().unsubscribe(self.id);
    }
}
