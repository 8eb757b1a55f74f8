//! Scripted clients, and the front that deals them over the limiters.
//!
//! The front sends each customer's requests to its set, one of the set by the schedule's draw, and past those
//! that it has noticed to be dead. Clients keep connections, send one request at a time on each, give up at
//! their deadline, and ask again as the schedule says.

use crate::history::{Body, Event, Recorder, TryId};
use crate::net::close::{glance, Close};
use crate::net::message::{take_answer, Answer};
use crate::scenario::{Effect, Scenario};
use crate::schedule::{Arrival, Micros, Schedule};
use crate::standin::nodes::is_own;
use crate::standin::platform::{Call, Lines, Said};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout};

/// A client that got no answer in time waits so much longer before it stops, for the judge to see.
const PATIENCE: Duration = Duration::from_millis(1_000);
/// Connecting on loopback takes no time: what is not up by then is not there.
const CONNECT: Duration = Duration::from_millis(1_000);
/// Kept connections are used for this long.
const IDLE: Duration = Duration::from_secs(2);

/// A limiter as the front knows it.
struct Gate {
    address: SocketAddr,
    state: Mutex<GateState>,
    idle: Mutex<Vec<Kept>>,
}

/// A connection between two requests.
struct Kept {
    stream: TcpStream,
    since: Instant,
    /// The try that was answered on it last.
    answered: TryId,
}

/// Bytes that came unasked on a kept connection; none where it is still good. A limiter may say why it closes one.
fn surplus(stream: &TcpStream) -> Option<u32> {
    let mut buffer = [0; 512];
    match stream.try_read(&mut buffer) {
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => None,
        Ok(read) if !buffer.starts_with(b"HTTP/1.1 408") => Some(read as u32),
        _ => Some(0),
    }
}

#[derive(Default)]
struct GateState {
    up: bool,
    /// When it went down, in truth.
    down_since: Option<Instant>,
    /// Changes with each end of its process.
    lives: u64,
}

/// The front.
pub struct Front {
    gates: Vec<Gate>,
    notice: Duration,
    /// Connections over which platforms ask for permission.
    lines: OnceLock<Lines>,
}

impl Front {
    /// Before these limiters, none of which is up yet.
    pub fn new(addresses: &[SocketAddr], notice_s: f64) -> Arc<Front> {
        let gate = |a: &SocketAddr| Gate { address: *a, state: Mutex::default(), idle: Mutex::default() };
        Arc::new(Front {
            gates: addresses.iter().map(gate).collect(),
            notice: Duration::from_secs_f64(notice_s),
            lines: OnceLock::new(),
        })
    }

    /// Where limiters answer questions for permission; told once, before any is asked.
    pub fn ask_at(&self, addresses: Vec<SocketAddr>) {
        let _ = self.lines.set(Lines::new(&addresses));
    }

    /// A limiter is ready for clients.
    pub fn up(&self, limiter: usize) {
        let mut state = lock(&self.gates[limiter].state);
        (state.up, state.down_since) = (true, None);
    }

    /// A limiter's process is about to end, or has: what it held then is not sent to it again.
    pub fn ends(&self, limiter: usize) {
        lock(&self.gates[limiter].state).lives += 1;
    }

    /// A limiter has ended, which the front notices later.
    pub fn down(&self, limiter: usize) {
        self.ends(limiter);
        let mut state = lock(&self.gates[limiter].state);
        if state.up && state.down_since.is_none() {
            state.down_since = Some(Instant::now());
        }
        lock(&self.gates[limiter].idle).clear();
    }

    /// A limiter is about to end, and the front is told: nothing new goes there from now on.
    pub fn withdraw(&self, limiter: usize) {
        lock(&self.gates[limiter].state).up = false;
    }

    fn takes(&self, limiter: usize) -> bool {
        let mut state = lock(&self.gates[limiter].state);
        if state.down_since.is_some_and(|since| since.elapsed() >= self.notice) {
            (state.up, state.down_since) = (false, None);
        }
        state.up
    }

    fn lives(&self, limiter: usize) -> u64 {
        lock(&self.gates[limiter].state).lives
    }

    /// The limiter of a set for a draw: that one, or the next that is up; none of them up, that one.
    fn route(&self, first: usize, spread: usize, place: usize) -> usize {
        let at = |place: usize| (first + place % spread.max(1)) % self.gates.len();
        (0..spread).map(|n| at(place + n)).find(|l| self.takes(*l)).unwrap_or_else(|| at(place))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The clients.
pub struct Clients {
    scenario: Arc<Scenario>,
    schedule: Arc<Schedule>,
    recorder: Arc<Recorder>,
    front: Arc<Front>,
    secret: u64,
    /// Requests that are not over.
    open: AtomicUsize,
    /// Those over so far, and those served, for the progress line.
    pub done: AtomicUsize,
    /// Served.
    pub served: AtomicUsize,
}

/// How a try ended for its client.
enum Ended {
    /// Served.
    Served,
    /// Refused, with advice.
    Refused(Option<Duration>),
    /// Answered otherwise, lost, or not answered.
    Failed,
    /// The limiter was not reached.
    Unreached,
    /// The client is gone.
    Left,
}

/// How an exchange on one connection ended.
enum Exchange {
    Answer(Answer, Vec<u8>),
    /// Never written whole.
    NotSent,
    /// Ended or broke after so many bytes of an answer, and what that says of the request.
    Broken(usize, Close),
    /// Nothing came in time.
    Late,
    Left,
}

impl Clients {
    /// Clients that ask as the schedule says.
    pub fn new(
        scenario: Arc<Scenario>,
        schedule: Arc<Schedule>,
        recorder: Arc<Recorder>,
        front: Arc<Front>,
        secret: u64,
    ) -> Arc<Clients> {
        Arc::new(Clients {
            scenario,
            schedule,
            recorder,
            front,
            secret,
            open: AtomicUsize::new(0),
            done: AtomicUsize::new(0),
            served: AtomicUsize::new(0),
        })
    }

    /// Requests that are not over.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Sends a request and what follows from it.
    pub fn send(self: &Arc<Self>, index: usize) {
        self.open.fetch_add(1, Ordering::SeqCst);
        let clients = self.clone();
        tokio::spawn(async move {
            // Counted down whatever becomes of the task.
            let _open = Open(&clients.open);
            if clients.request(index).await {
                clients.served.fetch_add(1, Ordering::SeqCst);
            }
            clients.done.fetch_add(1, Ordering::SeqCst);
        });
    }

    /// A request with all its tries; true if it was served.
    async fn request(&self, index: usize) -> bool {
        let arrival = &self.schedule.arrivals[index];
        let class = &self.scenario.classes[arrival.class];
        let began = Instant::now();
        let due = began + Duration::from_secs_f64(class.deadline_ms / 1e3);
        for (n, one) in arrival.tries.iter().enumerate() {
            let customer = &self.schedule.customers[arrival.customer];
            let limiter = self.front.route(customer.first, customer.spread, one.place);
            let leaves = arrival.leaves.filter(|_| n == 0).map(|after| began + Duration::from_micros(after));
            let ended = match &arrival.permission {
                None => self.ask(index, n, limiter, due, leaves).await,
                Some(permission) => {
                    let resets = permission.resets.filter(|_| n == 0).map(Duration::from_micros);
                    self.ask_permission(index, n, limiter, due, resets).await
                }
            };
            let advice = match ended {
                Ended::Served => return true,
                Ended::Left => return false,
                Ended::Refused(advice) => advice.filter(|_| arrival.heeds),
                Ended::Failed if class.effect == Effect::Unsafe => return false,
                Ended::Failed | Ended::Unreached => None,
            };
            let Some(next) = arrival.tries.get(n + 1) else { return false };
            let pause = Duration::from_micros(next.backoff).max(advice.unwrap_or_default());
            // A keyed request is sent again only while its key is sure to be remembered.
            if Instant::now() + pause >= due {
                return false;
            }
            sleep(pause).await;
        }
        false
    }

    fn message(&self, arrival: &Arrival, (index, n): (usize, usize), due: Instant) -> String {
        let customer = &self.schedule.customers[arrival.customer];
        let plan = &self.scenario.plans[customer.plan].name;
        let Some(wire) = self.schedule.wire(&self.scenario, index) else { return String::new() };
        let extra = wire.key.map_or(String::new(), |key| {
            format!("Idempotency-Key: {key}\r\nContent-Length: {}\r\n", wire.body.len())
        });
        let left = due.saturating_duration_since(Instant::now()).as_micros();
        format!(
            "{} {} HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {:016x}\r\n\
             X-Contract: {plan}\r\nX-Time-Left: {left}u\r\n{extra}\
             X-Metering: units={},spread={},first={}\r\n\r\n{}",
            wire.method,
            wire.target,
            Arrival::id(index, n),
            arrival.guess,
            customer.spread,
            customer.first,
            wire.body
        )
    }

    async fn ask(
        &self,
        index: usize,
        n: usize,
        limiter: usize,
        due: Instant,
        leaves: Option<Instant>,
    ) -> Ended {
        let id = Arrival::id(index, n);
        let arrival = &self.schedule.arrivals[index];
        let lives = self.front.lives(limiter);
        let unreached = || {
            self.recorder.note(Event::Unreached { id, limiter: limiter as u16 });
            Ended::Unreached
        };
        let mut again = false;
        loop {
            let kept = if again { None } else { self.kept(limiter) };
            let reused = kept.is_some();
            let mut stream = match kept {
                Some(stream) => stream,
                None => match timeout(CONNECT, TcpStream::connect(self.front.gates[limiter].address)).await {
                    Ok(Ok(stream)) => {
                        let _ = stream.set_nodelay(true);
                        stream
                    }
                    _ => return unreached(),
                },
            };
            let text = self.message(arrival, (index, n), due);
            let sent = |at| {
                let due = self.recorder.at(due);
                self.recorder.note_at(at, Event::Sent { id, limiter: limiter as u16, due });
            };
            let now = || self.recorder.now();
            let same = || self.front.lives(limiter) == lives;
            let exchange = exchange(&mut stream, &text, (due, leaves), (now, sent), same).await;
            return match exchange {
                Exchange::Answer(answer, rest) => self.answered(id, limiter, answer, rest, stream),
                Exchange::NotSent if !reused => unreached(),
                // A limiter may close between requests: what crosses that is sent once more. One that has
                // ended meanwhile may have taken it.
                Exchange::NotSent => {
                    again = true;
                    continue;
                }
                Exchange::Broken(0, close)
                    if reused && !again && close != Close::Read && self.front.lives(limiter) == lives =>
                {
                    self.recorder.note(Event::Resent { id, sure: close == Close::Unread });
                    again = true;
                    continue;
                }
                Exchange::Broken(bytes, _) => {
                    self.recorder.note(Event::Lost { id, bytes: bytes as u32 });
                    Ended::Failed
                }
                Exchange::Late => {
                    self.recorder.note(Event::Unanswered { id });
                    Ended::Failed
                }
                Exchange::Left => {
                    self.recorder.note(Event::Left { id });
                    Ended::Left
                }
            };
        }
    }

    /// Asks permission for a try; `resets` is how long after its beginning its stream is reset.
    async fn ask_permission(
        &self,
        index: usize,
        n: usize,
        limiter: usize,
        due: Instant,
        resets: Option<Duration>,
    ) -> Ended {
        let id = Arrival::id(index, n);
        let arrival = &self.schedule.arrivals[index];
        let customer = &self.schedule.customers[arrival.customer];
        let unreached = || {
            self.recorder.note(Event::Unreached { id, limiter: limiter as u16 });
            Ended::Unreached
        };
        let Some(lines) = self.front.lines.get() else { return unreached() };
        let (guess, spread, first) = (arrival.guess, customer.spread, customer.first);
        let call = Call {
            class: &self.scenario.classes[arrival.class],
            customer: customer.number,
            plan: &self.scenario.plans[customer.plan].name,
            id,
            key: index as u64,
            metering: format!("units={guess},spread={spread},first={first}"),
            due,
        };
        for again in [false, true] {
            let Ok(Some(line)) = timeout(CONNECT, lines.line(limiter)).await else { return unreached() };
            self.recorder.note(if again {
                Event::Resent { id, sure: true }
            } else {
                Event::Sent { id, limiter: limiter as u16, due: self.recorder.at(due) }
            });
            let reset_at = Instant::now() + resets.unwrap_or_default();
            let said = tokio::select! {
                said = call.put(line) => said,
                () = sleep_until((due + PATIENCE).into()) => {
                    self.recorder.note(Event::Unanswered { id });
                    return Ended::Failed;
                }
                () = sleep_until(reset_at.into()), if resets.is_some() => {
                    self.recorder.note(Event::Left { id });
                    return Ended::Left;
                }
            };
            let (status, advice, behind) = match said {
                Said::Answer(status, advice) => (status, advice, 0),
                Said::Surplus(status, advice, bytes) => (status, advice, bytes),
                Said::Unseen => {
                    lines.forget(limiter);
                    continue;
                }
                Said::Broken => {
                    self.recorder.note(Event::Lost { id, bytes: 0 });
                    return Ended::Failed;
                }
            };
            let ended = self.note_answer(id, status, advice, Body::Own);
            if behind > 0 {
                self.recorder.note(Event::Surplus { id, bytes: behind });
            }
            return ended;
        }
        unreached()
    }

    fn answered(&self, id: TryId, limiter: usize, answer: Answer, rest: Vec<u8>, stream: TcpStream) -> Ended {
        let advice = answer.headers.get("retry-after").and_then(|t| t.trim().parse::<f64>().ok());
        let own = answer.status != 200 || is_own(&answer.body, id, self.secret);
        let body = if own { Body::Own } else { Body::Foreign };
        let ended = self.note_answer(id, answer.status, advice, body);
        if !rest.is_empty() {
            self.recorder.note(Event::Surplus { id, bytes: rest.len() as u32 });
        } else if !answer.last {
            let kept = Kept { stream, since: Instant::now(), answered: id };
            lock(&self.front.gates[limiter].idle).push(kept);
        }
        ended
    }

    /// Notes a whole answer, whichever front it came over, and says what it means to its client.
    fn note_answer(&self, id: TryId, status: u16, advice: Option<f64>, body: Body) -> Ended {
        let advice = advice.filter(|s| s.is_finite() && *s > 0.0).map(Duration::from_secs_f64);
        let told = advice.map(|a| a.as_micros() as Micros);
        self.recorder.note(Event::Answered { id, status, advice: told, body });
        match status {
            200 => Ended::Served,
            429 | 503 => Ended::Refused(advice),
            _ => Ended::Failed,
        }
    }

    /// A kept connection that is still good.
    fn kept(&self, limiter: usize) -> Option<TcpStream> {
        let mut idle = lock(&self.front.gates[limiter].idle);
        while let Some(Kept { stream, since, answered }) = idle.pop() {
            match surplus(&stream) {
                None if since.elapsed() <= IDLE => return Some(stream),
                Some(bytes) if bytes > 0 => self.recorder.note(Event::Surplus { id: answered, bytes }),
                _ => {}
            }
        }
        None
    }

    /// Looks at the connections that are still kept: what came on them since their last answer nobody asked for.
    pub fn look_at_kept(&self) {
        for gate in &self.front.gates {
            for kept in lock(&gate.idle).drain(..) {
                if let Some(bytes) = surplus(&kept.stream).filter(|bytes| *bytes > 0) {
                    self.recorder.note(Event::Surplus { id: kept.answered, bytes });
                }
            }
        }
    }
}

struct Open<'a>(&'a AtomicUsize);

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn exchange(
    stream: &mut TcpStream,
    text: &str,
    (due, leaves): (Instant, Option<Instant>),
    (now, sent): (impl Fn() -> Micros, impl FnOnce(Micros)),
    same: impl Fn() -> bool,
) -> Exchange {
    if stream.write_all(text.as_bytes()).await.is_err() {
        return Exchange::NotSent;
    }
    // Loopback: an end that the other side sent before this request came is known by now. Looked for before anything
    // else is done: one that reads and ends at once would be taken for one that had ended.
    let seen = glance(stream);
    sent(now());
    let mut buffer = Vec::with_capacity(1_024);
    let read = async {
        loop {
            let ended = match stream.read_buf(&mut buffer).await {
                Ok(read) => read == 0,
                Err(_) => return Exchange::Broken(buffer.len(), Close::Unread),
            };
            let size = buffer.len();
            match take_answer(&mut buffer, ended) {
                Ok(Some(answer)) => return Exchange::Answer(answer, std::mem::take(&mut buffer)),
                Ok(None) if !ended => {}
                _ => {
                    return Exchange::Broken(size, Close::of_end(stream, seen, same).await);
                }
            }
        }
    };
    tokio::select! {
        done = read => done,
        () = sleep_until((due + PATIENCE).into()) => Exchange::Late,
        () = sleep_until(leaves.unwrap_or(due).into()), if leaves.is_some() => Exchange::Left,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn addresses(n: u16) -> Vec<SocketAddr> {
        (0..n).map(|n| ([127, 0, 0, 1], 9 + n).into()).collect()
    }

    #[test]
    fn the_front_goes_round_limiters_that_it_knows_to_be_down() {
        let front = Front::new(&addresses(3), 0.0);
        assert_eq!(front.route(2, 2, 0), 2, "none is up: the drawn one is tried");
        for n in 0..3 {
            front.up(n);
        }
        assert_eq!((front.route(2, 2, 0), front.route(2, 2, 1)), (2, 0), "the set goes round");
        front.down(2);
        assert_eq!((front.route(2, 2, 0), front.route(1, 2, 1)), (0, 1));
        front.up(2);
        assert_eq!(front.route(2, 2, 0), 2);
        front.withdraw(2);
        assert_eq!(front.route(2, 2, 0), 0);
    }

    #[test]
    fn the_front_notices_a_dead_limiter_late() {
        let front = Front::new(&addresses(2), 3_600.0);
        front.up(0);
        front.up(1);
        front.down(0);
        assert_eq!(front.route(0, 2, 0), 0, "it does not know yet");
    }
}
