//! A limiter's connection to the discovery stand-in: the call, and the watch that follows it.

use super::{Behavior, EncodedUpdate, Heartbeat, OnRequestDiscovery, Outcome};
use crate::common::{chunk, raw, WATCH_HEAD};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// An empty line is written after this time without a message.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(2);
/// How often a waiting connection checks the shared state.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A connection on which a call has arrived.
pub(super) struct Connection<'a> {
    pub service: &'a OnRequestDiscovery,
    pub stream: &'a TcpStream,
    pub limiter: usize,
    pub discovery_address: SocketAddr,
    /// The call's index in the shared state.
    pub call: usize,
}

impl Connection<'_> {
    pub fn answer(&self, after: Option<u64>, behavior: Behavior) {
        match behavior {
            Behavior::Hang => {
                self.wait_until(None);
            }
            Behavior::Close => self.finish(Outcome::Cut),
            Behavior::Refuse(retry_after) => self.refuse(retry_after),
            Behavior::CutInHead => {
                let (first_half, _) = WATCH_HEAD.split_at(WATCH_HEAD.len() / 2);
                self.finish(Outcome::Cut);
                self.write(first_half);
            }
            Behavior::CutInMessage => {
                let whole = {
                    let state = self.service.state();
                    chunk(&state.message(None, behavior).expect("a whole list").line)
                };
                self.finish(Outcome::Cut);
                self.write(WATCH_HEAD);
                self.write(&whole[..whole.len() / 2]);
            }
            Behavior::AnswerAfter(pause) => {
                if self.wait_until(Some(Instant::now() + pause)) {
                    self.serve(after, Behavior::Serve);
                }
            }
            Behavior::Serve | Behavior::OlderList | Behavior::OmitDraining => self.serve(after, behavior),
        }
    }

    fn refuse(&self, retry_after: Option<&str>) {
        let header = retry_after.map(|seconds| format!("Retry-After: {seconds}\r\n")).unwrap_or_default();
        self.finish(Outcome::Refused);
        self.write(&raw("503 Service Unavailable", &header, "overbooked"));
    }

    /// Answers after the time in the queue, then sends changes and heartbeats.
    fn serve(&self, after: Option<u64>, behavior: Behavior) {
        let queued = {
            let mut state = self.service.state();
            let instances = state.message(after, behavior).map_or(0, |text| text.instance_count);
            state.enqueue(instances)
        };
        let Some(ready) = queued else { return self.refuse(None) };
        // A caller that disconnects still occupies the queue.
        if !self.wait_until(Some(ready)) {
            return;
        }
        let (number, mut sent, first) = {
            let mut state = self.service.state();
            let number = state.next_watch;
            state.next_watch += 1;
            let first = state.message(after, behavior);
            let revision = state.revision;
            (number, revision, first)
        };
        self.finish(Outcome::Answered);
        self.write(WATCH_HEAD);
        if let Some(text) = first {
            sent = sent.max(text.revision);
            self.send(&text);
        }
        let mut last_written = Instant::now();
        while !self.is_disconnected() {
            let (ends, silent, next) = {
                let state = self.service.state();
                let next =
                    if state.revision > sent { state.message(Some(sent), Behavior::Serve) } else { None };
                (number < state.ended_below, number < state.silent_below, next)
            };
            if ends {
                return;
            }
            if !silent {
                if let Some(text) = next {
                    sent = text.revision;
                    self.send(&text);
                    last_written = Instant::now();
                } else if last_written.elapsed() >= HEARTBEAT_PERIOD {
                    self.record_heartbeat(&[]);
                    self.write("1\r\n\n\r\n");
                    last_written = Instant::now();
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn send(&self, text: &EncodedUpdate) {
        self.record_heartbeat(&text.drained);
        self.write(&chunk(&text.line));
    }

    /// Records a heartbeat and the drains that it announces, just before it is written.
    fn record_heartbeat(&self, drained: &[usize]) {
        if self.is_disconnected() {
            return;
        }
        let mut state = self.service.state();
        let at = Instant::now();
        state.heartbeats.push(Heartbeat {
            limiter: self.limiter,
            discovery_address: self.discovery_address,
            at,
        });
        for server in drained {
            state.notified.entry((self.limiter, *server)).or_insert(at);
        }
    }

    fn finish(&self, outcome: Outcome) {
        self.service.state().finish(self.call, outcome);
    }

    fn write(&self, text: &str) {
        // The texts are short: they fit into the socket's send buffer, so the nonblocking write is complete.
        let _ = (&mut &*self.stream).write_all(text.as_bytes());
    }

    fn is_disconnected(&self) -> bool {
        match self.stream.peek(&mut [0]) {
            Ok(read) => read == 0,
            Err(e) => e.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Waits until `end`, or without limit; returns `false` if the limiter disconnects first.
    fn wait_until(&self, end: Option<Instant>) -> bool {
        while end.is_none_or(|end| Instant::now() < end) {
            if self.is_disconnected() {
                self.finish(Outcome::Abandoned);
                return false;
            }
            thread::sleep(POLL_INTERVAL);
        }
        true
    }
}
