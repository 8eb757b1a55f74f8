//! One call to discovery, and the watch that it becomes.

use super::messages::{Sign, Splitter};
use crate::upstream::connection::HttpConnection;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HOST, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use liftrouter_catalog::{ApplyError, Subscription, Update};
use liftrouter_discovery::{CallFailure, CallId};
use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{timeout, timeout_at, Instant};

/// Why a call came to nothing, or a watch ended.
#[derive(Debug)]
pub enum WatchError {
    /// The connection did not come up.
    Connect(std::io::Error),
    /// No head of an answer in time.
    NoAnswer,
    /// The connection broke before the head of the answer.
    BrokeBeforeAnswer,
    /// The answer was no success.
    Status { status: StatusCode, retry_after: Option<Duration> },
    /// Nothing came behind the head in time.
    SilentFromHead,
    /// The answer ended.
    Ended,
    /// The connection broke.
    Broke(hyper::Error),
    /// What came is no list.
    Unreadable(String),
    /// What came does not fit the list at hand.
    List(ApplyError),
}

impl WatchError {
    /// The same as the schedule of calls knows it.
    pub fn failure(&self) -> CallFailure {
        match self {
            WatchError::Status { retry_after, .. } => CallFailure::Refused { retry_after: *retry_after },
            _ => CallFailure::Failed,
        }
    }
}

impl fmt::Display for WatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WatchError::Connect(e) => write!(f, "no connection: {e}"),
            WatchError::NoAnswer => f.write_str("no answer"),
            WatchError::BrokeBeforeAnswer => f.write_str("the watch broke before its answer"),
            WatchError::Status { status, retry_after: None } => write!(f, "the watch was answered {status}"),
            WatchError::Status { status, retry_after: Some(after) } => {
                write!(f, "the watch was answered {status}, retry after {} s", after.as_secs_f64())
            }
            WatchError::SilentFromHead => f.write_str("the watch was silent from its head on"),
            WatchError::Ended => f.write_str("the watch ended"),
            WatchError::Broke(e) => write!(f, "the watch broke: {e}"),
            WatchError::Unreadable(why) => f.write_str(why),
            WatchError::List(why) => why.fmt(f),
        }
    }
}

/// A watch that has given a sign of life.
pub struct Watch {
    link: HttpConnection,
    body: Incoming,
    splitter: Splitter,
    received: Rc<Cell<u64>>,
}

impl Watch {
    /// Waits for the next sign of life: an update, or none where it only tells that nothing changed.
    pub async fn next(&mut self) -> Result<Option<Update>, WatchError> {
        loop {
            if let Some(sign) = self.splitter.next_sign().map_err(WatchError::Unreadable)? {
                return match sign {
                    Sign::EmptyLine => Ok(None),
                    Sign::Message(text) => serde_json::from_slice(&text)
                        .map(Some)
                        .map_err(|e| WatchError::Unreadable(format!("a message cannot be read: {e}"))),
                };
            }
            let frame = self.link.drive(self.body.frame()).await;
            let frame = frame.ok_or(WatchError::Ended)?.map_err(WatchError::Broke)?;
            let data = frame.data_ref().map_or(&[][..], |data| data);
            self.received.set(self.received.get() + data.len() as u64);
            self.splitter.push(data);
        }
    }
}

/// A call to be made.
pub struct Call {
    pub id: CallId,
    pub address: SocketAddr,
    /// What is followed.
    pub subscription: Subscription,
    /// The revision of the list at hand.
    pub after: Option<u64>,
    /// How long the head of the answer may take.
    pub timeout: Duration,
    /// The longest message that is read, in bytes.
    pub longest_message: usize,
    /// How long its first message may take behind the head.
    pub silence: Duration,
    /// Counts the connection.
    pub open: Rc<Cell<usize>>,
    /// Counts the bytes of bodies.
    pub received: Rc<Cell<u64>>,
    /// Is told when the head of a good answer has come.
    pub answered: UnboundedSender<CallId>,
}

impl Call {
    /// Opens a watch and waits for its first sign of life.
    pub async fn run(self) -> (CallId, Result<(Watch, Option<Update>), WatchError>) {
        (self.id, self.open_watch().await)
    }

    async fn open_watch(&self) -> Result<(Watch, Option<Update>), WatchError> {
        let head = timeout(self.timeout, self.head()).await;
        let (link, answer) = head.map_err(|_| WatchError::NoAnswer)??;
        if answer.status() != StatusCode::OK {
            let retry_after = retry_after(answer.headers());
            return Err(WatchError::Status { status: answer.status(), retry_after });
        }
        // Nobody listens any more where the watch is no longer wanted.
        let _ = self.answered.send(self.id);
        let (body, received) = (answer.into_body(), self.received.clone());
        let mut watch = Watch { link, body, splitter: Splitter::new(self.longest_message), received };
        let first = timeout_at(Instant::now() + self.silence, watch.next()).await;
        let update = first.map_err(|_| WatchError::SilentFromHead)??;
        Ok((watch, update))
    }

    /// The names of services are checked where they are configured: none needs to be escaped.
    fn target(&self) -> String {
        let mut target = String::from("/discovery/hosts?watch=1");
        if let Some(revision) = self.after {
            target += &format!("&after={revision}");
        }
        if let Subscription::Services(names) = &self.subscription {
            for name in names {
                target += &format!("&service={name}");
            }
        }
        target
    }

    async fn head(&self) -> Result<(HttpConnection, Response<Incoming>), WatchError> {
        let mut link =
            HttpConnection::connect(self.address, &self.open).await.map_err(WatchError::Connect)?;
        let request = Request::get(self.target());
        let request = request.header(HOST, self.address.to_string()).body(Full::default());
        let request = request.map_err(|e| WatchError::Unreadable(e.to_string()))?;
        let answer = link.open(request).await.map_err(|_| WatchError::BrokeBeforeAnswer)?;
        Ok((link, answer))
    }
}

/// The seconds of a `Retry-After`, whole or decimal. A date is not understood: the backoff holds then.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
