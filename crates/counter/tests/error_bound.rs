//! The error bounds: worked examples and a comparison of the faults.

use liftrouter_counter::{ErrorBound, Fault, Quota, Timing};

const QUOTA: Quota =
    Quota { rate: 6.5, burst: 30.0, max_request_units: 4.0, instance_count: 3, hard_limit_factor: 2.0 };

#[test]
fn overshoot_under_a_fault_lies_between_no_fault_and_an_arbitrary_fault() {
    let timing = Timing::default();
    let duration_s = 30.0;
    let arbitrary = ErrorBound::under(&QUOTA, &timing, Fault::Arbitrary { duration_s }).overshoot;
    let none = ErrorBound::under(&QUOTA, &timing, Fault::None).overshoot;
    for fault in [
        Fault::Unavailable { duration_s },
        Fault::CountsLost,
        Fault::Slow { delay_s: 0.02 },
        Fault::Stale { duration_s },
        Fault::SplitBrain { partitions: 2, duration_s },
        Fault::DoubleCounted { duration_s },
    ] {
        let over = ErrorBound::under(&QUOTA, &timing, fault).overshoot;
        assert!((none..=arbitrary).contains(&over), "{fault:?}: {over}, none {none}, arbitrary {arbitrary}");
    }
}

/// The tables of the design note, computed by hand for this quota: rate 6.5, burst 30, three instances, calls every 0.55 s
/// that time out after 0.05 s, averages over ten seconds.
#[test]
fn bounds_match_the_worked_examples_of_the_design_note() {
    let timing = Timing::default();
    let none = ErrorBound::under(&QUOTA, &timing, Fault::None);
    // 6.5 * 2/3 * 10.55, two bursts and three requests, loans of 0.7 bursts each, less the burst.
    assert!((none.overshoot - (45.7167 + 72.0 + 63.0 - 30.0)).abs() < 1e-3, "{none:?}");
    // Two thirds of 10.55 s and of the burst, and a burst for the hard limit, whose bucket starts empty.
    assert!((none.undershoot - (45.7167 + 20.0 + 30.0)).abs() < 1e-3, "{none:?}");
    let duration_s = 20.0;
    for (fault, over, under) in [
        // 6.5 * 1.8; 6.5 * 2/3 * (20 + 1.8 + 10.55)
        (Fault::Unavailable { duration_s }, 11.7, 140.1833),
        // 6.5 * 1/3 * 30 + 11.7
        (Fault::Partitioned { instances: 1, duration_s }, 76.7, 140.1833),
        // 6.5 * 2 * 10.55; 6.5 * 2/3 * 10.55
        (Fault::CountsLost, 137.15, 45.7167),
        // 6.5 * 30
        (Fault::Stale { duration_s }, 195.0, 140.1833),
        // 6.5 * 30 and a burst; 6.5 * 2/3 * (20 + 10.55)
        (Fault::SplitBrain { partitions: 2, duration_s }, 225.0, 132.3833),
        // 6.5 * 2/3 * (10.55 + 20)
        (Fault::DoubleCounted { duration_s }, 0.0, 132.3833),
    ] {
        let found = ErrorBound::under(&QUOTA, &timing, fault);
        let more = (found.overshoot - none.overshoot, found.undershoot - none.undershoot);
        assert!((more.0 - over).abs() < 1e-3 && (more.1 - under).abs() < 1e-3, "{fault:?}: {more:?}");
    }
    // A third of the burst, and 6.5 / 3 * 10.55; 6.5 * 2/3 * 10.55 and the burst.
    let started = none.with_restarts(&QUOTA, &timing, 1);
    let more = (started.overshoot - none.overshoot, started.undershoot - none.undershoot);
    assert!((more.0 - 32.8583).abs() < 1e-3 && (more.1 - 75.7167).abs() < 1e-3, "{more:?}");
    // In 20 s: 6.5 * (1 - 2/3) each second for the hard limit, and 0.15 of the quota for random variation.
    let more = none.undershoot_within(&QUOTA, duration_s) - none.undershoot;
    assert!((more - 62.8333).abs() < 1e-3, "{more}");
}

#[test]
fn a_single_instance_is_not_affected_by_a_split_brain() {
    let alone = Quota { instance_count: 1, ..QUOTA };
    for duration_s in [1.0, 1_000.0] {
        let split =
            ErrorBound::under(&alone, &Timing::default(), Fault::SplitBrain { partitions: 2, duration_s });
        assert_eq!(split, ErrorBound::under(&alone, &Timing::default(), Fault::None));
    }
}
