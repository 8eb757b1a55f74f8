//! The event queue: every part of the daemon reports what happened here, and only the host takes events out.
//!
//! Listeners, upstream connections and discovery hold a handle and push; none of them knows the host. Events are
//! taken in the order in which they were pushed. Everything runs on one thread, so there is no lock.

use crate::count::Count;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Response};
use liftrouter_authz::Denial;
use liftrouter_decision::{EndpointEntry, EndpointId, LoadReport, Outcome, RequestId};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;

/// The one final answer to a request.
pub enum Answer {
    /// A server's answer, whole.
    Served(Response<Bytes>),
    /// Trying again is harmless.
    Rejected(Rejection),
    /// No promise of its effect.
    Failed,
    /// The client may make its call itself; until it knows, it may still leave.
    Authorized(DisconnectGuard),
    /// An authoriser denied it; nothing was sent.
    Denied(Denial),
}

/// A rejected request: it was not forwarded, so a retry is harmless.
pub struct Rejection {
    /// The client should stay away for so many seconds; 0: no advice.
    pub retry_after: f64,
    pub cause: RejectionCause,
}

/// The cause of a rejection, as operators and clients are told.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum RejectionCause {
    /// The quota, or the servers that have enough to do.
    Limit,
    /// The list of servers could not be confirmed in time.
    EndpointListExpired,
}

impl Rejection {
    pub fn limit(retry_after: f64) -> Self {
        Rejection { retry_after, cause: RejectionCause::Limit }
    }

    /// One line for people.
    pub fn text(&self) -> &'static str {
        match self.cause {
            RejectionCause::Limit => "refused: trying again is harmless\n",
            RejectionCause::EndpointListExpired => {
                "refused: the list of servers is out of date; trying again is harmless\n"
            }
        }
    }
}

/// What becomes of a request that is granted.
pub enum RequestKind {
    /// It goes on to a server.
    Forward(Rc<ForwardedRequest>),
    /// Its client makes it, and counts as having it out until then at most.
    Authorization {
        /// When the call is over at the latest.
        deadline: Instant,
    },
}

/// A client's request as the module needs it, and what goes on to a server.
pub struct IncomingRequest {
    pub customer: String,
    pub plan: String,
    pub class: String,
    pub units: f64,
    pub reachable_instances: u32,
    pub is_retry: bool,
    pub kind: RequestKind,
}

/// The part of a client's request that goes on unchanged.
pub struct ForwardedRequest {
    pub method: Method,
    pub target: PathAndQuery,
    pub correlation_id: HeaderValue,
    pub idempotency_key: Option<HeaderValue>,
    /// Headers of the client's that go on, and what an authoriser made of them.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// When the answer has to be written.
    pub deadline: Instant,
}

/// How an attempt ended, as the module is told, and the answer where it was served.
pub struct AttemptResult {
    pub outcome: Outcome,
    pub units: Option<f64>,
    pub report: LoadReport,
    pub answer: Option<Response<Bytes>>,
}

impl AttemptResult {
    pub fn of(outcome: Outcome) -> Self {
        AttemptResult { outcome, units: None, report: LoadReport::default(), answer: None }
    }
}

/// A server in the list: what the module is to know, and where it listens.
#[derive(Clone)]
pub struct ListedEndpoint {
    pub entry: EndpointEntry,
    pub address: SocketAddr,
}

/// What happened.
pub enum HostEvent {
    /// A request whose last byte has come, and where its one answer goes.
    RequestReceived(RequestId, IncomingRequest, ReplySender),
    /// The client closed its connection before it was answered.
    ClientDisconnected(RequestId),
    /// An attempt has ended, and with it its use of a connection unless that can serve again.
    AttemptEnded(RequestId, u32, AttemptResult),
    /// The answer to a call of the keeper.
    CounterReply { key: String, outcome: Outcome, total: f64, elapsed: Duration },
    /// What to make of the keeper's totals from now on: the share of each quota that they may divide, by who knew
    /// that the process had stood still so often.
    CounterValidity { usable_quota_ratio: f64, pauses: u32 },
    /// The answer to a probe.
    HealthChecked(EndpointId, Outcome, LoadReport),
    /// The whole list of servers, or what changed in it; with the number of its version, if requests are to
    /// carry that on.
    EndpointUpdate { whole: bool, endpoints: Vec<ListedEndpoint>, version: Option<u64> },
    /// The list can no longer be followed.
    WatchFailed,
    /// The list could not be confirmed in time; nothing new is sent by it until it is.
    EndpointListExpired,
    /// The list has been confirmed again.
    EndpointListConfirmed,
    /// The process ends before long: what is not answered yet is answered now.
    ShutdownDeadline,
}

/// Where the one answer to a request goes; until then it is owed.
pub struct ReplySender {
    sender: oneshot::Sender<Answer>,
    _owed: Count<Rc<Cell<usize>>>,
}

impl ReplySender {
    /// Its client may have gone.
    pub fn send(self, answer: Answer) {
        let _ = self.sender.send(answer);
    }
}

/// The queue, shared by handle.
#[derive(Default)]
pub struct EventQueue {
    events: RefCell<VecDeque<HostEvent>>,
    pushed: Notify,
    last_id: Cell<RequestId>,
    open: Cell<usize>,
    owed: Rc<Cell<usize>>,
}

impl EventQueue {
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    pub fn push(&self, event: HostEvent) {
        self.events.borrow_mut().push_back(event);
        self.pushed.notify_one();
    }

    /// Puts a request in; the receiver gets its one answer.
    pub fn submit(&self, request: IncomingRequest) -> (RequestId, oneshot::Receiver<Answer>) {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        self.open.set(self.open.get() + 1);
        let (sender, answer) = oneshot::channel();
        self.push(HostEvent::RequestReceived(
            id,
            request,
            ReplySender { sender, _owed: Count::new(self.owed.clone()) },
        ));
        (id, answer)
    }

    /// Requests that were asked and are not over yet.
    pub fn open_requests(&self) -> usize {
        self.open.get()
    }

    /// Requests that no answer has been given to.
    pub fn owed(&self) -> usize {
        self.owed.get()
    }

    /// For the host: a request is over.
    pub fn request_closed(&self) {
        self.open.set(self.open.get().saturating_sub(1));
    }

    /// For the host: the oldest event.
    pub fn pop(&self) -> Option<HostEvent> {
        self.events.borrow_mut().pop_front()
    }

    /// For the host: waits until there may be an event.
    pub async fn wait(&self) {
        self.pushed.notified().await;
    }
}

/// Reports that a client disconnected when it is dropped, unless the client got its answer.
pub struct DisconnectGuard {
    pub events: Rc<EventQueue>,
    pub id: Option<RequestId>,
}

impl DisconnectGuard {
    pub fn disarm(mut self) {
        self.id = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.events.push(HostEvent::ClientDisconnected(id));
        }
    }
}
