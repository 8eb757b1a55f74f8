//! A discovery service that limiters call over the network: one queue of limited capacity, and faults on demand.
//!
//! Each limiter has a listening address of its own, so that calls, refusals and heartbeats are counted per
//! limiter; all addresses share the queue and the list.

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
const OVERBOOK_BOUND: Duration = Duration::from_secs(2);
/// The generation of the first list, in which every server is in service.
const FIRST_GENERATION: u64 = 10;

/// What answering a call takes of the service.
#[derive(Clone, Copy)]
pub struct Cost {
    pub per_call: Duration,
    pub per_line: Duration,
}

impl Cost {
    pub fn of_call(per_call_ms: u64) -> Cost {
        Cost { per_call: Duration::from_millis(per_call_ms), per_line: Duration::from_millis(1) }
    }
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Conduct {
    /// It waits its turn and is answered.
    Serve,
    /// It is taken and never answered.
    Hang,
    /// Its connection is closed without a byte.
    Close,
    /// It is answered 503, with this `Retry-After` if any.
    Refuse(Option<&'static str>),
    /// The connection ends within the head of the answer.
    CutInHead,
    /// The connection ends within the first message.
    CutInMessage,
    /// It is answered so much later.
    AnswerAfter(Duration),
    /// It is answered with the first list, older than any change.
    OlderList,
    /// It is answered with a whole list that names no draining server.
    LeaveOutDraining,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// Not answered yet, or never.
    Pending,
    Answered,
    Refused,
    /// The service closed it unanswered or half answered.
    Cut,
    /// The limiter closed it before its answer.
    Abandoned,
}

/// A call as the service saw it.
#[derive(Clone, Debug)]
pub struct Call {
    pub limiter: usize,
    /// The address that it came to.
    pub front: SocketAddr,
    pub at: Instant,
    /// When it was no longer out: its head was written, or its connection closed.
    pub done: Option<Instant>,
    pub outcome: Outcome,
    pub target: String,
}

/// A whole message or an empty line, written to a limiter.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    pub limiter: usize,
    pub front: SocketAddr,
    pub at: Instant,
}

/// A server that drains since a moment.
#[derive(Clone, Debug)]
pub struct Drain {
    pub server: usize,
    pub since: Instant,
}

struct Listed {
    address: SocketAddr,
    lifecycle: &'static str,
    changed: u64,
}

/// A fault that befalls the next so many calls to an address.
struct Fault {
    conduct: Conduct,
    calls_left: usize,
}

struct State {
    cost: Cost,
    /// A call to which nothing is new is answered with a message of no servers; else with its head alone.
    says_unchanged: bool,
    servers: Vec<Listed>,
    generation: u64,
    faults: HashMap<SocketAddr, Fault>,
    busy_until: Instant,
    calls: Vec<Call>,
    heartbeats: Vec<Heartbeat>,
    drains: Vec<Drain>,
    /// When a limiter was first written that a server drains.
    notified: HashMap<(usize, usize), Instant>,
    next_watch: u64,
    /// Watches with smaller numbers end.
    ended_below: u64,
    /// Watches with smaller numbers say nothing.
    silent_below: u64,
}

/// A message that can be written, and the draining servers that it announces.
struct Text {
    line: String,
    lines: u32,
    generation: u64,
    drained: Vec<usize>,
}

impl State {
    fn message(&self, after: Option<u64>, conduct: Conduct) -> Option<Text> {
        let older = conduct == Conduct::OlderList;
        let leaves_out = conduct == Conduct::LeaveOutDraining;
        let since = after.filter(|after| !older && !leaves_out && *after <= self.generation);
        let (mut named, mut drained) = (Vec::<Value>::new(), Vec::new());
        for (n, server) in self.servers.iter().enumerate() {
            let draining = server.lifecycle != "in_service" && !older;
            if since.is_some_and(|since| server.changed <= since) {
                continue;
            }
            if draining {
                drained.push(n);
            }
            if draining && leaves_out {
                continue;
            }
            let lifecycle = if older { "in_service" } else { server.lifecycle };
            named.push(instance(&format!("s-{n}"), server.address, lifecycle));
        }
        if since.is_some() && named.is_empty() && !self.says_unchanged {
            return None;
        }
        let generation = if older { FIRST_GENERATION } else { self.generation };
        let line = update(generation, since.is_none(), &named);
        Some(Text { line, lines: named.len() as u32, generation, drained })
    }

    /// What befalls a call to this address; counts it.
    fn conduct(&mut self, front: SocketAddr) -> Conduct {
        match self.faults.get_mut(&front) {
            Some(fault) if fault.calls_left > 0 => {
                fault.calls_left -= 1;
                fault.conduct
            }
            _ => Conduct::Serve,
        }
    }

    /// Takes a place in the queue: when the answer is ready, or none where that would take too long.
    fn book(&mut self, lines: u32) -> Option<Instant> {
        let now = Instant::now();
        let ready = self.busy_until.max(now) + self.cost.per_call + self.cost.per_line * lines;
        if ready - now > OVERBOOK_BOUND {
            return None;
        }
        self.busy_until = ready;
        Some(ready)
    }

    fn finish(&mut self, call: usize, outcome: Outcome) {
        let call = &mut self.calls[call];
        call.outcome = outcome;
        call.done.get_or_insert_with(Instant::now);
    }
}

/// The service.
#[derive(Clone)]
pub struct OnRequestDiscovery(Arc<Mutex<State>>);

impl OnRequestDiscovery {
    /// One that lists these servers as `s-0`, `s-1` and so on, all in service.
    pub fn new(cost: Cost, servers: &[SocketAddr]) -> OnRequestDiscovery {
        let listed = |address: &SocketAddr| Listed {
            address: *address,
            lifecycle: "in_service",
            changed: FIRST_GENERATION,
        };
        OnRequestDiscovery(Arc::new(Mutex::new(State {
            cost,
            says_unchanged: false,
            servers: servers.iter().map(listed).collect(),
            generation: FIRST_GENERATION,
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

    /// A new address at which this limiter may call.
    pub fn front(&self, limiter: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let front = listener.local_addr().expect("address");
        let service = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = service.clone();
                thread::spawn(move || {
                    service.connection(&stream, limiter, front);
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        front
    }

    /// From now on every call to this address goes so.
    pub fn conduct(&self, front: SocketAddr, conduct: Conduct) {
        self.fail_next(front, conduct, usize::MAX);
    }

    /// The next so many calls to this address go so, later ones are served.
    pub fn fail_next(&self, front: SocketAddr, conduct: Conduct, calls: usize) {
        self.state().faults.insert(front, Fault { conduct, calls_left: calls });
    }

    pub fn set_cost(&self, cost: Cost) {
        self.state().cost = cost;
    }

    /// From now on a call to which nothing is new gets a message at once.
    pub fn say_unchanged(&self) {
        self.state().says_unchanged = true;
    }

    /// A server begins to drain.
    pub fn drain(&self, server: usize) {
        let mut state = self.state();
        state.generation += 1;
        let generation = state.generation;
        state.servers[server].lifecycle = "terminating";
        state.servers[server].changed = generation;
        state.drains.push(Drain { server, since: Instant::now() });
    }

    /// A server that drained is in service again.
    pub fn restore(&self, server: usize) {
        let mut state = self.state();
        state.generation += 1;
        let generation = state.generation;
        state.servers[server].lifecycle = "in_service";
        state.servers[server].changed = generation;
        state.drains.retain(|drain| drain.server != server);
    }

    /// All open watches end in one instant.
    pub fn end_watches(&self) {
        let mut state = self.state();
        state.ended_below = state.next_watch;
    }

    /// All open watches stay open and say nothing more.
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

    /// When this limiter was first written that the server drains.
    pub fn notified_at(&self, limiter: usize, server: usize) -> Option<Instant> {
        self.state().notified.get(&(limiter, server)).copied()
    }

    fn connection(&self, stream: &TcpStream, limiter: usize, front: SocketAddr) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let Some(request) = Message::read(&mut BufReader::new(copy)) else { return };
        let _ = stream.set_nonblocking(true);
        let target = request.start_line.split(' ').nth(1).unwrap_or("").to_string();
        let after = target.split("after=").nth(1).and_then(|a| a.split('&').next()?.parse().ok());
        let (call, conduct) = {
            let mut state = self.state();
            let at = Instant::now();
            state.calls.push(Call { limiter, front, at, done: None, outcome: Outcome::Pending, target });
            (state.calls.len() - 1, state.conduct(front))
        };
        let connection = Connection { service: self, stream, limiter, front, call };
        connection.answer(after, conduct);
    }
}

/// Starts a limiter with a list that it had before and a seed of its own, and does not wait until it is ready.
pub fn start_limiter(seed: u64, known: &str, settings: &Value, front: SocketAddr) -> Limiter {
    let known: Value = serde_json::from_str(known).expect("a list");
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "seed": format!("{seed:016x}"),
        "discovery": front.to_string(), "known": known, "settings": settings});
    let file = temp_file(&config.to_string());
    Limiter::spawn(command(), file, config, front)
}
