//! Violations of a partner's plan: more than its rate, or more attempts at once than its concurrency limit.

use super::http::{call_until, DEADLINE_MARGIN};
use super::record::Committed;
use super::request::{Exchange, Reply, RequestInfo};
use super::settings::PlanLimits;
use super::violation::{Drawn, Violation};
use super::Rogue;
use crate::ledger::stores::Store;
use crate::schedule::Micros;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Instant;

/// A partner that is let through more than its plan allows, all of whose requests come through this limiter.
struct Partner {
    /// The kind, and the share of the rate or the number at once that was drawn for it.
    violation: Drawn,
    /// Its token bucket by the plan, and the lowest level of that.
    allowed: Store,
    lowest: f64,
    /// The token bucket by which it is let through.
    granted: Store,
    out: u32,
    most_out: u32,
}

impl Partner {
    fn new(violation: Drawn, limits: PlanLimits) -> Partner {
        let PlanLimits { rate, burst } = limits;
        let granted = if violation.kind == Violation::Ceiling { rate * (1.0 + violation.size) } else { rate };
        Partner {
            violation,
            allowed: Store::new(rate, burst),
            lowest: 0.0,
            granted: Store::new(granted, burst),
            out: 0,
            most_out: 0,
        }
    }

    /// Whether a refused request is let through.
    fn lets_through(&mut self, now: Micros, units: f64) -> bool {
        match self.violation.kind {
            Violation::Ceiling => self.granted.level(now) >= units,
            _ => f64::from(self.out) <= self.violation.size,
        }
    }

    fn take(&mut self, now: Micros, units: f64) {
        self.granted.take(now, units);
        self.lowest = self.lowest.min(self.allowed.take(now, units));
    }

    /// What was committed for the partner as a whole, which is known at the end.
    fn committed(&self, customer: u64) -> Option<Committed> {
        let Drawn { kind, size } = self.violation;
        let size = match kind {
            Violation::Ceiling if self.lowest < 0.0 => size,
            Violation::AtOnce if self.most_out > 1 => f64::from(self.most_out),
            _ => return None,
        };
        Some(Committed::meant(kind, None, Some(customer), size))
    }
}

/// Partners that are let through more than their plans allow, by customer.
#[derive(Default)]
pub(super) struct Partners {
    partners: RefCell<HashMap<u64, Partner>>,
}

impl Partners {
    /// The violations that stand at the end.
    pub fn violations(&self) -> Vec<Committed> {
        let partners = self.partners.borrow();
        partners.iter().filter_map(|(customer, partner)| partner.committed(*customer)).collect()
    }

    fn enter(&self, customer: u64, violation: Drawn, limits: PlanLimits) {
        let mut partners = self.partners.borrow_mut();
        partners.entry(customer).or_insert_with(|| Partner::new(violation, limits)).out += 1;
    }

    fn leave(&self, customer: u64) {
        if let Some(partner) = self.partners.borrow_mut().get_mut(&customer) {
            partner.out -= 1;
        }
    }

    /// Takes in how the limiter answered; whether its refusal is to be overruled.
    fn overrules(&self, info: &RequestInfo, now: Micros, status: Option<u16>, may_retry: bool) -> bool {
        let mut partners = self.partners.borrow_mut();
        let Some(partner) = partners.get_mut(&info.customer) else { return false };
        let refused = may_retry && status == Some(429);
        let lets = refused && partner.lets_through(now, info.units);
        if lets || status == Some(200) {
            partner.take(now, info.units);
        }
        if lets {
            partner.most_out = partner.most_out.max(partner.out);
        }
        lets
    }
}

impl Rogue {
    /// Lets through what the limiter refuses, by the share or the number that is drawn for the partner.
    pub(super) async fn exceed_plan(
        &self,
        exchange: &mut Exchange<'_>,
        info: &RequestInfo,
        violation: Drawn,
    ) -> Reply {
        let now = self.started.elapsed().as_micros() as Micros;
        self.partners.enter(info.customer, violation, self.settings.limits(&info.plan));
        let answer = self.limiter_answer(exchange).await;
        let status = answer.as_ref().ok().map(|answer| answer.status);
        // What a server takes too long for is refused, which forbids itself after an unsafe one.
        let time_remains = Instant::now() + 2 * DEADLINE_MARGIN < info.deadline;
        let may_retry = !self.settings.is_unsafe(&info.class) && time_remains;
        let overruled = self.partners.overrules(info, now, status, may_retry);
        // Drawn in any case, so that one refusal more or less does not change what is drawn later.
        let server = self.server().filter(|_| overruled);
        let reply = match (answer, server) {
            (Ok(answer), Some(server)) => {
                let served = call_until(server, &exchange.request.bytes(), info.deadline).await;
                Ok(served.unwrap_or(answer).bytes())
            }
            (answer, _) => answer.map(|answer| answer.bytes()),
        };
        self.partners.leave(info.customer);
        reply
    }
}
