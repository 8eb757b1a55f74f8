//! A call to discovery over HTTP, and the watch that a successful call opens.

use super::watch_event::{FramingError, WatchDecoder, WatchEvent};
use super::watch_request::WatchRequest;
use crate::upstream::connection::HttpConnection;
use crate::upstream::connection_counts::ConnectionCounts;
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
    /// The connection could not be opened.
    #[error("no connection: {0}")]
    Connect(#[source] std::io::Error),
    /// The HTTP request could not be built.
    #[error("{0}")]
    Request(#[source] hyper::http::Error),
    /// The response head did not arrive within the timeout.
    #[error("no response in time")]
    ResponseTimeout,
    /// The connection failed before the response head arrived.
    #[error("the connection failed before the response")]
    FailedBeforeResponse,
    /// The status of the response was not 200.
    #[error("the watch request failed with status {status}{}", retry_after_text(*retry_after))]
    Status {
        /// The status of the response.
        status: StatusCode,
        /// The time to wait before the next call, from `Retry-After`.
        retry_after: Option<Duration>,
    },
    /// The first heartbeat did not arrive in time after the response head.
    #[error("no heartbeat in time after the response head")]
    NoHeartbeat,
    /// The response body ended.
    #[error("the watch ended")]
    Ended,
    /// The connection failed while the body was read.
    #[error("the connection of the watch failed: {0}")]
    ConnectionFailed(#[source] hyper::Error),
    /// The body is not a sequence of JSON objects.
    #[error(transparent)]
    Framing(#[from] FramingError),
    /// A JSON object is not a valid update.
    #[error("invalid message: {0}")]
    Message(#[from] serde_json::Error),
    /// An update does not fit the current list.
    #[error(transparent)]
    List(#[from] ApplyError),
}

impl WatchError {
    /// The kind of failure, from which the schedule of calls chooses the backoff.
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

/// An open watch. [`Call::run`] returns it only after its first heartbeat.
pub struct Watch {
    connection: HttpConnection,
    body: Incoming,
    decoder: WatchDecoder,
    received_bytes: Rc<Cell<u64>>,
}

impl Watch {
    /// Waits for the next heartbeat: an update, or `None` if nothing has changed.
    ///
    /// # Errors
    /// The response ended, the connection failed, or the body contains something other than updates.
    pub async fn next(&mut self) -> Result<Option<Update>, WatchError> {
        loop {
            match self.decoder.next_event()? {
                Some(WatchEvent::EmptyLine) => return Ok(None),
                Some(WatchEvent::Message(text)) => return Ok(Some(serde_json::from_slice(&text)?)),
                None => {}
            }
            let frame = self.connection.drive(self.body.frame()).await;
            let frame = frame.ok_or(WatchError::Ended)?.map_err(WatchError::ConnectionFailed)?;
            let data = frame.data_ref().map_or(&[][..], |data| data);
            self.received_bytes.set(self.received_bytes.get() + data.len() as u64);
            self.decoder.push(data);
        }
    }
}

/// A call that has not been started.
pub struct Call {
    /// Identifies the call in the events of the follower.
    pub id: CallId,
    /// The address to call.
    pub address: SocketAddr,
    /// The followed services and the revision to resume after.
    pub request: WatchRequest,
    /// The time limit for connecting and receiving the response head.
    pub timeout: Duration,
    /// The longest message that is read, in bytes.
    pub max_message_bytes: usize,
    /// The time limit for the first heartbeat after the response head.
    pub heartbeat_timeout: Duration,
    /// The counts of the session's connections.
    pub connections: Rc<ConnectionCounts>,
    /// Bytes received in response bodies.
    pub received_bytes: Rc<Cell<u64>>,
    /// Receives the call's id when the head of a successful response has arrived.
    pub answered: UnboundedSender<CallId>,
}

impl Call {
    /// Opens a watch and waits for its first heartbeat.
    pub async fn run(self) -> (CallId, Result<(Watch, Option<Update>), WatchError>) {
        (self.id, self.open_watch().await)
    }

    async fn open_watch(&self) -> Result<(Watch, Option<Update>), WatchError> {
        let head = timeout(self.timeout, self.receive_head()).await;
        let (connection, response) = head.map_err(|_| WatchError::ResponseTimeout)??;
        if response.status() != StatusCode::OK {
            let retry_after = retry_after(response.headers());
            return Err(WatchError::Status { status: response.status(), retry_after });
        }
        // Sending fails only if the session has ended, and then nobody waits for this watch.
        let _ = self.answered.send(self.id);
        let mut watch = Watch {
            connection,
            body: response.into_body(),
            decoder: WatchDecoder::new(self.max_message_bytes),
            received_bytes: self.received_bytes.clone(),
        };
        let first = timeout_at(Instant::now() + self.heartbeat_timeout, watch.next()).await;
        let update = first.map_err(|_| WatchError::NoHeartbeat)??;
        Ok((watch, update))
    }

    async fn receive_head(&self) -> Result<(HttpConnection, Response<Incoming>), WatchError> {
        let mut connection =
            HttpConnection::connect(self.address, &self.connections).await.map_err(WatchError::Connect)?;
        let request = Request::get(self.request.target());
        let request = request.header(HOST, self.address.to_string()).body(Full::default());
        let request = request.map_err(WatchError::Request)?;
        let response =
            connection.send_request(request).await.map_err(|_| WatchError::FailedBeforeResponse)?;
        Ok((connection, response))
    }
}

/// The value of a `Retry-After` header in whole or decimal seconds. The date form is not supported and counts as no
/// value, so the usual backoff applies.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
