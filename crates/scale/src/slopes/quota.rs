//! What tenants get beyond their quotas, by limiters that each comes through.

use super::process::Reading;
use super::tenants::{quota_settings, Counter};
use super::workload::{self, Driver};
use liftrouter_decision::Event;
use std::sync::Arc;

/// Tenants that are played together.
const TENANTS: usize = 20;
/// Requests a second of each, in multiples of the quota.
const OFFERED: f64 = 2.0;
/// Seconds that are played.
const PLAYED: f64 = 120.0;
/// Seconds between two surveys of a limiter.
const SURVEY_EVERY: f64 = 1.0;
/// Servers behind each limiter.
const SERVERS: usize = 8;

/// Requests of other tenants, all within their quotas, that each limiter has had before.
const EARLIER_REQUESTS: usize = 60;

/// What was let through, as a multiple of what the quota allows, where tenants ask for twice their quota and come evenly
/// through all of so many limiters. Each limiter has first had requests of tenants that stay within theirs.
pub fn measure(limiters: usize, seed: u64) -> Vec<Reading> {
    let mut play = Play::new(limiters, seed);
    play.warm_up();
    play.run();
    let plan = &quota_settings(limiters as u32).plans[0];
    let allowed = TENANTS as f64 * (plan.rate * PLAYED + plan.burst);
    vec![
        Reading::new("quota.admitted_ratio", play.sent as f64 / allowed),
        Reading::new("quota.calls_per_request", play.calls as f64 / play.asked as f64),
    ]
}

struct Play {
    limiters: Vec<Driver>,
    counter: Counter,
    rng: fastrand::Rng,
    plan: Arc<str>,
    class: Arc<str>,
    asked: usize,
    sent: usize,
    calls: usize,
}

impl Play {
    fn new(limiters: usize, seed: u64) -> Self {
        let width = limiters as u32;
        let driver = |index: usize| {
            let mut driver = Driver::new(quota_settings(width), width, seed ^ index as u64);
            driver.event(Event::EndpointList(workload::servers(SERVERS, seed)));
            driver
        };
        Play {
            limiters: (0..limiters).map(driver).collect(),
            counter: Counter::default(),
            rng: fastrand::Rng::with_seed(seed),
            plan: "quota".into(),
            class: "read".into(),
            asked: 0,
            sent: 0,
            calls: 0,
        }
    }

    /// One request of a tenant at a limiter, and the counter's answer to the call that it causes.
    fn request(&mut self, limiter: usize, tenant: &Arc<str>) {
        let driver = &mut self.limiters[limiter];
        let decided = driver.decide(tenant, &self.plan, &self.class);
        self.asked += 1;
        self.sent += usize::from(decided.sent);
        if let Some(call) = decided.count {
            self.calls += 1;
            let total = self.counter.add(&call);
            driver.counted(call.name, total);
        }
    }

    fn warm_up(&mut self) {
        for request in 0..EARLIER_REQUESTS {
            for limiter in 0..self.limiters.len() {
                // One request in all of each such tenant: within any quota.
                let tenant: Arc<str> = format!("earlier-{limiter}-{request}").into();
                self.request(limiter, &tenant);
                self.limiters[limiter].step();
            }
        }
        (self.asked, self.sent, self.calls) = (0, 0, 0);
    }

    fn run(&mut self) {
        let tenants = workload::tenants(TENANTS);
        let rate = quota_settings(1).plans[0].rate;
        let (began, gap) = (self.limiters[0].now, 1.0 / (OFFERED * rate * TENANTS as f64));
        let mut next_survey = began;
        for step in 0..(PLAYED / gap) as usize {
            let now = began + step as f64 * gap;
            if now >= next_survey {
                next_survey += SURVEY_EVERY;
                self.survey(now);
            }
            let limiter = self.rng.usize(..self.limiters.len());
            self.limiters[limiter].now = now;
            self.request(limiter, &tenants[step % TENANTS]);
        }
    }

    fn survey(&mut self, now: f64) {
        for driver in &mut self.limiters {
            driver.now = now;
            driver.tick();
        }
    }
}
