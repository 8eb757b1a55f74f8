//! A client: sends a request and waits for its one answer.

use crate::http::{Message, ReadError};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Time beyond its deadline for which a client still listens.
const PATIENCE: Duration = Duration::from_secs(1);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub class: &'static str,
    pub customer: u64,
    pub plan: &'static str,
    pub time_left: Duration,
    /// How many limiters the customer comes through.
    pub spread: usize,
    /// Bytes of the body of a keyed request.
    pub body_bytes: usize,
}

impl Request {
    /// A request with an id of its own.
    pub fn new(class: &'static str, customer: u64, time_left: Duration, spread: usize) -> Request {
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:08x}{number:08x}", std::process::id());
        Request { id, class, customer, plan: "network", time_left, spread, body_bytes: 4 }
    }

    fn text(&self, host: SocketAddr) -> String {
        let Request { id, class, customer, plan, time_left, spread, body_bytes } = self;
        let keyed = *class == "bind-policy";
        let method = if keyed { "POST" } else { "GET" };
        let key = if keyed {
            format!("Idempotency-Key: key-{id}\r\nContent-Length: {body_bytes}\r\n")
        } else {
            String::new()
        };
        let body = if keyed { "b".repeat(*body_bytes) } else { String::new() };
        format!(
            "{method} /{class}/{customer:016x} HTTP/1.1\r\nHost: {host}\r\nX-Correlation-Id: {id}\r\n\
             X-Contract: {plan}\r\nX-Time-Left: {}m\r\n{key}X-Metering: units=1,spread={spread},first=0\r\n\r\n{body}",
            time_left.as_millis()
        )
    }
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fate {
    /// A whole answer came.
    Answered { status: String, body: String },
    /// The limiter took the request, and the connection ended without a whole answer.
    Lost,
    /// No answer came within the deadline and the time beyond it.
    Unanswered,
    /// The limiter did not accept the connection: it has not taken the request.
    Unreached,
}

/// Sends a request on a connection of its own.
pub fn send(limiter: SocketAddr, request: &Request) -> Fate {
    let Ok(mut stream) = TcpStream::connect(limiter) else { return Fate::Unreached };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(request.time_left + PATIENCE));
    if stream.write_all(request.text(limiter).as_bytes()).is_err() {
        return Fate::Lost;
    }
    match Message::read(&mut BufReader::new(stream)) {
        Ok(answer) => Fate::Answered { status: answer.second_word().to_string(), body: answer.text() },
        Err(ReadError::TimedOut) => Fate::Unanswered,
        Err(ReadError::Ended) => Fate::Lost,
    }
}
