//! Schedules are drawn from the seed alone.
mod common;

use common::{small, SMALL};
use liftrouter_stage::scenario::Scenario;
use liftrouter_stage::schedule::{draw, seconds, Arrival, MOST_UNITS};
use proptest::prelude::*;

const FAULTS: &str = r#"
[[fault]]
what = "keeper-silent"
at_s = [1.0, 15.0]
for_s = [0.5, 9.0]
times = 3
every_s = 1.5

[[fault]]
what = "node-killed"
at_s = [0.0, 10.0]
for_s = 2.0

[[fault]]
what = "rolling-deploy"
at_s = 5.0
for_s = 8.0
size = 0.5
"#;

fn with_faults() -> Scenario {
    Scenario::parse("s.toml", &format!("{SMALL}{FAULTS}")).expect("well-formed")
}

#[test]
fn a_deploy_takes_every_node_once_and_a_group_at_a_time() {
    let faults = draw(&with_faults(), 5).faults;
    let drains: Vec<_> =
        faults.iter().filter(|f| f.kind == liftrouter_stage::scenario::Kind::NodeDraining).collect();
    let mut nodes: Vec<_> = drains.iter().map(|f| f.victim).collect();
    nodes.sort_unstable();
    assert_eq!(nodes, [0, 1]);
    assert!(drains[0].until.expect("it lasts") <= drains[1].at, "half of two nodes is one at a time");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn the_same_seed_draws_the_same(seed: u64) {
        prop_assert_eq!(draw(&with_faults(), seed), draw(&with_faults(), seed));
    }

    #[test]
    fn faults_change_nothing_of_the_load(seed: u64) {
        let (plain, struck) = (draw(&small(), seed), draw(&with_faults(), seed));
        prop_assert_eq!(&plain.arrivals, &struck.arrivals);
        prop_assert_eq!(&plain.customers, &struck.customers);
        prop_assert_eq!(struck.faults.len(), 3 + 1 + 2);
    }

    #[test]
    fn what_is_drawn_lies_within_what_the_scenario_allows(seed: u64) {
        let scenario = with_faults();
        let schedule = draw(&scenario, seed);
        let mut last = 0;
        for (index, a) in schedule.arrivals.iter().enumerate() {
            prop_assert!(a.at >= last && a.at < schedule.end);
            last = a.at;
            prop_assert!((1..=MOST_UNITS).contains(&a.units) && (1..=MOST_UNITS).contains(&a.guess));
            prop_assert!(a.class < 3 && a.work > 0 && a.tries.len() == 3);
            let spread = schedule.customers[a.customer].spread;
            prop_assert!(a.tries.iter().all(|t| t.place < spread));
            for n in 0..a.tries.len() {
                prop_assert_eq!(Arrival::of_id(Arrival::id(index, n)), Some((index, n)));
            }
        }
        for (n, f) in schedule.faults.iter().enumerate() {
            prop_assert_eq!(f.id, n as u32 + 1);
            prop_assert!(f.until.is_none_or(|until| until > f.at));
            prop_assert!(f.victim < 2);
        }
        let silent: Vec<_> = schedule.faults.iter().filter(|f| f.size == 0.0 && f.until.is_some()).collect();
        prop_assert!(silent.iter().all(|f| seconds(f.until.unwrap_or(0) - f.at) <= 9.01));
    }

    #[test]
    fn the_load_is_about_what_was_asked(seed: u64) {
        // Inside quotas 10 a second for 20 s; what lies beyond comes on top, and chance is wide for few customers.
        let n = draw(&small(), seed).arrivals.len();
        prop_assert!((60..1_500).contains(&n), "{n} requests");
    }
}

#[test]
fn other_seeds_draw_other_victims() {
    let victims: std::collections::BTreeSet<_> = (0..40)
        .map(|seed| {
            let faults = draw(&with_faults(), seed).faults;
            faults
                .iter()
                .find(|f| f.kind == liftrouter_stage::scenario::Kind::NodeKilled)
                .expect("it is there")
                .victim
        })
        .collect();
    assert_eq!(victims.len(), 2);
}

/// A scenario of twelve limiters and ten nodes in two rooms with one fault.
fn many(fault: &str) -> liftrouter_stage::scenario::Scenario {
    let text = format!(
        r#"
name = "many"
length_s = 30.0
limiters.count = 12
nodes.count = 10
load.tries_per_s = 5.0
class = [{{ name = "quote", share = 1.0, work_ms = 50.0, aim_ms = 500.0, deadline_ms = 2000.0, worth = 1.0, effect = "safe" }}]
plan = [{{ name = "agency", share = 1.0, rate = 5.0, burst_s = 3.0, price = 1.0 }}]
[[fault]]
{fault}"#
    );
    liftrouter_stage::scenario::Scenario::parse("many.toml", &text).expect("a scenario")
}

#[test]
fn a_share_strikes_each_once_in_turn_and_a_room_all_that_are_in_it() {
    let turns = "what = \"limiter-terminated\"\nat_s = 2.0\nfor_s = 1.0\nshare = 0.25\ntimes = 4\nevery_s = 5.0\nwithin_s = 1.5";
    for seed in 0..20 {
        let faults = draw(&many(turns), seed).faults;
        let mut struck: Vec<usize> = faults.iter().map(|f| f.victim).collect();
        struck.sort_unstable();
        assert_eq!(struck, (0..12).collect::<Vec<_>>(), "four quarters are all of them");
        let begins: Vec<f64> = faults.iter().take(4).map(|f| seconds(f.at)).collect();
        assert_eq!(begins, [2.0, 2.5, 3.0, 7.0], "a quarter is three, evenly within 1.5 s");
    }
    let all = "what = \"node-vanished\"\nat_s = 3.0\nfor_s = 5.0\nvictim = \"room-b\"";
    let mut lost: Vec<usize> = draw(&many(all), 1).faults.iter().map(|f| f.victim).collect();
    lost.sort_unstable();
    assert_eq!(lost, [1, 3, 5, 7, 9]);
}

#[test]
fn a_plan_may_come_through_fewer_limiters_than_others() {
    let mut scenario = many("what = \"list-silent\"\nat_s = 1.0\nfor_s = 1.0");
    scenario.load.spread = 12;
    scenario.load.tries_per_s = 200.0;
    let widest = |s: &_| draw(s, 3).customers.iter().map(|c| c.spread).max();
    assert_eq!(widest(&scenario), Some(12));
    scenario.plans[0].spread = Some(4);
    assert_eq!(widest(&scenario), Some(4));
}
