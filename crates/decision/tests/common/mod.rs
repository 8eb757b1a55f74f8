//! A scripted host for one limiter.
#![allow(dead_code)]

use liftrouter_decision::*;
use std::sync::Arc;

pub const A: &str = "10.0.0.1:1";
pub const B: &str = "10.0.0.2:1";
pub const C: &str = "10.0.0.3:1";

pub fn settings() -> Settings {
    let class = |name: &str, effect, scope| Class {
        name: name.into(),
        latency_objective: 1.0,
        deadline: 4.0,
        priority_weight: 1.0,
        idempotency: effect,
        deduplication_scope: scope,
        deduplication_window: 2.0,
        ..Class::default()
    };
    let plan =
        Plan { name: "plain".into(), rate: 10.0, burst: 20.0, weight_multiplier: 1.0, ..Plan::default() };
    Settings {
        instance_count: 2,
        zone: "east".into(),
        tick_interval: 0.002,
        classes: vec![
            class("read", Idempotency::Idempotent, DeduplicationScope::All),
            class("keyed-all", Idempotency::IdempotencyKey, DeduplicationScope::All),
            class("keyed-zone", Idempotency::IdempotencyKey, DeduplicationScope::Zone),
            class("unsafe", Idempotency::NonIdempotent, DeduplicationScope::All),
        ],
        plans: vec![
            plan.clone(),
            Plan { name: "capped".into(), concurrency_limit: 2.0, ..plan.clone() },
            Plan {
                name: "hard".into(),
                hard_limit_rate: 4.0,
                hard_limit_burst: 8.0,
                hard_limit_overdraft: 1.0,
                ..plan.clone()
            },
            Plan { name: "free".into(), rate: 0.0, burst: 0.0, ..plan },
        ],
        max_request_units: 4.0,
        has_counter: true,
        counter_timeout: 0.05,
        slow_start_capacity: 0.2,
        slow_start_duration: 20.0,
        overload_multiple: 3.0,
        overload_window: 2.0,
        max_attempts: 4,
        may_cancel: true,
        may_send_retry_after: true,
        max_retry_after: 2.0,
        ..Settings::default()
    }
}

pub fn server(id: &str, zone: &str, state: EndpointState, started: Option<f64>) -> EndpointEntry {
    EndpointEntry {
        id: id.into(),
        zone: zone.into(),
        kind: "std".into(),
        cell: if zone == "east" { 1 } else { 2 },
        state,
        weight: 1.0,
        started,
    }
}

/// Steps of a counter total below this are units used, those above units refused.
pub const PACK: f64 = 2_000.0;

pub struct Host {
    pub limiter: Limiter,
    pub now: f64,
    /// Counter calls made and not answered yet.
    pub calls: Vec<(String, f64)>,
    pub width: u32,
    next: u64,
}

impl Host {
    /// Two servers in the east, one in the west, all warm.
    pub fn new(settings: Settings) -> Self {
        let up = EndpointState::InService;
        let list =
            vec![server(A, "east", up, None), server(B, "east", up, None), server(C, "west", up, None)];
        let limiter = Limiter::new(settings, 7, 100.0);
        let mut host = Host { limiter, now: 100.0, calls: Vec::new(), width: 2, next: 0 };
        host.event(Event::EndpointList(list));
        host
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.limiter.handle(self.now, event, &mut out);
        for action in &out {
            if let Action::IncrementCounter { key: name, increment: add, .. } = action {
                self.calls.push((name.clone(), *add));
            }
        }
        out
    }

    pub fn ask(&mut self, customer: &str, plan: &str, class: &str, units: f64) -> (u64, Vec<Action>) {
        self.next += 1;
        let request = Request {
            id: self.next,
            customer: customer.into(),
            plan: plan.into(),
            class: class.into(),
            units,
            reachable_instances: self.width,
            is_retry: false,
            deadline: self.now + 4.0,
        };
        (self.next, self.event(Event::Request(request)))
    }

    pub fn end(&mut self, id: u64, attempt: u32, outcome: Outcome, units: Option<f64>) -> Vec<Action> {
        let finished = outcome == Outcome::Ok;
        let report = LoadReport::default();
        self.event(Event::AttemptEnded {
            id,
            attempt,
            request_finished: finished,
            outcome,
            elapsed: 0.05,
            units,
            report,
        })
    }

    /// Admits and serves at once; true if it was sent.
    pub fn served(&mut self, customer: &str, plan: &str, units: f64) -> bool {
        let (id, out) = self.ask(customer, plan, "read", units);
        let sent = sent_to(&out).is_some();
        if sent {
            self.end(id, 0, Outcome::Ok, None);
        }
        sent
    }

    /// Units served in one go, one at a time, until the first refusal.
    pub fn burst(&mut self, customer: &str, plan: &str) -> u32 {
        (0..200).take_while(|_| self.served(customer, plan, 1.0)).count() as u32
    }

    /// Answers each counter call that is out, quickly; gives their number.
    pub fn count(&mut self, answer: impl Fn(f64) -> (Outcome, f64)) -> usize {
        let calls = std::mem::take(&mut self.calls);
        for (name, add) in &calls {
            let (outcome, total) = answer(*add);
            self.event(Event::CounterReply { key: name.clone(), outcome, total, elapsed: 0.001 });
        }
        calls.len()
    }

    /// Serves another customer for a while, so that a quick counter is called for every try.
    pub fn warm(mut self) -> Self {
        for _ in 0..100 {
            self.now += 0.6;
            self.served("warm", "plain", 0.1);
            self.count(|add| (Outcome::Ok, add));
        }
        self
    }
}

pub fn sent_to(out: &[Action]) -> Option<Arc<str>> {
    out.iter().find_map(|a| match a {
        Action::Send { endpoint: server, .. } => Some(server.clone()),
        _ => None,
    })
}

pub fn refused(out: &[Action]) -> usize {
    out.iter().filter(|a| matches!(a, Action::Reject { .. })).count()
}

pub fn failed(out: &[Action]) -> usize {
    out.iter().filter(|a| matches!(a, Action::Fail { .. })).count()
}
