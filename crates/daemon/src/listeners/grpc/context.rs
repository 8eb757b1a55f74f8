//! What the calls of the gRPC listener share.

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
    /// Streams that a connection may have open at once.
    pub streams: u32,
    /// The most connections.
    pub connections: usize,
    /// The most bytes of one message.
    pub message: usize,
    /// The most bytes of a header list, counted as in RFC 9113, section 10.5.1.
    pub header_list: u32,
    /// A connection without a call for so long is closed with GOAWAY.
    pub idle: Duration,
    /// A connection of this age is closed with GOAWAY.
    pub age: Duration,
    /// The rates of frames that a client may send.
    pub frames: FrameLimits,
    /// How long a permitted call counts as in flight at most.
    pub hold: Option<Duration>,
}

/// What every call reads.
pub(super) struct CallContext {
    pub admission: Rc<Admission>,
    pub limits: Limits,
    pub mapping: Mapping,
    /// The name that this limiter gives itself when it asks an authoriser, to detect loops.
    pub instance_name: String,
    /// Whether calls are served: false before the limiter is ready and once it drains.
    pub serving: watch::Sender<bool>,
}
