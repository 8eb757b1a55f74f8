//! Tests of failover and failback.

use super::*;

const POLICY: FailoverPolicy = FailoverPolicy {
    fault_tolerance_s: 4.0,
    recovery_period_s: 10.0,
    max_recovery_period_s: 80.0,
    jitter_s: 1.0,
    census_period_s: 5.0,
};

fn all_valid(counters: usize, phase: f64) -> Failover {
    let mut failover = Failover::new(POLICY, counters, phase, 0.0);
    (0..counters).for_each(|n| failover.observe(n, Verdict::Valid, true, 0.0));
    failover
}

#[test]
fn an_unavailable_counter_fails_over_to_the_next_valid_one() {
    let mut failover = all_valid(3, 0.5);
    failover.observe(1, Verdict::CountsLost, true, 1.0);
    failover.observe(0, Verdict::Unavailable, false, 2.0);
    assert_eq!(failover.switch_if_due(2.4), None, "the failover is delayed by the jitter");
    let switch = failover.switch_if_due(2.6).expect("a failover");
    assert_eq!(
        (switch.to, switch.reason, failover.active().generation),
        (2, SwitchReason::Failover(Verdict::Unavailable), 1)
    );
    assert_eq!(switch.to_string(), "in place of keeper 1, which gives no answers");
    // A second failover shortly after the first.
    failover.observe(1, Verdict::Valid, true, 2.7);
    failover.observe(2, Verdict::Unavailable, false, 2.8);
    assert_eq!(failover.switch_if_due(3.4).map(|switch| switch.to), Some(1));
}

#[test]
fn other_faults_are_tolerated_first_and_without_a_usable_counter_there_is_no_failover() {
    let mut failover = all_valid(2, 0.0);
    failover.observe(0, Verdict::Stale, true, 10.0);
    assert_eq!(failover.switch_if_due(13.9), None);
    failover.observe(1, Verdict::Valid, false, 12.0);
    assert_eq!(failover.switch_if_due(15.0), None, "the latest call to the other counter was not answered");
    failover.observe(1, Verdict::Valid, true, 16.0);
    assert_eq!(failover.switch_if_due(16.0).map(|switch| switch.to), Some(1));
}

#[test]
fn failback_waits_for_the_recovery_period_and_begins_with_a_census() {
    let mut failover = all_valid(2, 0.5);
    failover.observe(0, Verdict::Unavailable, false, 1.0);
    assert!(failover.switch_if_due(2.0).is_some());
    // The failover has doubled the recovery period: 20 s from 3.0 on, then the next census at 25.0.
    failover.observe(0, Verdict::Valid, true, 3.0);
    assert_eq!(failover.switch_if_due(25.4), None);
    let back = failover.switch_if_due(25.5).expect("a failback");
    assert_eq!((back.to, back.to_string().as_str()), (0, "back from keeper 2"));
    // All fail back within a fifth of the census period, before registrations end.
    for phase in [0.0, 1.0] {
        let failover = Failover { phase, ..failover.clone() };
        assert!((25.0..=26.0).contains(&failover.failback_at(0)), "{}", failover.failback_at(0));
    }
}

#[test]
fn a_flapping_counter_is_not_failed_back_to() {
    let mut failover = all_valid(2, 0.0);
    let (mut switches, mut up) = (0, true);
    for tick in 0..36_000 {
        let now = f64::from(tick) / 10.0;
        // Valid for 12 s, unavailable for 3, for an hour.
        let valid = now % 15.0 < 12.0;
        if valid != up {
            up = valid;
            failover.observe(0, if valid { Verdict::Valid } else { Verdict::Unavailable }, valid, now);
        }
        switches += u32::from(failover.switch_if_due(now).is_some());
    }
    assert_eq!(switches, 1, "it is never valid for 20 s");
}

#[test]
fn the_recovery_period_grows_to_its_upper_limit() {
    let mut failover = all_valid(2, 0.0);
    let mut now = 0.0;
    for _ in 0..20 {
        // The counter fails immediately after each failback.
        failover.observe(0, Verdict::Unavailable, false, now);
        assert!(failover.switch_if_due(now).is_some_and(|switch| switch.to == 1));
        failover.observe(0, Verdict::Valid, true, now);
        now += POLICY.max_recovery_period_s + POLICY.census_period_s * 1.3;
        assert!(
            failover.switch_if_due(now).is_some_and(|switch| switch.to == 0),
            "80 s, and the next census"
        );
    }
}

#[test]
fn any_history_switches_only_to_a_valid_counter_and_never_from_a_valid_one_to_a_later() {
    let mut rng = fastrand::Rng::with_seed(11);
    for _ in 0..2_000 {
        let counters = rng.usize(1..5);
        let mut failover = all_valid(counters, rng.f64());
        let mut known = vec![(Verdict::Valid, 0.0); counters];
        let (mut now, mut generation) = (0.0, 0);
        for _ in 0..200 {
            now += 2.0 * rng.f64();
            let n = rng.usize(0..counters);
            let all = [
                Verdict::Valid,
                Verdict::Valid,
                Verdict::Unavailable,
                Verdict::CountsLost,
                Verdict::DoubleCounted,
            ];
            let verdict = all[rng.usize(0..all.len())];
            if known[n].0 != verdict {
                known[n] = (verdict, now);
            }
            failover.observe(n, verdict, verdict != Verdict::Unavailable, now);
            let Some(switch) = failover.switch_if_due(now) else { continue };
            assert_eq!(known[switch.to].0, Verdict::Valid);
            assert!(
                failover.active() == ActiveCounter { index: switch.to, generation: generation + 1 }
                    && switch.from != switch.to
            );
            generation += 1;
            if switch.reason == SwitchReason::Failback {
                assert!(switch.to < switch.from && now >= known[switch.to].1 + POLICY.recovery_period_s);
            } else {
                assert_ne!(known[switch.from].0, Verdict::Valid);
            }
        }
    }
}
