//! Rate limiting of calls to a counter.
#![allow(clippy::float_cmp, reason = "the expected values are exact in f64")]

use liftrouter_counter::{Pacer, PacingSettings};

const SETTINGS: PacingSettings =
    PacingSettings { calls_per_second: 400.0, instance_count: 4, ramp_up_s: 5.0 };

/// Number of calls in each of ten seconds by instances that each attempt a thousand calls per second.
fn calls_per_second(mut pacers: Vec<Pacer>) -> Vec<u32> {
    let count = |second: u32, pacers: &mut Vec<Pacer>| {
        let times = (0..1_000).map(|ms| f64::from(second) + f64::from(ms) / 1e3);
        times
            .map(|at| {
                pacers.iter_mut().filter_map(|pacer| pacer.try_acquire(at).then_some(())).count() as u32
            })
            .sum()
    };
    (0..10).map(|second| count(second, &mut pacers)).collect()
}

fn pacers() -> Vec<Pacer> {
    (0..4).map(|n| Pacer::new(SETTINGS, f64::from(n) / 4.0, 0.0)).collect()
}

#[test]
fn instances_together_call_at_the_stated_rate_and_no_faster() {
    let calls = calls_per_second(pacers());
    assert!(calls.iter().all(|n| (380..=404).contains(n)), "{calls:?}");
}

#[test]
fn calls_ramp_up_over_the_stated_time_after_an_outage() {
    let mut all = pacers();
    for pacer in &mut all {
        (0..3).for_each(|_| pacer.record_result(false, 0.0));
        pacer.record_result(true, 0.0);
    }
    let calls = calls_per_second(all);
    assert!(calls[0] < 100, "{calls:?}");
    assert!(calls.windows(2).take(5).all(|w| w[0] < w[1]), "{calls:?}");
    assert!(calls[6..].iter().all(|n| (380..=404).contains(n)), "{calls:?}");
}

#[test]
fn calls_saved_up_in_an_outage_are_not_made_at_once() {
    let mut pacer = Pacer::new(SETTINGS, 1.0, 0.0);
    let at_once = (0..1_000).filter(|_| pacer.try_acquire(3_600.0)).count();
    assert_eq!(at_once, 5, "the burst of 0.05 s");
    assert_eq!(pacer.throttled_calls(), 995);
    pacer.start_ramp(3_601.0);
    assert!(
        pacer.try_acquire(3_601.0) && !pacer.try_acquire(3_601.0),
        "the ramp starts with as many calls as the phase"
    );
    // A single unanswered call does not start a ramp.
    let mut pacer = Pacer::new(SETTINGS, 0.0, 0.0);
    pacer.record_result(false, 1.0);
    pacer.record_result(true, 1.0);
    assert_eq!(pacer.rate(1.0), 100.0);
}
