//! When the limiter ended a connection whose bytes a link holds.
//!
//! Each connection is read by a task of its own, so that the end of one and the first bytes of another may be noticed in
//! either order. On loopback the kernel knows the end as soon as the limiter's call returns: it is asked about all
//! connections with held bytes before the time of further bytes is taken.

use super::link::looks_open;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Instant;
use tokio::net::TcpStream;

/// The connections with held bytes whose ends are watched.
static WATCHED: Mutex<Vec<Weak<ConnectionEnd>>> = Mutex::new(Vec::new());

/// When a connection was ended by the limiter, as far as is known.
pub(super) struct ConnectionEnd {
    socket: Arc<TcpStream>,
    at: Mutex<Option<Instant>>,
}

impl ConnectionEnd {
    /// The end of a connection that is open.
    pub(super) fn new(socket: Arc<TcpStream>) -> Arc<Self> {
        Arc::new(ConnectionEnd { socket, at: Mutex::new(None) })
    }

    /// When the connection was ended; `None` if it is not known to be.
    pub(super) fn at(&self) -> Option<Instant> {
        *self.at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the connection has ended by now.
    pub(super) fn set(&self) {
        self.at.lock().unwrap_or_else(PoisonError::into_inner).get_or_insert_with(Instant::now);
    }

    /// Watches for the end until it is noted, or the connection is dropped.
    pub(super) fn watch(self: &Arc<Self>) {
        let mut watched = WATCHED.lock().unwrap_or_else(PoisonError::into_inner);
        let own = Arc::downgrade(self);
        if !watched.iter().any(|other| other.ptr_eq(&own)) {
            watched.push(own);
        }
    }

    /// Notes the end if the kernel knows it. Returns whether the end is still to be watched for.
    fn look(&self) -> bool {
        if self.at().is_none() && !looks_open(&self.socket) {
            self.set();
        }
        self.at().is_none()
    }
}

/// Notes the ends of all watched connections that the limiter has ended by now.
pub(super) fn note_ends() {
    let mut watched = WATCHED.lock().unwrap_or_else(PoisonError::into_inner);
    watched.retain(|end| end.upgrade().is_some_and(|end| end.look()));
}
