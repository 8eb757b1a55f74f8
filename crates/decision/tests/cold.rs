//! Cold servers under the sum of what all limiters send: within N calls in any stretch of the time that the
//! settings name, and 2 x root of N + 2 for chance, N being what the settings allow.
mod common;
use common::*;
use liftrouter_decision::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const SPAN: f64 = 2.0;
const COLD: &str = "10.0.0.9:1";
/// Sends in a span to a cold server of which nobody knows what a warm one takes, over all limiters.
const LEAST: f64 = 4.0;

fn allowed(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

/// The most of these times that lie in one stretch of the span.
fn worst(sends: &[f64]) -> usize {
    sends
        .iter()
        .map(|from| sends.iter().filter(|t| (0.0..=SPAN).contains(&(**t - from))).count())
        .max()
        .unwrap_or(0)
}

/// Limiters on one clock, each with requests of its own.
struct All {
    limiters: Vec<Host>,
    list: Vec<EndpointEntry>,
    now: f64,
    /// Sends by server.
    sends: BTreeMap<EndpointId, Vec<f64>>,
    next: u64,
}

impl All {
    fn new(peers: u32, list: Vec<EndpointEntry>) -> All {
        let mut all = All { limiters: Vec::new(), list, now: 100.0, sends: BTreeMap::new(), next: 0 };
        all.limiters = (0..peers).map(|me| all.start(me, peers)).collect();
        all
    }

    fn start(&self, me: u32, peers: u32) -> Host {
        let mut host = Host::new(Settings {
            instance_count: peers,
            instance_index: me,
            overload_window: SPAN,
            ..settings()
        });
        host.now = self.now;
        host.event(Event::EndpointList(self.list.clone()));
        host
    }

    /// A limiter that starts anew knows nothing but the list.
    fn restart(&mut self, me: usize) {
        self.limiters[me] = self.start(me as u32, self.limiters.len() as u32);
    }

    fn tell(&mut self, list: Vec<EndpointEntry>) {
        self.list = list;
        for host in &mut self.limiters {
            host.now = self.now;
            host.event(Event::EndpointList(self.list.clone()));
        }
    }

    /// A request at a limiter, answered soon: with a good answer, or turned away.
    fn ask(&mut self, me: usize, how: impl Fn(&str) -> Outcome) {
        self.next += 1;
        let host = &mut self.limiters[me];
        host.now = self.now;
        let (id, mut out) = host.ask(&format!("c{}", self.next), "free", "read", 1.0);
        for attempt in 0.. {
            let Some(server) = sent_to(&out) else { break };
            self.sends.entry(server.clone()).or_default().push(self.now);
            out = host.end(id, attempt, how(&server), None);
        }
    }

    /// Wakes all of them for what they do now and then.
    fn tick(&mut self) {
        for host in &mut self.limiters {
            host.now = self.now;
            host.event(Event::Timer { token: 0 });
        }
    }

    fn sent(&self, server: &str) -> &[f64] {
        self.sends.get(server).map_or(&[], Vec::as_slice)
    }
}

fn cold_at(started: f64) -> EndpointEntry {
    server(COLD, "east", EndpointState::InService, Some(started))
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

    /// A start that all learn of at once, while every limiter has requests that no warm server takes.
    #[test]
    fn a_start_that_all_learn_of_at_once_is_no_moment_to_rush(peers in 1u32..31, at in 0.0f64..SPAN) {
        let up = EndpointState::InService;
        let warm = vec![server(A, "east", up, None), server(B, "east", up, None)];
        let mut all = All::new(peers, warm.clone());
        let turned = |server: &str| if server == COLD { Outcome::Ok } else { Outcome::Overloaded };
        let (start, mut told) = (104.0 + at, false);
        // What a warm server is sent, as long as they take their work.
        let each = 40;
        while all.now < start + 3.0 * SPAN {
            all.now += 1.0 / f64::from(each);
            if all.now >= start && !std::mem::replace(&mut told, true) {
                all.tell(warm.iter().cloned().chain([cold_at(start)]).collect());
            }
            for n in 0..2 {
                let me = (all.next as usize * 7 + n) % peers as usize;
                all.ask(me, |s| if told { turned(s) } else { Outcome::Ok });
            }
        }
        let sent = all.sent(COLD);
        prop_assert!(!sent.is_empty(), "it never warms by work");
        for from in sent {
            let within = sent.iter().filter(|t| (0.0..=SPAN).contains(&(**t - from))).count() as f64;
            let warmth = 0.2 + 0.8 * (from - start) / 20.0;
            let n = 3.0 * warmth * f64::from(each) * SPAN;
            prop_assert!(within <= allowed(n), "{within} by {peers} limiters, {} allowed", allowed(n));
        }
    }

    /// Limiters that forget what they sent, a few times within one window, all or some of them.
    #[test]
    fn what_a_restart_forgets_is_not_sent_twice(peers in 1u32..31, every in 0.2f64..1.5, part in 1usize..4) {
        let mut all = All::new(peers, vec![cold_at(100.0)]);
        let mut next = 100.0 + every;
        while all.now < 110.0 {
            all.now += 0.02;
            if all.now >= next {
                next += every;
                (0..peers as usize).filter(|me| me % part == 0).for_each(|me| all.restart(me));
            }
            for me in 0..peers as usize {
                all.ask(me, |_| Outcome::Ok);
            }
        }
        let most = worst(all.sent(COLD)) as f64;
        prop_assert!(most <= allowed(LEAST), "{most} by {peers} limiters, {} allowed", allowed(LEAST));
    }

    /// A list that corrects a start, back and forth.
    #[test]
    fn a_corrected_start_gives_no_second_budget(peers in 1u32..31, every in 0.1f64..1.0) {
        let mut all = All::new(peers, vec![cold_at(100.0)]);
        let (mut next, mut late) = (100.0 + every, false);
        while all.now < 110.0 {
            all.now += 0.02;
            if all.now >= next {
                (next, late) = (next + every, !late);
                all.tell(vec![cold_at(if late { 100.001 } else { 100.0 })]);
            }
            for me in 0..peers as usize {
                all.ask(me, |_| Outcome::Ok);
            }
        }
        let most = worst(all.sent(COLD)) as f64;
        prop_assert!(most <= allowed(LEAST), "{most} by {peers} limiters, {} allowed", allowed(LEAST));
    }
}

/// Requests that all come within a tenth of a second, wherever that lies in the limiters' windows: on average no
/// moment gets more than the others.
#[test]
fn requests_that_all_come_at_once_find_no_better_moment() {
    const CASES: u32 = 24;
    for tenth in 0..20 {
        let mut sent = 0;
        for case in 0..CASES {
            let cold = format!("10.9.0.{case}:1");
            let mut all = All::new(30, vec![server(&cold, "east", EndpointState::InService, Some(100.0))]);
            all.now = 104.0 + f64::from(tenth) * 0.1 - 0.05;
            for _ in 0..10 {
                (0..30).for_each(|me| all.ask(me, |_| Outcome::Ok));
                all.now += 0.01;
            }
            sent += all.sent(&cold).len();
        }
        let mean = sent as f64 / f64::from(CASES);
        assert!(mean <= 1.4 * LEAST, "{mean} on average at tenth {tenth} of a window");
    }
}

/// Over 48 limiters each uses a part of the servers. Where most of those are ejected, the rest are shared by more
/// limiters than were meant to use them.
#[test]
fn limiters_that_crowd_on_what_is_left_keep_the_budget() {
    let up = EndpointState::InService;
    let bad = (0..36).map(|n| server(&format!("10.1.0.{n}:1"), "east", up, None));
    let cold = (0..24).map(|n| server(&format!("10.2.0.{n}:1"), "east", up, Some(100.0)));
    let mut all = All::new(120, bad.chain(cold).collect());
    for _ in 0..200 {
        all.now += 0.02;
        all.tick();
        (0..120).for_each(|me| {
            all.ask(me, |s| if s.starts_with("10.1.") { Outcome::Reset } else { Outcome::Ok })
        });
    }
    let cold: Vec<f64> = all
        .sends
        .iter()
        .filter(|(s, _)| s.starts_with("10.2."))
        .map(|(_, sent)| worst(sent) as f64)
        .collect();
    assert!(cold.len() >= 20, "they get some: {cold:?}");
    // Each may have a window of chance; on average none.
    let mean = cold.iter().sum::<f64>() / cold.len() as f64;
    assert!(mean <= allowed(LEAST), "{mean} in the worst windows on average: {cold:?}");
}
