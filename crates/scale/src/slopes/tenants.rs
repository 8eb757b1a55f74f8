//! Memory, processor time and calls of the counter, by tenants that come to one limiter.

use super::process::{cpu_time, resident, MeasureError, Reading};
use super::workload::{self, CounterCall, Driver, REQUESTS_PER_SECOND};
use liftrouter_decision::{Event, Plan, Settings};
use std::collections::HashMap;
use std::hint::black_box;
use std::sync::Arc;

/// Listed servers: those of one service.
const SERVERS: usize = 55;
/// Seconds that are played before the measurement, and measured.
const WARM_UP: f64 = 60.0;
const MEASURED: f64 = 60.0;
/// Surveys a second.
pub const SURVEYS_PER_SECOND: f64 = 20.0;
/// The longest gap between two numbers of a tenant on the counter is its name's time; older totals may be forgotten.
const KEPT_TOTALS: usize = 500_000;

/// Settings with one plan that has a quota: twice what the mean tenant asks for (4.2 requests a second).
pub fn quota_settings(limiters: u32) -> Settings {
    let plan =
        Plan { name: "quota".into(), rate: 8.4, burst: 30.0, weight_multiplier: 1.0, ..Plan::default() };
    Settings { plans: vec![plan], has_counter: true, ..workload::settings(limiters) }
}

/// The counter service: totals by name.
#[derive(Default)]
pub struct Counter {
    totals: HashMap<String, f64>,
}

impl Counter {
    /// Adds and gives the total.
    pub fn add(&mut self, call: &CounterCall) -> f64 {
        if self.totals.len() > KEPT_TOTALS {
            self.totals.clear();
        }
        let total = self.totals.entry(call.name.clone()).or_default();
        *total += call.add;
        *total
    }
}

/// Memory of a limiter that has seen each of so many tenants once.
///
/// # Errors
/// Memory cannot be read.
pub fn memory(tenants: usize, width: u32, seed: u64) -> Result<Vec<Reading>, MeasureError> {
    let mut driver = Driver::new(quota_settings(workload::LIMITERS), width, seed);
    driver.event(Event::EndpointList(workload::servers(SERVERS, seed)));
    let (plan, class): (Arc<str>, Arc<str>) = ("quota".into(), "read".into());
    let before = resident()?;
    for index in 0..tenants {
        driver.step();
        let tenant: Arc<str> = format!("tenant-{index:06}").into();
        if let Some(call) = driver.decide(&tenant, &plan, &class).count {
            driver.counted(call.name, call.add);
        }
    }
    let after = resident()?;
    black_box(&driver.limiter);
    Ok(vec![Reading::new("tenants.resident_kb", after.now_kb - before.now_kb)])
}

/// Counter calls and processor time of one limiter at its mean rate, where requests come evenly from so many tenants.
pub fn measure(tenants: usize, width: u32, seed: u64) -> Vec<Reading> {
    let mut play = Play::new(tenants, width, seed);
    play.run(WARM_UP);
    play.calls = Calls::default();
    let began = cpu_time();
    play.run(MEASURED);
    let cpu = (cpu_time() - began).as_secs_f64();
    let per_second = |count: usize| count as f64 / MEASURED;
    let calls = play.calls.count.max(1) as f64;
    vec![
        Reading::new("counter.calls_per_s", per_second(play.calls.count)),
        Reading::new("counter.bytes_per_s", per_second(play.calls.bytes)),
        Reading::new("counter.bytes_per_call", play.calls.bytes as f64 / calls),
        Reading::new("tenants.sent_share", play.calls.sent as f64 / (MEASURED * REQUESTS_PER_SECOND)),
        Reading::new("tenants.cpu_us_per_s", cpu * 1e6 / MEASURED),
    ]
}

#[derive(Default)]
struct Calls {
    count: usize,
    bytes: usize,
    sent: usize,
}

struct Play {
    driver: Driver,
    counter: Counter,
    tenants: Vec<Arc<str>>,
    plan: Arc<str>,
    class: Arc<str>,
    rng: fastrand::Rng,
    next_survey: f64,
    calls: Calls,
}

impl Play {
    fn new(tenants: usize, width: u32, seed: u64) -> Self {
        let mut driver = Driver::new(quota_settings(workload::LIMITERS), width, seed);
        driver.event(Event::EndpointList(workload::servers(SERVERS, seed)));
        Play {
            next_survey: driver.now,
            driver,
            counter: Counter::default(),
            tenants: workload::tenants(tenants),
            plan: "quota".into(),
            class: "read".into(),
            rng: fastrand::Rng::with_seed(seed),
            calls: Calls::default(),
        }
    }

    fn run(&mut self, seconds: f64) {
        let until = self.driver.now + seconds;
        while self.driver.now < until {
            self.driver.step();
            if self.driver.now >= self.next_survey {
                self.next_survey = self.driver.now + 1.0 / SURVEYS_PER_SECOND;
                self.driver.tick();
            }
            self.request();
        }
    }

    fn request(&mut self) {
        let tenant = &self.tenants[self.rng.usize(..self.tenants.len())];
        let decided = self.driver.decide(tenant, &self.plan, &self.class);
        self.calls.sent += usize::from(decided.sent);
        let Some(call) = decided.count else { return };
        let total = self.counter.add(&call);
        self.calls.count += 1;
        self.calls.bytes += exchange_bytes(&call, total);
        self.driver.counted(call.name, total);
    }
}

/// Bytes of a call and its answer as the program writes them, without those of TCP and IP.
fn exchange_bytes(call: &CounterCall, total: f64) -> usize {
    let (name, add) = (&call.name, call.add);
    let request = format!(
        "POST /tally/{name}?n={add}&keep_ms=40000 HTTP/1.1\r\nhost: 10.0.0.1:6400\r\ncontent-length: 0\r\n\r\n"
    );
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{total}", total.to_string().len());
    request.len() + answer.len()
}
