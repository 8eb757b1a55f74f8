//! Violations in what is sent to a server: a request that is changed on the way, and one that no client sent.

use super::http::call;
use super::record::Committed;
use super::request::{Exchange, Reply, RequestInfo};
use super::violation::Drawn;
use super::Rogue;
use crate::net::message::Request;
use crate::schedule::Arrival;

/// The number of an arrival that no schedule has.
const UNKNOWN_ARRIVAL: usize = 0xff_ffff;

impl Rogue {
    /// Sends the request on otherwise than it came.
    pub(super) async fn altered_request(
        &self,
        exchange: &Exchange<'_>,
        info: &RequestInfo,
        violation: Drawn,
    ) -> Option<Reply> {
        let altered = self.alter(exchange.request);
        let answer = call(self.server()?, &altered.bytes()).await?;
        self.record.commit(violation, info);
        Some(Ok(answer.bytes()))
    }

    fn alter(&self, request: &Request) -> Request {
        let mut altered = request.clone();
        let ways = if request.body.is_empty() { 1 } else { 3 };
        match self.rng.borrow_mut().usize(0..ways) {
            0 => altered.target.push_str("?more=1"),
            1 => altered.body.push(b' '),
            _ => altered.headers.set("idempotency-key", "0".repeat(32)),
        }
        altered
    }

    /// Sends a request under an id that no client has given, and leaves the client's own to the limiter.
    pub(super) async fn invented_request(
        &self,
        exchange: &Exchange<'_>,
        info: &RequestInfo,
        violation: Drawn,
    ) -> Option<Reply> {
        let id = Arrival::id(UNKNOWN_ARRIVAL, self.rng.borrow_mut().usize(0..4)) ^ info.id << 32;
        let mut invented = exchange.request.clone();
        invented.headers.set("x-correlation-id", format!("{id:016x}"));
        if call(self.server()?, &invented.bytes()).await.is_some() {
            self.record.add(&Committed::meant(violation.kind, Some(id), None, violation.size));
        }
        None
    }
}
