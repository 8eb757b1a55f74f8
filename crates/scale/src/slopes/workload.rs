//! Synthetic settings, lists of servers and requests, the same for the same seed.

use liftrouter_decision::{
    Action, Class, DeduplicationScope, EndpointEntry, EndpointState, Event, Idempotency, Limiter, LoadReport,
    Outcome, Plan, Request, Settings,
};
use serde_json::{json, Value};
use std::sync::Arc;

/// Limiters at the operators' size.
pub const LIMITERS: u32 = 7_100;
/// Requests a second that one limiter gets at the peak: 750,000 over 7,100.
pub const REQUESTS_PER_SECOND: f64 = 106.0;
/// The zones of two regions.
const ZONES: [&str; 7] = ["north-a", "north-b", "north-c", "north-d", "south-a", "south-b", "south-c"];
/// Cells of a zone.
const CELLS: usize = 4;
/// How long a server takes for a request, in seconds.
const SERVICE_TIME: f64 = 0.02;
/// How long the counter takes for a call, in seconds.
const COUNTER_TIME: f64 = 0.001;
/// A token that wakes a limiter for its periodic work.
const TICK_TOKEN: u64 = 0;

/// Settings of a limiter among so many, with one class and one plan without a quota.
pub fn settings(limiters: u32) -> Settings {
    let class = Class {
        name: "read".into(),
        latency_objective_s: 1.0,
        deadline_s: 4.0,
        priority_weight: 1.0,
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window_s: 2.0,
        ..Class::default()
    };
    Settings {
        instance_count: limiters,
        zone: ZONES[0].into(),
        tick_interval_s: 0.002,
        classes: vec![class],
        plans: vec![Plan { name: "open".into(), weight_multiplier: 1.0, ..Plan::default() }],
        max_request_units: 4.0,
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

/// A server's name, as an address and port.
fn server_name(index: usize) -> String {
    let [_, a, b, c] = (index as u32 + 1).to_be_bytes();
    format!("10.{a}.{b}.{c}:8080")
}

/// A list of servers in service, spread over all zones.
pub fn servers(count: usize, seed: u64) -> Vec<EndpointEntry> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let zones: Vec<Arc<str>> = ZONES.iter().map(|zone| Arc::from(*zone)).collect();
    let kind: Arc<str> = "standard-8".into();
    let entry = |index| EndpointEntry {
        id: server_name(index).into(),
        address: None,
        zone: zones[rng.usize(..zones.len())].clone(),
        machine_type: kind.clone(),
        cell: Some(rng.usize(..CELLS) as i64),
        state: EndpointState::InService,
        weight: 1.0,
        started_at: None,
    };
    (0..count).map(entry).collect()
}

/// The same server as discovery writes it.
pub fn server_json(index: usize, seed: u64) -> Value {
    let mut rng = fastrand::Rng::with_seed(seed ^ index as u64);
    json!({
        "instanceId": server_name(index),
        "hostPort": server_name(index),
        "zone": ZONES[rng.usize(..ZONES.len())],
        "machineType": "standard-8",
        "cell": rng.usize(..CELLS),
        "lifecycle": "in_service",
        "weight": 1.0,
        "startedAtMs": 1_800_000_000_000u64 + rng.u64(..86_400_000),
    })
}

/// A message of discovery that names these servers. Written piece by piece, so that nothing but the text stays in memory.
pub fn update_json(indices: std::ops::Range<usize>, whole: bool, seed: u64) -> String {
    let mut text = format!("{{\"generation\":27000,\"reset\":{whole},\"instances\":[");
    for index in indices.clone() {
        text.push_str(if index > indices.start { "," } else { "" });
        text.push_str(&server_json(index, seed).to_string());
    }
    text.push_str("]}");
    text
}

/// Names of tenants.
pub fn tenants(count: usize) -> Vec<Arc<str>> {
    (0..count).map(|index| format!("tenant-{index:06}").into()).collect()
}

/// What one request led to.
#[derive(Clone, Debug, Default)]
pub struct Decided {
    /// It was sent to a server.
    pub sent: bool,
    /// The call of the counter that it caused: name and what to add.
    pub count: Option<CounterCall>,
}

/// A call of the counter.
#[derive(Clone, Debug)]
pub struct CounterCall {
    /// The name of the number.
    pub name: String,
    /// What to add.
    pub add: f64,
}

/// One limiter with a clock and a server that answers each attempt.
pub struct Driver {
    /// The limiter.
    pub limiter: Limiter,
    /// Its clock, in seconds.
    pub now: f64,
    width: u32,
    next_id: u64,
    actions: Vec<Action>,
}

impl Driver {
    /// A limiter whose tenants come through `width` limiters each.
    pub fn new(settings: Settings, width: u32, seed: u64) -> Self {
        let now = 1_000.0;
        Driver { limiter: Limiter::new(settings, seed, now), now, width, next_id: 0, actions: Vec::new() }
    }

    /// Hands an event to the limiter and drops what it asks for.
    pub fn event(&mut self, event: Event) {
        self.actions.clear();
        self.limiter.handle(self.now, event, &mut self.actions);
    }

    /// The periodic survey.
    pub fn tick(&mut self) {
        self.event(Event::Timer { token: TICK_TOKEN });
    }

    /// A request of a tenant, and the server's answer where it was sent.
    pub fn decide(&mut self, tenant: &Arc<str>, plan: &Arc<str>, class: &Arc<str>) -> Decided {
        self.next_id += 1;
        let id = self.next_id;
        let request = Request {
            id,
            customer: tenant.clone(),
            plan: plan.clone(),
            class: class.clone(),
            units: 1.0,
            reachable_instances: self.width,
            is_retry: false,
            deadline: self.now + 4.0,
        };
        self.event(Event::Request(request));
        let mut decided = Decided::default();
        for action in self.actions.drain(..) {
            match action {
                Action::Send { .. } => decided.sent = true,
                Action::IncrementCounter { key: name, increment: add, .. } => {
                    decided.count = Some(CounterCall { name, add })
                }
                _ => {}
            }
        }
        if decided.sent {
            self.answer(id);
        }
        decided
    }

    fn answer(&mut self, id: u64) {
        self.event(Event::AttemptEnded {
            id,
            attempt: 0,
            request_finished: true,
            outcome: Outcome::Ok,
            elapsed_s: SERVICE_TIME,
            units: None,
            report: LoadReport::default(),
        });
    }

    /// The counter's answer to a call.
    pub fn counted(&mut self, name: String, total: f64) {
        self.event(Event::CounterReply { key: name, outcome: Outcome::Ok, total, elapsed_s: COUNTER_TIME });
    }

    /// Lets the time to the next request at the mean rate pass.
    pub fn step(&mut self) {
        self.now += 1.0 / REQUESTS_PER_SECOND;
    }
}
