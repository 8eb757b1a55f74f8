//! The stand-in quote nodes: cores and a queue, cold starts that can be pushed over, drains, a memory of keys
//! that all share, and answers that stall or are rubbish.
//!
//! A node is one machine with one process after the other: each process has its own addresses, and starts
//! cold. What several faults want of a node at once is settled by [`Wants`]: the gravest holds, and a node is
//! back only when the last of them is over.

use super::list::{Entry, List};
use super::{Asked, Conn};
use crate::history::{AttemptId, Event, Listed, NodeNews, Over, Recorder, TryId};
use crate::ledger::cold_rule;
use crate::ledger::stores::ColdBudget;
use crate::net::link::{looks_open, serve, Link, Pipe, Reserved, Trouble};
use crate::net::message::{answer, Request};
pub use crate::node::Condition;
use crate::node::{cell, Wants, DRAIN_NOTICE};
use crate::scenario::Scenario;
use crate::schedule::{micros, Arrival, Schedule};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch, Semaphore};
use tokio::time::{sleep, timeout};

/// Work of a request that no schedule knows, for nodes that are tried by hand.
const UNKNOWN_WORK: Duration = Duration::from_millis(80);
/// Of an answer that stalls, so many bytes are written.
const STALL_AT: usize = 40;

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The body that a node makes for an attempt of a try: only the kit can make one that holds.
pub fn body(id: TryId, attempt: AttemptId, secret: u64) -> String {
    format!("quote {id:016x} {attempt:08x} {:016x}", seal(id, attempt, secret))
}

fn seal(id: TryId, attempt: AttemptId, secret: u64) -> u64 {
    let mixed = (id ^ secret).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        ^ u64::from(attempt).wrapping_mul(0xff51_afd7_ed55_8ccd);
    (mixed ^ (mixed >> 31)).wrapping_mul(0xc4ce_b9fe_1a85_ec53)
}

/// Whether a body is one that a node made for this try.
pub fn is_own(text: &[u8], id: TryId, secret: u64) -> bool {
    let Some(text) = std::str::from_utf8(text).ok() else { return false };
    let attempt = text.split(' ').nth(2).and_then(|a| u32::from_str_radix(a, 16).ok());
    attempt.is_some_and(|attempt| text == body(id, attempt, secret))
}

/// An attempt whose connection was open when it was last looked at.
struct OpenAttempt {
    attempt: AttemptId,
    /// When its first byte arrived at the link.
    arrived: Instant,
    socket: Arc<TcpStream>,
}

/// What all nodes share.
pub struct Shared {
    scenario: Arc<Scenario>,
    schedule: Arc<Schedule>,
    recorder: Arc<Recorder>,
    list: Arc<List>,
    /// Seals the bodies of answers.
    pub secret: u64,
    /// Links by limiter and node.
    links: Vec<Vec<Arc<Link>>>,
    attempts: AtomicU32,
    at: Option<SocketAddr>,
    /// Attempts by try whose connections were open when last seen.
    open: Mutex<HashMap<TryId, Vec<OpenAttempt>>>,
    /// Keys that have been worked on, and until when a repeat is dropped.
    keys: Mutex<HashMap<String, Instant>>,
}

/// One process of a node.
struct Life {
    number: u32,
    cold: bool,
    cores: Arc<Semaphore>,
    in_hand: AtomicUsize,
    connections: AtomicUsize,
    budget: Mutex<ColdBudget>,
    /// True for as long as it runs.
    runs: watch::Sender<bool>,
}

/// A node.
pub struct Node {
    index: u16,
    shared: Arc<Shared>,
    life: Mutex<Option<Arc<Life>>>,
    lives: AtomicU32,
    wants: Mutex<(Wants, Condition)>,
    listed_draining: Mutex<BTreeSet<u32>>,
    slow: Mutex<BTreeMap<u32, f64>>,
    stalling: Mutex<BTreeSet<u32>>,
    rubbish: Mutex<BTreeSet<u32>>,
}

/// All nodes.
pub struct Fleet {
    /// One by one.
    pub nodes: Vec<Arc<Node>>,
    /// What they share.
    pub shared: Arc<Shared>,
}

impl Fleet {
    /// All of them warm and in the list. `links` are by limiter and node; the first processes listen from this
    /// address on, if one is given, a port each.
    ///
    /// # Errors
    /// No address is to be had.
    pub fn start(
        scenario: Arc<Scenario>,
        schedule: Arc<Schedule>,
        recorder: Arc<Recorder>,
        list: Arc<List>,
        links: Vec<Vec<Arc<Link>>>,
        at: Option<SocketAddr>,
    ) -> io::Result<Fleet> {
        let secret = schedule.seed ^ 0x5bd1_e995_7b1f_3ac7;
        let count = scenario.nodes.count;
        let shared = Arc::new(Shared {
            scenario,
            schedule,
            recorder,
            list,
            secret,
            links,
            attempts: AtomicU32::new(1),
            at,
            open: Mutex::default(),
            keys: Mutex::default(),
        });
        let nodes: Vec<_> = (0..count).map(|n| Node::new(n as u16, shared.clone())).collect();
        for node in &nodes {
            let entry = node.start(false)?;
            shared.list.put(entry);
        }
        Ok(Fleet { nodes, shared })
    }
}

impl Shared {
    /// The list that the nodes are in.
    pub fn list(&self) -> &List {
        &self.list
    }

    fn request(&self, id: TryId) -> Option<&Arrival> {
        let (index, n) = Arrival::of_id(id)?;
        self.schedule.arrivals.get(index).filter(|a| n < a.tries.len())
    }

    /// What a request has otherwise than its client sent it; nothing for one that no schedule knows.
    fn altered(&self, id: TryId, request: &Request) -> Option<String> {
        self.request(id)?;
        let sent = self.schedule.wire(&self.scenario, Arrival::of_id(id)?.0)?;
        let key = request.headers.get("idempotency-key");
        let pairs = [
            ("method", request.method.clone(), sent.method.to_string()),
            ("target", request.target.clone(), sent.target),
            ("body", String::from_utf8_lossy(&request.body).into_owned(), sent.body),
            ("key", key.unwrap_or_default().to_string(), sent.key.unwrap_or_default()),
        ];
        let other = pairs.into_iter().find(|(_, found, sent)| found != sent);
        other.map(|(part, found, sent)| format!("{part} {found:?}, sent as {sent:?}"))
    }

    /// The attempts of a try that are out at the same time as a new one, which joins them. A link may hold the new one
    /// until the limiter has ended its connection, at `ended`: an attempt that arrived after that was never out beside it.
    fn opened(&self, id: TryId, new: OpenAttempt, ended: Option<Instant>) -> Vec<AttemptId> {
        let mut open = locked(&self.open);
        let all = open.entry(id).or_default();
        all.retain(|other| looks_open(&other.socket));
        let overlaps = |other: &&OpenAttempt| ended.is_none_or(|ended| other.arrived < ended);
        let others = all.iter().filter(overlaps).map(|other| other.attempt).collect();
        all.push(new);
        others
    }

    fn closed(&self, id: TryId, attempt: AttemptId) {
        let mut open = locked(&self.open);
        if let Some(all) = open.get_mut(&id) {
            all.retain(|open| open.attempt != attempt);
            if all.is_empty() {
                open.remove(&id);
            }
        }
    }

    /// Whether this key is being dropped; from now on it is.
    fn repeats(&self, key: &str) -> bool {
        let (now, memory) = (Instant::now(), Duration::from_secs_f64(self.scenario.nodes.key_memory_s));
        let mut keys = locked(&self.keys);
        if keys.len() > 10_000 {
            keys.retain(|_, until| *until > now);
        }
        let known = keys.get(key).is_some_and(|until| *until > now);
        if !known {
            keys.insert(key.to_string(), now + memory);
        }
        known
    }
}

/// How an answer is spoilt.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Spoil {
    Not,
    Stall,
    Rubbish(u32),
}

impl Node {
    fn new(index: u16, shared: Arc<Shared>) -> Arc<Node> {
        Arc::new(Node {
            index,
            shared,
            life: Mutex::default(),
            lives: AtomicU32::new(0),
            wants: Mutex::new((Wants::default(), Condition::Up)),
            listed_draining: Mutex::default(),
            slow: Mutex::default(),
            stalling: Mutex::default(),
            rubbish: Mutex::default(),
        })
    }

    /// Starts a process on new addresses; gives what the list is to say of it.
    fn start(self: &Arc<Self>, cold: bool) -> io::Result<Entry> {
        let s = &self.shared.scenario;
        let number = self.lives.fetch_add(1, Ordering::SeqCst);
        let index = usize::from(self.index);
        let at = self.shared.recorder.now();
        let capacity = s.nodes.cores as f64 * self.shared.schedule.speeds[index];
        let (from, warm) = if cold { (s.nodes.cold_from, micros(s.nodes.cold_s)) } else { (1.0, 0) };
        let life = Arc::new(Life {
            number,
            cold,
            cores: Arc::new(Semaphore::new(s.nodes.cores)),
            in_hand: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            budget: Mutex::new(ColdBudget::new(cold_rule(s), capacity, from, warm, at)),
            runs: watch::Sender::new(true),
        });
        let mut addresses = Vec::new();
        for limiter in 0..s.limiters.count {
            let reserved = match self.shared.at.filter(|_| number == 0 && limiter == 0) {
                Some(at) => Reserved::at((at.ip(), at.port() + self.index).into())?,
                None => Reserved::any()?,
            };
            let (node, life, open) = (self.clone(), life.clone(), life.runs.subscribe());
            let link = self.shared.links[limiter][index].clone();
            addresses.push(serve(reserved, link, open, move |pipe| {
                tokio::spawn(node.clone().connection(life.clone(), limiter as u16, pipe));
            })?);
        }
        *locked(&self.life) = Some(life);
        let news = NodeNews::Started { cold };
        self.shared.recorder.note_at(at, Event::Node { node: self.index, life: number, what: news });
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let room = index % s.rooms.len();
        Ok(Entry {
            node: self.index,
            life: number,
            state: Listed::InService,
            zone: s.rooms[room].clone(),
            cell: cell(index, s.rooms.len()),
            weight: 1.0,
            started_ms: if cold { unix } else { 0 },
            addresses: Arc::new(addresses),
        })
    }

    /// Ends the process: its connections are reset, new ones refused.
    fn kill(&self, what: NodeNews) -> Option<u32> {
        let life = locked(&self.life).take()?;
        life.runs.send_replace(false);
        let (node, life) = (self.index, life.number);
        self.shared.recorder.note(Event::Node { node, life, what });
        Some(life)
    }

    fn entry(&self, life: u32, state: Listed) -> Entry {
        let nowhere = vec![([127, 0, 0, 1], 1).into(); self.shared.scenario.limiters.count];
        let mut entry = Entry {
            node: self.index,
            life,
            state,
            zone: String::new(),
            cell: 0,
            weight: 1.0,
            started_ms: 0,
            addresses: Arc::new(nowhere),
        };
        // What the list said before, if it did, but for the state.
        if let Some(last) = self.shared.list.last(self.index) {
            if last.life == life {
                entry = Entry { state, ..last };
            }
        }
        entry
    }

    fn notice(&self) -> Duration {
        Duration::from_secs_f64(self.shared.scenario.list.notice_s)
    }

    /// A fault wants the node in this condition.
    ///
    /// # Errors
    /// No address is to be had for a new process.
    pub fn want(self: &Arc<Self>, fault: u32, condition: Condition) -> io::Result<()> {
        self.change(|wants| wants.add(fault, condition))
    }

    /// What this fault did is over.
    ///
    /// # Errors
    /// No address is to be had for a new process.
    pub fn undo(self: &Arc<Self>, fault: u32) -> io::Result<()> {
        self.list_drains(fault, false);
        locked(&self.slow).remove(&fault);
        locked(&self.stalling).remove(&fault);
        locked(&self.rubbish).remove(&fault);
        self.change(|wants| wants.remove(fault))
    }

    /// Dies and starts at once, cold and on other addresses, unless a fault keeps it down.
    ///
    /// # Errors
    /// No address is to be had.
    pub fn restart(self: &Arc<Self>) -> io::Result<()> {
        if locked(&self.wants).1 != Condition::Up {
            return Ok(());
        }
        self.kill(NodeNews::Down);
        let entry = self.start(true)?;
        self.shared.list.announce(entry, self.notice());
        Ok(())
    }

    fn change(self: &Arc<Self>, how: impl FnOnce(&mut Wants)) -> io::Result<()> {
        let (before, now) = {
            let mut wants = locked(&self.wants);
            how(&mut wants.0);
            let before = wants.1;
            wants.1 = wants.0.condition();
            (before, wants.1)
        };
        if before == now {
            return Ok(());
        }
        let life = locked(&self.life).as_ref().map(|l| l.number);
        let notice = self.notice();
        if before == Condition::Vanished {
            // The machine is back, or dead for good: what stood open to it is reset.
            self.kill(NodeNews::Down);
            self.cut(false);
        }
        match now {
            Condition::Up => {
                self.kill(NodeNews::Down);
                let entry = self.start(true)?;
                self.shared.list.announce(entry, notice);
            }
            Condition::Draining => {
                if let Some(life) = life {
                    self.shared
                        .list
                        .announce(self.entry(life, Listed::Draining), notice.mul_f64(DRAIN_NOTICE));
                }
            }
            Condition::Vanished => {
                self.cut(true);
                if let Some(life) = life {
                    let after = Duration::from_secs_f64(self.shared.scenario.list.silent_notice_s);
                    self.shared.list.announce(self.entry(life, Listed::Gone), after);
                }
            }
            Condition::Down => {
                if let Some(life) = self.kill(NodeNews::Down).or(life) {
                    self.shared.list.announce(self.entry(life, Listed::Gone), notice);
                }
            }
        }
        Ok(())
    }

    /// A machine that says nothing: its links are cut under a number that no fault has.
    fn cut(&self, cut: bool) {
        let own = u32::MAX - u32::from(self.index);
        for links in &self.shared.links {
            let link = &links[usize::from(self.index)];
            if cut {
                link.begin(own, Trouble::Cut);
            } else {
                link.undo(own);
            }
        }
    }

    /// A fault begins, or ends: the list says that it drains, and it knows nothing of it.
    pub fn list_drains(&self, fault: u32, drains: bool) {
        let held = {
            let mut listed = locked(&self.listed_draining);
            if drains {
                listed.insert(fault);
            } else if !listed.remove(&fault) {
                return;
            }
            !listed.is_empty()
        };
        let life = locked(&self.life).as_ref().map(|l| l.number);
        // What its own condition says of it comes first.
        if let (Some(life), Condition::Up) = (life, locked(&self.wants).1) {
            let state = if held { Listed::Draining } else { Listed::InService };
            self.shared.list.announce(self.entry(life, state), Duration::ZERO);
        }
    }

    /// A fault begins: work takes so many times as long.
    pub fn slow_down(&self, fault: u32, times: f64) {
        locked(&self.slow).insert(fault, times);
    }

    /// A fault begins: answers stop in their midst.
    pub fn stall(&self, fault: u32) {
        locked(&self.stalling).insert(fault);
    }

    /// A fault begins: answers are rubbish.
    pub fn spoil(&self, fault: u32) {
        locked(&self.rubbish).insert(fault);
    }

    fn spoilt(&self, attempt: AttemptId) -> Spoil {
        if !locked(&self.rubbish).is_empty() {
            Spoil::Rubbish(attempt)
        } else if !locked(&self.stalling).is_empty() {
            Spoil::Stall
        } else {
            Spoil::Not
        }
    }

    // ----- connections -----

    async fn connection(self: Arc<Self>, life: Arc<Life>, limiter: u16, pipe: Pipe) {
        let nodes = &self.shared.scenario.nodes;
        let over = life.connections.fetch_add(1, Ordering::SeqCst) >= nodes.connections;
        let mut runs = life.runs.subscribe();
        let idle = Duration::from_secs_f64(nodes.idle_s);
        let mut conn = Conn::new(pipe);
        let mut handshake = Some(Duration::from_secs_f64(nodes.handshake_ms / 1e3));
        loop {
            let asked = tokio::select! {
                asked = timeout(idle, conn.next()) => asked.ok().flatten(),
                _ = runs.wait_for(|runs| !*runs) => {
                    conn.pipe.reset();
                    break;
                }
            };
            let Some(asked) = asked else { break };
            if let Some(cost) = handshake.take().filter(|cost| !cost.is_zero()) {
                sleep(cost).await;
            }
            if !self.serve(&life, limiter, &asked, &mut conn.pipe, over).await {
                if !*life.runs.borrow() {
                    conn.pipe.reset();
                }
                break;
            }
        }
        life.connections.fetch_sub(1, Ordering::SeqCst);
    }

    /// Serves a request; false if the connection is of no further use.
    async fn serve(
        self: &Arc<Self>,
        life: &Arc<Life>,
        limiter: u16,
        asked: &Asked,
        pipe: &mut Pipe,
        crowded: bool,
    ) -> bool {
        let request = &asked.request;
        let (first, last) = (self.shared.recorder.at(asked.first), self.shared.recorder.at(asked.last));
        if matches!(request.target.as_str(), "/metrics/load" | "/alive") {
            self.shared.recorder.note(Event::Probed { limiter });
            let report = self.report(life);
            let text = answer("200 OK", &format!("X-Backend-Load: {report}\r\n"), &report);
            return pipe.write(text.as_bytes()).await.is_ok();
        }
        let Some(id) = request.headers.get("x-correlation-id").and_then(|t| u64::from_str_radix(t, 16).ok())
        else {
            return pipe.write(answer("404 Not Found", "", "").as_bytes()).await.is_ok();
        };
        let version = request.headers.get("x-inventory").and_then(|v| v.parse().ok());
        let attempt = self.shared.attempts.fetch_add(1, Ordering::SeqCst);
        let new = OpenAttempt { attempt, arrived: asked.first, socket: pipe.socket() };
        let open = self.shared.opened(id, new, pipe.ended_at());
        let (node, number) = (self.index, life.number);
        self.shared
            .recorder
            .note_at(last, Event::Arrived { attempt, id, node, life: number, limiter, first, open, version });
        if let Some(what) = self.shared.altered(id, request) {
            self.shared.recorder.note_at(last, Event::Altered { id, what });
        }
        let known = self.shared.request(id);
        let work = known.map_or(UNKNOWN_WORK, |a| Duration::from_micros(a.work));
        let collapses = locked(&life.budget).push(last, work.as_secs_f64(), true).is_some();
        if life.cold && collapses {
            if let Some(life) = self.kill(NodeNews::Collapsed) {
                self.shared.list.announce(self.entry(life, Listed::Gone), self.notice());
            }
        }
        if !*life.runs.borrow() {
            self.over(id, attempt, Over::Spoilt);
            return false;
        }
        let nodes = &self.shared.scenario.nodes;
        let room = nodes.cores * (1 + nodes.queue_per_core);
        let draining = locked(&self.wants).1 == Condition::Draining;
        if crowded || draining || life.in_hand.load(Ordering::SeqCst) >= room {
            let text = answer("503 Service Unavailable", "X-Unprocessed: 1\r\n", "not taken up\n");
            return self.reply(life, (id, attempt), Over::Turned, text.as_bytes(), pipe).await && !crowded;
        }
        let repeats = request.headers.get("idempotency-key").is_some_and(|key| self.shared.repeats(key));
        let done = self.work(life, if repeats { Duration::from_millis(1) } else { work });
        let mut runs = life.runs.subscribe();
        tokio::select! {
            _ = done => {}
            // Closing the connection stops no work.
            () = pipe.ended() => {
                self.over(id, attempt, Over::Closed);
                return false;
            }
            _ = runs.wait_for(|runs| !*runs) => {
                self.over(id, attempt, Over::Spoilt);
                return false;
            }
        }
        let units = known.map_or(1, |a| a.units);
        let body = body(id, attempt, self.shared.secret);
        let text = answer("200 OK", &format!("X-Settled: {units}\r\n"), &body);
        let spoilt = match self.spoilt(attempt) {
            Spoil::Not => {
                return self.reply(life, (id, attempt), Over::Answered(200), text.as_bytes(), pipe).await;
            }
            Spoil::Stall => {
                let _ = pipe.write(&text.as_bytes()[..STALL_AT]).await;
                tokio::select! {
                    () = pipe.ended() => {}
                    _ = runs.wait_for(|runs| !*runs) => {}
                }
                self.over(id, attempt, Over::Spoilt);
                return false;
            }
            Spoil::Rubbish(n) => n % 4,
        };
        let rubbish = match spoilt {
            0 => "\u{0}\u{1}rubbish \r\n\r\n".to_string(),
            1 => format!("HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n{body}"),
            2 => answer("500 Internal Server Error", "", "no"),
            _ => "HTTP/1.1 999999 What\r\nContent-Length: -4\r\n\r\n".to_string(),
        };
        self.reply(life, (id, attempt), Over::Spoilt, rubbish.as_bytes(), pipe).await && spoilt == 2
    }

    /// Writes an answer once the link lets it out; until then the attempt is out. True if the connection can
    /// serve again.
    async fn reply(
        &self,
        life: &Life,
        (id, attempt): (TryId, AttemptId),
        how: Over,
        text: &[u8],
        pipe: &mut Pipe,
    ) -> bool {
        let mut runs = life.runs.subscribe();
        let passes = tokio::select! {
            passes = pipe.passes() => passes,
            // A dead process answers nothing, though its link is whole again.
            _ = runs.wait_for(|runs| !*runs) => {
                self.over(id, attempt, Over::Spoilt);
                return false;
            }
        };
        match passes {
            // Before the bytes: a limiter that has them may send again at once.
            Ok(true) => {
                self.over(id, attempt, how);
                pipe.put(text).await.is_ok()
            }
            Ok(false) => {
                pipe.ended().await;
                self.over(id, attempt, Over::Closed);
                false
            }
            Err(_) => {
                self.over(id, attempt, Over::Closed);
                false
            }
        }
    }

    /// Its answer is about to be written, or its connection has ended: an attempt counts as out until then.
    fn over(&self, id: TryId, attempt: AttemptId, how: Over) {
        self.shared.closed(id, attempt);
        self.shared.recorder.note(Event::Over { attempt, how });
    }

    fn report(&self, life: &Life) -> String {
        let cores = self.shared.scenario.nodes.cores;
        let busy = (cores - life.cores.available_permits().min(cores)) as f64 / cores as f64;
        format!("util={busy:.2}")
    }

    /// Works on a request in its turn, whoever still waits for it.
    fn work(self: &Arc<Self>, life: &Arc<Life>, work: Duration) -> oneshot::Receiver<()> {
        let (done, wait) = oneshot::channel();
        let (node, life) = (self.clone(), life.clone());
        life.in_hand.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(async move {
            if let Ok(_core) = life.cores.acquire().await {
                let warmth = locked(&life.budget).warmth(node.shared.recorder.now());
                let speed = node.shared.schedule.speeds[usize::from(node.index)];
                let slow: f64 = locked(&node.slow).values().product();
                sleep(work.mul_f64(slow / (speed * warmth))).await;
            }
            life.in_hand.fetch_sub(1, Ordering::SeqCst);
            let _ = done.send(());
        });
        wait
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_a_node_s_own_body_for_this_try_is_taken_for_one() {
        let text = body(0x12, 7, 99);
        assert!(is_own(text.as_bytes(), 0x12, 99));
        assert!(!is_own(text.as_bytes(), 0x13, 99), "made for another");
        assert!(!is_own(text.replace("0007", "0008").as_bytes(), 0x12, 99));
        assert!(!is_own(b"quote", 0x12, 99));
    }
}
