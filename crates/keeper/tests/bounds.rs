//! The decision module held to the stated bounds, over simulated limiters and keepers that fail.
mod common;

use common::{plan, Change, Demand, Result, World};
use liftrouter_keeper::{Bound, Fault, Quota, Timing};

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
    Quota { rate: plan.1, burst: plan.2, largest: 1.0, width: width as u32 }
}

/// A partner that asks for several times its quota, and changes the limiter that it comes through most.
fn greedy(rate: f64, seed: u64) -> Demand {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x9e37);
    Demand { rate: rate * (2.0 + 2.0 * rng.f64()), skew: rng.f64(), shift: 4.0 + 10.0 * rng.f64() }
}

/// Seconds until a judge that calls once a second has told a split: the rest of a roll, and the next one.
const JUDGED: f64 = 10.0;

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
            let bound = Bound::of(&quota(p, width), &Timing::default(), fault).over;
            check(name, p, width, seed, &result, bound);
            worst = (worst.0.max(result.over / bound), worst.1.max(result.over));
        }
        println!("{name:10} {:8} worst {:6.1} units, {:.2} of the bound", p.0, worst.1, worst.0);
    }
}

fn check(name: &str, p: &Plan, width: usize, seed: u64, result: &Result, bound: f64) {
    let Plan(plan, rate, ..) = p;
    assert!(
        result.over <= bound,
        "{name}, {plan}, width {width}, seed {seed}: {:.1} units over, {bound:.1} stated",
        result.over
    );
    // A fault must not stop the partner either: it gets most of its quota in any case.
    assert!(result.sent >= 0.6 * rate * RUN, "{name}, {plan}, seed {seed}: only {} sent", result.sent);
    if p.3 > 1.0 {
        assert!(result.over_ceiling < 1.0, "{name}, seed {seed}: {} over the ceiling", result.over_ceiling);
    }
}

/// When the fault ends.
const END: f64 = FAULT.0 + FAULT.1;

#[test]
fn a_keeper_that_works() {
    hold("none", Fault::None, |_, _, _| {});
}

#[test]
fn a_silent_keeper_and_a_limiter_that_restarts_meanwhile() {
    let fault = Fault::Silent { seconds: FAULT.1 };
    let silent = |w: &mut World| {
        w.at(FAULT.0, Change::Silent(true));
        w.at(END, Change::Silent(false));
    };
    hold("silent", fault, |w, _, _| silent(w));
    hold("silent+", fault, |w, width, _| {
        silent(w);
        w.at(FAULT.0 + 5.0, Change::Restart(width - 1));
    });
}

#[test]
fn a_keeper_that_loses_counts() {
    for share in [0.5, 1.0] {
        hold("lost", Fault::Lost, |w, _, _| w.at(FAULT.0, Change::Lose(share)));
    }
    hold("lost+", Fault::Lost, |w, width, _| {
        w.at(FAULT.0, Change::Lose(1.0));
        w.at(FAULT.0 + 0.5, Change::Restart(width - 1));
    });
}

#[test]
fn a_slow_keeper() {
    for by in [0.03, 0.2] {
        let fault = if by < 0.05 { Fault::Slow { seconds: by } } else { Fault::Silent { seconds: FAULT.1 } };
        hold("slow", fault, |w, _, _| {
            w.at(FAULT.0, Change::Slow(by));
            w.at(END, Change::Slow(0.0));
        });
    }
}

#[test]
fn a_keeper_with_stale_totals() {
    hold("stale", Fault::Stale { seconds: FAULT.1 }, |w, _, _| {
        w.at(FAULT.0, Change::Stale(true));
        w.at(END, Change::Stale(false));
    });
}

#[test]
fn two_keepers_with_a_view_each() {
    let fault = Fault::Split { views: 2, seconds: FAULT.1 };
    for (kept, both) in [(0.0, true), (1.0, false), (0.5, true)] {
        hold("split", fault, |w, width, _| {
            w.at(FAULT.0, Change::Split { from: width / 2, kept });
            w.at(END, Change::Heal { both });
        });
    }
}

/// With a judge at each limiter a split costs what it does until it is told, however long it lasts; a limiter
/// that starts meanwhile has its fallback until it knows.
#[test]
fn two_keepers_before_limiters_that_judge_them() {
    let fault = Fault::Split { views: 2, seconds: JUDGED };
    // Long enough for one that is not told to leave the bound.
    let long = 75.0;
    for (kept, both) in [(0.0, true), (1.0, false)] {
        hold_by(
            "split, judged",
            fault,
            |w| w.judged().until(long + 30.0),
            |w, width, _| {
                w.at(FAULT.0, Change::Split { from: width / 2, kept });
                w.at(FAULT.0 + 8.0, Change::Restart(width - 1));
                w.at(FAULT.0 + long, Change::Heal { both });
            },
        );
    }
}

#[test]
fn a_judge_changes_nothing_where_nothing_fails() {
    hold_by("none, judged", Fault::None, World::judged, |_, _, _| {});
}

#[test]
fn another_keeper_with_none_some_or_all_counts() {
    for kept in [0.0, 0.5, 1.0] {
        hold("swap", Fault::Lost, |w, _, _| {
            w.at(FAULT.0, Change::Lose(1.0 - kept));
            // And once more within a period.
            w.at(FAULT.0 + 0.3, Change::Lose(1.0 - kept));
        });
    }
}

#[test]
fn a_keeper_that_adds_twice() {
    hold("doubled", Fault::Doubled { seconds: FAULT.1 }, |w, _, _| {
        w.at(FAULT.0, Change::Doubled(true));
        w.at(END, Change::Doubled(false));
    });
}

#[test]
fn anything_at_all_stays_within_what_holds_without_belief() {
    hold("any", Fault::Any { seconds: RUN }, |w, width, seed| {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x51ed);
        for _ in 0..6 {
            let (at, lasts) = (5.0 + 30.0 * rng.f64(), 1.0 + 10.0 * rng.f64());
            let (begin, end) = match rng.u8(0..8) {
                0 => (Change::Silent(true), Some(Change::Silent(false))),
                1 => (Change::Slow(0.1 * rng.f64()), Some(Change::Slow(0.0))),
                2 => (Change::Stale(true), Some(Change::Stale(false))),
                3 => (Change::Doubled(true), Some(Change::Doubled(false))),
                4 => (Change::Lose(rng.f64()), None),
                5 => {
                    let split = Change::Split { from: rng.usize(0..width), kept: rng.f64() };
                    (split, Some(Change::Heal { both: rng.bool() }))
                }
                6 => (Change::Restart(rng.usize(0..width)), None),
                _ => (Change::Pause(rng.usize(0..width), 3.0 * rng.f64()), None),
            };
            w.at(at, begin);
            if let Some(end) = end {
                w.at(at + lasts, end);
            }
        }
    });
}
