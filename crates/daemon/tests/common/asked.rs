//! A stand-in of the on-request discovery service: one queue of limited capacity, and injected faults.
//!
//! Each limiter calls a separate listener, so that calls and heartbeats are recorded per limiter; all
//! listeners share the queue and the list.

mod connection;
pub mod timed_server;

use crate::common::{command, instance, temp_file, update, Limiter, Message};
use connection::Connection;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// A call whose answer would take longer than this is refused at once.
const MAX_QUEUE_DELAY: Duration = Duration::from_secs(2);
/// The revision of the first list, in which every server is in service.
const FIRST_REVISION: u64 = 10;

/// How long the service works on a call.
#[derive(Clone, Copy)]
pub struct Cost {
    pub per_call: Duration,
    pub per_instance: Duration,
}

impl Cost {
    /// A cost per call in milliseconds, and 1 ms per listed instance.
    pub fn from_call_ms(per_call_ms: u64) -> Cost {
        Cost { per_call: Duration::from_millis(per_call_ms), per_instance: Duration::from_millis(1) }
    }
}

/// How the service treats a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    /// Answered after its time in the queue.
    Serve,
    /// Accepted and never answered.
    Hang,
    /// Closed without a byte of response.
    Close,
    /// Answered with 503 and this `Retry-After`, if any.
    Refuse(Option<&'static str>),
    /// Closed within the response head.
    CutInHead,
    /// Closed within the first message.
    CutInMessage,
    /// Queued only after this delay.
    AnswerAfter(Duration),
    /// Answered with the first list, older than any change.
    OlderList,
    /// Answered with a whole list that omits draining servers.
    OmitDraining,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// In the queue or left without an answer.
    Pending,
    Answered,
    Refused,
    /// Closed by the service before its response was complete.
    Cut,
    /// Closed by the limiter before its response.
    Abandoned,
}

/// A call as the service recorded it.
#[derive(Clone, Debug)]
pub struct Call {
    pub limiter: usize,
    /// The listener that accepted it.
    pub discovery_address: SocketAddr,
    pub at: Instant,
    /// When it was no longer in flight: its response head was written, or its connection was closed.
    pub completed_at: Option<Instant>,
    pub outcome: Outcome,
    pub target: String,
}

/// A whole message or an empty line, written to a limiter.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    pub limiter: usize,
    pub discovery_address: SocketAddr,
    pub at: Instant,
}

/// A server that is draining, and when its drain started.
#[derive(Clone, Debug)]
pub struct Drain {
    /// The server's index.
    pub server: usize,
    pub since: Instant,
}

/// A server in the list.
struct Listed {
    address: SocketAddr,
    lifecycle: &'static str,
    /// The revision of its last change.
    last_changed: u64,
}

/// The behavior of the next `calls_left` calls to an address.
struct Fault {
    behavior: Behavior,
    calls_left: usize,
}

struct State {
    cost: Cost,
    /// Whether a call without changes to report gets an update without instances at once, or the head alone.
    sends_empty_updates: bool,
    servers: Vec<Listed>,
    revision: u64,
    faults: HashMap<SocketAddr, Fault>,
    /// When all queued calls will have been answered.
    busy_until: Instant,
    calls: Vec<Call>,
    heartbeats: Vec<Heartbeat>,
    drains: Vec<Drain>,
    /// When a limiter was first notified that a server drains, by limiter and server.
    notified: HashMap<(usize, usize), Instant>,
    next_watch: u64,
    /// Watches with smaller numbers end.
    ended_below: u64,
    /// Watches with smaller numbers write nothing more.
    silent_below: u64,
}

/// An update as it is written, and the draining servers that it announces.
struct EncodedUpdate {
    line: String,
    instance_count: u32,
    revision: u64,
    drained: Vec<usize>,
}

impl State {
    /// The update for a call with this `after`; `None` if there is nothing to report.
    fn message(&self, after: Option<u64>, behavior: Behavior) -> Option<EncodedUpdate> {
        let older = behavior == Behavior::OlderList;
        let omits_draining = behavior == Behavior::OmitDraining;
        let since = after.filter(|after| !older && !omits_draining && *after <= self.revision);
        let (mut named, mut drained) = (Vec::<Value>::new(), Vec::new());
        for (n, server) in self.servers.iter().enumerate() {
            let draining = server.lifecycle != "in_service" && !older;
            if since.is_some_and(|since| server.last_changed <= since) {
                continue;
            }
            if draining {
                drained.push(n);
            }
            if draining && omits_draining {
                continue;
            }
            let lifecycle = if older { "in_service" } else { server.lifecycle };
            named.push(instance(&format!("s-{n}"), server.address, lifecycle));
        }
        if since.is_some() && named.is_empty() && !self.sends_empty_updates {
            return None;
        }
        let revision = if older { FIRST_REVISION } else { self.revision };
        let line = update(revision, since.is_none(), &named);
        Some(EncodedUpdate { line, instance_count: named.len() as u32, revision, drained })
    }

    /// The behavior of the next call to this address; counts the call.
    fn next_behavior(&mut self, discovery_address: SocketAddr) -> Behavior {
        match self.faults.get_mut(&discovery_address) {
            Some(fault) if fault.calls_left > 0 => {
                fault.calls_left -= 1;
                fault.behavior
            }
            _ => Behavior::Serve,
        }
    }

    /// Enqueues a call and returns when its answer is ready; `None` if that would exceed [`MAX_QUEUE_DELAY`].
    fn enqueue(&mut self, instances: u32) -> Option<Instant> {
        let now = Instant::now();
        let ready = self.busy_until.max(now) + self.cost.per_call + self.cost.per_instance * instances;
        if ready - now > MAX_QUEUE_DELAY {
            return None;
        }
        self.busy_until = ready;
        Some(ready)
    }

    fn finish(&mut self, call: usize, outcome: Outcome) {
        let call = &mut self.calls[call];
        call.outcome = outcome;
        call.completed_at.get_or_insert_with(Instant::now);
    }
}

/// The stand-in of the discovery service.
#[derive(Clone)]
pub struct OnRequestDiscovery(Arc<Mutex<State>>);

impl OnRequestDiscovery {
    /// A service that lists these servers as `s-0`, `s-1` and so on, all in service.
    pub fn new(cost: Cost, servers: &[SocketAddr]) -> OnRequestDiscovery {
        let listed = |address: &SocketAddr| Listed {
            address: *address,
            lifecycle: "in_service",
            last_changed: FIRST_REVISION,
        };
        OnRequestDiscovery(Arc::new(Mutex::new(State {
            cost,
            sends_empty_updates: false,
            servers: servers.iter().map(listed).collect(),
            revision: FIRST_REVISION,
            faults: HashMap::new(),
            busy_until: Instant::now(),
            calls: Vec::new(),
            heartbeats: Vec::new(),
            drains: Vec::new(),
            notified: HashMap::new(),
            next_watch: 0,
            ended_below: 0,
            silent_below: 0,
        })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a listener for the calls of this limiter and returns its address.
    pub fn add_listener(&self, limiter: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let discovery_address = listener.local_addr().expect("address");
        let service = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = service.clone();
                thread::spawn(move || {
                    service.connection(&stream, limiter, discovery_address);
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        discovery_address
    }

    /// Sets the behavior of all later calls to this address.
    pub fn set_behavior(&self, discovery_address: SocketAddr, behavior: Behavior) {
        self.fail_next(discovery_address, behavior, usize::MAX);
    }

    /// Sets the behavior of the next `calls` calls to this address; later ones are served.
    pub fn fail_next(&self, discovery_address: SocketAddr, behavior: Behavior, calls: usize) {
        self.state().faults.insert(discovery_address, Fault { behavior, calls_left: calls });
    }

    pub fn set_cost(&self, cost: Cost) {
        self.state().cost = cost;
    }

    /// From now on a call without changes to report gets an update without instances at once.
    pub fn send_empty_updates(&self) {
        self.state().sends_empty_updates = true;
    }

    /// Sets a server draining.
    pub fn drain(&self, server: usize) {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        state.servers[server].lifecycle = "terminating";
        state.servers[server].last_changed = revision;
        state.drains.push(Drain { server, since: Instant::now() });
    }

    /// Returns a draining server to service.
    pub fn restore(&self, server: usize) {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        state.servers[server].lifecycle = "in_service";
        state.servers[server].last_changed = revision;
        state.drains.retain(|drain| drain.server != server);
    }

    /// Ends all open watches together.
    pub fn end_watches(&self) {
        let mut state = self.state();
        state.ended_below = state.next_watch;
    }

    /// Keeps all open watches open, but writes nothing more to them.
    pub fn silence_watches(&self) {
        let mut state = self.state();
        state.silent_below = state.next_watch;
    }

    pub fn calls(&self, limiter: usize) -> Vec<Call> {
        self.state().calls.iter().filter(|c| c.limiter == limiter).cloned().collect()
    }

    pub fn heartbeats(&self, limiter: usize) -> Vec<Heartbeat> {
        self.state().heartbeats.iter().filter(|s| s.limiter == limiter).cloned().collect()
    }

    pub fn drains(&self) -> Vec<Drain> {
        self.state().drains.clone()
    }

    /// When this limiter was first notified that the server drains.
    pub fn notified_at(&self, limiter: usize, server: usize) -> Option<Instant> {
        self.state().notified.get(&(limiter, server)).copied()
    }

    fn connection(&self, stream: &TcpStream, limiter: usize, discovery_address: SocketAddr) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let Some(request) = Message::read(&mut BufReader::new(copy)) else { return };
        let _ = stream.set_nonblocking(true);
        let target = request.start_line.split(' ').nth(1).unwrap_or("").to_string();
        let after = target.split("after=").nth(1).and_then(|a| a.split('&').next()?.parse().ok());
        let (call, behavior) = {
            let mut state = self.state();
            let at = Instant::now();
            state.calls.push(Call {
                limiter,
                discovery_address,
                at,
                completed_at: None,
                outcome: Outcome::Pending,
                target,
            });
            (state.calls.len() - 1, state.next_behavior(discovery_address))
        };
        let connection = Connection { service: self, stream, limiter, discovery_address, call };
        connection.answer(after, behavior);
    }
}

/// Starts a limiter with a configured list and this seed; does not wait until it is ready.
pub fn start_limiter(seed: u64, known: &str, settings: &Value, discovery_address: SocketAddr) -> Limiter {
    let known: Value = serde_json::from_str(known).expect("a list");
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "seed": format!("{seed:016x}"),
        "discovery": discovery_address.to_string(), "known": known, "settings": settings});
    let file = temp_file(&config.to_string());
    Limiter::spawn(command(), file, config, discovery_address)
}
