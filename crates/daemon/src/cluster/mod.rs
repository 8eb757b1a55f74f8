//! The other limiters: who of them is alive, and which duties are held here, over UDP. Off unless the operator names it.
//!
//! Decisions are the `members` crate's; here are its socket, its clock, and what the duties are: probing the nodes, which is
//! divided, each node asked by one limiter, whose news of it come to all.

mod ask;
mod probing;

pub use ask::{listen, show};

use crate::events::EventQueue;
use crate::log;
use crate::upstream::servers::Servers;
use liftrouter_cluster::{Input, Members, Micros, News, Output, Problem, Settings, LARGEST};
use std::cell::RefCell;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// Datagrams that are read before the clock is looked at again.
const AT_ONCE: usize = 64;

/// How this limiter is a member.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Name, address and paces.
    pub settings: Settings,
    /// The Unix socket at which it is asked who is there.
    pub ask: Option<PathBuf>,
    /// How often each node is probed, by whoever holds it; none where nodes are not probed.
    pub probe: Option<Duration>,
    /// For tests alone: every datagram goes to this one, which plays the links between members.
    pub via: Option<SocketAddr>,
}

/// An address as it stands before a datagram that goes by another.
fn packed(address: SocketAddr) -> [u8; 6] {
    let [a, b, c, d] = match address {
        SocketAddr::V4(v4) => v4.ip().octets(),
        // Members talk on loopback only, and tests name it so.
        SocketAddr::V6(_) => [127, 0, 0, 1],
    };
    let [p, q] = address.port().to_be_bytes();
    [a, b, c, d, p, q]
}

fn unpacked(bytes: &[u8]) -> Option<(SocketAddr, &[u8])> {
    let (&[a, b, c, d, p, q], rest) = bytes.split_first_chunk::<6>()?;
    Some((SocketAddr::from(([a, b, c, d], u16::from_be_bytes([p, q]))), rest))
}

/// This limiter as a member.
pub struct Group {
    members: RefCell<Members>,
    socket: UdpSocket,
    began: Instant,
    /// Somebody changed when it has to wake.
    changed: Notify,
    events: Rc<EventQueue>,
    via: Option<SocketAddr>,
}

impl Group {
    /// Opens its socket.
    ///
    /// # Errors
    /// It cannot be opened, or settings that cannot be used.
    pub async fn open(setup: &Setup, events: Rc<EventQueue>) -> Result<Rc<Group>, String> {
        let mut settings = setup.settings.clone();
        let at = if setup.via.is_some() { ([127, 0, 0, 1], 0).into() } else { settings.address };
        let socket = UdpSocket::bind(at).await;
        let socket = socket.map_err(|e| format!("cannot listen on {at} for members: {e}"))?;
        if setup.via.is_none() {
            settings.address = socket.local_addr().map_err(|e| e.to_string())?;
        }
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // Keyed anew for each process by the system's own randomness.
        let instance = std::hash::RandomState::new().build_hasher().finish();
        let members = Members::new(settings, instance, 0, unix.as_millis() as u64);
        let members =
            members.map_err(|all| all.iter().map(Problem::to_string).collect::<Vec<_>>().join("; "))?;
        log("liftrouter", format_args!("member {} on {}", members.me().name, members.me().address));
        Ok(Rc::new(Group {
            members: RefCell::new(members),
            socket,
            began: Instant::now(),
            changed: Notify::new(),
            events,
            via: setup.via,
        }))
    }

    fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    /// Takes one thing in and does what follows from it.
    fn feed(&self, input: Input) {
        let mut out = Vec::new();
        self.members.borrow_mut().handle(self.now(), input, &mut out);
        self.carry_out(out);
    }

    fn carry_out(&self, out: Vec<Output>) {
        for output in out {
            match output {
                // A full buffer loses it, as the network may: nothing waits for a datagram.
                Output::Send(to, bytes) => self.send(to, &bytes),
                Output::News(news) => self.heard(news),
            }
        }
    }

    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        let _ = match self.via {
            None => self.socket.try_send_to(bytes, to),
            Some(via) => {
                let from = self.members.borrow().me().address;
                self.socket.try_send_to(&[&packed(from)[..], &packed(to), bytes].concat(), via)
            }
        };
    }

    fn datagram(&self, from: SocketAddr, bytes: &[u8]) {
        match self.via {
            None => self.feed(Input::Datagram(from, bytes)),
            Some(_) => {
                if let Some((from, bytes)) = unpacked(bytes) {
                    self.feed(Input::Datagram(from, bytes));
                }
            }
        }
    }

    fn heard(&self, news: News) {
        match news {
            News::Up(process) => {
                let (name, address, instance) = (process.name, process.address, process.instance);
                log("members", format_args!("{name} is there, {address}, instance {instance:016x}"));
            }
            News::Down(process) => {
                log("members", format_args!("{} is gone, instance {:016x}", process.name, process.instance));
            }
            News::Returned => log("members", "the others took this one for gone; it is back"),
            News::NameTaken { name, instances: [a, b] } => log(
                "members",
                format_args!(
                    "two processes are called {name}, {a:016x} and {b:016x}; the later holds no duty"
                ),
            ),
            News::Held(slot, token) => log("members", format_args!("holds slot {slot} by {token}")),
            News::Lost(slot, token) => log("members", format_args!("holds slot {slot} by {token} no more")),
            News::Told { what, .. } => probing::told(&self.events, &what),
            News::Foreign { from, what } => {
                log("members", format_args!("a datagram from {from} is none of a member's: {what}"));
            }
        }
    }

    /// Runs for as long as it is polled.
    pub async fn run(self: Rc<Self>) {
        let mut buffer = vec![0; LARGEST + 16];
        self.feed(Input::Wake);
        loop {
            let now = self.now();
            let at = self.members.borrow().wake_at(now);
            let wake = self.began + Duration::from_micros(at.min(now + 3_600_000_000));
            tokio::select! {
                // What came while the process stood still is read before it does what it was late for.
                biased;
                done = self.socket.readable() => {
                    if done.is_err() {
                        continue;
                    }
                    for _ in 0..AT_ONCE {
                        let Ok((len, from)) = self.socket.try_recv_from(&mut buffer) else { break };
                        self.datagram(from, &buffer[..len]);
                    }
                    if self.now() >= at {
                        self.feed(Input::Wake);
                    }
                }
                () = sleep_until(wake) => self.feed(Input::Wake),
                () = self.changed.notified() => {}
            }
        }
    }

    /// Gives its duties back and tells the others that it goes.
    pub fn leave(&self) {
        self.feed(Input::Leave);
        self.changed.notify_one();
    }

    /// Probes the nodes that it holds, each once in so long.
    pub async fn probe(self: Rc<Self>, servers: Rc<Servers>, every: Duration) {
        probing::run(self, servers, every).await;
    }

    /// Answers those that come to its Unix socket.
    pub async fn answer(self: Rc<Self>, listener: tokio::net::UnixListener) {
        ask::answer(self, listener).await;
    }
}
