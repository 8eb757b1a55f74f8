//! Violations in the answer: none, two, another request's, a late one, and an attempt after it.

use super::http::{call, closed, milliseconds};
use super::record::Committed;
use super::request::{Exchange, Reply, RequestInfo, Unanswered};
use super::violation::Drawn;
use super::{Rogue, ServedAnswer};
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

impl Rogue {
    /// Closes the connection of a request that was read.
    pub(super) fn no_answer(&self, info: &RequestInfo, violation: Drawn) -> Reply {
        self.record.commit(violation, info);
        Err(Unanswered::Closed)
    }

    /// Answers twice.
    pub(super) async fn two_answers(
        &self,
        exchange: &mut Exchange<'_>,
        info: &RequestInfo,
        violation: Drawn,
    ) -> Reply {
        let answer = self.limiter_answer(exchange).await?.bytes();
        self.record.commit(violation, info);
        Ok([answer.clone(), answer].concat())
    }

    /// Answers with the last answer that was made for another request.
    pub(super) async fn foreign_answer(
        &self,
        exchange: &mut Exchange<'_>,
        info: &RequestInfo,
        violation: Drawn,
    ) -> Reply {
        let answer = self.limiter_answer(exchange).await?;
        let bytes = answer.bytes();
        if answer.status != 200 {
            return Ok(bytes);
        }
        let before = self.last_answer.replace(Some(ServedAnswer { id: info.id, answer }));
        match before.filter(|served| served.id != info.id) {
            Some(foreign) => {
                self.record.commit(violation, info);
                Ok(foreign.answer.bytes())
            }
            None => Ok(bytes),
        }
    }

    /// Holds the answer back until so long after the deadline.
    pub(super) async fn late_answer(
        &self,
        exchange: &mut Exchange<'_>,
        info: &RequestInfo,
        violation: Drawn,
    ) -> Reply {
        let answer = self.limiter_answer(exchange).await?;
        let due = info.deadline + milliseconds(violation.size);
        tokio::select! {
            () = sleep_until(due.into()) => {}
            () = closed(exchange.client) => return Err(Unanswered::ClientGone),
        }
        self.record.commit(violation, info);
        Ok(answer.bytes())
    }

    /// Sends the request to a server so long after it was answered.
    pub(super) async fn attempt_after_answer(
        self: &Rc<Self>,
        exchange: &mut Exchange<'_>,
        info: &RequestInfo,
        violation: Drawn,
    ) -> Reply {
        let answer = self.limiter_answer(exchange).await?;
        if let (200, Some(server)) = (answer.status, self.server()) {
            let (rogue, request) = (self.clone(), exchange.request.bytes());
            let committed = Committed::of(violation, info);
            spawn_local(async move {
                sleep(milliseconds(violation.size)).await;
                if call(server, &request).await.is_some() {
                    rogue.record.add(&committed);
                }
            });
        }
        Ok(answer.bytes())
    }
}
