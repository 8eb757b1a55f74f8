//! The connections to an authoriser.

use super::exchange::Sender;
use super::settings::AuthoriserSettings;
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

/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause after a connection that did not come up.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// A connection on which nothing came for so long after a PING is gone.
const PING_INTERVAL: Duration = Duration::from_secs(10);
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// The connection's flow-control window in bytes.
const CONNECTION_WINDOW: u32 = 256 * 1024;
const MAX_FRAME_BYTES: u32 = 16 * 1024;
/// Frames a second that an authoriser may send without a call's part, and resets.
const FRAME_LIMITS: FrameLimits = FrameLimits { resets: 2_000.0, control: 2_000.0 };

/// A connection that check requests may go over.
#[derive(Clone)]
pub(super) struct PooledConnection {
    pub number: u64,
    pub sender: Sender,
    /// Check requests that are open on it.
    pub open_checks: Rc<Cell<usize>>,
    /// When anything last came over it.
    pub last_read: Rc<Cell<Instant>>,
}

/// The connections to one authoriser, opened as they are needed.
pub(super) struct ConnectionPool {
    settings: Rc<AuthoriserSettings>,
    connections: RefCell<Vec<PooledConnection>>,
    connecting: Cell<usize>,
    /// Notified when a connection came up or failed to.
    changed: Notify,
    next_number: Cell<u64>,
}

impl ConnectionPool {
    pub(super) fn new(settings: Rc<AuthoriserSettings>) -> Rc<Self> {
        Rc::new(ConnectionPool {
            settings,
            connections: RefCell::default(),
            connecting: Cell::new(0),
            changed: Notify::new(),
            next_number: Cell::new(0),
        })
    }

    /// The connection with the fewest open check requests; waits for one where there is none.
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
        // A further one is opened only where all that are there are busy.
        let all_busy = least_loaded.is_none_or(|connection| connection.open_checks.get() > 0);
        if count < self.settings.connections && all_busy {
            self.connecting.set(self.connecting.get() + 1);
            tokio::task::spawn_local(self.clone().connect());
        }
        least_loaded.cloned()
    }

    /// Opens a connection, and drives it until it ends.
    async fn connect(self: Rc<Self>) {
        let opened = timeout(CONNECT_TIMEOUT, self.open()).await.ok().flatten();
        self.connecting.set(self.connecting.get() - 1);
        let Some((sender, last_read, connection)) = opened else {
            // Those who wait open another, and not in a busy loop.
            tokio::time::sleep(RECONNECT_PAUSE).await;
            return self.changed.notify_waiters();
        };
        let number = self.next_number.replace(self.next_number.get() + 1);
        let open_checks = Rc::default();
        self.connections.borrow_mut().push(PooledConnection { number, sender, open_checks, last_read });
        self.changed.notify_waiters();
        // An error reaches each of its open check requests.
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
            .initial_stream_window_size((self.settings.message as u32).saturating_add(MAX_FRAME_BYTES))
            .initial_connection_window_size(CONNECTION_WINDOW)
            .max_frame_size(MAX_FRAME_BYTES)
            .max_concurrent_reset_streams(self.settings.questions)
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT);
        let (sender, connection) = builder.handshake(TokioIo::new(socket)).await.ok()?;
        Some((sender, last_read, connection))
    }

    /// Takes a connection out: nothing more is asked over it, and what is open on it goes on.
    pub(super) fn remove(&self, number: u64) {
        self.connections.borrow_mut().retain(|connection| connection.number != number);
    }
}

type Driver = Connection<TokioIo<MeteredStream>, Full<Bytes>, LocalExecutor>;

/// Takes a connection out of the pool if an abandoned check request shows that it is dead: nothing has come over it
/// since the request was sent, for at least the timeout.
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

    /// The check request has ended: its end says what is wrong with the connection.
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
