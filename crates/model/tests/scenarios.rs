//! The repository's scenarios in simulated time, judged by the kit's ledger.

use liftrouter_model::{fits, play, Figures};
use liftrouter_stage::history::{Entry, Event};
use liftrouter_stage::ledger::{judge, Facts, Judgement, Verdict};
use liftrouter_stage::scenario::Scenario;
use liftrouter_stage::schedule::draw;
use std::path::Path;

fn scenario(name: &str) -> Scenario {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios").join(name);
    Scenario::read(&path).expect("a scenario of the repository")
}

fn judged(scenario: &Scenario, seed: u64) -> Judgement {
    let schedule = draw(scenario, seed);
    let history = play(scenario, &schedule, &Figures::default()).expect("it can be modelled");
    judge(&Facts { scenario, schedule: &schedule }, &history, None)
}

#[test]
fn the_real_decisions_keep_all_rules_in_the_model_too() {
    for name in ["quickstart.toml", "overlap.toml", "trial.toml", "keeper-silent.toml", "keeper-lost.toml"] {
        let scenario = scenario(name);
        for seed in 1..=4 {
            let j = judged(&scenario, seed);
            assert_eq!(j.verdict, Verdict::Kept, "{name}, seed {seed}: {:?} {:?}", j.breaks, j.unjudged);
            assert!(j.counts.served > 100, "{name}: {:?}", j.counts);
            assert_eq!(j.counts.open, 0, "{name}: every try has an end");
        }
    }
}

#[test]
fn the_same_seed_gives_the_same_history_in_any_thread_and_another_one_another() {
    let scenario = scenario("overlap.toml");
    let schedule = draw(&scenario, 3);
    let whole = |schedule: &_| {
        format!("{:?}", play(&scenario, schedule, &Figures::default()).expect("it is modelled"))
    };
    let first = whole(&schedule);
    let others = std::thread::scope(|scope| {
        let all: Vec<_> = (0..8).map(|_| scope.spawn(|| whole(&schedule))).collect();
        all.into_iter().map(|one| one.join().expect("played")).collect::<Vec<_>>()
    });
    assert!(others.iter().all(|other| *other == first));
    assert_ne!(whole(&draw(&scenario, 4)), first);
}

#[test]
fn what_is_not_modelled_is_named() {
    let said = fits(&scenario("authz.toml")).expect_err("it has an authoriser");
    assert_eq!(said, "authz: authoriser is not modelled");
    let said = fits(&scenario("inventory-faults.toml")).expect_err("it has files");
    assert!(said.contains("list.through is not modelled"), "{said}");
    let said = fits(&scenario("keeper-split.toml")).expect_err("its limiters judge");
    assert!(said.contains("keeper.judged is not modelled"), "{said}");
}

/// A small scenario with faults and load of its own.
fn small(load: f64, faults: &str) -> Scenario {
    let text = format!(
        r#"
name = "small"
length_s = 8.0
limiters.count = 2
nodes.count = 2
nodes.cores = 2
load.tries_per_s = {load}
load.heavy = 0.0
load.spiky = 0.0
class = [{{ name = "quote", share = 1.0, work_ms = 50.0, aim_ms = 500.0, deadline_ms = 2000.0, worth = 1.0, effect = "safe" }}]
plan = [{{ name = "agency", share = 1.0, rate = 5.0, burst_s = 3.0, price = 1.0 }}]
{faults}"#
    );
    Scenario::parse("small.toml", &text).expect("a scenario")
}

#[test]
fn a_fault_that_begins_before_another_ends_on_its_link_holds_until_both_are_over() {
    let faults = r#"
[[fault]]
what = "link-cut"
victim = "n0"
peer = "keeper"
at_s = 1.0
for_s = 2.0

[[fault]]
what = "link-held"
victim = "n0"
peer = "keeper"
at_s = 2.0
for_s = 3.0
"#;
    let scenario = small(30.0, faults);
    let history = play(&scenario, &draw(&scenario, 5), &Figures::default()).expect("played");
    let called = |limiter: u16, from: f64, to: f64| {
        let within = |at: u64| (from..to).contains(&(at as f64 / 1e6));
        let answered = |e: &&Entry| matches!(e.event, Event::Called { limiter: l, answered: true } if l == limiter && within(e.at));
        history.iter().filter(answered).count()
    };
    assert!(called(0, 0.0, 1.0) > 0);
    assert_eq!(called(0, 1.1, 5.0), 0, "neither fault's end alone lets calls through");
    assert!(called(1, 1.1, 5.0) > 0, "the other limiter's link is sound");
    assert!(called(0, 5.0, 8.0) > 0);
}

/// Ten times what the nodes can do: the play ends at its time all the same, and every try has an end.
#[test]
fn a_load_that_never_drains_ends_with_the_play() {
    let scenario = small(700.0, "");
    let j = judged(&scenario, 1);
    assert!(j.breaks.is_empty(), "{:?}", j.breaks);
    assert_eq!(j.counts.open, 0);
    assert!(j.counts.refused + j.counts.refused_advised > j.counts.served, "{:?}", j.counts);
}

/// A day of the large fleet, played by an eighth of it.
fn eighth(name: &str) -> Scenario {
    let mut day = scenario(&format!("fleet/{name}.toml"));
    day.limiters.count /= 8;
    day.nodes.count /= 8;
    day.load.tries_per_s /= 8.0;
    day.load.spread /= 8;
    day.keeper.calls_per_s /= 8.0;
    day
}

#[test]
fn the_days_of_a_large_fleet_keep_all_rules() {
    for name in ["calm", "roll", "herd", "zone", "split", "join"] {
        let j = judged(&eighth(name), 2);
        assert_eq!(j.verdict, Verdict::Kept, "{name}: {:?} {:?}", j.breaks.first(), j.unjudged);
        assert!(j.service.whole > 0.7, "{name}: {:?}", j.service);
    }
}
