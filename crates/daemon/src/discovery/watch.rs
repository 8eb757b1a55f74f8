//! One call to discovery, and the watch that it becomes.

use super::watch_event::{FramingError, WatchDecoder, WatchEvent};
use super::watch_request::WatchRequest;
use crate::upstream::connection::HttpConnection;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HOST, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use liftrouter_catalog::{ApplyError, Update};
use liftrouter_discovery::{CallFailure, CallId};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{timeout, timeout_at, Instant};

/// Why a call failed, or a watch ended.
#[derive(Debug, Error)]
pub enum WatchError {
    /// The connection did not come up.
    #[error("no connection: {0}")]
    Connect(#[source] std::io::Error),
    /// The request cannot be written.
    #[error("{0}")]
    Request(#[source] hyper::http::Error),
    /// No response head in time.
    #[error("no answer")]
    NoAnswer,
    /// The connection broke before the response head.
    #[error("the watch broke before its answer")]
    BrokeBeforeAnswer,
    /// The response was no success.
    #[error("the watch was answered {status}{}", retry_after_text(*retry_after))]
    Status {
        /// The status of the response.
        status: StatusCode,
        /// The time after which the service invites another call.
        retry_after: Option<Duration>,
    },
    /// Nothing came behind the response head in time.
    #[error("the watch was silent from its head on")]
    SilentFromHead,
    /// The response ended.
    #[error("the watch ended")]
    Ended,
    /// The connection broke.
    #[error("the watch broke: {0}")]
    Broke(#[source] hyper::Error),
    /// The stream is no sequence of objects.
    #[error(transparent)]
    Framing(#[from] FramingError),
    /// An object is no update.
    #[error("a message cannot be read: {0}")]
    Message(#[from] serde_json::Error),
    /// An update does not fit the list at hand.
    #[error(transparent)]
    List(#[from] ApplyError),
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

fn retry_after_text(retry_after: Option<Duration>) -> String {
    retry_after.map_or(String::new(), |after| format!(", retry after {} s", after.as_secs_f64()))
}

/// A watch that has given a heartbeat.
pub struct Watch {
    link: HttpConnection,
    body: Incoming,
    decoder: WatchDecoder,
    received_bytes: Rc<Cell<u64>>,
}

impl Watch {
    /// Waits for the next heartbeat: an update, or none where nothing has changed.
    ///
    /// # Errors
    /// The watch ended, broke, or sent something other than updates.
    pub async fn next(&mut self) -> Result<Option<Update>, WatchError> {
        loop {
            match self.decoder.next_event()? {
                Some(WatchEvent::EmptyLine) => return Ok(None),
                Some(WatchEvent::Message(text)) => return Ok(Some(serde_json::from_slice(&text)?)),
                None => {}
            }
            let frame = self.link.drive(self.body.frame()).await;
            let frame = frame.ok_or(WatchError::Ended)?.map_err(WatchError::Broke)?;
            let data = frame.data_ref().map_or(&[][..], |data| data);
            self.received_bytes.set(self.received_bytes.get() + data.len() as u64);
            self.decoder.push(data);
        }
    }
}

/// A call to be made.
pub struct Call {
    /// Number of the call.
    pub id: CallId,
    /// The address to call.
    pub address: SocketAddr,
    /// What is followed, and from which revision on.
    pub request: WatchRequest,
    /// How long the response head may take.
    pub timeout: Duration,
    /// The longest message that is read, in bytes.
    pub max_message_bytes: usize,
    /// How long its first message may take behind the head.
    pub heartbeat_timeout: Duration,
    /// Counts the open connections.
    pub open_connections: Rc<Cell<usize>>,
    /// Counts the bytes of bodies.
    pub received_bytes: Rc<Cell<u64>>,
    /// Notified when the head of a successful response has come.
    pub answered: UnboundedSender<CallId>,
}

impl Call {
    /// Opens a watch and waits for its first heartbeat.
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
        // The receiver is gone where the watch is no longer wanted.
        let _ = self.answered.send(self.id);
        let mut watch = Watch {
            link,
            body: answer.into_body(),
            decoder: WatchDecoder::new(self.max_message_bytes),
            received_bytes: self.received_bytes.clone(),
        };
        let first = timeout_at(Instant::now() + self.heartbeat_timeout, watch.next()).await;
        let update = first.map_err(|_| WatchError::SilentFromHead)??;
        Ok((watch, update))
    }

    async fn head(&self) -> Result<(HttpConnection, Response<Incoming>), WatchError> {
        let mut link = HttpConnection::connect(self.address, &self.open_connections)
            .await
            .map_err(WatchError::Connect)?;
        let request = Request::get(self.request.target());
        let request = request.header(HOST, self.address.to_string()).body(Full::default());
        let request = request.map_err(WatchError::Request)?;
        let answer = link.send_request(request).await.map_err(|_| WatchError::BrokeBeforeAnswer)?;
        Ok((link, answer))
    }
}

/// The seconds of a `Retry-After`, whole or decimal. A date is not understood: the backoff holds then.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
