//! Simulates every fault in relay trees of the given numbers of replicas and prints the results as a Markdown table:
//! `cargo run -p liftrouter-catalog --example tree -- 100 1000 7100`. A word as argument selects the faults whose name
//! contains it, as in `-- 7100 apart`. The exit code is 1 if the checker finds a violation in a tree without a
//! deliberate defect.

#[path = "../tests/support/mod.rs"]
mod support;

use std::process::ExitCode;
use support::scenario::{run_scenario, Outcome, Scenario};
use support::world::{Defect, Settings};

const DEFAULT_SIZES: [usize; 3] = [100, 1_000, 7_100];

const FAULTS: [Scenario; 10] = [
    Scenario::Steady,
    Scenario::ZoneRelayCrashes,
    Scenario::RegionRelayCrashes,
    Scenario::SlowRelay,
    Scenario::ReplicasReturn,
    Scenario::RevisionsLost,
    Scenario::ZoneJoins,
    Scenario::RegionPartition,
    Scenario::RepeatedRegionPartitions,
    Scenario::TenthRestarts,
];

const BROKEN: [Defect; 3] = [Defect::NoDigests, Defect::RelayDropsChanges, Defect::NeverStale];

fn name(scenario: Scenario) -> &'static str {
    match scenario {
        Scenario::Steady => "steady",
        Scenario::ZoneRelayCrashes => "a relay of a zone dies in a burst of 100 changes a second",
        Scenario::RegionRelayCrashes => "a relay of a region dies in such a burst",
        Scenario::SlowRelay => "a relay of a region becomes slow by 3 s",
        Scenario::ReplicasReturn => "a tenth of the replicas returns after an hour",
        Scenario::RevisionsLost => "one revision lost on the way to a replica, one to a relay",
        Scenario::ZoneJoins => "all replicas of a zone join at once",
        Scenario::RegionPartition => "the regions are apart for an hour",
        Scenario::RepeatedRegionPartitions => "the regions part for 15 s, 20 times",
        Scenario::TenthRestarts => "a tenth of the replicas restarts",
    }
}

fn broken_name(broken: Defect) -> String {
    format!("BROKEN {broken:?}: {}", name(broken.exposing_scenario()))
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let mut sizes: Vec<usize> = arguments.iter().filter_map(|argument| argument.parse().ok()).collect();
    let filter = arguments.iter().find(|argument| argument.parse::<usize>().is_err());
    let is_selected = |name: &str| filter.is_none_or(|word| name.contains(word.as_str()));
    if sizes.is_empty() {
        sizes.extend(DEFAULT_SIZES);
    }
    println!("| replicas | fault | B/s a replica (mean) | B/s (most) | messages/s | lag p50 ms | p99 | p99.9 | last | changes x replicas | list after (re)joining, last ms | whole lists | repairs | share stale | violations |");
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    let mut violations = 0;
    for size in sizes {
        for scenario in FAULTS.into_iter().filter(|scenario| is_selected(name(*scenario))) {
            let outcome = run_scenario(scenario, Settings::with_replicas(size));
            print_row(size, name(scenario), &outcome);
            violations += outcome.violations.len();
        }
        for broken in BROKEN.into_iter().filter(|broken| is_selected(&broken_name(*broken))) {
            let outcome = run_scenario(
                broken.exposing_scenario(),
                Settings { defect: broken, ..Settings::with_replicas(size) },
            );
            print_row(size, &broken_name(broken), &outcome);
        }
    }
    if violations == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn print_row(size: usize, name: &str, outcome: &Outcome) {
    let Outcome { traffic, lags, joins, .. } = outcome;
    println!(
        "| {size} | {name} | {:.1} | {:.1} | {:.3} | {:.1} | {:.0} | {:.0} | {:.0} | {} | {:.0} | {} | {} | {:.4} | {} |",
        traffic.mean_bytes,
        traffic.max_bytes,
        traffic.mean_messages,
        lags.p50,
        lags.p99,
        lags.p999,
        lags.max,
        lags.count,
        joins.max,
        outcome.whole_lists,
        outcome.repairs,
        outcome.stale_ratio,
        outcome.violations.len(),
    );
}
