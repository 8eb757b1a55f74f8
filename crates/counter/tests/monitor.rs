//! Panels of several limiters before counters that are written out here: who is believed, when, and in what words.
#![allow(clippy::float_cmp, reason = "the expected values are exact in f64")]

use liftrouter_counter::{
    Assessment, CallResult, CounterMonitor, FailoverPolicy, Fault, ValidationSettings, Verdict,
};
use std::collections::HashMap;

/// A counter's counts; none while it is silent.
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

struct Site {
    now: f64,
    monitors: Vec<CounterMonitor>,
    counters: Vec<Counter>,
    /// Each change of assessment, with its time and limiter.
    changes: Vec<(f64, usize, Assessment)>,
}

impl Site {
    fn new(counters: usize) -> Site {
        let policy = FailoverPolicy { recovery_period: 10.0, jitter: 1.0, ..FailoverPolicy::default() };
        let phase = |n: u32| f64::from(n) / f64::from(INSTANCES);
        let monitors =
            (0..INSTANCES).map(|n| CounterMonitor::new(&settings(n), policy, counters, phase(n), 1_000.0));
        let counters = vec![Some(HashMap::new()); counters];
        Site { now: 1_000.0, monitors: monitors.collect(), counters, changes: Vec::new() }
    }

    fn play(&mut self, seconds: f64) {
        let end = self.now + seconds;
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
        self.monitors.iter().map(|p| p.assessment().active.index).collect()
    }

    fn usable_quota_ratios(&self) -> Vec<f64> {
        self.monitors.iter().map(|p| p.assessment().validity.usable_quota_ratio).collect()
    }
}

#[test]
fn a_standby_is_watched_by_a_sentinel_and_has_no_census() {
    let mut site = Site::new(2);
    site.play(30.0);
    let named = |k: usize, what: &str| {
        site.counters[k].iter().flat_map(|counts| counts.keys()).filter(|n| n.starts_with(what)).count()
    };
    assert!(named(0, "roll") > 0 && named(0, "canary") > 0 && named(1, "canary") > 0);
    assert_eq!(named(1, "roll"), 0, "nobody counts there");
    assert_eq!((site.active_counters(), site.usable_quota_ratios()), (vec![0; 3], vec![1.0; 3]));
}

#[test]
fn after_a_failover_the_totals_of_the_standby_are_used_after_its_census() {
    let mut site = Site::new(2);
    site.play(20.0);
    site.counters[0] = None;
    site.changes.clear();
    site.play(20.0);
    assert_eq!((site.active_counters(), site.usable_quota_ratios()), (vec![1; 3], vec![1.0; 3]));
    for limiter in 0..3 {
        let changes: Vec<_> =
            site.changes.iter().filter(|(_, n, _)| *n == limiter).map(|(_, _, b)| *b).collect();
        let change = changes.iter().position(|b| b.switch.is_some()).expect("a change");
        let text = changes[change].to_string();
        assert!(text.ends_with("keeper 2 of 2 in place of keeper 1, which gives no answers"), "{text}");
        assert_eq!(changes[change].validity.usable_quota_ratio, 0.0, "not believed before its roll: {text}");
        // Never the whole while some are still elsewhere: the usable_quota_ratios of those that have changed add up to 1 at most.
        assert!(changes[change..].iter().all(|b| b.active.index == 1));
    }
}

#[test]
fn all_fail_back_within_a_fifth_of_a_census_period_and_the_whole_is_used_only_after_all_have() {
    let mut site = Site::new(2);
    site.play(20.0);
    site.counters[0] = None;
    site.play(10.0);
    site.counters[0] = Some(HashMap::new());
    site.changes.clear();
    site.play(60.0);
    assert_eq!((site.active_counters(), site.usable_quota_ratios()), (vec![0; 3], vec![1.0; 3]));
    let back: Vec<f64> =
        site.changes.iter().filter(|(_, _, b)| b.switch.is_some()).map(|(at, ..)| *at).collect();
    let spread =
        back.iter().copied().fold(f64::MIN, f64::max) - back.iter().copied().fold(f64::MAX, f64::min);
    assert_eq!(back.len(), 3);
    // A fifth of a roll, and the pause until a limiter's next call.
    assert!(spread <= 1.0 + settings(0).call_interval + 0.05, "{back:?}");
    assert!((0.0..=2.1).contains(&(back[0] % 5.0)), "with the beginning of a roll: {back:?}");
    // Nobody divides the whole there before all have come.
    let last = back.iter().copied().fold(f64::MIN, f64::max);
    let whole = |b: &Assessment| b.validity.usable_quota_ratio == 1.0 && b.active.index == 0;
    let early = site.changes.iter().filter(|(at, _, b)| whole(b) && *at < last);
    assert_eq!(early.count(), 0);
}

#[test]
fn without_a_usable_counter_there_is_no_failover_and_no_usable_quota() {
    let mut site = Site::new(3);
    site.play(20.0);
    site.counters.iter_mut().for_each(|k| *k = None);
    site.play(30.0);
    assert_eq!((site.active_counters(), site.usable_quota_ratios()), (vec![0; 3], vec![0.0; 3]));
}

#[test]
fn after_a_pause_totals_are_used_after_two_valid_answers() {
    let mut site = Site::new(1);
    site.play(20.0);
    let now = site.now;
    let woken = site.monitors[0].process_resumed(now).expect("a change");
    assert_eq!(
        (woken.validity.usable_quota_ratio, woken.validity.verdict),
        (0.0, Verdict::UnknownAfterPause)
    );
    assert!(woken.to_string().starts_with("the keeper has not been heard since this limiter stood still"));
    site.play(0.1);
    assert_eq!(
        site.usable_quota_ratios()[0],
        0.0,
        "once heard is not enough: customers' totals are as old as before"
    );
    site.play(4.0);
    assert_eq!(site.usable_quota_ratios(), [1.0; 3], "who was on the roll has not changed meanwhile");
    // After a long pause who is on the roll is to be learned anew.
    site.now += 60.0;
    let now = site.now;
    site.monitors[0].process_resumed(now);
    site.play(1.9);
    assert_eq!(site.usable_quota_ratios()[0], 0.0);
    site.play(10.0);
    assert_eq!(site.usable_quota_ratios(), [1.0; 3]);
}

#[test]
fn a_counter_with_another_address_is_unknown() {
    let mut site = Site::new(1);
    site.play(20.0);
    let now = site.now;
    let before = site.monitors[0].assessment();
    let moved = site.monitors[0].address_changed(0, now).expect("a change");
    assert_eq!((moved.validity.usable_quota_ratio, moved.validity.verdict), (0.0, Verdict::Unknown));
    assert_eq!(
        moved.active.generation,
        before.active.generation + 1,
        "answers of the old one are changes apart"
    );
    // The new one has none of the counts, which is no loss.
    site.counters[0] = Some(HashMap::new());
    site.play(3.0);
    assert_eq!(site.monitors[0].assessment().validity.verdict, Verdict::Valid);
}

#[test]
fn the_assumed_fault_follows_the_verdict() {
    let mut site = Site::new(1);
    let reckoned = |site: &Site| site.monitors[0].assessment().assumed_fault(&settings(0));
    assert_eq!(reckoned(&site), Fault::Unavailable { seconds: 10.0 });
    site.play(20.0);
    assert_eq!(reckoned(&site), Fault::None);
    site.counters[0] = Some(HashMap::new());
    let end = site.now + 5.0;
    while reckoned(&site) != Fault::CountsLost {
        assert!(site.now < end, "the loss is not seen");
        site.play(0.05);
    }
    // One of three is cut off: the two that are left reckon with a second view.
    site.play(20.0);
    site.monitors.truncate(2);
    site.play(15.0);
    assert_eq!(reckoned(&site), Fault::SplitBrain { partitions: 2, seconds: 10.0 });
    assert!((site.usable_quota_ratios()[0] - 2.0 / 3.0).abs() < 1e-9);
}
