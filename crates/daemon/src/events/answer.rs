//! The final answer to a request.

use super::{EventQueue, HostEvent};
use bytes::Bytes;
use hyper::Response;
use liftrouter_authz::Denial;
use liftrouter_decision::RequestId;
use std::rc::Rc;

/// The one final answer to a request.
pub enum Answer {
    /// A server's complete answer.
    Served(Response<Bytes>),
    /// The request was not forwarded; a retry is harmless.
    Rejected(Rejection),
    /// The request failed, and its effect is unknown.
    Failed,
    /// The client may make its call itself. Until it has received this, it can still disconnect.
    Authorized(DisconnectGuard),
    /// An authoriser denied the request; nothing was forwarded.
    Denied(Denial),
}

/// A rejected request: it was not forwarded, so a retry is harmless.
pub struct Rejection {
    /// Seconds after which the client should retry; 0 if there is no advice.
    pub retry_after_s: f64,
    /// Why it was rejected.
    pub cause: RejectionCause,
}

/// The cause of a rejection, as operators and clients see it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum RejectionCause {
    /// The quota, or the capacity of the servers.
    Limit,
    /// The endpoint list could not be confirmed in time.
    EndpointListExpired,
}

impl Rejection {
    /// A rejection because of the quota or the servers' capacity.
    pub fn over_limit(retry_after_s: f64) -> Self {
        Rejection { retry_after_s, cause: RejectionCause::Limit }
    }

    /// The answer's body: one line of text.
    pub fn body(&self) -> &'static str {
        match self.cause {
            RejectionCause::Limit => "refused: trying again is harmless\n",
            RejectionCause::EndpointListExpired => {
                "refused: the list of servers is out of date; trying again is harmless\n"
            }
        }
    }
}

/// Reports that a client disconnected when it is dropped, unless the client got its answer.
pub struct DisconnectGuard {
    /// Where it reports.
    pub events: Rc<EventQueue>,
    /// The request; none once the guard is disarmed.
    pub id: Option<RequestId>,
}

impl DisconnectGuard {
    /// The client has its answer: nothing is reported.
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
