//! Checks the decision module against the error bounds, with simulated limiters and faulty counters.
mod common;

use common::{plan, Demand, Injection, RunResult, Simulation};
use liftrouter_counter::{ErrorBound, Fault, PacingSettings, Quota, Timing};

/// Duration of a run in seconds, which leaves time to recover after the fault.
const RUN_S: f64 = 50.0;
/// Start of the fault after the start of the run, and its duration, in seconds.
const FAULT: (f64, f64) = (12.0, 20.0);

/// Runs (seeds) for each fault and plan, which `KEEPER_RUNS` overrides.
fn runs() -> u64 {
    std::env::var("KEEPER_RUNS").ok().and_then(|n| n.parse().ok()).unwrap_or(3)
}

/// Name, rate, burst, and the hard limit as a multiple of rate and burst (0 for none).
struct Plan(&'static str, f64, f64, f64);

const PLANS: [Plan; 3] =
    [Plan("starter", 1.5, 8.0, 0.0), Plan("agency", 6.5, 30.0, 2.0), Plan("network", 26.0, 52.0, 0.0)];

fn quota(plan: &Plan, limiter_count: usize) -> Quota {
    Quota {
        rate: plan.1,
        burst: plan.2,
        max_request_units: 1.0,
        instance_count: limiter_count as u32,
        hard_limit_factor: plan.3,
    }
}

/// A customer that asks for several times its quota, with load that shifts between limiters.
fn demand_above_quota(rate: f64, seed: u64) -> Demand {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x9e37);
    Demand {
        rate: rate * (2.0 + 2.0 * rng.f64()),
        busiest_ratio: rng.f64(),
        shift_interval_s: 4.0 + 10.0 * rng.f64(),
        within_quota: false,
        customers: 1,
    }
}

/// Seconds until a validator that calls once a second detects a split: the rest of a census period and the next period.
const SPLIT_DETECTION_S: f64 = 10.0;

fn simulation(p: &Plan, limiter_count: usize, seed: u64) -> Simulation {
    Simulation::new(plan(p.1, p.2, p.3), limiter_count, seed, 0.0, demand_above_quota(p.1, seed), RUN_S)
}

/// Runs a fault for each plan and seed, and checks the overshoot of each run against the bound.
fn check_overshoot(name: &str, fault: Fault, inject: impl Fn(&mut Simulation, usize, u64)) {
    check_overshoot_with(name, fault, |simulation| simulation, inject);
}

/// As [`check_overshoot`], with a simulation that `make` configures.
fn check_overshoot_with(
    name: &str,
    fault: Fault,
    make: impl Fn(Simulation) -> Simulation,
    inject: impl Fn(&mut Simulation, usize, u64),
) {
    for p in &PLANS {
        let mut worst = (0.0f64, 0.0f64);
        for seed in 0..runs() {
            let limiter_count = 2 + (seed as usize) % 3;
            let mut simulation = make(simulation(p, limiter_count, seed));
            inject(&mut simulation, limiter_count, seed);
            let result = simulation.run();
            let bound = ErrorBound::under(&quota(p, limiter_count), &Timing::default(), fault).overshoot;
            check_result(name, p, limiter_count, seed, &result, bound);
            worst = (worst.0.max(result.overshoot / bound), worst.1.max(result.overshoot));
        }
        println!("{name:10} {:8} worst {:6.1} units, {:.2} of the bound", p.0, worst.1, worst.0);
    }
}

fn check_result(name: &str, p: &Plan, limiter_count: usize, seed: u64, result: &RunResult, bound: f64) {
    let Plan(plan, rate, ..) = p;
    assert!(
        result.overshoot <= bound,
        "{name}, {plan}, {limiter_count} limiters, seed {seed}: overshoot {:.1}, bound {bound:.1}",
        result.overshoot
    );
    // A fault must not block the customer: it still gets most of its quota.
    assert!(
        result.forwarded >= 0.6 * rate * RUN_S,
        "{name}, {plan}, seed {seed}: only {} units forwarded",
        result.forwarded
    );
    if p.3 > 1.0 {
        assert!(
            result.hard_limit_overshoot < 1.0,
            "{name}, seed {seed}: {} units over the hard limit",
            result.hard_limit_overshoot
        );
    }
}

/// End of the fault after the start of the run, in seconds.
const FAULT_END: f64 = FAULT.0 + FAULT.1;

/// A customer that stays within its quota. Its load shifts to another limiter once, in the middle of the run.
fn demand_within_quota(rate: f64, seed: u64) -> Demand {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x71c3);
    let (rate, busiest_ratio) = (rate * (0.5 + 0.6 * rng.f64()), rng.f64());
    Demand { rate, busiest_ratio, shift_interval_s: RUN_S / 2.0, within_quota: true, customers: 1 }
}

/// Runs a fault with customers within their quota, and checks the rejected units against the bound.
fn check_undershoot(
    name: &str,
    fault: Fault,
    make: impl Fn(Simulation) -> Simulation,
    inject: impl Fn(&mut Simulation, usize, u64),
) {
    for p in &PLANS {
        let mut worst = (0.0f64, 0.0f64);
        for seed in 0..runs() {
            let limiter_count = 2 + (seed as usize) % 3;
            let simulation = Simulation::new(
                plan(p.1, p.2, p.3),
                limiter_count,
                seed,
                0.0,
                demand_within_quota(p.1, seed),
                RUN_S,
            );
            let mut simulation = make(simulation);
            inject(&mut simulation, limiter_count, seed);
            let result = simulation.run();
            let quota = quota(p, limiter_count);
            let bound = ErrorBound::under(&quota, &Timing::default(), fault).undershoot_within(&quota, RUN_S);
            let rejected = result.rejected;
            assert!(
                rejected <= bound,
                "{name}, {}, seed {seed}: {rejected} units rejected, bound {bound:.1}",
                p.0
            );
            worst = (worst.0.max(rejected / bound), worst.1.max(rejected));
        }
        println!("{name:10} {:8} rejected {:6.1} units, {:.2} of the bound", p.0, worst.1, worst.0);
    }
}

#[test]
fn undershoot_of_a_customer_within_its_quota_is_bounded() {
    let duration_s = FAULT.1;
    let lasting = |begin: Injection, end: Injection| {
        move |w: &mut Simulation, _: usize, _: u64| {
            w.at(FAULT.0, begin);
            w.at(FAULT_END, end);
        }
    };
    let unchanged = |w: Simulation| w;
    check_undershoot("none", Fault::None, unchanged, |_, _, _| {});
    check_undershoot("none, validated", Fault::None, Simulation::with_validation, |_, _, _| {});
    let unavailable = lasting(Injection::Unavailable(0, true), Injection::Unavailable(0, false));
    check_undershoot("unavailable", Fault::Unavailable { duration_s }, unchanged, unavailable);
    check_undershoot("lost", Fault::CountsLost, unchanged, |w, _, _| {
        w.at(FAULT.0, Injection::LoseCounts(1.0));
    });
    check_undershoot(
        "stale",
        Fault::Stale { duration_s },
        unchanged,
        lasting(Injection::Stale(true), Injection::Stale(false)),
    );
    check_undershoot(
        "doubled",
        Fault::DoubleCounted { duration_s },
        unchanged,
        lasting(Injection::DoubleIncrements(true), Injection::DoubleIncrements(false)),
    );
    for merge in [true, false] {
        let split = |w: &mut Simulation, limiter_count: usize, _: u64| {
            w.at(FAULT.0, Injection::Split { from: limiter_count / 2, kept: 0.5 });
            w.at(FAULT_END, Injection::Heal { merge });
        };
        check_undershoot("split", Fault::SplitBrain { partitions: 2, duration_s }, unchanged, split);
        check_undershoot(
            "split, validated",
            Fault::SplitBrain { partitions: 2, duration_s },
            Simulation::with_validation,
            split,
        );
    }
}

#[test]
fn overshoot_is_bounded_without_a_fault() {
    check_overshoot("none", Fault::None, |_, _, _| {});
}

#[test]
fn overshoot_is_bounded_while_the_counter_is_unavailable_and_an_instance_restarts() {
    let fault = Fault::Unavailable { duration_s: FAULT.1 };
    let unavailable = |w: &mut Simulation| {
        w.at(FAULT.0, Injection::Unavailable(0, true));
        w.at(FAULT_END, Injection::Unavailable(0, false));
    };
    check_overshoot("unavailable", fault, |w, _, _| unavailable(w));
    // The restart must not lead above the bound without restarts.
    check_overshoot("unavailable, restart", fault, |w, limiter_count, _| {
        unavailable(w);
        w.at(FAULT.0 + 5.0, Injection::Restart(limiter_count - 1));
    });
}

#[test]
fn overshoot_is_bounded_when_counts_are_lost() {
    for share in [0.5, 1.0] {
        check_overshoot("lost", Fault::CountsLost, |w, _, _| w.at(FAULT.0, Injection::LoseCounts(share)));
    }
    check_overshoot("lost, restart", Fault::CountsLost, |w, limiter_count, _| {
        w.at(FAULT.0, Injection::LoseCounts(1.0));
        w.at(FAULT.0 + 0.5, Injection::Restart(limiter_count - 1));
    });
}

#[test]
fn overshoot_is_bounded_with_a_slow_counter() {
    for by in [0.03, 0.2] {
        let fault =
            if by < 0.05 { Fault::Slow { delay_s: by } } else { Fault::Unavailable { duration_s: FAULT.1 } };
        check_overshoot("slow", fault, |w, _, _| {
            w.at(FAULT.0, Injection::Delay(by));
            w.at(FAULT_END, Injection::Delay(0.0));
        });
    }
}

#[test]
fn overshoot_is_bounded_with_stale_totals() {
    check_overshoot("stale", Fault::Stale { duration_s: FAULT.1 }, |w, _, _| {
        w.at(FAULT.0, Injection::Stale(true));
        w.at(FAULT_END, Injection::Stale(false));
    });
}

#[test]
fn overshoot_is_bounded_in_a_split_brain() {
    let fault = Fault::SplitBrain { partitions: 2, duration_s: FAULT.1 };
    for (kept, merge) in [(0.0, true), (1.0, false), (0.5, true)] {
        check_overshoot("split", fault, |w, limiter_count, _| {
            w.at(FAULT.0, Injection::Split { from: limiter_count / 2, kept });
            w.at(FAULT_END, Injection::Heal { merge });
        });
    }
}

/// With validation the overshoot of a split is that of its detection time, however long it lasts. A limiter that restarts
/// meanwhile uses its fallback share until its first census.
#[test]
fn validation_bounds_the_overshoot_of_a_long_split_brain() {
    let fault = Fault::SplitBrain { partitions: 2, duration_s: SPLIT_DETECTION_S };
    // Long enough that an undetected split would exceed the bound.
    let split_duration_s = 75.0;
    for (kept, merge) in [(0.0, true), (1.0, false)] {
        check_overshoot_with(
            "split, validated",
            fault,
            |w| w.with_validation().running_for(split_duration_s + 30.0),
            |w, limiter_count, _| {
                w.at(FAULT.0, Injection::Split { from: limiter_count / 2, kept });
                w.at(FAULT.0 + 8.0, Injection::Restart(limiter_count - 1));
                w.at(FAULT.0 + split_duration_s, Injection::Heal { merge });
            },
        );
    }
}

#[test]
fn validation_changes_nothing_without_a_fault() {
    check_overshoot_with("none, validated", Fault::None, Simulation::with_validation, |_, _, _| {});
}

#[test]
fn overshoot_is_bounded_when_the_counter_is_replaced() {
    for kept in [0.0, 0.5, 1.0] {
        check_overshoot("replaced", Fault::CountsLost, |w, _, _| {
            w.at(FAULT.0, Injection::LoseCounts(1.0 - kept));
            // A second replacement within one averaging period.
            w.at(FAULT.0 + 0.3, Injection::LoseCounts(1.0 - kept));
        });
    }
}

#[test]
fn overshoot_is_bounded_when_increments_are_doubled() {
    check_overshoot("doubled", Fault::DoubleCounted { duration_s: FAULT.1 }, |w, _, _| {
        w.at(FAULT.0, Injection::DoubleIncrements(true));
        w.at(FAULT_END, Injection::DoubleIncrements(false));
    });
}

#[test]
fn overshoot_is_bounded_under_arbitrary_faults() {
    check_overshoot("arbitrary", Fault::Arbitrary { duration_s: RUN_S }, |w, limiter_count, seed| {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x51ed);
        for _ in 0..6 {
            let (at, duration_s) = (5.0 + 30.0 * rng.f64(), 1.0 + 10.0 * rng.f64());
            let (begin, end) = match rng.u8(0..8) {
                0 => (Injection::Unavailable(0, true), Some(Injection::Unavailable(0, false))),
                1 => (Injection::Delay(0.1 * rng.f64()), Some(Injection::Delay(0.0))),
                2 => (Injection::Stale(true), Some(Injection::Stale(false))),
                3 => (Injection::DoubleIncrements(true), Some(Injection::DoubleIncrements(false))),
                4 => (Injection::LoseCounts(rng.f64()), None),
                5 => {
                    let split = Injection::Split { from: rng.usize(0..limiter_count), kept: rng.f64() };
                    (split, Some(Injection::Heal { merge: rng.bool() }))
                }
                6 => (Injection::Restart(rng.usize(0..limiter_count)), None),
                _ => (Injection::Pause(rng.usize(0..limiter_count), 3.0 * rng.f64()), None),
            };
            w.at(at, begin);
            if let Some(end) = end {
                w.at(at + duration_s, end);
            }
        }
    });
}

/// The limiters that reach the counter divide the whole quota, and the isolated ones add their fallback shares.
#[test]
fn overshoot_is_bounded_when_some_instances_cannot_reach_the_counter() {
    for validated in [false, true] {
        for cut in 1..=2u32 {
            // With validation the census shows that limiters are missing, and from then on the error stops growing.
            let fault = Fault::Partitioned {
                instances: cut,
                duration_s: if validated { SPLIT_DETECTION_S } else { 60.0 },
            };
            let make = |w: Simulation| {
                if validated {
                    w.with_validation().running_for(100.0)
                } else {
                    w.running_for(100.0)
                }
            };
            check_overshoot_with("partitioned", fault, make, |w, limiter_count, _| {
                w.at(FAULT.0, Injection::Isolate(Some(limiter_count - (cut as usize).min(limiter_count))));
                w.at(FAULT.0 + 60.0, Injection::Isolate(None));
            });
        }
    }
}

#[test]
fn unanswered_calls_that_are_applied_count_as_unavailability() {
    check_overshoot("answers lost", Fault::Unavailable { duration_s: FAULT.1 }, |w, _, _| {
        w.at(FAULT.0, Injection::DropAnswers(true));
        w.at(FAULT_END, Injection::DropAnswers(false));
    });
}

#[test]
fn bounds_hold_with_clocks_half_a_second_apart() {
    let split = Fault::SplitBrain { partitions: 2, duration_s: SPLIT_DETECTION_S };
    for p in &PLANS {
        for seed in 0..runs() {
            let limiter_count = 2 + (seed as usize) % 3;
            let simulation = || {
                Simulation::new(
                    plan(p.1, p.2, p.3),
                    limiter_count,
                    seed,
                    0.5,
                    demand_above_quota(p.1, seed),
                    110.0,
                )
            };
            for (name, fault, mut simulation) in [
                ("none", Fault::None, simulation()),
                ("none, validated", Fault::None, simulation().with_validation()),
                ("split, validated", split, simulation().with_validation()),
            ] {
                if fault == split {
                    // Starts and ends near a period boundary, where the clocks disagree on the period and so on the key.
                    simulation.at(19.8, Injection::Split { from: limiter_count / 2, kept: 0.0 });
                    simulation.at(80.1, Injection::Heal { merge: true });
                }
                let bound = ErrorBound::under(&quota(p, limiter_count), &Timing::default(), fault).overshoot;
                check_result(
                    &format!("{name}, clock skew"),
                    p,
                    limiter_count,
                    seed,
                    &simulation.run(),
                    bound,
                );
            }
        }
    }
}

/// Each part of the limiters uses a separate counter for minutes. Afterwards the counts are merged or those of the second
/// counter dropped.
#[test]
fn bounds_hold_over_minutes_of_split_brain_and_a_merge_of_its_counts() {
    let fault = Fault::SplitBrain { partitions: 2, duration_s: 2.0 * SPLIT_DETECTION_S };
    for merge in [true, false] {
        check_overshoot_with(
            "long split",
            fault,
            |w| w.with_validation().running_for(260.0),
            |w, limiter_count, _| {
                w.at(FAULT.0, Injection::Split { from: limiter_count / 2, kept: 0.0 });
                w.at(FAULT.0 + 200.0, Injection::Heal { merge });
            },
        );
    }
}

/// The fault that bounds a failover: unavailability until its detection, the time in which only some limiters have
/// switched, and the fallback shares until the census.
fn failover() -> Fault {
    Fault::SplitBrain { partitions: 2, duration_s: SPLIT_DETECTION_S }
}

#[test]
fn bounds_hold_over_two_failovers_and_a_failback() {
    let active_counters = std::cell::RefCell::new(Vec::new());
    for (name, until, expected) in [("failover", 40.0, 2), ("failback", 160.0, 0)] {
        for p in &PLANS {
            for seed in 0..runs() {
                let limiter_count = 2 + (seed as usize) % 3;
                let mut w = simulation(p, limiter_count, seed).with_standbys(2).running_for(until);
                w.at(FAULT.0, Injection::Unavailable(0, true));
                w.at(FAULT.0 + 3.6, Injection::Unavailable(1, true));
                w.at(FAULT.0 + 30.0, Injection::Unavailable(1, false));
                w.at(FAULT.0 + 40.0, Injection::Unavailable(0, false));
                let result = w.run();
                let quota = quota(p, limiter_count);
                let usual = ErrorBound::under(&quota, &Timing::default(), Fault::None);
                // At most two failovers and a failback.
                let bound = (0..3).fold(usual, |b, _| b.with_fault(&quota, &Timing::default(), failover()));
                check_result(name, p, limiter_count, seed, &result, bound.overshoot);
                assert!(
                    result.active_counters.iter().all(|counter| *counter == expected),
                    "{name}: {:?}",
                    result.active_counters
                );
                active_counters.borrow_mut().push(result.active_counters);
            }
        }
    }
    assert!(!active_counters.borrow().is_empty());
}

#[test]
fn a_flapping_counter_causes_one_failover() {
    for seed in 0..runs() {
        let mut w = simulation(&PLANS[1], 3, seed).with_standbys(1).running_for(100.0);
        for n in 0..10 {
            // Unavailable and available for eight seconds each.
            w.at(FAULT.0 + 8.0 * f64::from(n), Injection::Unavailable(0, n % 2 == 0));
        }
        let result = w.run();
        assert_eq!(result.active_counters, [1, 1, 1], "seed {seed}");
        let bound = ErrorBound::under(&quota(&PLANS[1], 3), &Timing::default(), failover()).overshoot;
        check_result("flapping", &PLANS[1], 3, seed, &result, bound);
    }
}

/// A plan's concurrency limit is divided by the same shares, with at least one attempt per limiter.
#[test]
fn the_error_of_a_concurrency_limit_is_that_of_its_shares() {
    let concurrency_limit = 6.0;
    for seed in 0..runs() {
        let limiter_count = 2 + (seed as usize) % 3;
        let capped = liftrouter_decision::Plan { concurrency_limit, ..plan(26.0, 52.0, 0.0) };
        for (parts, validated) in [(1, false), (2, false), (2, true)] {
            let demand = demand_above_quota(26.0, seed);
            let w = Simulation::new(capped.clone(), limiter_count, seed, 0.0, demand, RUN_S)
                .with_attempt_duration(0.8);
            let mut w = if validated { w.with_validation() } else { w };
            if parts == 2 {
                w.at(FAULT.0, Injection::Split { from: limiter_count / 2, kept: 0.0 });
                w.at(FAULT_END, Injection::Heal { merge: true });
            }
            let result = w.run();
            // Shares add up to one in each part of a split, and none is below the even share.
            let bound = f64::from(parts) * concurrency_limit + concurrency_limit + limiter_count as f64;
            assert!(
                result.max_in_flight as f64 <= bound,
                "seed {seed}: {} attempts in flight, bound {bound}",
                result.max_in_flight
            );
            assert!(
                result.max_in_flight as f64 >= concurrency_limit / 2.0,
                "seed {seed}: the limit was never approached"
            );
        }
    }
}

/// When a counter recovers, the calls for hundreds of customers resume at once. With pacing they ramp up and stay within
/// the counter's rate.
#[test]
fn calls_ramp_up_within_the_counters_rate_after_an_outage() {
    let rate = 60.0;
    let calls = |paced: bool| {
        let demand = Demand {
            rate: 1.0,
            busiest_ratio: 0.0,
            shift_interval_s: 1e9,
            within_quota: false,
            customers: 400,
        };
        let w = Simulation::new(plan(1.5, 8.0, 0.0), 4, 5, 0.0, demand, 60.0);
        let pacing = PacingSettings { calls_per_second: rate, instance_count: 4, ramp_up_s: 5.0 };
        let mut w = if paced { w.with_pacing(pacing) } else { w };
        w.at(FAULT.0, Injection::Unavailable(0, true));
        w.at(FAULT_END, Injection::Unavailable(0, false));
        w.run().calls
    };
    let (unpaced, paced) = (calls(false), calls(true));
    let recovery = FAULT_END as usize;
    let max = |calls: &[u32]| calls.iter().copied().max().unwrap_or_default();
    println!(
        "calls per second after the outage: {:?}; paced: {:?}",
        &unpaced[recovery..],
        &paced[recovery..]
    );
    assert!(f64::from(max(&paced)) <= 1.1 * rate, "{paced:?}");
    assert!(f64::from(paced[recovery] + paced[recovery + 1]) <= rate, "the calls do not ramp up: {paced:?}");
    assert!(
        f64::from(max(&unpaced[recovery..])) > 1.5 * rate,
        "the load without pacing does not exceed the rate: {unpaced:?}"
    );
}
