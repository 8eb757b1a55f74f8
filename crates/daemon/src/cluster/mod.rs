//! Cluster membership over UDP: which other limiters are alive, and which shards this limiter holds. Off unless the operator's
//! file has a `[members]` section.
//!
//! The crate `liftrouter-cluster` implements the protocol; this module provides its socket and clock and answers status
//! queries. It also runs the work that is divided by shards: each endpoint is health-checked by one limiter, which shares the
//! result with all others.

mod error;
mod health_checks;
mod status;
mod transport;

pub use error::ClusterError;
pub use status::{bind_status_socket, query_status};

use crate::events::EventQueue;
use crate::log;
use crate::upstream::servers::Servers;
use liftrouter_cluster::{
    Action, ClusterMember, Event, Micros, Notification, Settings, Shard, MAX_DATAGRAM_BYTES,
};
use std::cell::RefCell;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};
use transport::Transport;

/// Datagrams read before the clock is checked again.
const DATAGRAMS_PER_BATCH: usize = 64;
/// Bytes of the receive buffer beyond the largest datagram: for the address before a proxied datagram, and to detect datagrams
/// that are too long.
const EXCESS_BYTES: usize = 16;
/// The longest sleep of [`ClusterService::run`].
const MAX_SLEEP: Duration = Duration::from_secs(3_600);

/// The cluster section of the operator's file.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// The settings of the member.
    pub settings: Settings,
    /// The Unix socket for status queries.
    pub status_socket: Option<PathBuf>,
    /// How often each endpoint is health-checked, by the limiter that holds its shard; `None` for no health checks.
    pub health_check_interval: Option<Duration>,
    /// In tests only: the proxy that forwards all datagrams and simulates link faults between members.
    pub link_proxy: Option<SocketAddr>,
}

/// Runs this limiter as a member of its cluster.
pub struct ClusterService {
    member: RefCell<ClusterMember>,
    transport: Transport,
    started: Instant,
    /// Wakes [`ClusterService::run`] when its wake-up time may have changed.
    wake: Notify,
    events: Rc<EventQueue>,
}

impl ClusterService {
    /// Opens the UDP socket.
    ///
    /// # Errors
    /// The socket cannot be opened, or the settings are invalid.
    pub async fn open(
        config: &ClusterConfig,
        events: Rc<EventQueue>,
    ) -> Result<Rc<ClusterService>, ClusterError> {
        let mut settings = config.settings.clone();
        let transport = Transport::open(settings.address, config.link_proxy).await?;
        settings.address = transport.address();
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // A new `RandomState` has random keys that differ between processes.
        let instance = std::hash::RandomState::new().build_hasher().finish();
        let member = ClusterMember::new(settings, instance, 0, unix_time.as_millis() as u64)
            .map_err(ClusterError::Settings)?;
        let identity = member.identity();
        log("liftrouter", format_args!("member {} on {}", identity.name, identity.address));
        Ok(Rc::new(ClusterService {
            member: RefCell::new(member),
            transport,
            started: Instant::now(),
            wake: Notify::new(),
            events,
        }))
    }

    fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    fn handle(&self, event: Event) {
        let mut actions = Vec::new();
        self.member.borrow_mut().handle(self.now(), event, &mut actions);
        self.carry_out(actions);
    }

    fn carry_out(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, bytes) => self.transport.send(to, &bytes),
                Action::Notify(notification) => self.handle_notification(notification),
            }
        }
    }

    fn handle_notification(&self, notification: Notification) {
        match notification {
            Notification::HolderMessage { payload, .. } => health_checks::receive(&self.events, &payload),
            other => log_notification(&other),
        }
    }

    /// Receives datagrams and runs timers. Never returns.
    pub async fn run(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + EXCESS_BYTES];
        self.handle(Event::Wake);
        loop {
            let now = self.now();
            let wake_at = self.member.borrow().wake_at(now);
            let latest = now + MAX_SLEEP.as_micros() as Micros;
            let deadline = self.started + Duration::from_micros(wake_at.min(latest));
            tokio::select! {
                // Datagrams that arrived while the process was paused are handled before overdue timers.
                biased;
                result = self.transport.readable() => {
                    if result.is_err() {
                        continue;
                    }
                    self.receive_batch(&mut buffer);
                    if self.now() >= wake_at {
                        self.handle(Event::Wake);
                    }
                }
                () = sleep_until(deadline) => self.handle(Event::Wake),
                () = self.wake.notified() => {}
            }
        }
    }

    fn receive_batch(&self, buffer: &mut [u8]) {
        for _ in 0..DATAGRAMS_PER_BATCH {
            let Some((len, from)) = self.transport.try_receive(buffer) else { break };
            if let Some((from, bytes)) = self.transport.decode_received(from, &buffer[..len]) {
                self.handle(Event::Datagram(from, bytes));
            }
        }
    }

    /// Releases all leases and tells the others that this member leaves.
    pub fn leave(&self) {
        self.handle(Event::Leave);
        self.wake.notify_one();
    }

    /// Health-checks the endpoints whose shards this limiter holds, each once per interval.
    pub async fn run_health_checks(self: Rc<Self>, servers: Rc<Servers>, interval: Duration) {
        health_checks::run(self, servers, interval).await;
    }

    /// Answers status queries on a Unix socket.
    pub async fn answer_status_queries(self: Rc<Self>, listener: tokio::net::UnixListener) {
        status::answer(self, listener).await;
    }

    /// The shard of a name, if this limiter holds it now.
    fn held_shard_of(&self, name: &str) -> Option<Shard> {
        let member = self.member.borrow();
        let shard = member.shard_of(name);
        member.fencing_token(self.now(), shard).map(|_| shard)
    }

    /// Sends a payload to all other members, if this limiter still holds the shard of the name.
    fn send_as_holder_of(&self, name: &str, payload: &[u8]) {
        let mut actions = Vec::new();
        {
            let mut member = self.member.borrow_mut();
            let shard = member.shard_of(name);
            member.send_as_holder(self.now(), shard, payload, &mut actions);
        }
        self.carry_out(actions);
    }
}

fn log_notification(notification: &Notification) {
    match notification {
        Notification::MemberUp(member) => log(
            "members",
            format_args!("{} is alive, {}, instance {:016x}", member.name, member.address, member.instance),
        ),
        Notification::MemberDown(member) => {
            log("members", format_args!("{} is gone, instance {:016x}", member.name, member.instance));
        }
        Notification::Rejoined => log("members", "the other members declared this one gone; it has rejoined"),
        Notification::NameConflict { name, instances: [a, b] } => log(
            "members",
            format_args!("two processes have the name {name}, {a:016x} and {b:016x}; the one started later holds no slots"),
        ),
        Notification::LeaseAcquired(shard, token) => {
            log("members", format_args!("holds slot {shard} with token {token}"));
        }
        Notification::LeaseLost(shard, token) => {
            log("members", format_args!("holds slot {shard} no longer, token {token}"));
        }
        Notification::InvalidDatagram { from, error } => {
            log("members", format_args!("a datagram from {from} was rejected: {error}"));
        }
        Notification::HolderMessage { .. } => {}
    }
}
