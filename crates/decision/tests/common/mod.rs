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
        aim: 1.0,
        deadline: 4.0,
        worth: 1.0,
        effect,
        scope,
        window: 2.0,
        ..Class::default()
    };
    let plan = Plan { name: "plain".into(), rate: 10.0, depth: 20.0, price: 1.0, ..Plan::default() };
    Settings {
        peers: 2,
        zone: "east".into(),
        tick: 0.002,
        classes: vec![
            class("read", Effect::ReadLike, Scope::All),
            class("keyed-all", Effect::Keyed, Scope::All),
            class("keyed-zone", Effect::Keyed, Scope::Zone),
            class("unsafe", Effect::NonIdempotent, Scope::All),
        ],
        plans: vec![
            plan.clone(),
            Plan { name: "capped".into(), open: 2.0, ..plan.clone() },
            Plan { name: "hard".into(), hard_rate: 4.0, hard_burst: 8.0, hard_slack: 1.0, ..plan.clone() },
            Plan { name: "free".into(), rate: 0.0, depth: 0.0, ..plan },
        ],
        max_units: 4.0,
        has_counter: true,
        counter_timeout: 0.05,
        start_capacity: 0.2,
        ramp_time: 20.0,
        fall_multiple: 3.0,
        overload_for: 2.0,
        max_attempts: 4,
        may_cancel: true,
        may_advise: true,
        max_advice: 2.0,
        ..Settings::default()
    }
}

pub fn server(id: &str, zone: &str, state: ServerState, started: Option<f64>) -> ServerEntry {
    ServerEntry {
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
        let up = ServerState::InService;
        let list =
            vec![server(A, "east", up, None), server(B, "east", up, None), server(C, "west", up, None)];
        let limiter = Limiter::new(settings, 7, 100.0);
        let mut host = Host { limiter, now: 100.0, calls: Vec::new(), width: 2, next: 0 };
        host.event(Event::ServerList(list));
        host
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.limiter.handle(self.now, event, &mut out);
        for action in &out {
            if let Action::Count { name, add, .. } = action {
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
            width: self.width,
            repeat: false,
            due: self.now + 4.0,
        };
        (self.next, self.event(Event::Request(request)))
    }

    pub fn end(&mut self, id: u64, attempt: u32, outcome: Outcome, units: Option<f64>) -> Vec<Action> {
        let finished = outcome == Outcome::Ok;
        let report = LoadReport::default();
        self.event(Event::AttemptEnded { id, attempt, finished, outcome, took: 0.05, units, report })
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
            self.event(Event::Counted { name: name.clone(), outcome, total, took: 0.001 });
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
        Action::Send { server, .. } => Some(server.clone()),
        _ => None,
    })
}

pub fn refused(out: &[Action]) -> usize {
    out.iter().filter(|a| matches!(a, Action::Refuse { .. })).count()
}

pub fn failed(out: &[Action]) -> usize {
    out.iter().filter(|a| matches!(a, Action::Fail { .. })).count()
}
