//! The settings and state that the calls of the gRPC listener share.

use crate::listeners::admission::Admission;
use liftrouter_authz::{FrameLimits, Mapping};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// The operator's settings of the gRPC listener.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The maximum number of streams that a connection may have open at once.
    pub max_streams: u32,
    /// The maximum number of connections.
    pub max_connections: usize,
    /// The maximum size of one message.
    pub max_message_bytes: usize,
    /// The maximum size of a header list, counted as in RFC 9113, section 10.5.1.
    pub max_header_list_bytes: u32,
    /// A connection without a call for this long is closed with GOAWAY.
    pub idle_timeout: Duration,
    /// A connection of this age is closed with GOAWAY.
    pub max_age: Duration,
    /// The maximum rates of frames that a client may send.
    pub frame_limits: FrameLimits,
    /// The maximum time that a permitted call counts as in flight; without it, the time left to the call.
    pub max_hold: Option<Duration>,
}

/// The settings and state shared by all calls.
pub(super) struct CallContext {
    pub admission: Rc<Admission>,
    pub limits: Limits,
    pub mapping: Mapping,
    /// The name of this limiter in its calls to authorizers, used to detect loops.
    pub instance_name: String,
    /// Whether health checks return `SERVING`: false before the limiter is ready and once it drains.
    pub serving: watch::Sender<bool>,
}
