//! The final answer to a client's request.

use super::{EventQueue, HostEvent};
use bytes::Bytes;
use hyper::Response;
use liftrouter_authz::Denial;
use liftrouter_decision::RequestId;
use std::rc::Rc;

/// The final answer to a request; each request gets exactly one.
pub enum Answer {
    /// The complete response of a server.
    Served(Response<Bytes>),
    /// The request was not forwarded, so the client may safely retry it.
    Rejected(Rejection),
    /// The request failed, and whether a server executed it is unknown.
    Failed,
    /// The client is authorized to call a server itself. The guard reports a disconnect if the client does not receive
    /// this answer.
    Authorized(DisconnectGuard),
    /// An external authorizer denied the request; it was not forwarded.
    Denied(Denial),
}

/// Why a request was rejected, and when to retry. A rejected request was not forwarded, so a retry is safe.
pub struct Rejection {
    /// Seconds after which the client should retry; 0 if no `Retry-After` is sent.
    pub retry_after_s: f64,
    /// Why it was rejected.
    pub cause: RejectionCause,
}

/// The cause of a rejection, as shown to clients.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum RejectionCause {
    /// The quota is used up, or the servers have no free capacity.
    Limit,
    /// The endpoint list has not been confirmed in time and may be out of date.
    EndpointListExpired,
    /// The process shuts down, and the request was not forwarded in time.
    ShuttingDown,
}

impl Rejection {
    /// A rejection with the cause [`RejectionCause::Limit`].
    pub fn over_limit(retry_after_s: f64) -> Self {
        Rejection { retry_after_s, cause: RejectionCause::Limit }
    }

    /// A rejection with the cause [`RejectionCause::ShuttingDown`].
    pub fn shutting_down() -> Self {
        Rejection { retry_after_s: 0.0, cause: RejectionCause::ShuttingDown }
    }

    /// The body of the HTTP response: one line of text.
    pub fn body(&self) -> &'static str {
        match self.cause {
            RejectionCause::Limit => "refused: trying again is harmless\n",
            RejectionCause::EndpointListExpired => {
                "refused: the list of servers is out of date; trying again is harmless\n"
            }
            RejectionCause::ShuttingDown => "refused: the limiter is ending; trying again is harmless\n",
        }
    }
}

/// Reports on drop that the client disconnected, unless [`DisconnectGuard::disarm`] was called.
pub struct DisconnectGuard {
    /// The queue that receives [`HostEvent::ClientDisconnected`].
    pub events: Rc<EventQueue>,
    /// The request's id; `None` once the guard is disarmed.
    pub id: Option<RequestId>,
}

impl DisconnectGuard {
    /// Drops the guard without a report, because the client has received its answer.
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
