//! The pool of connections to an authorizer.

use super::exchange::Sender;
use super::settings::AuthorizerSettings;
use crate::http2::{LocalExecutor, MeteredStream};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http2::{self, Connection};
use hyper_util::rt::{TokioIo, TokioTimer};
use liftrouter_authz::{FrameLimits, FrameMeter};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// Limit on the time that a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause after a connection could not be opened.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Interval of the keep-alive PINGs.
const PING_INTERVAL: Duration = Duration::from_secs(10);
/// A connection on which a PING is not answered within this time is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// Flow-control window of a connection in bytes.
const CONNECTION_WINDOW: u32 = 256 * 1024;
const MAX_FRAME_BYTES: u32 = 16 * 1024;
/// Limits on the frames that an authorizer may send.
const FRAME_LIMITS: FrameLimits = FrameLimits { resets_per_s: 2_000.0, control_per_s: 2_000.0 };

/// A connection for check requests.
#[derive(Clone)]
pub(super) struct PooledConnection {
    pub number: u64,
    pub sender: Sender,
    /// Open check requests on this connection.
    pub open_checks: Rc<Cell<usize>>,
    /// When data was last received.
    pub last_read: Rc<Cell<Instant>>,
}

/// The connections to one authorizer, opened on demand.
pub(super) struct ConnectionPool {
    settings: Rc<AuthorizerSettings>,
    connections: RefCell<Vec<PooledConnection>>,
    connecting: Cell<usize>,
    /// Notified when a connection has been opened or could not be opened.
    changed: Notify,
    next_number: Cell<u64>,
}

impl ConnectionPool {
    pub(super) fn new(settings: Rc<AuthorizerSettings>) -> Rc<Self> {
        Rc::new(ConnectionPool {
            settings,
            connections: RefCell::default(),
            connecting: Cell::new(0),
            changed: Notify::new(),
            next_number: Cell::new(0),
        })
    }

    /// The connection with the fewest open check requests; waits until one is open if there is none.
    pub(super) async fn least_loaded(self: &Rc<Self>) -> PooledConnection {
        loop {
            let changed = self.changed.notified();
            if let Some(connection) = self.try_least_loaded() {
                return connection;
            }
            changed.await;
        }
    }

    fn try_least_loaded(self: &Rc<Self>) -> Option<PooledConnection> {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| !connection.sender.is_closed());
        let count = connections.len() + self.connecting.get();
        let least_loaded = connections.iter().min_by_key(|connection| connection.open_checks.get());
        // Another connection is opened only if all existing ones are busy.
        let all_busy = least_loaded.is_none_or(|connection| connection.open_checks.get() > 0);
        if count < self.settings.max_connections && all_busy {
            self.connecting.set(self.connecting.get() + 1);
            tokio::task::spawn_local(self.clone().connect());
        }
        least_loaded.cloned()
    }

    /// Opens a connection and drives it until it closes.
    async fn connect(self: Rc<Self>) {
        let opened = timeout(CONNECT_TIMEOUT, self.open()).await.ok().flatten();
        self.connecting.set(self.connecting.get() - 1);
        let Some((sender, last_read, connection)) = opened else {
            // The tasks notified next try to open a connection again; the pause keeps that from becoming a busy loop.
            tokio::time::sleep(RECONNECT_PAUSE).await;
            return self.changed.notify_waiters();
        };
        let number = self.next_number.replace(self.next_number.get() + 1);
        let open_checks = Rc::default();
        self.connections.borrow_mut().push(PooledConnection { number, sender, open_checks, last_read });
        self.changed.notify_waiters();
        // The error can be ignored: each open check request fails with it.
        let _ = connection.await;
        self.remove(number);
    }

    async fn open(&self) -> Option<(Sender, Rc<Cell<Instant>>, Driver)> {
        let stream = TcpStream::connect(self.settings.address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let socket = MeteredStream::new(stream, FrameMeter::client(FRAME_LIMITS, 0.0));
        let last_read = socket.last_read();
        let mut builder = http2::Builder::new(LocalExecutor);
        builder
            .timer(TokioTimer::new())
            .initial_stream_window_size(
                (self.settings.max_message_bytes as u32).saturating_add(MAX_FRAME_BYTES),
            )
            .initial_connection_window_size(CONNECTION_WINDOW)
            .max_frame_size(MAX_FRAME_BYTES)
            .max_concurrent_reset_streams(self.settings.max_open_checks)
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT);
        let (sender, connection) = builder.handshake(TokioIo::new(socket)).await.ok()?;
        Some((sender, last_read, connection))
    }

    /// Removes a connection from the pool. It takes no new check requests; those open on it continue.
    pub(super) fn remove(&self, number: u64) {
        self.connections.borrow_mut().retain(|connection| connection.number != number);
    }
}

type Driver = Connection<TokioIo<MeteredStream>, Full<Bytes>, LocalExecutor>;

/// Removes a connection from the pool when a check request on it is abandoned and the connection seems dead: nothing
/// has been received since the request was sent, for at least the timeout.
pub(super) struct SilenceGuard<'a> {
    pool: &'a ConnectionPool,
    number: u64,
    last_read: Rc<Cell<Instant>>,
    sent_at: Instant,
    armed: bool,
}

impl<'a> SilenceGuard<'a> {
    pub(super) fn new(pool: &'a ConnectionPool, connection: &PooledConnection) -> Self {
        SilenceGuard {
            pool,
            number: connection.number,
            last_read: connection.last_read.clone(),
            sent_at: Instant::now(),
            armed: true,
        }
    }

    /// To be called when the check request has ended: its result then shows the state of the connection.
    pub(super) fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for SilenceGuard<'_> {
    fn drop(&mut self) {
        let is_silent = self.last_read.get() < self.sent_at;
        if self.armed && is_silent && self.sent_at.elapsed() >= self.pool.settings.timeout {
            self.pool.remove(self.number);
        }
    }
}
