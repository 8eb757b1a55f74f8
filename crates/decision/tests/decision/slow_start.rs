//! Slow start with the attempts of all limiters together: within any overload window an endpoint gets at most
//! N attempts, the number that the settings allow, plus 2 sqrt(N) + 2 as a margin for chance.

use crate::support::*;
use liftrouter_decision::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, VecDeque};

const OVERLOAD_WINDOW: f64 = 2.0;

const STARTED_ENDPOINT: &str = "10.0.0.9:1";

/// Attempts of all limiters in an overload window at an endpoint in slow start, where no warm endpoint shows
/// what an endpoint can serve.
const MIN_ATTEMPTS: f64 = 4.0;

/// The bound for `n` attempts: `n` and a margin for chance.
fn with_chance_margin(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

/// The largest number of these times that lie within one overload window.
fn max_in_one_window(sends: &[f64]) -> usize {
    sends
        .iter()
        .map(|from| sends.iter().filter(|t| (0.0..=OVERLOAD_WINDOW).contains(&(**t - from))).count())
        .max()
        .unwrap_or(0)
}

/// Several limiters on a common clock. Each gets different requests.
struct Limiters {
    hosts: Vec<Host>,
    list: Vec<EndpointEntry>,
    now: f64,
    /// Times of the attempts, by endpoint.
    attempts: BTreeMap<EndpointId, Vec<f64>>,
    request_count: u64,
}

impl Limiters {
    fn new(instances: u32, list: Vec<EndpointEntry>) -> Limiters {
        let mut limiters =
            Limiters { hosts: Vec::new(), list, now: 100.0, attempts: BTreeMap::new(), request_count: 0 };
        limiters.hosts = (0..instances).map(|instance| limiters.start(instance, instances)).collect();
        limiters
    }

    fn start(&self, instance: u32, instances: u32) -> Host {
        let mut host = Host::new(Settings {
            instance_count: instances,
            instance_index: instance,
            overload_window_s: OVERLOAD_WINDOW,
            ..settings()
        });
        host.now = self.now;
        host.event(Event::EndpointList(self.list.clone()));
        host
    }

    /// Restarts a limiter, which then knows nothing but the endpoint list.
    fn restart(&mut self, instance: usize) {
        self.hosts[instance] = self.start(instance as u32, self.hosts.len() as u32);
    }

    fn apply_list(&mut self, list: Vec<EndpointEntry>) {
        self.list = list;
        for host in &mut self.hosts {
            host.now = self.now;
            host.event(Event::EndpointList(self.list.clone()));
        }
    }

    /// Sends a request to a limiter. Each of its attempts ends at once with its endpoint's outcome.
    fn request(&mut self, instance: usize, outcome_of: impl Fn(&str) -> Outcome) {
        self.request_count += 1;
        let host = &mut self.hosts[instance];
        host.now = self.now;
        let (id, mut actions) = host.request(&format!("c{}", self.request_count), "free", "read", 1.0);
        for attempt in 0.. {
            let Some(endpoint) = sent_endpoint(&actions) else { break };
            self.attempts.entry(endpoint.clone()).or_default().push(self.now);
            actions = host.end_attempt(id, attempt, outcome_of(&endpoint), None);
        }
    }

    /// Fires the tick timer of each limiter.
    fn tick(&mut self) {
        for host in &mut self.hosts {
            host.now = self.now;
            host.event(Event::Timer { token: 0 });
        }
    }

    /// Times of the attempts at an endpoint.
    fn attempt_times(&self, endpoint: &str) -> &[f64] {
        self.attempts.get(endpoint).map_or(&[], Vec::as_slice)
    }
}

fn entry_started_at(started_at: f64) -> EndpointEntry {
    endpoint(STARTED_ENDPOINT, "east", EndpointState::InService, Some(started_at))
}

/// Configuration with a fixed seed, so that each run checks the same cases.
fn cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(37),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(cases(48))]

    /// All limiters learn of a started endpoint at once, while the warm endpoints reject the requests of
    /// every limiter.
    #[test]
    fn a_start_that_all_limiters_learn_of_at_once_keeps_the_budget(
        instances in 1u32..31,
        at in 0.0f64..OVERLOAD_WINDOW,
    ) {
        let in_service = EndpointState::InService;
        let warm = vec![endpoint(A, "east", in_service, None), endpoint(B, "east", in_service, None)];
        let mut limiters = Limiters::new(instances, warm.clone());
        let outcome_of =
            |endpoint: &str| if endpoint == STARTED_ENDPOINT { Outcome::Ok } else { Outcome::Overloaded };
        let (start, mut applied) = (104.0 + at, false);
        // Requests a second to each warm endpoint while the warm endpoints accept them.
        let warm_rate = 40;
        while limiters.now < start + 3.0 * OVERLOAD_WINDOW {
            limiters.now += 1.0 / f64::from(warm_rate);
            if limiters.now >= start && !std::mem::replace(&mut applied, true) {
                limiters.apply_list(warm.iter().cloned().chain([entry_started_at(start)]).collect());
            }
            for n in 0..2 {
                let instance = (limiters.request_count as usize * 7 + n) % instances as usize;
                limiters.request(instance, |s| if applied { outcome_of(s) } else { Outcome::Ok });
            }
        }
        let sent = limiters.attempt_times(STARTED_ENDPOINT);
        prop_assert!(!sent.is_empty(), "no attempts at the started endpoint");
        for from in sent {
            let window = 0.0..=OVERLOAD_WINDOW;
            let within = sent.iter().filter(|time| window.contains(&(**time - from))).count() as f64;
            let factor = 0.2 + 0.8 * (from - start) / 20.0;
            let n = 3.0 * factor * f64::from(warm_rate) * OVERLOAD_WINDOW;
            let allowed = with_chance_margin(n);
            prop_assert!(within <= allowed, "{within} by {instances} limiters, {allowed} allowed");
        }
    }

    /// All or some of the limiters restart several times within one window and forget their attempts.
    #[test]
    fn restarts_that_forget_attempts_give_no_second_budget(
        instances in 1u32..31,
        every in 0.2f64..1.5,
        step in 1usize..4,
    ) {
        let mut limiters = Limiters::new(instances, vec![entry_started_at(100.0)]);
        let mut next = 100.0 + every;
        while limiters.now < 110.0 {
            limiters.now += 0.02;
            if limiters.now >= next {
                next += every;
                for instance in (0..instances as usize).filter(|instance| instance % step == 0) {
                    limiters.restart(instance);
                }
            }
            for instance in 0..instances as usize {
                limiters.request(instance, |_| Outcome::Ok);
            }
        }
        let most = max_in_one_window(limiters.attempt_times(STARTED_ENDPOINT)) as f64;
        let allowed = with_chance_margin(MIN_ATTEMPTS);
        prop_assert!(most <= allowed, "{most} by {instances} limiters, {allowed} allowed");
    }

    /// Endpoint lists that alternate between two start times of an endpoint.
    #[test]
    fn a_corrected_start_time_gives_no_second_budget(instances in 1u32..31, every in 0.1f64..1.0) {
        let mut limiters = Limiters::new(instances, vec![entry_started_at(100.0)]);
        let (mut next, mut late) = (100.0 + every, false);
        while limiters.now < 110.0 {
            limiters.now += 0.02;
            if limiters.now >= next {
                (next, late) = (next + every, !late);
                limiters.apply_list(vec![entry_started_at(if late { 100.001 } else { 100.0 })]);
            }
            for instance in 0..instances as usize {
                limiters.request(instance, |_| Outcome::Ok);
            }
        }
        let most = max_in_one_window(limiters.attempt_times(STARTED_ENDPOINT)) as f64;
        let allowed = with_chance_margin(MIN_ATTEMPTS);
        prop_assert!(most <= allowed, "{most} by {instances} limiters, {allowed} allowed");
    }
}

/// All requests arrive within a tenth of a second, at any position in the limiters' windows: on average no
/// position lets more attempts through than the others.
#[test]
fn a_burst_of_requests_keeps_the_budget_at_any_position_in_the_window() {
    const CASES: u32 = 24;
    for tenth in 0..20 {
        let mut sent = 0;
        for case in 0..CASES {
            let cold = format!("10.9.0.{case}:1");
            let mut limiters =
                Limiters::new(30, vec![endpoint(&cold, "east", EndpointState::InService, Some(100.0))]);
            limiters.now = 104.0 + f64::from(tenth) * 0.1 - 0.05;
            for _ in 0..10 {
                (0..30).for_each(|instance| limiters.request(instance, |_| Outcome::Ok));
                limiters.now += 0.01;
            }
            sent += limiters.attempt_times(&cold).len();
        }
        let mean = sent as f64 / f64::from(CASES);
        assert!(
            mean <= 1.4 * MIN_ATTEMPTS,
            "{mean} attempts on average with the burst at position {tenth} of 20"
        );
    }
}

/// Above 48 limiters each uses a subset of the endpoints. If most of them are ejected, each of the rest is
/// used by more limiters than intended.
#[test]
fn limiters_that_share_the_remaining_endpoints_keep_the_budget() {
    let in_service = EndpointState::InService;
    let bad = (0..36).map(|n| endpoint(&format!("10.1.0.{n}:1"), "east", in_service, None));
    let cold = (0..24).map(|n| endpoint(&format!("10.2.0.{n}:1"), "east", in_service, Some(100.0)));
    let mut limiters = Limiters::new(120, bad.chain(cold).collect());
    for _ in 0..200 {
        limiters.now += 0.02;
        limiters.tick();
        (0..120).for_each(|instance| {
            limiters.request(instance, |s| if s.starts_with("10.1.") { Outcome::Reset } else { Outcome::Ok });
        });
    }
    let cold: Vec<f64> = limiters
        .attempts
        .iter()
        .filter(|(s, _)| s.starts_with("10.2."))
        .map(|(_, sent)| max_in_one_window(sent) as f64)
        .collect();
    assert!(cold.len() >= 20, "most endpoints in slow start get attempts: {cold:?}");
    // By chance a single endpoint may exceed the bound; the average may not.
    let mean = cold.iter().sum::<f64>() / cold.len() as f64;
    assert!(
        mean <= with_chance_margin(MIN_ATTEMPTS),
        "{mean} attempts on average in the fullest window of an endpoint: {cold:?}"
    );
}

#[test]
fn an_endpoint_in_slow_start_gets_a_budget_in_any_window() {
    let mut host = Host::new(settings());
    let in_service = EndpointState::InService;
    host.event(Event::EndpointList(vec![
        endpoint(A, "east", in_service, None),
        endpoint(B, "east", in_service, Some(100.0)),
    ]));
    let mut sends = Vec::new();
    let mut in_flight = VecDeque::new();
    for n in 0..2000 {
        host.now += 0.005;
        let (id, actions) = host.request(&format!("c{n}"), "plain", "read", 1.0);
        if sent_endpoint(&actions).as_deref() == Some(B) {
            sends.push(host.now);
        }
        in_flight.push_back(id);
        if in_flight.len() > 12 {
            let id = in_flight.pop_front().expect("an attempt in flight");
            host.end_attempt(id, 0, Outcome::Ok, None);
        }
    }
    assert!(!sends.is_empty(), "no attempts at the endpoint in slow start");
    for start in &sends {
        let within = sends.iter().filter(|t| **t >= *start && **t < *start + 2.0).count() as f64;
        let warm_attempts = 200.0 * 2.0;
        let factor = 0.2 + 0.8 * ((start + 2.0 - 100.0) / 20.0);
        assert!(within <= 3.0 * factor * warm_attempts, "{within} at {start}");
    }
    let first = sends.iter().filter(|t| **t < 102.0).count();
    assert!(first as f64 <= 3.0 * 0.28 * 400.0 * 0.7, "{first} in the first window");
}

#[test]
fn hundreds_of_limiters_together_keep_the_slow_start_budget() {
    // Guards against one attempt from each limiter exceeding the budget. No warm endpoint shows what an
    // endpoint can serve.
    for instances in [2u32, 300] {
        let mut sent = 0;
        for instance in 0..instances {
            let mut host =
                Host::new(Settings { instance_count: instances, instance_index: instance, ..settings() });
            host.event(Event::EndpointList(vec![endpoint(B, "east", EndpointState::InService, Some(100.0))]));
            for n in 0..200 {
                host.now += 0.02;
                sent += usize::from(host.serve(&format!("c{n}"), "plain", 1.0));
            }
        }
        // Four attempts in an overload window (2 s) over all limiters, and a margin for chance.
        assert!((1..=20).contains(&sent), "{sent} attempts in two windows from {instances} limiters");
    }
}
