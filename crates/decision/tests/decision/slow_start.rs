//! Endpoints in slow start under the sum of what all limiters send: within N attempts in any stretch of the
//! overload window, and 2 x root of N + 2 for chance, N being what the settings allow.

use crate::support::*;
use liftrouter_decision::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, VecDeque};

const OVERLOAD_WINDOW: f64 = 2.0;

const STARTED_ENDPOINT: &str = "10.0.0.9:1";

/// Sends in a span to an endpoint in slow start where no warm one shows what it takes, over all limiters.
const MIN_ATTEMPTS: f64 = 4.0;

fn allowed(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

/// The most of these times that lie in one stretch of the span.
fn most_in_one_window(sends: &[f64]) -> usize {
    sends
        .iter()
        .map(|from| sends.iter().filter(|t| (0.0..=OVERLOAD_WINDOW).contains(&(**t - from))).count())
        .max()
        .unwrap_or(0)
}

/// Limiters on one clock, each with requests of its own.
struct Limiters {
    hosts: Vec<Host>,
    list: Vec<EndpointEntry>,
    now: f64,
    /// Sends by endpoint.
    sends: BTreeMap<EndpointId, Vec<f64>>,
    next: u64,
}

impl Limiters {
    fn new(instances: u32, list: Vec<EndpointEntry>) -> Limiters {
        let mut limiters = Limiters { hosts: Vec::new(), list, now: 100.0, sends: BTreeMap::new(), next: 0 };
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

    /// A limiter that starts anew knows nothing but the list.
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

    /// A request at a limiter, answered soon: with success, or rejected.
    fn request(&mut self, instance: usize, how: impl Fn(&str) -> Outcome) {
        self.next += 1;
        let host = &mut self.hosts[instance];
        host.now = self.now;
        let (id, mut actions) = host.request(&format!("c{}", self.next), "free", "read", 1.0);
        for attempt in 0.. {
            let Some(server) = sent_endpoint(&actions) else { break };
            self.sends.entry(server.clone()).or_default().push(self.now);
            actions = host.end_attempt(id, attempt, how(&server), None);
        }
    }

    /// Ticks all of them.
    fn tick(&mut self) {
        for host in &mut self.hosts {
            host.now = self.now;
            host.event(Event::Timer { token: 0 });
        }
    }

    fn sent(&self, server: &str) -> &[f64] {
        self.sends.get(server).map_or(&[], Vec::as_slice)
    }
}

fn started_at(started: f64) -> EndpointEntry {
    endpoint(STARTED_ENDPOINT, "east", EndpointState::InService, Some(started))
}

/// The same cases in each run.
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

    /// A start that all limiters learn of at once, while every limiter has requests that no warm endpoint
    /// takes.
    #[test]
    fn a_start_that_all_learn_of_at_once_is_no_moment_to_rush(
        instances in 1u32..31,
        at in 0.0f64..OVERLOAD_WINDOW,
    ) {
        let in_service = EndpointState::InService;
        let warm = vec![endpoint(A, "east", in_service, None), endpoint(B, "east", in_service, None)];
        let mut limiters = Limiters::new(instances, warm.clone());
        let outcome_of =
            |endpoint: &str| if endpoint == STARTED_ENDPOINT { Outcome::Ok } else { Outcome::Overloaded };
        let (start, mut applied) = (104.0 + at, false);
        // What a warm endpoint is sent, as long as they accept requests.
        let each = 40;
        while limiters.now < start + 3.0 * OVERLOAD_WINDOW {
            limiters.now += 1.0 / f64::from(each);
            if limiters.now >= start && !std::mem::replace(&mut applied, true) {
                limiters.apply_list(warm.iter().cloned().chain([started_at(start)]).collect());
            }
            for n in 0..2 {
                let instance = (limiters.next as usize * 7 + n) % instances as usize;
                limiters.request(instance, |s| if applied { outcome_of(s) } else { Outcome::Ok });
            }
        }
        let sent = limiters.sent(STARTED_ENDPOINT);
        prop_assert!(!sent.is_empty(), "it never warms by work");
        for from in sent {
            let window = 0.0..=OVERLOAD_WINDOW;
            let within = sent.iter().filter(|time| window.contains(&(**time - from))).count() as f64;
            let warmth = 0.2 + 0.8 * (from - start) / 20.0;
            let n = 3.0 * warmth * f64::from(each) * OVERLOAD_WINDOW;
            prop_assert!(within <= allowed(n), "{within} by {instances} limiters, {} allowed", allowed(n));
        }
    }

    /// Limiters that forget what they sent, a few times within one window, all or some of them.
    #[test]
    fn attempts_that_a_restart_forgot_are_not_sent_twice(
        instances in 1u32..31,
        every in 0.2f64..1.5,
        part in 1usize..4,
    ) {
        let mut limiters = Limiters::new(instances, vec![started_at(100.0)]);
        let mut next = 100.0 + every;
        while limiters.now < 110.0 {
            limiters.now += 0.02;
            if limiters.now >= next {
                next += every;
                for instance in (0..instances as usize).filter(|instance| instance % part == 0) {
                    limiters.restart(instance);
                }
            }
            for instance in 0..instances as usize {
                limiters.request(instance, |_| Outcome::Ok);
            }
        }
        let most = most_in_one_window(limiters.sent(STARTED_ENDPOINT)) as f64;
        let allowed = allowed(MIN_ATTEMPTS);
        prop_assert!(most <= allowed, "{most} by {instances} limiters, {allowed} allowed");
    }

    /// A list that corrects a start, back and forth.
    #[test]
    fn a_corrected_start_time_gives_no_second_budget(instances in 1u32..31, every in 0.1f64..1.0) {
        let mut limiters = Limiters::new(instances, vec![started_at(100.0)]);
        let (mut next, mut late) = (100.0 + every, false);
        while limiters.now < 110.0 {
            limiters.now += 0.02;
            if limiters.now >= next {
                (next, late) = (next + every, !late);
                limiters.apply_list(vec![started_at(if late { 100.001 } else { 100.0 })]);
            }
            for instance in 0..instances as usize {
                limiters.request(instance, |_| Outcome::Ok);
            }
        }
        let most = most_in_one_window(limiters.sent(STARTED_ENDPOINT)) as f64;
        let allowed = allowed(MIN_ATTEMPTS);
        prop_assert!(most <= allowed, "{most} by {instances} limiters, {allowed} allowed");
    }
}

/// Requests that all come within a tenth of a second, wherever that lies in the limiters' windows: on average
/// no moment gets more than the others.
#[test]
fn requests_that_all_come_at_once_find_no_better_moment() {
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
            sent += limiters.sent(&cold).len();
        }
        let mean = sent as f64 / f64::from(CASES);
        assert!(mean <= 1.4 * MIN_ATTEMPTS, "{mean} on average at tenth {tenth} of a window");
    }
}

/// Over 48 limiters each uses a part of the endpoints. Where most of those are ejected, the rest are shared
/// by more limiters than were meant to use them.
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
        .sends
        .iter()
        .filter(|(s, _)| s.starts_with("10.2."))
        .map(|(_, sent)| most_in_one_window(sent) as f64)
        .collect();
    assert!(cold.len() >= 20, "they get some: {cold:?}");
    // Each may have a window of chance; on average none.
    let mean = cold.iter().sum::<f64>() / cold.len() as f64;
    assert!(mean <= allowed(MIN_ATTEMPTS), "{mean} in the most_in_one_window windows on average: {cold:?}");
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
    let mut out_now = VecDeque::new();
    for n in 0..2000 {
        host.now += 0.005;
        let (id, actions) = host.request(&format!("c{n}"), "plain", "read", 1.0);
        if sent_endpoint(&actions).as_deref() == Some(B) {
            sends.push(host.now);
        }
        out_now.push_back(id);
        if out_now.len() > 12 {
            let id = out_now.pop_front().expect("one");
            host.end_attempt(id, 0, Outcome::Ok, None);
        }
    }
    assert!(!sends.is_empty(), "a cold server warms by work");
    for start in &sends {
        let within = sends.iter().filter(|t| **t >= *start && **t < *start + 2.0).count() as f64;
        let warm = 200.0 * 2.0;
        let warmth = 0.2 + 0.8 * ((start + 2.0 - 100.0) / 20.0);
        assert!(within <= 3.0 * warmth * warm, "{within} at {start}");
    }
    let first = sends.iter().filter(|t| **t < 102.0).count();
    assert!(first as f64 <= 3.0 * 0.28 * 400.0 * 0.7, "{first} in the first window");
}

#[test]
fn hundreds_of_limiters_together_keep_the_slow_start_budget() {
    // Guards against one send from each of them being too much; no warm endpoint shows what it can take.
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
        // Four an overload window (2 s) over all limiters, and chance.
        assert!((1..=20).contains(&sent), "{sent} sends in two windows from {instances} limiters");
    }
}
