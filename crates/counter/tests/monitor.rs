//! Counter monitors of several limiters with simulated counters: the assessments, their times and their log text.
#![allow(clippy::float_cmp, reason = "the expected values are exact in f64")]

use liftrouter_counter::{
    Assessment, CallResult, CounterMonitor, FailoverPolicy, Fault, ValidationSettings, Verdict,
};
use std::collections::HashMap;

/// A counter's counts; `None` while it is unavailable.
type Counter = Option<HashMap<String, f64>>;

const INSTANCES: u32 = 3;

fn settings(instance_index: u32) -> ValidationSettings {
    ValidationSettings {
        instance_index,
        instance_count: INSTANCES,
        incarnation: 0xabc + u64::from(instance_index),
        ..ValidationSettings::default()
    }
}

struct Fleet {
    now: f64,
    monitors: Vec<CounterMonitor>,
    counters: Vec<Counter>,
    /// Each change of an assessment, with its time and limiter.
    changes: Vec<(f64, usize, Assessment)>,
}

impl Fleet {
    fn new(counters: usize) -> Fleet {
        let policy = FailoverPolicy { recovery_period_s: 10.0, jitter_s: 1.0, ..FailoverPolicy::default() };
        let phase = |n: u32| f64::from(n) / f64::from(INSTANCES);
        let monitors =
            (0..INSTANCES).map(|n| CounterMonitor::new(&settings(n), policy, counters, phase(n), 1_000.0));
        let counters = vec![Some(HashMap::new()); counters];
        Fleet { now: 1_000.0, monitors: monitors.collect(), counters, changes: Vec::new() }
    }

    fn run_for(&mut self, duration_s: f64) {
        let end = self.now + duration_s;
        while self.now < end {
            self.now += 0.05;
            for (n, monitor) in self.monitors.iter_mut().enumerate() {
                for (k, counter) in self.counters.iter_mut().enumerate() {
                    let Some(call) = monitor.due_call(k, self.now) else { continue };
                    let answer = match counter {
                        None => CallResult::Unanswered,
                        Some(counts) => {
                            let count = counts.entry(call.key.clone()).or_default();
                            *count += call.increment;
                            CallResult::Total(*count)
                        }
                    };
                    if let Some(assessment) = monitor.record_result(k, &call, answer, self.now) {
                        self.changes.push((self.now, n, assessment));
                    }
                }
            }
        }
    }

    fn active_counters(&self) -> Vec<usize> {
        self.monitors.iter().map(|monitor| monitor.assessment().active.index).collect()
    }

    fn usable_quota_ratios(&self) -> Vec<f64> {
        self.monitors.iter().map(|monitor| monitor.assessment().validity.usable_quota_ratio).collect()
    }
}

#[test]
fn a_standby_is_watched_by_a_sentinel_and_has_no_census() {
    let mut fleet = Fleet::new(2);
    fleet.run_for(30.0);
    let key_count = |k: usize, prefix: &str| {
        fleet.counters[k].iter().flat_map(|counts| counts.keys()).filter(|n| n.starts_with(prefix)).count()
    };
    assert!(key_count(0, "roll") > 0 && key_count(0, "canary") > 0 && key_count(1, "canary") > 0);
    assert_eq!(key_count(1, "roll"), 0, "a standby has no census");
    assert_eq!((fleet.active_counters(), fleet.usable_quota_ratios()), (vec![0; 3], vec![1.0; 3]));
}

#[test]
fn after_a_failover_the_totals_of_the_standby_are_used_after_its_census() {
    let mut fleet = Fleet::new(2);
    fleet.run_for(20.0);
    fleet.counters[0] = None;
    fleet.changes.clear();
    fleet.run_for(20.0);
    assert_eq!((fleet.active_counters(), fleet.usable_quota_ratios()), (vec![1; 3], vec![1.0; 3]));
    for limiter in 0..3 {
        let changes: Vec<_> =
            fleet.changes.iter().filter(|(_, n, _)| *n == limiter).map(|(_, _, b)| *b).collect();
        let change = changes.iter().position(|b| b.switch.is_some()).expect("a change");
        let text = changes[change].to_string();
        assert!(text.ends_with("keeper 2 of 2 in place of keeper 1, which gives no answers"), "{text}");
        assert_eq!(
            changes[change].validity.usable_quota_ratio, 0.0,
            "totals are not used before the first census: {text}"
        );
        // No return to the unavailable counter after the switch.
        assert!(changes[change..].iter().all(|b| b.active.index == 1));
    }
}

#[test]
fn all_fail_back_within_a_fifth_of_a_census_period_and_the_whole_is_used_only_after_all_have() {
    let mut fleet = Fleet::new(2);
    fleet.run_for(20.0);
    fleet.counters[0] = None;
    fleet.run_for(10.0);
    fleet.counters[0] = Some(HashMap::new());
    fleet.changes.clear();
    fleet.run_for(60.0);
    assert_eq!((fleet.active_counters(), fleet.usable_quota_ratios()), (vec![0; 3], vec![1.0; 3]));
    let failbacks: Vec<f64> =
        fleet.changes.iter().filter(|(_, _, b)| b.switch.is_some()).map(|(at, ..)| *at).collect();
    let spread = failbacks.iter().copied().fold(f64::MIN, f64::max)
        - failbacks.iter().copied().fold(f64::MAX, f64::min);
    assert_eq!(failbacks.len(), 3);
    // A fifth of a census period, plus the time until a limiter's next call.
    assert!(spread <= 1.0 + settings(0).call_interval_s + 0.05, "{failbacks:?}");
    assert!(
        (0.0..=2.1).contains(&(failbacks[0] % 5.0)),
        "failbacks start with a census period: {failbacks:?}"
    );
    // No limiter uses the whole quota before all have failed back.
    let last = failbacks.iter().copied().fold(f64::MIN, f64::max);
    let whole = |b: &Assessment| b.validity.usable_quota_ratio == 1.0 && b.active.index == 0;
    let early = fleet.changes.iter().filter(|(at, _, b)| whole(b) && *at < last);
    assert_eq!(early.count(), 0);
}

#[test]
fn without_a_usable_counter_there_is_no_failover_and_no_usable_quota() {
    let mut fleet = Fleet::new(3);
    fleet.run_for(20.0);
    fleet.counters.iter_mut().for_each(|k| *k = None);
    fleet.run_for(30.0);
    assert_eq!((fleet.active_counters(), fleet.usable_quota_ratios()), (vec![0; 3], vec![0.0; 3]));
}

#[test]
fn after_a_pause_totals_are_used_after_two_valid_answers() {
    let mut fleet = Fleet::new(1);
    fleet.run_for(20.0);
    let now = fleet.now;
    let after_pause = fleet.monitors[0].process_resumed(now).expect("a change");
    assert_eq!(
        (after_pause.validity.usable_quota_ratio, after_pause.validity.verdict),
        (0.0, Verdict::UnknownAfterPause)
    );
    assert!(after_pause
        .to_string()
        .starts_with("the keeper has not been heard since this limiter stood still"));
    fleet.run_for(0.1);
    assert_eq!(
        fleet.usable_quota_ratios()[0],
        0.0,
        "one answer is not enough, because customers' totals may still be from before the pause"
    );
    fleet.run_for(4.0);
    assert_eq!(fleet.usable_quota_ratios(), [1.0; 3], "the census is still recent enough");
    // After a long pause the census is too old, and a new one is needed.
    fleet.now += 60.0;
    let now = fleet.now;
    fleet.monitors[0].process_resumed(now);
    fleet.run_for(1.9);
    assert_eq!(fleet.usable_quota_ratios()[0], 0.0);
    fleet.run_for(10.0);
    assert_eq!(fleet.usable_quota_ratios(), [1.0; 3]);
}

#[test]
fn a_counter_with_another_address_is_unknown() {
    let mut fleet = Fleet::new(1);
    fleet.run_for(20.0);
    let now = fleet.now;
    let before = fleet.monitors[0].assessment();
    let moved = fleet.monitors[0].address_changed(0, now).expect("a change");
    assert_eq!((moved.validity.usable_quota_ratio, moved.validity.verdict), (0.0, Verdict::Unknown));
    assert_eq!(
        moved.active.generation,
        before.active.generation + 1,
        "answers to calls to the old address are recognized by their generation"
    );
    // The counter at the new address has no counts, which must not be reported as a loss.
    fleet.counters[0] = Some(HashMap::new());
    fleet.run_for(3.0);
    assert_eq!(fleet.monitors[0].assessment().validity.verdict, Verdict::Valid);
}

#[test]
fn the_assumed_fault_follows_the_verdict() {
    let mut fleet = Fleet::new(1);
    let assumed_fault = |fleet: &Fleet| fleet.monitors[0].assessment().assumed_fault(&settings(0));
    assert_eq!(assumed_fault(&fleet), Fault::Unavailable { duration_s: 10.0 });
    fleet.run_for(20.0);
    assert_eq!(assumed_fault(&fleet), Fault::None);
    fleet.counters[0] = Some(HashMap::new());
    let end = fleet.now + 5.0;
    while assumed_fault(&fleet) != Fault::CountsLost {
        assert!(fleet.now < end, "the loss is not detected");
        fleet.run_for(0.05);
    }
    // One of three limiters stops taking part: the other two assume a split counter.
    fleet.run_for(20.0);
    fleet.monitors.truncate(2);
    fleet.run_for(15.0);
    assert_eq!(assumed_fault(&fleet), Fault::SplitBrain { partitions: 2, duration_s: 10.0 });
    assert!((fleet.usable_quota_ratios()[0] - 2.0 / 3.0).abs() < 1e-9);
}
