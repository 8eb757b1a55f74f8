//! Checks the keys on the counter service and the log text of each assessment against those of version 0.2.0. All versions
//! that share a counter service must use the same keys.

use liftrouter_counter::{Assessment, CallResult, CounterMonitor, FailoverPolicy, ValidationSettings};
use std::collections::HashMap;
use std::fmt::Write;

const FIXTURE: &str = include_str!("fixtures/validation_calls.txt");
const TICKS_PER_SECOND: u32 = 20;

/// The result in the format of the fixture.
fn text_of(result: CallResult) -> String {
    match result {
        CallResult::Total(total) => format!("Total({total:?})"),
        CallResult::Unanswered => "None".into(),
        CallResult::NotApplied => "NotAdded".into(),
    }
}

/// Answers of two counters with every kind of fault: the first is unavailable, rejects calls, is stale and loses counts;
/// the second applies increments more than once for two seconds.
fn answer(
    counts: &mut HashMap<String, f64>,
    counter: usize,
    second: u32,
    key: &str,
    increment: f64,
) -> CallResult {
    let others = if key.starts_with("roll") { 2.0 } else { 0.0 };
    let count = counts.entry(key.to_string()).or_default();
    match (counter, second) {
        (0, 20..=29) => return CallResult::Unanswered,
        (0, 31) => return CallResult::NotApplied,
        (0, 60..68) => {}
        (1, 62..64) => *count += 2.0 * increment,
        (0, 75) => return CallResult::Total(increment + others),
        _ => *count += increment,
    }
    CallResult::Total(*count + others)
}

#[test]
fn calls_and_assessments_are_those_of_version_0_2_0() {
    let mut found = String::new();
    let settings = ValidationSettings {
        instance_index: 2,
        instance_count: 3,
        incarnation: 0x0123_4567_89ab_cdef,
        ..ValidationSettings::default()
    };
    let policy = FailoverPolicy { recovery_period_s: 10.0, jitter_s: 1.0, ..FailoverPolicy::default() };
    let mut monitor = CounterMonitor::new(&settings, policy, 2, 0.25, 1_000.0);
    let mut counts = [HashMap::<String, f64>::new(), HashMap::new()];
    let line = |assessment: Option<Assessment>| assessment.map(|a| a.to_string()).unwrap_or_default();
    writeln!(found, "{}", monitor.assessment()).expect("text");
    for tick in 1..=120 * TICKS_PER_SECOND {
        let now = 1_000.0 + f64::from(tick) * 0.05;
        if tick == 85 * TICKS_PER_SECOND {
            writeln!(found, "pause {}", line(monitor.process_resumed(now))).expect("text");
        }
        if tick == 105 * TICKS_PER_SECOND {
            writeln!(found, "moved {}", line(monitor.address_changed(0, now))).expect("text");
        }
        for (counter, counts) in counts.iter_mut().enumerate() {
            let Some(call) = monitor.due_call(counter, now) else { continue };
            let result = answer(counts, counter, tick / TICKS_PER_SECOND, &call.key, call.increment);
            let (key, increment, keep_ms) = (&call.key, call.increment, call.ttl_s * 1e3);
            let text = text_of(result);
            writeln!(found, "{now} {counter} POST /tally/{key}?n={increment}&keep_ms={keep_ms} {text}")
                .expect("text");
            if let Some(assessment) = monitor.record_result(counter, &call, result, now) {
                writeln!(found, "{assessment}").expect("text");
            }
        }
    }
    for (number, (found, expected)) in found.lines().zip(FIXTURE.lines()).enumerate() {
        assert_eq!(found, expected, "line {}", number + 1);
    }
    assert_eq!(found, FIXTURE);
}
