//! The decision module held to the stated bounds, over simulated limiters and counters that fail.
mod common;

use common::{plan, Demand, Injection, Result, World};
use liftrouter_counter::{ErrorBound, Fault, PacingSettings, Quota, Timing};

/// Seconds of a run, and of a fault that lasts; both end well after the fault.
const RUN: f64 = 50.0;
const FAULT: (f64, f64) = (12.0, 20.0);

/// Runs for each fault and plan; `KEEPER_RUNS` asks for more.
fn runs() -> u64 {
    std::env::var("KEEPER_RUNS").ok().and_then(|n| n.parse().ok()).unwrap_or(3)
}

struct Plan(&'static str, f64, f64, f64);

/// Rate, burst and how many times of them the hard ceiling is.
const PLANS: [Plan; 3] =
    [Plan("starter", 1.5, 8.0, 0.0), Plan("agency", 6.5, 30.0, 2.0), Plan("network", 26.0, 52.0, 0.0)];

fn quota(plan: &Plan, width: usize) -> Quota {
    Quota {
        rate: plan.1,
        burst: plan.2,
        max_request_units: 1.0,
        instance_count: width as u32,
        hard_limit_factor: plan.3,
    }
}

/// A customer that asks for several times its quota, and changes the limiter that it comes through most.
fn greedy(rate: f64, seed: u64) -> Demand {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x9e37);
    Demand {
        rate: rate * (2.0 + 2.0 * rng.f64()),
        skew: rng.f64(),
        shift: 4.0 + 10.0 * rng.f64(),
        within_quota: false,
        customers: 1,
    }
}

/// Seconds until a validator that calls once a second has told a split: the rest of a census period, and the next one.
const DETECTION: f64 = 10.0;

fn world(p: &Plan, width: usize, seed: u64) -> World {
    World::new(plan(p.1, p.2, p.3), width, seed, 0.0, greedy(p.1, seed), RUN)
}

/// Plays a fault for each plan, width and seed, and holds each run to the bound; gives the worst share of it.
fn hold(name: &str, fault: Fault, changes: impl Fn(&mut World, usize, u64)) {
    hold_by(name, fault, |world| world, changes);
}

/// The same for limiters that are made otherwise.
fn hold_by(
    name: &str,
    fault: Fault,
    make: impl Fn(World) -> World,
    changes: impl Fn(&mut World, usize, u64),
) {
    for p in &PLANS {
        let mut worst = (0.0f64, 0.0f64);
        for seed in 0..runs() {
            let width = 2 + (seed as usize) % 3;
            let mut world = make(world(p, width, seed));
            changes(&mut world, width, seed);
            let result = world.play();
            let bound = ErrorBound::under(&quota(p, width), &Timing::default(), fault).overshoot;
            check(name, p, width, seed, &result, bound);
            worst = (worst.0.max(result.overshoot / bound), worst.1.max(result.overshoot));
        }
        println!("{name:10} {:8} worst {:6.1} units, {:.2} of the bound", p.0, worst.1, worst.0);
    }
}

fn check(name: &str, p: &Plan, width: usize, seed: u64, result: &Result, bound: f64) {
    let Plan(plan, rate, ..) = p;
    assert!(
        result.overshoot <= bound,
        "{name}, {plan}, width {width}, seed {seed}: {:.1} units over, {bound:.1} stated",
        result.overshoot
    );
    // A fault must not stop the customer either: it gets most of its quota in any case.
    assert!(
        result.forwarded >= 0.6 * rate * RUN,
        "{name}, {plan}, seed {seed}: only {} sent",
        result.forwarded
    );
    if p.3 > 1.0 {
        assert!(
            result.hard_limit_overshoot < 1.0,
            "{name}, seed {seed}: {} over the ceiling",
            result.hard_limit_overshoot
        );
    }
}

/// When the fault ends.
const END: f64 = FAULT.0 + FAULT.1;

/// A customer that asks nothing beyond its quota, the most of it through one limiter, which changes at the fault.
fn modest(rate: f64, seed: u64) -> Demand {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x71c3);
    let (rate, skew) = (rate * (0.5 + 0.6 * rng.f64()), rng.f64());
    Demand { rate, skew, shift: RUN / 2.0, within_quota: true, customers: 1 }
}

/// Plays a fault before customers that stay inside their quota; what is refused of that stays within the bound.
fn serve(name: &str, fault: Fault, make: impl Fn(World) -> World, changes: impl Fn(&mut World, usize, u64)) {
    for p in &PLANS {
        let mut worst = (0.0f64, 0.0f64);
        for seed in 0..runs() {
            let width = 2 + (seed as usize) % 3;
            let world = World::new(plan(p.1, p.2, p.3), width, seed, 0.0, modest(p.1, seed), RUN);
            let mut world = make(world);
            changes(&mut world, width, seed);
            let result = world.play();
            let quota = quota(p, width);
            let bound = ErrorBound::under(&quota, &Timing::default(), fault).undershoot_within(&quota, RUN);
            let refused = result.rejected;
            assert!(refused <= bound, "{name}, {}, seed {seed}: {refused} refused, {bound:.1} stated", p.0);
            worst = (worst.0.max(refused / bound), worst.1.max(refused));
        }
        println!("{name:10} {:8} refused {:6.1} units, {:.2} of the bound", p.0, worst.1, worst.0);
    }
}

#[test]
fn undershoot_of_a_customer_within_its_quota_is_bounded() {
    let seconds = FAULT.1;
    let lasts = |begin: Injection, end: Injection| {
        move |w: &mut World, _: usize, _: u64| {
            w.at(FAULT.0, begin);
            w.at(END, end);
        }
    };
    let same = |w: World| w;
    serve("none", Fault::None, same, |_, _, _| {});
    serve("none, validated", Fault::None, World::validated, |_, _, _| {});
    let silent = lasts(Injection::Silent(0, true), Injection::Silent(0, false));
    serve("silent", Fault::Unavailable { seconds }, same, silent);
    serve("lost", Fault::CountsLost, same, |w, _, _| w.at(FAULT.0, Injection::Lose(1.0)));
    serve("stale", Fault::Stale { seconds }, same, lasts(Injection::Stale(true), Injection::Stale(false)));
    serve(
        "doubled",
        Fault::DoubleCounted { seconds },
        same,
        lasts(Injection::Doubled(true), Injection::Doubled(false)),
    );
    for both in [true, false] {
        let split = |w: &mut World, width: usize, _: u64| {
            w.at(FAULT.0, Injection::Split { from: width / 2, kept: 0.5 });
            w.at(END, Injection::Heal { both });
        };
        serve("split", Fault::SplitBrain { partitions: 2, seconds }, same, split);
        serve("split, validated", Fault::SplitBrain { partitions: 2, seconds }, World::validated, split);
    }
}

#[test]
fn overshoot_is_bounded_without_a_fault() {
    hold("none", Fault::None, |_, _, _| {});
}

#[test]
fn overshoot_is_bounded_while_the_counter_is_unavailable_and_an_instance_restarts() {
    let fault = Fault::Unavailable { seconds: FAULT.1 };
    let silent = |w: &mut World| {
        w.at(FAULT.0, Injection::Silent(0, true));
        w.at(END, Injection::Silent(0, false));
    };
    hold("silent", fault, |w, _, _| silent(w));
    // However many limiters start anew, each adds what the bound says and no more.
    hold("silent+", fault, |w, width, _| {
        silent(w);
        w.at(FAULT.0 + 5.0, Injection::Restart(width - 1));
    });
}

#[test]
fn overshoot_is_bounded_when_counts_are_lost() {
    for share in [0.5, 1.0] {
        hold("lost", Fault::CountsLost, |w, _, _| w.at(FAULT.0, Injection::Lose(share)));
    }
    hold("lost+", Fault::CountsLost, |w, width, _| {
        w.at(FAULT.0, Injection::Lose(1.0));
        w.at(FAULT.0 + 0.5, Injection::Restart(width - 1));
    });
}

#[test]
fn overshoot_is_bounded_with_a_slow_counter() {
    for by in [0.03, 0.2] {
        let fault =
            if by < 0.05 { Fault::Slow { seconds: by } } else { Fault::Unavailable { seconds: FAULT.1 } };
        hold("slow", fault, |w, _, _| {
            w.at(FAULT.0, Injection::Slow(by));
            w.at(END, Injection::Slow(0.0));
        });
    }
}

#[test]
fn overshoot_is_bounded_with_stale_totals() {
    hold("stale", Fault::Stale { seconds: FAULT.1 }, |w, _, _| {
        w.at(FAULT.0, Injection::Stale(true));
        w.at(END, Injection::Stale(false));
    });
}

#[test]
fn overshoot_is_bounded_in_a_split_brain() {
    let fault = Fault::SplitBrain { partitions: 2, seconds: FAULT.1 };
    for (kept, both) in [(0.0, true), (1.0, false), (0.5, true)] {
        hold("split", fault, |w, width, _| {
            w.at(FAULT.0, Injection::Split { from: width / 2, kept });
            w.at(END, Injection::Heal { both });
        });
    }
}

/// With a validator at each limiter a split costs what it does until it is told, however long it lasts; a limiter
/// that starts meanwhile has its fallback until it knows.
#[test]
fn validation_bounds_the_overshoot_of_a_long_split_brain() {
    let fault = Fault::SplitBrain { partitions: 2, seconds: DETECTION };
    // Long enough for one that is not told to leave the bound.
    let long = 75.0;
    for (kept, both) in [(0.0, true), (1.0, false)] {
        hold_by(
            "split, validated",
            fault,
            |w| w.validated().until(long + 30.0),
            |w, width, _| {
                w.at(FAULT.0, Injection::Split { from: width / 2, kept });
                w.at(FAULT.0 + 8.0, Injection::Restart(width - 1));
                w.at(FAULT.0 + long, Injection::Heal { both });
            },
        );
    }
}

#[test]
fn validation_changes_nothing_without_a_fault() {
    hold_by("none, validated", Fault::None, World::validated, |_, _, _| {});
}

#[test]
fn overshoot_is_bounded_when_the_counter_is_replaced() {
    for kept in [0.0, 0.5, 1.0] {
        hold("swap", Fault::CountsLost, |w, _, _| {
            w.at(FAULT.0, Injection::Lose(1.0 - kept));
            // And once more within a period.
            w.at(FAULT.0 + 0.3, Injection::Lose(1.0 - kept));
        });
    }
}

#[test]
fn overshoot_is_bounded_when_increments_are_doubled() {
    hold("doubled", Fault::DoubleCounted { seconds: FAULT.1 }, |w, _, _| {
        w.at(FAULT.0, Injection::Doubled(true));
        w.at(END, Injection::Doubled(false));
    });
}

#[test]
fn overshoot_is_bounded_under_arbitrary_faults() {
    hold("any", Fault::Arbitrary { seconds: RUN }, |w, width, seed| {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x51ed);
        for _ in 0..6 {
            let (at, lasts) = (5.0 + 30.0 * rng.f64(), 1.0 + 10.0 * rng.f64());
            let (begin, end) = match rng.u8(0..8) {
                0 => (Injection::Silent(0, true), Some(Injection::Silent(0, false))),
                1 => (Injection::Slow(0.1 * rng.f64()), Some(Injection::Slow(0.0))),
                2 => (Injection::Stale(true), Some(Injection::Stale(false))),
                3 => (Injection::Doubled(true), Some(Injection::Doubled(false))),
                4 => (Injection::Lose(rng.f64()), None),
                5 => {
                    let split = Injection::Split { from: rng.usize(0..width), kept: rng.f64() };
                    (split, Some(Injection::Heal { both: rng.bool() }))
                }
                6 => (Injection::Restart(rng.usize(0..width)), None),
                _ => (Injection::Pause(rng.usize(0..width), 3.0 * rng.f64()), None),
            };
            w.at(at, begin);
            if let Some(end) = end {
                w.at(at + lasts, end);
            }
        }
    });
}

/// A counter that some limiters reach and others do not: the first divide the whole quota, the others have their
/// fallback beside it.
#[test]
fn overshoot_is_bounded_when_some_instances_cannot_reach_the_counter() {
    for validated in [false, true] {
        for cut in 1..=2u32 {
            // Where the others judge, their roll tells who is missing: then the error no longer grows.
            let fault =
                Fault::Partitioned { instances: cut, seconds: if validated { DETECTION } else { 60.0 } };
            let make = |w: World| if validated { w.validated().until(100.0) } else { w.until(100.0) };
            hold_by("cut", fault, make, |w, width, _| {
                w.at(FAULT.0, Injection::Cut(Some(width - (cut as usize).min(width))));
                w.at(FAULT.0 + 60.0, Injection::Cut(None));
            });
        }
    }
}

#[test]
fn unanswered_calls_that_are_applied_count_as_unavailability() {
    hold("mute", Fault::Unavailable { seconds: FAULT.1 }, |w, _, _| {
        w.at(FAULT.0, Injection::Mute(true));
        w.at(END, Injection::Mute(false));
    });
}

#[test]
fn bounds_hold_with_clocks_half_a_second_apart() {
    let split = Fault::SplitBrain { partitions: 2, seconds: DETECTION };
    for p in &PLANS {
        for seed in 0..runs() {
            let width = 2 + (seed as usize) % 3;
            let world = || World::new(plan(p.1, p.2, p.3), width, seed, 0.5, greedy(p.1, seed), 110.0);
            for (name, fault, mut world) in [
                ("none", Fault::None, world()),
                ("none, validated", Fault::None, world().validated()),
                ("split, validated", split, world().validated()),
            ] {
                if fault == split {
                    // Begins and ends at the edge of a name's time, where clocks disagree on the name.
                    world.at(19.8, Injection::Split { from: width / 2, kept: 0.0 });
                    world.at(80.1, Injection::Heal { both: true });
                }
                let bound = ErrorBound::under(&quota(p, width), &Timing::default(), fault).overshoot;
                check(&format!("{name}, clocks apart"), p, width, seed, &world.play(), bound);
            }
        }
    }
}

/// Both sides of a cut have a counter of their own for minutes, and both sets of counts are added up afterwards.
#[test]
fn bounds_hold_over_minutes_of_split_brain_and_a_merge_of_its_counts() {
    let fault = Fault::SplitBrain { partitions: 2, seconds: 2.0 * DETECTION };
    for both in [true, false] {
        hold_by(
            "minutes",
            fault,
            |w| w.validated().until(260.0),
            |w, width, _| {
                w.at(FAULT.0, Injection::Split { from: width / 2, kept: 0.0 });
                w.at(FAULT.0 + 200.0, Injection::Heal { both });
            },
        );
    }
}

/// What a failover costs: silence until it is told, the moment in which not all have changed, and the fallback.
fn failover() -> Fault {
    Fault::SplitBrain { partitions: 2, seconds: DETECTION }
}

#[test]
fn bounds_hold_over_two_failovers_and_a_failback() {
    let active_counters = std::cell::RefCell::new(Vec::new());
    for (name, until, expected) in [("failover", 40.0, 2), ("return", 160.0, 0)] {
        for p in &PLANS {
            for seed in 0..runs() {
                let width = 2 + (seed as usize) % 3;
                let mut w = world(p, width, seed).with_standbys(2).until(until);
                w.at(FAULT.0, Injection::Silent(0, true));
                w.at(FAULT.0 + 3.6, Injection::Silent(1, true));
                w.at(FAULT.0 + 30.0, Injection::Silent(1, false));
                w.at(FAULT.0 + 40.0, Injection::Silent(0, false));
                let result = w.play();
                let quota = quota(p, width);
                let usual = ErrorBound::under(&quota, &Timing::default(), Fault::None);
                // Two failovers and a return at most.
                let bound = (0..3).fold(usual, |b, _| b.with_fault(&quota, &Timing::default(), failover()));
                check(name, p, width, seed, &result, bound.overshoot);
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
        let mut w = world(&PLANS[1], 3, seed).with_standbys(1).until(100.0);
        for n in 0..10 {
            // Sound for eight seconds, silent for seven.
            w.at(FAULT.0 + 8.0 * f64::from(n), Injection::Silent(0, n % 2 == 0));
        }
        let result = w.play();
        assert_eq!(result.active_counters, [1, 1, 1], "seed {seed}");
        let bound = ErrorBound::under(&quota(&PLANS[1], 3), &Timing::default(), failover()).overshoot;
        check("comes and goes", &PLANS[1], 3, seed, &result, bound);
    }
}

/// A plan's cap on attempts out at once holds by the same shares, and one attempt for each limiter at least.
#[test]
fn the_error_of_a_concurrency_limit_is_that_of_its_shares() {
    let open = 6.0;
    for seed in 0..runs() {
        let width = 2 + (seed as usize) % 3;
        let capped = liftrouter_decision::Plan { concurrency_limit: open, ..plan(26.0, 52.0, 0.0) };
        for (views, validated) in [(1, false), (2, false), (2, true)] {
            let demand = greedy(26.0, seed);
            let w = World::new(capped.clone(), width, seed, 0.0, demand, RUN).answers_in(0.8);
            let mut w = if validated { w.validated() } else { w };
            if views == 2 {
                w.at(FAULT.0, Injection::Split { from: width / 2, kept: 0.0 });
                w.at(END, Injection::Heal { both: true });
            }
            let result = w.play();
            // Weights add up to one in each view, and none is below the even part.
            let bound = f64::from(views) * open + open + width as f64;
            assert!(
                result.max_in_flight as f64 <= bound,
                "seed {seed}: {} out, {bound} stated",
                result.max_in_flight
            );
            assert!(result.max_in_flight as f64 >= open / 2.0, "seed {seed}: the cap was never neared");
        }
    }
}

/// Hundreds of customers are counted again when a silent counter is back: calls rise, and stay within its rate.
#[test]
fn calls_ramp_up_within_the_counters_rate_after_an_outage() {
    let rate = 60.0;
    let calls = |paced: bool| {
        let demand = Demand { rate: 1.0, skew: 0.0, shift: 1e9, within_quota: false, customers: 400 };
        let w = World::new(plan(1.5, 8.0, 0.0), 4, 5, 0.0, demand, 60.0);
        let pace = PacingSettings { calls_per_second: rate, instance_count: 4, ramp_up: 5.0 };
        let mut w = if paced { w.paced(pace) } else { w };
        w.at(FAULT.0, Injection::Silent(0, true));
        w.at(END, Injection::Silent(0, false));
        w.play().calls
    };
    let (free, paced) = (calls(false), calls(true));
    let back = END as usize;
    let most = |calls: &[u32]| calls.iter().copied().max().unwrap_or_default();
    println!("calls a second after the return: {:?}; spread: {:?}", &free[back..], &paced[back..]);
    assert!(f64::from(most(&paced)) <= 1.1 * rate, "{paced:?}");
    assert!(f64::from(paced[back] + paced[back + 1]) <= rate, "they come back at once: {paced:?}");
    assert!(f64::from(most(&free[back..])) > 1.5 * rate, "without a pace it would be as well: {free:?}");
}
