//! The validator with a simulated counter: the detection of each fault, and conditions that must not be reported as one.
#![allow(clippy::float_cmp, reason = "the expected values are exact in f64")]

use liftrouter_counter::{CallResult, CounterValidator, ValidationSettings, Validity, Verdict};
use std::collections::HashMap;

/// A counter's counts.
type Counts = HashMap<String, f64>;

fn add(counts: &mut Counts, key: &str, add: f64) -> f64 {
    let count = counts.entry(key.to_string()).or_default();
    *count += add;
    *count
}

fn settings(instance_index: u32, instance_count: u32) -> ValidationSettings {
    ValidationSettings {
        instance_index,
        instance_count,
        incarnation: 0xabc + u64::from(instance_index),
        ..ValidationSettings::default()
    }
}

/// Limiters, each with a validator of the counter.
struct Instances {
    now: f64,
    validators: Vec<CounterValidator>,
}

impl Instances {
    fn new(limiters: u32) -> Instances {
        let validators =
            (0..limiters).map(|n| CounterValidator::new(settings(n, limiters), 1_000.0)).collect();
        Instances { now: 1_000.0, validators }
    }

    /// Runs for some seconds, in which `answer` returns the result of each limiter's call.
    fn run_for(&mut self, seconds: f64, mut answer: impl FnMut(usize, &str, f64) -> CallResult) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += 0.05;
            for (n, validator) in self.validators.iter_mut().enumerate() {
                if let Some(call) = validator.due_call(self.now) {
                    let result = answer(n, &call.key, call.increment);
                    validator.record_result(&call, result, self.now);
                }
            }
        }
    }

    /// Runs for some seconds with a counter without a fault.
    fn run_without_fault(&mut self, seconds: f64, counter: &mut Counts) {
        self.run_for(seconds, |_, key, n| CallResult::Total(add(counter, key, n)));
    }

    fn validities(&self) -> Vec<Validity> {
        self.validators.iter().map(CounterValidator::validity).collect()
    }

    fn verdicts(&self) -> Vec<Verdict> {
        self.validities().iter().map(|v| v.verdict).collect()
    }
}

#[test]
fn no_quota_is_usable_before_the_first_answer() {
    assert_eq!(CounterValidator::new(settings(0, 3), 1_000.0).validity().usable_quota_ratio, 0.0);
}

#[test]
fn a_working_counter_stays_valid_over_many_census_periods() {
    let (mut instances, mut counter) = (Instances::new(4), Counts::new());
    instances.run_without_fault(12.0, &mut counter);
    for _ in 0..200 {
        instances.run_without_fault(0.5, &mut counter);
        assert!(
            instances.validities().iter().all(|v| v.usable_quota_ratio == 1.0 && v.instances_seen == 4),
            "{:?}",
            instances.validities()
        );
    }
}

#[test]
fn validation_calls_keep_their_interval() {
    let (mut instances, mut counter, mut calls) = (Instances::new(1), Counts::new(), 0);
    instances.run_for(60.0, |_, key, n| {
        calls += 1;
        CallResult::Total(add(&mut counter, key, n))
    });
    assert!((50..=61).contains(&calls), "{calls} calls in a minute");
}

/// The first fault that each validator detects within four seconds.
fn first_faults(
    instances: &mut Instances,
    mut answer: impl FnMut(usize, &str, f64) -> CallResult,
) -> Vec<Verdict> {
    let mut found = vec![Verdict::Valid; instances.validators.len()];
    for _ in 0..80 {
        instances.run_for(0.05, &mut answer);
        for (found, now) in found.iter_mut().zip(instances.verdicts()) {
            if *found == Verdict::Valid {
                *found = now;
            }
        }
    }
    found
}

#[test]
fn unavailability_lost_counts_stale_totals_and_doubled_increments_are_told_apart() {
    let valid_instances = |seconds: f64| {
        let (mut instances, mut counter) = (Instances::new(2), Counts::new());
        instances.run_without_fault(11.0 + seconds, &mut counter);
        assert_eq!(instances.verdicts(), [Verdict::Valid; 2]);
        (instances, counter)
    };
    for seconds in [0.3, 1.7, 2.6, 3.4, 4.8] {
        let (mut instances, _) = valid_instances(seconds);
        assert_eq!(first_faults(&mut instances, |_, _, _| CallResult::Unanswered), [Verdict::Unavailable; 2]);

        let (mut instances, mut counter) = valid_instances(seconds);
        counter.clear();
        let lost = first_faults(&mut instances, |_, key, n| CallResult::Total(add(&mut counter, key, n)));
        assert_eq!(lost, [Verdict::CountsLost; 2], "{seconds}");

        let (mut instances, mut counter) = valid_instances(seconds);
        let doubled =
            first_faults(&mut instances, |_, key, n| CallResult::Total(add(&mut counter, key, 2.0 * n)));
        assert_eq!(doubled, [Verdict::DoubleCounted; 2], "{seconds}");

        let (mut instances, counter) = valid_instances(seconds);
        let old =
            |_: usize, key: &str, _: f64| CallResult::Total(counter.get(key).copied().unwrap_or_default());
        assert_eq!(first_faults(&mut instances, old), [Verdict::Stale; 2], "{seconds}");
    }
}

#[test]
fn an_older_copy_is_rolled_back_and_not_lost_counts() {
    let mut settings = settings(0, 1);
    // A single sentinel for the whole test.
    (settings.census_period_s, settings.call_interval_s) = (60.0, 1.0);
    let (mut instances, mut counter) = (
        Instances { now: 1_021.0, validators: vec![CounterValidator::new(settings, 1_021.0)] },
        Counts::new(),
    );
    instances.run_without_fault(10.0, &mut counter);
    let mut old = counter.clone();
    instances.run_without_fault(5.0, &mut counter);
    assert_eq!(instances.verdicts(), [Verdict::Valid]);
    let found = first_faults(&mut instances, |_, key, n| CallResult::Total(add(&mut old, key, n)));
    assert_eq!(found, [Verdict::RolledBack]);
}

#[test]
fn a_split_brain_shows_in_the_census_and_each_side_gets_its_share() {
    let (mut instances, mut left, mut right) = (Instances::new(4), Counts::new(), Counts::new());
    instances.run_without_fault(11.0, &mut left);
    instances.run_for(10.5, |n, key, step| {
        CallResult::Total(add(if n < 3 { &mut left } else { &mut right }, key, step))
    });
    let shares: Vec<f64> = instances.validities().iter().map(|v| v.usable_quota_ratio).collect();
    assert_eq!(shares, [0.75, 0.75, 0.75, 0.25], "{:?}", instances.validities());
    // After the split the whole quota is usable again.
    instances.run_without_fault(11.0, &mut left);
    assert!(
        instances.validities().iter().all(|v| v.usable_quota_ratio == 1.0),
        "{:?}",
        instances.validities()
    );
}

#[test]
fn occasional_rejected_or_unanswered_calls_are_no_split_brain() {
    let (mut instances, mut counter, mut call_count) = (Instances::new(4), Counts::new(), 0u32);
    instances.run_without_fault(11.0, &mut counter);
    for _ in 0..60 {
        instances.run_for(0.5, |_, key, n| {
            call_count += 1;
            match call_count % 5 {
                0 => CallResult::NotApplied,
                // Applied, but the answer is lost.
                1 if n > 0.0 && key.starts_with("canary") => {
                    add(&mut counter, key, n);
                    CallResult::Unanswered
                }
                _ => CallResult::Total(add(&mut counter, key, n)),
            }
        });
        let validities = instances.validities();
        assert!(
            validities.iter().all(|v| v.verdict == Verdict::Valid && v.usable_quota_ratio >= 0.75),
            "{validities:?}"
        );
    }
}

#[test]
fn after_a_fault_totals_are_used_after_two_valid_answers() {
    let (mut instances, mut counter) = (Instances::new(1), Counts::new());
    instances.run_without_fault(11.0, &mut counter);
    instances.run_for(5.0, |_, _, _| CallResult::Unanswered);
    assert_eq!(instances.validities()[0].usable_quota_ratio, 0.0);
    let mut valid_answers = 0;
    while instances.validities()[0].usable_quota_ratio == 0.0 {
        instances.run_for(0.05, |_, key, n| {
            valid_answers += u32::from(key.starts_with("canary"));
            CallResult::Total(add(&mut counter, key, n))
        });
    }
    assert_eq!(valid_answers, 2);
}

/// The only validator of a counter, with a valid sentinel total of at least 9 and a census period of a minute.
fn single_validator() -> CounterValidator {
    let mut validator =
        CounterValidator::new(ValidationSettings { census_period_s: 60.0, ..settings(0, 1) }, 1_021.0);
    let (mut total, mut now) = (0.0, 1_021.0);
    while validator.validity().usable_quota_ratio == 0.0 || total < 9.0 {
        now += 1.0;
        let Some(call) = validator.due_call(now) else { continue };
        let counts = call.key.starts_with("canary");
        total += if counts { call.increment } else { 0.0 };
        validator.record_result(&call, CallResult::Total(if counts { total } else { 1.0 }), now);
    }
    validator
}

#[test]
fn a_call_that_was_not_applied_does_not_hide_a_doubled_increment() {
    let mut validator = single_validator();
    let call = validator
        .due_call(1_050.0)
        .filter(|call| call.increment == 1.0)
        .expect("an increment of the sentinel");
    validator.record_result(&call, CallResult::NotApplied, 1_050.0);
    let call = validator.due_call(1_051.0).expect("the next increment");
    // The total is 9 and the increment of 1 was applied twice. If the rejected call still counted as possibly applied, 11
    // would be valid.
    let doubled_total = 9.0 + 2.0;
    validator.record_result(&call, CallResult::Total(doubled_total), 1_051.0);
    assert_eq!(validator.validity().verdict, Verdict::DoubleCounted);
}

#[test]
fn the_highest_census_total_counts_even_if_a_later_answer_is_lower() {
    let mut validator = CounterValidator::new(settings(0, 3), 1_000.0);
    // The registration shows all three instances; the answer to the later read comes from an older copy.
    let (mut now, mut sentinel_counts, mut readings) = (1_000.0, HashMap::new(), 0);
    while now < 1_004.9 {
        now += 0.05;
        let Some(call) = validator.due_call(now) else { continue };
        let total = match (call.key.starts_with("roll"), call.increment > 0.0) {
            (true, true) => 3.0,
            (true, false) => {
                readings += 1;
                2.0
            }
            _ => add(&mut sentinel_counts, &call.key, call.increment),
        };
        validator.record_result(&call, CallResult::Total(total), now);
    }
    assert_eq!((readings, validator.validity().instances_seen), (1, 3));
}

#[test]
fn the_sentinel_of_a_period_is_read_once_after_it_so_that_no_loss_goes_unseen() {
    let (mut instances, mut counter) = (Instances::new(1), Counts::new());
    instances.run_without_fault(9.95, &mut counter);
    // The loss comes after the sentinel's last increment, just before the next period.
    counter.clear();
    let mut calls = Vec::new();
    instances.run_for(2.2, |_, key, n| {
        calls.push((key.to_string(), n));
        CallResult::Total(add(&mut counter, key, n))
    });
    let reads: Vec<_> = calls.iter().filter(|(key, n)| key.starts_with("canary") && *n == 0.0).collect();
    assert_eq!(reads.len(), 1, "{calls:?}");
    assert_eq!(instances.verdicts(), [Verdict::CountsLost]);
}

#[test]
fn an_old_census_is_not_used_after_a_pause() {
    for (pause_s, expected_ratio) in [(5.1, 1.0), (60.1, 0.0)] {
        let validator =
            CounterValidator::new(ValidationSettings { call_interval_s: 0.3, ..settings(0, 1) }, 1_000.0);
        let (mut instances, mut counter) =
            (Instances { now: 1_000.0, validators: vec![validator] }, Counts::new());
        instances.run_without_fault(12.0, &mut counter);
        instances.now += pause_s;
        instances.validators[0].process_resumed(instances.now);
        // The pause ends after the registration window of the census, and the run ends before the reading window:
        // all calls go to the sentinel, enough of them for the two valid answers that a valid verdict requires.
        instances.run_for(0.7, |_, key, n| {
            assert!(key.starts_with("canary"), "{key}");
            CallResult::Total(add(&mut counter, key, n))
        });
        assert_eq!(instances.verdicts(), [Verdict::Valid]);
        assert_eq!(
            instances.validities()[0].usable_quota_ratio,
            expected_ratio,
            "{pause_s} s: {:?}",
            instances.validities()
        );
    }
}
