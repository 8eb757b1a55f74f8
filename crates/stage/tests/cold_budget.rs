//! The budget of a cold node, for work that is added in another order than that of its times.

use liftrouter_stage::ledger::stores::{ColdBudget, ColdRule};
use liftrouter_stage::schedule::Micros;

const SEEDS: u64 = 500;
const WINDOW: Micros = 2_000_000;
const RULE: ColdRule = ColdRule { multiple: 3.0, window: WINDOW, slack: 0.4 };
/// A node of four cores that starts at a fiftieth of its capacity.
const COLD_RATIO: f64 = 0.02;
const CAPACITY: f64 = 4.0;
const WARM_AFTER: Micros = 30_000_000;

/// Work that arrives at a node, and when the node takes it up.
#[derive(Clone, Debug)]
struct Work {
    arrived_at: Micros,
    taken_up_at: Micros,
    seconds: f64,
}

/// Whether the budget is passed if the work is added in this order.
fn is_passed(works: &[Work]) -> bool {
    let mut budget = ColdBudget::new(RULE, CAPACITY, COLD_RATIO, WARM_AFTER, 0);
    works.iter().any(|work| budget.push(work.arrived_at, work.seconds, true).is_some())
}

fn arrivals(seed: u64) -> Vec<Work> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let count = rng.usize(60..240);
    let mut work = || {
        let arrived_at = rng.u64(0..6_000_000);
        let taken_up_at = arrived_at + rng.u64(0..500_000);
        Work { arrived_at, taken_up_at, seconds: 0.01 + 0.09 * rng.f64() }
    };
    (0..count).map(|_| work()).collect()
}

/// Guards against a push on a cold node that the node stands or not by the order in which its threads come to the
/// requests, while the checker goes by the times: the node collapsed, and nobody was accused.
#[test]
fn a_node_and_the_checker_agree_on_a_push_in_whatever_order_it_is_taken_up() {
    let mut passed = 0;
    for seed in 0..SEEDS {
        let mut works = arrivals(seed);
        works.sort_by_key(|work| work.taken_up_at);
        let is_passed_at_node = is_passed(&works);
        works.sort_by_key(|work| work.arrived_at);
        let is_passed_by_checker = is_passed(&works);
        assert_eq!(is_passed_at_node, is_passed_by_checker, "seed {seed}");
        passed += u64::from(is_passed_by_checker);
    }
    assert!((SEEDS / 5..SEEDS * 4 / 5).contains(&passed), "{passed} of {SEEDS} pushes pass the budget");
}
