//! Draws the violation that is due at a request, and hands it to the module of its kind.

use super::request::{Exchange, Reply, RequestInfo};
use super::violation::{Drawn, Wrong};
use super::{Rogue, BOUND};
use std::rc::Rc;

impl Rogue {
    /// Whether a violation that has no size is due.
    pub(super) fn draws_permission_twice(&self) -> bool {
        self.options.kind.contains(&Wrong::PermissionTwice)
            && self.rng.borrow_mut().u32(0..self.options.every.max(1)) == 0
    }

    /// The violation that is due at a request.
    pub(super) fn draw(&self, info: &RequestInfo) -> Option<Drawn> {
        if self.options.kind.is_empty() {
            return None;
        }
        let mut rng = self.rng.borrow_mut();
        let kind = self.options.kind[rng.usize(0..self.options.kind.len())];
        let size = kind.about().sizes.draw(&mut rng);
        // Those of a kind that is done to servers or partners are not drawn one by one.
        let always = matches!(kind, Wrong::Ceiling | Wrong::AtOnce | Wrong::ColdPush);
        let due = self.fits(kind, info) && (always || rng.u32(0..self.options.every.max(1)) == 0);
        due.then_some(Drawn { kind, size })
    }

    /// Whether a violation can be done to a request by the request's plan and class.
    fn fits(&self, kind: Wrong, info: &RequestInfo) -> bool {
        let bound = BOUND.contains(&info.plan.as_str());
        match kind {
            Wrong::ResendUnsafe | Wrong::RefusedAfterRun => !bound && self.settings.is_unsafe(&info.class),
            Wrong::ResendKey => !bound && info.class == "bind",
            Wrong::TooMany | Wrong::Twice | Wrong::AfterAnswer => !bound && info.class == "quote",
            Wrong::ColdPush | Wrong::Drained | Wrong::ListVersion => !bound && info.class == "quote",
            Wrong::Ceiling => info.plan == BOUND[0],
            Wrong::AtOnce => info.plan == BOUND[1],
            Wrong::PermissionTwice => false,
            Wrong::NoAnswer
            | Wrong::TwoAnswers
            | Wrong::ForeignAnswer
            | Wrong::LateAnswer
            | Wrong::Altered
            | Wrong::Invented => !bound,
        }
    }

    /// Commits a violation, or passes the request through where its moment has not come or a server gave nothing.
    pub(super) async fn violate(
        self: &Rc<Self>,
        exchange: &mut Exchange<'_>,
        info: &RequestInfo,
        violation: Drawn,
    ) -> Reply {
        let reply = match violation.kind {
            Wrong::NoAnswer => Some(self.no_answer(info, violation)),
            Wrong::TwoAnswers => Some(self.two_answers(exchange, info, violation).await),
            Wrong::ForeignAnswer => Some(self.foreign_answer(exchange, info, violation).await),
            Wrong::LateAnswer => Some(self.late_answer(exchange, info, violation).await),
            Wrong::AfterAnswer => Some(self.attempt_after_answer(exchange, info, violation).await),
            Wrong::Twice => self.concurrent_attempts(exchange, info, violation).await,
            Wrong::ResendUnsafe => self.retry_unsafe(exchange, info, violation).await,
            Wrong::ResendKey => self.retry_expired_key(exchange, info, violation).await,
            Wrong::RefusedAfterRun => self.refuse_after_run(exchange, info, violation).await,
            Wrong::TooMany => self.too_many_attempts(exchange, info, violation).await,
            Wrong::Altered => self.altered_request(exchange, info, violation).await,
            Wrong::Invented => self.invented_request(exchange, info, violation).await,
            Wrong::Drained => self.send_to_draining(exchange, info, violation.kind).await,
            Wrong::ListVersion => self.choose_by_stale_revision(exchange, info, violation.kind).await,
            Wrong::ColdPush => self.push_cold_server(exchange, info).await,
            Wrong::Ceiling | Wrong::AtOnce => Some(self.exceed_plan(exchange, info, violation).await),
            // Committed by the gRPC front.
            Wrong::PermissionTwice => None,
        };
        match reply {
            Some(reply) => reply,
            None => self.pass_through(exchange, Some(info)).await,
        }
    }
}
