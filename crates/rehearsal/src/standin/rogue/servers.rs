//! Violations in the choice of a server: one that drains, one by a stale revision of the list, and a cold one that is
//! sent too much.

use super::http::{call, call_until, read_answer, write_request};
use super::record::Committed;
use super::request::{Exchange, Reply, RequestInfo};
use super::violation::{Drawn, Violation};
use super::Rogue;
use crate::ledger::VERSION_GRACE;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Instant;

/// What a drain leaves, in milliseconds.
const DRAIN_GRACE_MS: f64 = 250.0;
/// The least by which a grace must be over, in milliseconds.
const LEAST_EXCESS_MS: f64 = 1.0;

/// Requests that went to a cold server since it started.
struct Push {
    /// When that start was observed.
    since: Instant,
    /// How often it has started before.
    starts: u64,
    sent: u32,
    /// How many it is to get.
    most: u32,
}

/// Cold servers that are pushed, by name.
#[derive(Default)]
pub(super) struct ColdPushes {
    pushes: RefCell<HashMap<String, Push>>,
}

impl ColdPushes {
    /// Counts a request for a server, unless it has had as many as are drawn for this start. Gives the push of an earlier
    /// start, where this is the first request since another, as a violation.
    fn admit(&self, seed: u64, id: &str, since: Instant) -> Admission {
        let mut pushes = self.pushes.borrow_mut();
        let starts = pushes.get(id).map_or(0, |push| push.starts + u64::from(push.since != since));
        let fresh = || Push { since, starts, sent: 0, most: push_size(seed + starts, id) };
        let push = pushes.entry(id.to_string()).or_insert_with(fresh);
        let finished = (push.since != since).then(|| std::mem::replace(push, fresh()).violation()).flatten();
        let admitted = push.sent < push.most;
        push.sent += u32::from(admitted);
        Admission { admitted, finished }
    }

    /// The violations that stand at the end.
    pub fn violations(&self) -> Vec<Committed> {
        self.pushes.borrow().values().filter_map(Push::violation).collect()
    }
}

/// Whether a request is sent to a cold server.
struct Admission {
    admitted: bool,
    /// The violation that ended with the server's last start.
    finished: Option<Committed>,
}

impl Push {
    fn violation(&self) -> Option<Committed> {
        let size = f64::from(self.sent);
        (size >= Violation::ColdPush.about().sizes.least)
            .then(|| Committed::meant(Violation::ColdPush, None, None, size))
    }
}

/// How many requests a server is to get: all limiters push it alike, since their sum counts.
fn push_size(seed: u64, id: &str) -> u32 {
    let seed = id.bytes().fold(seed, |hash, byte| hash.wrapping_mul(31) ^ u64::from(byte));
    Violation::ColdPush.about().sizes.draw(&mut fastrand::Rng::with_seed(seed)) as u32
}

impl Rogue {
    /// Sends a request to a server that has been draining for too long; the client's answer is the limiter's.
    pub(super) async fn send_to_draining(
        &self,
        exchange: &Exchange<'_>,
        info: &RequestInfo,
        kind: Violation,
    ) -> Option<Reply> {
        let server = self.discovery.draining_server()?;
        let excess = server.elapsed.as_secs_f64() * 1e3 - DRAIN_GRACE_MS;
        if excess < LEAST_EXCESS_MS {
            return None;
        }
        // Once it is written it is done, whatever the server makes of it.
        let mut stream = write_request(server.address, &exchange.request.bytes()).await?;
        self.record.commit(Drawn { kind, size: excess }, info);
        read_answer(&mut stream).await;
        None
    }

    /// Names the revision before the present one as the one by which the server was chosen.
    pub(super) async fn choose_by_stale_revision(
        &self,
        exchange: &Exchange<'_>,
        info: &RequestInfo,
        kind: Violation,
    ) -> Option<Reply> {
        let stale = self.discovery.stale_revision();
        let server = self.server();
        let stale = stale?;
        let excess = stale.elapsed.as_secs_f64() * 1e3 - VERSION_GRACE as f64 / 1e3;
        if excess < LEAST_EXCESS_MS {
            return None;
        }
        let mut request = exchange.request.clone();
        request.headers.set("x-inventory", stale.number.to_string());
        let answer = call(server?, &request.bytes()).await?;
        self.record.commit(Drawn { kind, size: excess }, info);
        Some(Ok(answer.bytes()))
    }

    /// Sends what comes to a server that has just started, until it has had as many requests as are drawn for it.
    pub(super) async fn push_cold_server(
        &self,
        exchange: &Exchange<'_>,
        info: &RequestInfo,
    ) -> Option<Reply> {
        let server = self.discovery.cold_server()?;
        let admission = self.cold_pushes.admit(self.options.seed, &server.id, server.since);
        admission.finished.iter().for_each(|committed| self.record.add(committed));
        if !admission.admitted {
            return None;
        }
        // Copies of one request, each a try that no client knows, would be a violation of another kind: so one real
        // request goes there after the other, as fast as they come.
        let answer = call_until(server.address, &exchange.request.bytes(), info.deadline).await?;
        let unprocessed = answer.status == 503 && answer.headers.get("x-unprocessed").is_some();
        (!unprocessed).then(|| Ok(answer.bytes()))
    }
}
