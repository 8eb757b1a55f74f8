//! Violations in the attempts of a request: two at once, retries that its class or the time forbids, and too many.

use super::discovery::ServerPair;
use super::http::{call, milliseconds, read_answer, refusal, write_request};
use super::request::{Exchange, Reply, RequestInfo};
use super::violation::Drawn;
use super::Rogue;
use crate::net::message::Answer;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::time::{sleep, sleep_until, timeout};

/// The first of two concurrent attempts has come whole before the second is sent.
const FIRST_ATTEMPT_LEAD: Duration = Duration::from_millis(2);
/// A violation that needs a retry is left out where less remains after its pause.
const RETRY_MARGIN: Duration = Duration::from_millis(400);
/// Attempts of a request that is sent too often.
const TOO_MANY_ATTEMPTS: u32 = 6;

/// The first attempt of a request that is to be retried.
struct FirstAttempt {
    began: Instant,
    answer: Answer,
    retry_server: SocketAddr,
}

impl Rogue {
    /// Two attempts are out together for a time, or until the first is answered.
    pub(super) async fn concurrent_attempts(
        &self,
        exchange: &Exchange<'_>,
        info: &RequestInfo,
        violation: Drawn,
    ) -> Option<Reply> {
        let bytes = exchange.request.bytes();
        let servers = self.server_pair()?;
        let mut first = write_request(servers.first, &bytes).await?;
        sleep(FIRST_ATTEMPT_LEAD).await;
        if first.try_read(&mut [0; 1]).is_ok() {
            return None;
        }
        let second = write_request(servers.second, &bytes).await;
        let began = Instant::now();
        let _ = timeout(milliseconds(violation.size), first.read(&mut [0; 1])).await;
        let together = began.elapsed().as_secs_f64() * 1e3;
        drop(first);
        let answer = read_answer(&mut second?).await;
        self.record.commit(Drawn { size: together, ..violation }, info);
        answer.map(|answer| Ok(answer.bytes()))
    }

    /// Retries a request that must not run twice.
    pub(super) async fn retry_unsafe(
        &self,
        exchange: &Exchange<'_>,
        info: &RequestInfo,
        violation: Drawn,
    ) -> Option<Reply> {
        let first = self.first_attempt(exchange, info, Duration::ZERO).await?;
        Some(self.retry(exchange, info, violation, first).await)
    }

    /// Retries a request after servers have forgotten its idempotency key.
    pub(super) async fn retry_expired_key(
        &self,
        exchange: &Exchange<'_>,
        info: &RequestInfo,
        violation: Drawn,
    ) -> Option<Reply> {
        let pause = self.settings.key_memory + milliseconds(violation.size);
        let first = self.first_attempt(exchange, info, pause).await?;
        sleep_until((first.began + pause).into()).await;
        Some(self.retry(exchange, info, violation, first).await)
    }

    /// Refuses a request that has run.
    pub(super) async fn refuse_after_run(
        &self,
        exchange: &Exchange<'_>,
        info: &RequestInfo,
        violation: Drawn,
    ) -> Option<Reply> {
        self.first_attempt(exchange, info, Duration::ZERO).await?;
        self.record.commit(violation, info);
        Some(Ok(refusal()))
    }

    /// An attempt that is served, if time remains for a retry after a pause.
    async fn first_attempt(
        &self,
        exchange: &Exchange<'_>,
        info: &RequestInfo,
        pause: Duration,
    ) -> Option<FirstAttempt> {
        let ServerPair { first, second } = self.server_pair()?;
        if Instant::now() + pause + RETRY_MARGIN > info.deadline {
            return None;
        }
        let began = Instant::now();
        let answer = call(first, &exchange.request.bytes()).await.filter(|answer| answer.status == 200)?;
        Some(FirstAttempt { began, answer, retry_server: second })
    }

    /// Sends the request once more; the first answer stands where the second attempt has none.
    async fn retry(
        &self,
        exchange: &Exchange<'_>,
        info: &RequestInfo,
        violation: Drawn,
        first: FirstAttempt,
    ) -> Reply {
        match call(first.retry_server, &exchange.request.bytes()).await {
            Some(second) => {
                self.record.commit(violation, info);
                Ok(second.bytes())
            }
            None => Ok(first.answer.bytes()),
        }
    }

    /// Sends a request more often than it may be.
    pub(super) async fn too_many_attempts(
        &self,
        exchange: &Exchange<'_>,
        info: &RequestInfo,
        violation: Drawn,
    ) -> Option<Reply> {
        let bytes = exchange.request.bytes();
        let mut last = None;
        for _ in 0..TOO_MANY_ATTEMPTS {
            let Some(server) = self.server() else { break };
            last = call(server, &bytes).await;
        }
        let last = last?;
        self.record.commit(violation, info);
        Some(Ok(last.bytes()))
    }
}
