//! Draws the violation that is due at a request, and hands it to the module of its kind.

use super::request::{Exchange, Reply, RequestInfo};
use super::violation::{Drawn, Violation};
use super::{Rogue, BOUND};
use std::rc::Rc;

impl Rogue {
    /// Whether a violation that has no size is due.
    pub(super) fn draws_permission_twice(&self) -> bool {
        self.options.kind.contains(&Violation::PermissionTwice)
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
        let always = matches!(kind, Violation::Ceiling | Violation::AtOnce | Violation::ColdPush);
        let due = self.fits(kind, info) && (always || rng.u32(0..self.options.every.max(1)) == 0);
        due.then_some(Drawn { kind, size })
    }

    /// Whether a violation can be done to a request by the request's plan and class.
    fn fits(&self, kind: Violation, info: &RequestInfo) -> bool {
        let bound = BOUND.contains(&info.plan.as_str());
        match kind {
            Violation::ResendUnsafe | Violation::RefusedAfterRun => {
                !bound && self.settings.is_unsafe(&info.class)
            }
            Violation::ResendKey => !bound && info.class == "bind",
            Violation::TooMany | Violation::Twice | Violation::AfterAnswer => !bound && info.class == "quote",
            Violation::ColdPush | Violation::Drained | Violation::ListVersion => {
                !bound && info.class == "quote"
            }
            Violation::Ceiling => info.plan == BOUND[0],
            Violation::AtOnce => info.plan == BOUND[1],
            Violation::PermissionTwice => false,
            Violation::NoAnswer
            | Violation::TwoAnswers
            | Violation::ForeignAnswer
            | Violation::LateAnswer
            | Violation::Altered
            | Violation::Invented => !bound,
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
            Violation::NoAnswer => Some(self.no_answer(info, violation)),
            Violation::TwoAnswers => Some(self.two_answers(exchange, info, violation).await),
            Violation::ForeignAnswer => Some(self.foreign_answer(exchange, info, violation).await),
            Violation::LateAnswer => Some(self.late_answer(exchange, info, violation).await),
            Violation::AfterAnswer => Some(self.attempt_after_answer(exchange, info, violation).await),
            Violation::Twice => self.concurrent_attempts(exchange, info, violation).await,
            Violation::ResendUnsafe => self.retry_unsafe(exchange, info, violation).await,
            Violation::ResendKey => self.retry_expired_key(exchange, info, violation).await,
            Violation::RefusedAfterRun => self.refuse_after_run(exchange, info, violation).await,
            Violation::TooMany => self.too_many_attempts(exchange, info, violation).await,
            Violation::Altered => self.altered_request(exchange, info, violation).await,
            Violation::Invented => self.invented_request(exchange, info, violation).await,
            Violation::Drained => self.send_to_draining(exchange, info, violation.kind).await,
            Violation::ListVersion => self.choose_by_stale_revision(exchange, info, violation.kind).await,
            Violation::ColdPush => self.push_cold_server(exchange, info).await,
            Violation::Ceiling | Violation::AtOnce => Some(self.exceed_plan(exchange, info, violation).await),
            // Committed by the gRPC front.
            Violation::PermissionTwice => None,
        };
        match reply {
            Some(reply) => reply,
            None => self.pass_through(exchange, Some(info)).await,
        }
    }
}
