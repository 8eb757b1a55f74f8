//! One connection: its limits, and its end that loses no call.

use super::reply::Reply;
use super::{call, Grpc};
use crate::http2::{Local, Metered};
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use liftrouter_authz::FrameMeter;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// From its accept a connection must bring its first call within this time.
const FIRST: Duration = Duration::from_millis(2_500);
/// An answer that is not taken for so long ends its connection: a peer that opens no window would hold it,
/// and a place among the streams, for good.
const UNTAKEN: Duration = Duration::from_secs(5);
/// After GOAWAY a peer may bring the calls that crossed it for so long; then, without a call, it is cut.
const LEAVE: Duration = Duration::from_millis(500);
/// A peer that answers no PING for the second time is gone.
const PING: (Duration, Duration) = (Duration::from_secs(20), Duration::from_secs(5));
/// Looked after at least so often.
const LOOK: Duration = Duration::from_secs(1);
/// The connection's window: what peers may send unread over all their streams.
const WINDOW: u32 = 128 * 1024;
const FRAME: u32 = 16 * 1024;
/// What may wait to be written of one stream's answer.
const SEND_BUFFER: usize = 16 * 1024;

/// What is known of a connection.
pub struct Connection {
    born: Instant,
    /// Whether it has brought a call.
    asked: Cell<bool>,
    calls: Cell<usize>,
    idle_since: Cell<Instant>,
    /// Answers that their client has not taken, by number, and since when.
    untaken: RefCell<BTreeMap<u64, Instant>>,
    next: Cell<u64>,
    leaving: Cell<Option<Instant>>,
    changed: Notify,
    left: Notify,
}

/// What is to be done about a connection now.
#[derive(Debug, PartialEq, Eq)]
enum Next {
    Wait(Instant),
    /// GOAWAY.
    Leave,
    Cut,
}

impl Connection {
    /// `leaving`: it is served what it brings and sent away.
    pub fn new(leaving: bool) -> Rc<Self> {
        let now = Instant::now();
        let state = Connection {
            born: now,
            asked: Cell::new(false),
            calls: Cell::new(0),
            idle_since: Cell::new(now),
            untaken: RefCell::default(),
            next: Cell::new(0),
            leaving: Cell::new(None),
            changed: Notify::new(),
            left: Notify::new(),
        };
        if leaving {
            state.send_away();
        }
        Rc::new(state)
    }

    /// Sends it away once what is on its way has come.
    pub fn send_away(&self) {
        if self.leaving.get().is_none() {
            self.leaving.set(Some(Instant::now()));
            self.changed.notify_one();
            self.left.notify_waiters();
        }
    }

    /// Since when no call is open on it.
    pub fn idle_since(&self) -> Option<Instant> {
        let idle = self.calls.get() == 0 && self.untaken.borrow().is_empty() && self.leaving.get().is_none();
        idle.then(|| self.idle_since.get())
    }

    fn next(&self, now: Instant, idle: Duration, age: Duration) -> Next {
        let mut wake = now + LOOK;
        let mut due = |at: Instant| {
            wake = wake.min(at);
            now >= at
        };
        let empty = self.calls.get() == 0 && self.untaken.borrow().is_empty();
        if self.untaken.borrow().values().next().is_some_and(|since| due(*since + UNTAKEN)) {
            return Next::Cut;
        }
        match self.leaving.get() {
            Some(since) => {
                if empty && due(since.max(self.idle_since.get()) + LEAVE) {
                    return Next::Cut;
                }
            }
            None => {
                if !self.asked.get() && due(self.born + FIRST) {
                    return Next::Cut;
                }
                if due(self.born + age) || (empty && self.asked.get() && due(self.idle_since.get() + idle)) {
                    return Next::Leave;
                }
            }
        }
        Next::Wait(wake)
    }
}

/// A call while it is open.
pub struct Call(Rc<Connection>);

impl Call {
    fn new(connection: &Rc<Connection>) -> Call {
        connection.asked.set(true);
        connection.calls.set(connection.calls.get() + 1);
        Call(connection.clone())
    }

    /// Whether its connection is being sent away.
    pub fn is_leaving(&self) -> bool {
        self.0.leaving.get().is_some()
    }

    /// Waits until it is.
    pub async fn sent_away(&self) {
        let left = self.0.left.notified();
        if !self.is_leaving() {
            left.await;
        }
    }

    /// Its answer is given, and counts until it is taken.
    pub fn answered(&self) -> Untaken {
        let connection = self.0.clone();
        let number = connection.next.replace(connection.next.get() + 1);
        connection.untaken.borrow_mut().insert(number, Instant::now());
        Untaken(connection, number)
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.0.calls.set(self.0.calls.get() - 1);
        self.0.idle_since.set(Instant::now());
    }
}

/// An answer that its client has not taken yet.
pub struct Untaken(Rc<Connection>, u64);

impl Drop for Untaken {
    fn drop(&mut self) {
        self.0.untaken.borrow_mut().remove(&self.1);
        self.0.idle_since.set(Instant::now());
    }
}

/// Serves one until it ends. What is open on it then is dropped, which tells the module.
pub async fn serve(grpc: &Rc<Grpc>, state: &Rc<Connection>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let limits = &grpc.limits;
    let service = service_fn(|request| {
        let (grpc, call) = (grpc.clone(), Call::new(state));
        async move { Ok::<_, Infallible>(call::respond(&grpc, call, request).await) }
    });
    let mut http = http2::Builder::new(Local);
    http.timer(TokioTimer::new())
        .max_concurrent_streams(limits.streams)
        .max_header_list_size(limits.header_list)
        .max_frame_size(FRAME)
        .initial_stream_window_size((limits.message as u32).saturating_add(FRAME))
        .initial_connection_window_size(WINDOW)
        .max_send_buf_size(SEND_BUFFER)
        // The meter bounds how often streams are reset; hyper must not be stricter (CVE-2023-44487).
        .max_pending_accept_reset_streams(limits.frames.resets as usize * 2)
        .keep_alive_interval(PING.0)
        .keep_alive_timeout(PING.1);
    let socket = Metered::new(stream, FrameMeter::server(limits.frames, 0.0));
    let mut connection = pin!(http.serve_connection::<_, _, Reply>(TokioIo::new(socket), service));
    let mut told = false;
    loop {
        let wake = match state.next(Instant::now(), limits.idle, limits.age) {
            Next::Cut => return,
            Next::Leave => {
                state.send_away();
                continue;
            }
            Next::Wait(until) => until,
        };
        if state.leaving.get().is_some() && !std::mem::replace(&mut told, true) {
            connection.as_mut().graceful_shutdown();
        }
        tokio::select! {
            // An error here is the peer's: it left, or broke the protocol and was told so by hyper.
            _ = connection.as_mut() => return,
            () = state.changed.notified() => {}
            () = sleep_until(wake) => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const IDLE: Duration = Duration::from_secs(60);
    const AGE: Duration = Duration::from_secs(600);

    fn at(c: &Connection, after: Duration) -> Next {
        c.next(c.born + after, IDLE, AGE)
    }

    #[test]
    fn a_connection_that_never_asks_is_cut() {
        let c = Connection::new(false);
        assert_eq!(at(&c, FIRST - Duration::from_millis(1)), Next::Wait(c.born + FIRST));
        assert_eq!(at(&c, FIRST), Next::Cut);
    }

    #[test]
    fn one_that_is_idle_or_old_is_sent_away_and_cut_later() {
        let c = Connection::new(false);
        let call = Call::new(&c);
        assert!(matches!(at(&c, IDLE * 2), Next::Wait(_)), "a call is open");
        assert_eq!(at(&c, AGE), Next::Leave);
        drop(call);
        let idle = c.idle_since.get() + IDLE;
        assert_eq!(c.next(idle, IDLE, AGE), Next::Leave);
        c.send_away();
        let left = c.leaving.get().expect("leaving");
        assert!(matches!(c.next(left, IDLE, AGE), Next::Wait(_)));
        assert_eq!(c.next(left + LEAVE, IDLE, AGE), Next::Cut);
        // But not within a call that crossed the GOAWAY.
        let _call = Call::new(&c);
        assert!(matches!(c.next(left + LEAVE, IDLE, AGE), Next::Wait(_)));
    }

    #[test]
    fn an_answer_that_is_not_taken_ends_its_connection() {
        let c = Connection::new(false);
        let call = Call::new(&c);
        let untaken = call.answered();
        drop(call);
        let since = Instant::now();
        assert!(matches!(c.next(since, IDLE, AGE), Next::Wait(_)));
        assert!(c.idle_since().is_none());
        assert_eq!(c.next(since + UNTAKEN, IDLE, AGE), Next::Cut);
        drop(untaken);
        assert!(matches!(c.next(since + UNTAKEN, IDLE, AGE), Next::Wait(_)));
        assert!(c.idle_since().is_some());
    }
}
