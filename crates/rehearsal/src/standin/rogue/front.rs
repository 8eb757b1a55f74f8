//! The HTTP front: reads clients' requests, and passes them to the limiter where no violation is due.

use super::http::{closed, read_answer, ANSWER_TIMEOUT};
use super::record::Committed;
use super::request::{Exchange, Reply, RequestInfo, Unanswered};
use super::violation::{Drawn, Violation};
use super::{Rogue, ServedAnswer};
use crate::net::message::{take_request, Answer, Request};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Attempts at the limiter: one on the pooled connection, which may have been closed meanwhile, and one on a new one.
const LIMITER_ATTEMPTS: u32 = 2;

/// Takes clients until it is dropped.
pub(super) async fn serve(rogue: Rc<Rogue>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        spawn_local(rogue.clone().serve_client(stream));
    }
}

impl Rogue {
    async fn serve_client(self: Rc<Self>, mut client: TcpStream) {
        let (mut buffer, mut limiter) = (Vec::new(), None);
        while let Some(request) = self.read_request(&mut client, &mut buffer).await {
            self.open_requests.set(self.open_requests.get() + 1);
            let info = RequestInfo::read(&request);
            let exchange = Exchange { request: &request, client: &client, limiter: &mut limiter };
            let reply = self.reply(exchange, info.as_ref()).await;
            self.open_requests.set(self.open_requests.get() - 1);
            let last = request.headers.get("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
            let goes_on = match reply {
                Ok(bytes) => client.write_all(&bytes).await.is_ok() && !last,
                Err(Unanswered::Closed | Unanswered::ClientGone) => false,
            };
            info.iter().for_each(|info| self.record_lateness(info));
            if !goes_on {
                return;
            }
        }
    }

    /// The next request of a connection; none where it ends, has been idle for too long, or brings something malformed.
    async fn read_request(&self, client: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
        loop {
            if let Some(request) = take_request(buffer).ok()? {
                return Some(request);
            }
            let idle_timeout = self.options.idle_ms.filter(|_| buffer.is_empty());
            let idle_timeout = idle_timeout.map_or(ANSWER_TIMEOUT, Duration::from_millis);
            match timeout(idle_timeout, client.read_buf(buffer)).await {
                Ok(Ok(read)) if read > 0 => {}
                Err(_) if self.options.idle_ms.is_none() => {}
                _ => return None,
            }
        }
    }

    async fn reply(self: &Rc<Self>, mut exchange: Exchange<'_>, info: Option<&RequestInfo>) -> Reply {
        match info.and_then(|info| Some((info, self.draw(info)?))) {
            Some((info, violation)) => self.violate(&mut exchange, info, violation).await,
            None => self.pass_through(&mut exchange, info).await,
        }
    }

    /// The limiter's own answer.
    pub(super) async fn limiter_answer(&self, exchange: &mut Exchange<'_>) -> Result<Answer, Unanswered> {
        let bytes = exchange.request.bytes();
        for _ in 0..LIMITER_ATTEMPTS {
            let pooled = exchange.limiter.take();
            let reused = pooled.is_some();
            let mut stream = match pooled {
                Some(stream) => stream,
                None => TcpStream::connect(self.limiter).await.map_err(|_| Unanswered::Closed)?,
            };
            let _ = stream.set_nodelay(true);
            if stream.write_all(&bytes).await.is_err() {
                continue;
            }
            let answer = tokio::select! {
                answer = read_answer(&mut stream) => answer,
                () = closed(exchange.client) => return Err(Unanswered::ClientGone),
            };
            match answer {
                Some(answer) => {
                    *exchange.limiter = (!answer.last).then_some(stream);
                    return Ok(answer);
                }
                None if reused => {}
                None => return Err(Unanswered::Closed),
            }
        }
        Err(Unanswered::Closed)
    }

    /// Passes a request to the limiter, and its answer to the client.
    pub(super) async fn pass_through(
        &self,
        exchange: &mut Exchange<'_>,
        info: Option<&RequestInfo>,
    ) -> Reply {
        let answer = self.limiter_answer(exchange).await?;
        if let (200, Some(info)) = (answer.status, info) {
            self.last_answer.replace(Some(ServedAnswer { id: info.id, answer: answer.clone() }));
        }
        Ok(answer.bytes())
    }

    /// Records a request whose client had no answer at its deadline, though nobody meant that: on a machine that is too
    /// busy it is as late as if it had been held back, and the checker has to say so.
    fn record_lateness(&self, info: &RequestInfo) {
        let late = (Instant::now() + self.turns.delay()).saturating_duration_since(info.deadline);
        if !late.is_zero() {
            let violation = Drawn { kind: Violation::LateAnswer, size: late.as_secs_f64() * 1e3 };
            self.record.add(&Committed { unmeant: true, ..Committed::of(violation, info) });
        }
    }
}
