//! A client: one request at a time on a connection that it keeps.

use crate::http::{self, Message};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// What a client asks for.
#[derive(Clone, Debug)]
pub struct Request {
    pub class: &'static str,
    pub customer: u64,
    pub plan: &'static str,
    pub id: String,
    /// The idempotency key; the request is a `GET` without one.
    pub key: Option<String>,
    pub time_left_ms: u64,
    pub spread: u32,
}

impl Request {
    /// The bytes of the request.
    pub fn bytes(&self) -> Vec<u8> {
        let Request { class, customer, plan, id, time_left_ms, spread, .. } = self;
        let method = if self.key.is_some() { "POST" } else { "GET" };
        let mut text = format!(
            "{method} /{class}/{customer:016x} HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {id}\r\n\
             X-Contract: {plan}\r\nX-Time-Left: {time_left_ms}m\r\nX-Metering: units=1,spread={spread},first=0\r\n"
        );
        if let Some(key) = &self.key {
            text.push_str(&format!("Idempotency-Key: {key}\r\nContent-Length: 5\r\n\r\nhello"));
        } else {
            text.push_str("\r\n");
        }
        text.into_bytes()
    }
}

/// A connection to a limiter.
pub struct Client {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Client {
    /// A client that has no connection yet.
    pub fn new(address: SocketAddr) -> Client {
        Client { address, stream: None }
    }

    /// Sends a request and waits for its answer; `None` if none came in the request's time and a second.
    pub fn ask(&mut self, request: &Request) -> Option<Message> {
        let answer = self.exchange(request);
        let close = answer.as_ref().is_none_or(|answer| answer.header("connection") == Some("close"));
        if close {
            self.stream = None;
        }
        answer
    }

    fn exchange(&mut self, request: &Request) -> Option<Message> {
        // The clients of the cases rest for less than the 2 s after which a limiter may close a connection.
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1)).ok()?;
            let _ = stream.set_nodelay(true);
            self.stream = Some(BufReader::new(stream));
        }
        let stream = self.stream.as_mut()?;
        let wait = Duration::from_millis(request.time_left_ms + 1_000);
        stream.get_ref().set_read_timeout(Some(wait)).ok()?;
        stream.get_mut().write_all(&request.bytes()).ok()?;
        http::read(stream)
    }
}

/// `GET path` on a new connection.
pub fn get(address: SocketAddr, path: &str) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let mut stream = BufReader::new(stream);
    stream
        .get_mut()
        .write_all(format!("GET {path} HTTP/1.1\r\nHost: api.internal\r\n\r\n").as_bytes())
        .ok()?;
    http::read(&mut stream)
}
