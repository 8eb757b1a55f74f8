//! The inbox: what every part of the daemon reports, and the host alone takes out.
//!
//! Fronts, peers and membership hold a handle and push; none of them knows the host. News are taken in the
//! order in which they were pushed. Everything runs on one thread, so there is no lock.

use crate::count::Count;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Response};
use liftrouter_authz::Denial;
use liftrouter_decision::{LoadReport, Outcome, RequestId, ServerEntry, ServerId};
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
    Refused(Refusal),
    /// No promise of its effect.
    Failed,
    /// The client may make its call itself; until it knows, it may still leave.
    Permitted(Gone),
    /// An authoriser denied it; nothing was sent.
    Denied(Denial),
}

/// A request that is declined before anything was done about it.
pub struct Refusal {
    /// The client should stay away for so many seconds; 0: no advice.
    pub retry_after: f64,
    pub cause: RefusalCause,
}

/// What operators and clients are told of the cause of a refusal.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// The quota, or the servers that have enough to do.
    Limit,
    /// The list of servers could not be confirmed in time.
    ListExpired,
}

impl Refusal {
    pub fn limit(retry_after: f64) -> Self {
        Refusal { retry_after, cause: RefusalCause::Limit }
    }

    /// One line for people.
    pub fn text(&self) -> &'static str {
        match self.cause {
            RefusalCause::Limit => "refused: trying again is harmless\n",
            RefusalCause::ListExpired => {
                "refused: the list of servers is out of date; trying again is harmless\n"
            }
        }
    }
}

/// What becomes of a request that is granted.
pub enum Call {
    /// It goes on to a server.
    Forward(Rc<Forward>),
    /// Its client makes it, and counts as having it out until then at most.
    Permission {
        /// When the call is over at the latest.
        due: Instant,
    },
}

/// A client's request as the module needs it, and what goes on to a server.
pub struct Arrival {
    pub customer: String,
    pub plan: String,
    pub class: String,
    pub units: f64,
    pub width: u32,
    pub repeat: bool,
    pub call: Call,
}

/// The part of a client's request that goes on unchanged.
pub struct Forward {
    pub method: Method,
    pub target: PathAndQuery,
    pub correlation_id: HeaderValue,
    pub idempotency_key: Option<HeaderValue>,
    /// Headers of the client's that go on, and what an authoriser made of them.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// When the answer has to be written.
    pub due: Instant,
}

/// How an attempt ended, as the module is told, and the answer where it was served.
pub struct Ended {
    pub outcome: Outcome,
    pub units: Option<f64>,
    pub report: LoadReport,
    pub answer: Option<Response<Bytes>>,
}

impl Ended {
    pub fn of(outcome: Outcome) -> Self {
        Ended { outcome, units: None, report: LoadReport::default(), answer: None }
    }
}

/// A server in the list: what the module is to know, and where it listens.
#[derive(Clone)]
pub struct Listed {
    pub entry: ServerEntry,
    pub address: SocketAddr,
}

/// What happened.
pub enum News {
    /// A request whose last byte has come, and where its one answer goes.
    Asked(RequestId, Arrival, Reply),
    /// The client closed its connection before it was answered.
    ClientGone(RequestId),
    /// An attempt has ended, and with it its use of a connection unless that can serve again.
    AttemptEnded(RequestId, u32, Ended),
    /// The answer to a call of the keeper.
    Counted { name: String, outcome: Outcome, total: f64, took: Duration },
    /// What to make of the keeper's totals from now on: the share of each quota that they may divide, by who knew
    /// that the process had stood still so often.
    KeeperView { share: f64, wakes: u32 },
    /// The answer to a probe.
    Probed(ServerId, Outcome, LoadReport),
    /// The whole list of servers, or what changed in it; with the number of its version, if requests are to
    /// carry that on.
    Listed { whole: bool, servers: Vec<Listed>, version: Option<u64> },
    /// The list can no longer be followed.
    ListBroken,
    /// The list could not be confirmed in time; nothing new is sent by it until it is.
    ListExpired,
    /// The list has been confirmed again.
    ListConfirmed,
    /// The process ends before long: what is not answered yet is answered now.
    LastCall,
}

/// Where the one answer to a request goes; until then it is owed.
pub struct Reply {
    sender: oneshot::Sender<Answer>,
    _owed: Count<Rc<Cell<usize>>>,
}

impl Reply {
    /// Its client may have gone.
    pub fn send(self, answer: Answer) {
        let _ = self.sender.send(answer);
    }
}

/// The inbox, shared by handle.
#[derive(Default)]
pub struct Inbox {
    news: RefCell<VecDeque<News>>,
    some: Notify,
    last_id: Cell<RequestId>,
    open: Cell<usize>,
    owed: Rc<Cell<usize>>,
}

impl Inbox {
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    pub fn push(&self, news: News) {
        self.news.borrow_mut().push_back(news);
        self.some.notify_one();
    }

    /// Puts a request in; the receiver gets its one answer.
    pub fn ask(&self, arrival: Arrival) -> (RequestId, oneshot::Receiver<Answer>) {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        self.open.set(self.open.get() + 1);
        let (sender, answer) = oneshot::channel();
        self.push(News::Asked(id, arrival, Reply { sender, _owed: Count::new(self.owed.clone()) }));
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
    pub fn closed(&self) {
        self.open.set(self.open.get().saturating_sub(1));
    }

    /// For the host: the oldest news.
    pub fn take(&self) -> Option<News> {
        self.news.borrow_mut().pop_front()
    }

    /// For the host: waits until there may be news.
    pub async fn some(&self) {
        self.some.notified().await;
    }
}

/// Reports that a client left, unless it got its answer.
pub struct Gone {
    pub inbox: Rc<Inbox>,
    pub id: Option<RequestId>,
}

impl Gone {
    pub fn answered(mut self) {
        self.id = None;
    }
}

impl Drop for Gone {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.inbox.push(News::ClientGone(id));
        }
    }
}
