//! A scripted host for one limiter.

use liftrouter_decision::*;
use std::sync::Arc;

pub const A: &str = "10.0.0.1:1";
pub const B: &str = "10.0.0.2:1";
pub const C: &str = "10.0.0.3:1";

pub fn settings() -> Settings {
    let class = |name: &str, idempotency, scope| Class {
        name: name.into(),
        latency_objective_s: 1.0,
        deadline_s: 4.0,
        priority_weight: 1.0,
        idempotency,
        deduplication_scope: scope,
        deduplication_window_s: 2.0,
        ..Class::default()
    };
    let plan =
        Plan { name: "plain".into(), rate: 10.0, burst: 20.0, weight_multiplier: 1.0, ..Plan::default() };
    Settings {
        instance_count: 2,
        zone: "east".into(),
        tick_interval_s: 0.002,
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
        counter_timeout_s: 0.05,
        slow_start_capacity: 0.2,
        slow_start_duration_s: 20.0,
        overload_multiple: 3.0,
        overload_window_s: 2.0,
        max_attempts: 4,
        may_cancel: true,
        may_send_retry_after: true,
        max_retry_after_s: 2.0,
        ..Settings::default()
    }
}

pub fn endpoint(id: &str, zone: &str, state: EndpointState, started_at: Option<f64>) -> EndpointEntry {
    EndpointEntry {
        id: id.into(),
        address: None,
        zone: zone.into(),
        machine_type: "std".into(),
        cell: Some(if zone == "east" { 1 } else { 2 }),
        state,
        weight: 1.0,
        started_at,
    }
}

/// What one rejected step adds to a counter total; accepted steps stay below it.
pub const REJECTED_STEP_VALUE: f64 = 2_000.0;

pub struct Host {
    pub limiter: Limiter,
    pub now: f64,
    /// Counter calls without a reply: their keys and increments.
    pub counter_calls: Vec<(String, f64)>,
    pub reachable_instances: u32,
    next_id: u64,
}

impl Host {
    /// Two endpoints in the east, one in the west, none in slow start.
    pub fn new(settings: Settings) -> Self {
        let in_service = EndpointState::InService;
        let list = vec![
            endpoint(A, "east", in_service, None),
            endpoint(B, "east", in_service, None),
            endpoint(C, "west", in_service, None),
        ];
        let limiter = Limiter::new(settings, 7, 100.0);
        let mut host =
            Host { limiter, now: 100.0, counter_calls: Vec::new(), reachable_instances: 2, next_id: 0 };
        host.event(Event::EndpointList(list));
        host
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.limiter.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::IncrementCounter { key, increment, .. } = action {
                self.counter_calls.push((key.clone(), *increment));
            }
        }
        actions
    }

    pub fn request(&mut self, customer: &str, plan: &str, class: &str, units: f64) -> (u64, Vec<Action>) {
        self.next_id += 1;
        let request = Request {
            id: self.next_id,
            customer: customer.into(),
            plan: plan.into(),
            class: class.into(),
            units,
            reachable_instances: self.reachable_instances,
            is_retry: false,
            deadline: self.now + 4.0,
        };
        (self.next_id, self.event(Event::Request(request)))
    }

    pub fn end_attempt(
        &mut self,
        id: u64,
        attempt: u32,
        outcome: Outcome,
        units: Option<f64>,
    ) -> Vec<Action> {
        self.event(Event::AttemptEnded {
            id,
            attempt,
            request_finished: outcome == Outcome::Ok,
            outcome,
            elapsed_s: 0.05,
            units,
            report: LoadReport::default(),
        })
    }

    /// Sends a request that is answered at once. Returns whether it was admitted.
    pub fn serve(&mut self, customer: &str, plan: &str, units: f64) -> bool {
        let (id, actions) = self.request(customer, plan, "read", units);
        let admitted = sent_endpoint(&actions).is_some();
        if admitted {
            self.end_attempt(id, 0, Outcome::Ok, None);
        }
        admitted
    }

    /// Sends requests of one unit until the first rejection. Returns the number admitted, at most 200.
    pub fn drain_bucket(&mut self, customer: &str, plan: &str) -> u32 {
        (0..200).take_while(|_| self.serve(customer, plan, 1.0)).count() as u32
    }

    /// Replies to each counter call after 1 ms. Returns the number of calls.
    pub fn answer_counter_calls(&mut self, reply: impl Fn(f64) -> (Outcome, f64)) -> usize {
        let calls = std::mem::take(&mut self.counter_calls);
        for (key, increment) in &calls {
            let (outcome, total) = reply(*increment);
            self.event(Event::CounterReply { key: key.clone(), outcome, total, elapsed_s: 0.001 });
        }
        calls.len()
    }

    /// Serves another customer for a minute with a fast counter, after which the limiter calls the counter
    /// for every request.
    pub fn with_fast_counter(mut self) -> Self {
        for _ in 0..100 {
            self.now += 0.6;
            self.serve("warm", "plain", 0.1);
            self.answer_counter_calls(|increment| (Outcome::Ok, increment));
        }
        self
    }
}

/// The endpoint that the first attempt among these actions goes to.
pub fn sent_endpoint(actions: &[Action]) -> Option<Arc<str>> {
    actions.iter().find_map(|action| match action {
        Action::Send { endpoint, .. } => Some(endpoint.clone()),
        _ => None,
    })
}

/// Number of rejections.
pub fn rejections(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Reject { .. })).count()
}

/// Number of failed requests.
pub fn failures(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Fail { .. })).count()
}

/// Simulates 17 seconds of a customer's demand. According to the counter's replies, all limiters together had
/// `demand_ratio` times this limiter's demand, of which `accepted_ratio` was accepted (both per unit of own
/// demand). Returns the last total.
pub fn simulate_demand(host: &mut Host, customer: &str, demand_ratio: f64, accepted_ratio: f64) -> f64 {
    let (mut current_key, mut total_rejected, mut total_accepted) = (String::new(), 0.0f64, 0.0f64);
    for _ in 0..170 {
        host.now += 0.1;
        host.serve(customer, "plain", 1.0);
        for (key, increment) in std::mem::take(&mut host.counter_calls) {
            if key != current_key {
                (current_key, total_rejected, total_accepted) = (key.clone(), 0.0, 0.0);
            }
            let (own_accepted, own_rejected) =
                (increment % REJECTED_STEP_VALUE, (increment / REJECTED_STEP_VALUE).floor());
            let own = own_accepted + own_rejected;
            let others_accepted =
                (own * accepted_ratio - own_accepted).clamp(0.0, own * (demand_ratio - 1.0));
            total_accepted += own_accepted + others_accepted;
            total_rejected += own_rejected + own * (demand_ratio - 1.0) - others_accepted;
            let total = total_rejected.round() * REJECTED_STEP_VALUE + total_accepted.round();
            host.event(Event::CounterReply { key, outcome: Outcome::Ok, total, elapsed_s: 0.001 });
        }
    }
    total_rejected.round() * REJECTED_STEP_VALUE + total_accepted.round()
}

/// A customer's current limit in units a second: its bucket is drained, refilled for a second and drained
/// again.
pub fn measured_limit(host: &mut Host, customer: &str) -> u32 {
    host.drain_bucket(customer, "plain");
    host.now += 1.0;
    host.drain_bucket(customer, "plain")
}

/// Time and token of a request's timer. `kind` is 1 for the deadline and 2 for a slow attempt.
pub fn find_timer(actions: &[Action], id: u64, kind: u64) -> Option<(f64, u64)> {
    actions.iter().find_map(|action| match action {
        Action::SetTimer { expires_at, token } if *token == id * 4 + kind => Some((*expires_at, *token)),
        _ => None,
    })
}
