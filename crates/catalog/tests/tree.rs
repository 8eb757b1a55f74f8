//! Simulated relay trees: after each fault every replica holds the list of the source, and until then it reports itself
//! stale if its list may be out of date.
//!
//! The example `tree` runs the same scenarios with 7,100 replicas and prints the measurements.

mod support;

use support::checker::Violation;
use support::scenario::{run_scenario, Outcome, Scenario};
use support::world::{Defect, Settings};

/// The bound on the 99.9th percentile of the time from a change to its application by a replica, and on the time that a
/// joining replica waits for its first update.
const MAX_PROPAGATION_MS: f64 = 8_000.0;

/// The bound on the control traffic to any replica, in bytes per second.
const MAX_BYTES_PER_S: f64 = 4_096.0;

/// The ratio of replicas in the region without the source: three zones of seven.
const REMOTE_REGION_RATIO: f64 = 3.0 / 7.0;

/// The bound on the growth of the traffic to a replica in a tree of ten times the size.
const MAX_TRAFFIC_GROWTH: f64 = 1.2;

/// Runs a scenario and checks the bounds that apply to all of them.
fn check(scenario: Scenario, settings: Settings) -> Outcome {
    let outcome = run_scenario(scenario, settings);
    let shown = &outcome.violations[..outcome.violations.len().min(5)];
    assert!(
        shown.is_empty(),
        "{scenario:?} {settings:?}: {} violations, {shown:?}",
        outcome.violations.len()
    );
    assert!(outcome.lags.count > 0, "{scenario:?} {settings:?}: nothing was measured, {outcome:?}");
    assert!(outcome.lags.p999 < MAX_PROPAGATION_MS, "{scenario:?} {settings:?}: {outcome:?}");
    assert!(outcome.joins.max < MAX_PROPAGATION_MS, "{scenario:?} {settings:?}: {outcome:?}");
    assert!(outcome.traffic.max_bytes < MAX_BYTES_PER_S, "{scenario:?} {settings:?}: {outcome:?}");
    outcome
}

/// Checks a scenario in trees of 100 replicas with several seeds, and in one of 1,000.
fn check_sizes(scenario: Scenario) -> Outcome {
    for seed in 2..=4 {
        check(scenario, Settings { seed, ..Settings::with_replicas(100) });
    }
    check(scenario, Settings::with_replicas(1_000))
}

/// Checks a scenario that lasts an hour in trees of 100 replicas with two seeds.
fn check_hour(scenario: Scenario, history: usize) -> Outcome {
    let settings = |seed| Settings { history, seed, ..Settings::with_replicas(100) };
    check(scenario, settings(1));
    check(scenario, settings(2))
}

#[test]
#[allow(clippy::float_cmp, reason = "the ratio is exactly 0 if no replica was stale")]
fn changes_reach_every_replica() {
    let outcome = check_sizes(Scenario::Steady);
    assert_eq!((outcome.repairs, outcome.whole_lists), (0, 0), "no change was lost: {outcome:?}");
    assert_eq!(outcome.stale_ratio, 0.0, "{outcome:?}");
    assert!(outcome.lags.p50 < 100.0 && outcome.lags.p99 < 1_000.0, "{outcome:?}");
    assert!(
        outcome.traffic.mean_messages < 1.0,
        "one heartbeat every two seconds, and the changes: {outcome:?}"
    );
}

#[test]
fn a_zone_relay_crashes_during_a_burst_of_changes() {
    check_sizes(Scenario::ZoneRelayCrashes);
}

#[test]
fn a_region_relay_crashes_during_a_burst_of_changes() {
    check_sizes(Scenario::RegionRelayCrashes);
}

#[test]
fn a_relay_is_slow() {
    let outcome = check_sizes(Scenario::SlowRelay);
    assert!(outcome.lags.max > 3_000.0, "some replicas stay below the slow relay: {outcome:?}");
}

#[test]
fn replicas_return_after_an_hour() {
    let outcome = check_hour(Scenario::ReplicasReturn, Settings::with_replicas(100).history);
    assert_eq!(outcome.whole_lists, 0, "the history reaches back: {outcome:?}");
}

#[test]
fn replicas_return_after_their_revision_left_the_history() {
    const SHORT_HISTORY: usize = 20;
    let outcome = check_hour(Scenario::ReplicasReturn, SHORT_HISTORY);
    assert!(outcome.whole_lists > 0, "the history does not reach back: {outcome:?}");
}

#[test]
fn a_lost_revision_is_repaired() {
    let outcome = check_sizes(Scenario::RevisionsLost);
    assert!(outcome.repairs >= 2, "both losses are detected: {outcome:?}");
    assert!(outcome.whole_lists >= 1, "the replica requests a whole list: {outcome:?}");
}

#[test]
fn all_replicas_of_a_zone_join_at_once() {
    let outcome = check_sizes(Scenario::ZoneJoins);
    assert!(outcome.joins.count > 100, "{outcome:?}");
}

#[test]
fn regions_are_partitioned_for_an_hour() {
    let outcome = check_hour(Scenario::RegionPartition, Settings::with_replicas(100).history);
    assert!(outcome.stale_ratio > 0.4, "replicas in the other region report themselves stale: {outcome:?}");
    assert!(
        outcome.stale_ratio <= REMOTE_REGION_RATIO,
        "replicas in the source's region stay current: {outcome:?}"
    );
}

#[test]
fn regions_are_partitioned_repeatedly() {
    let settings = Settings { changes_per_second: 5.0, ..Settings::with_replicas(1_000) };
    check(Scenario::RepeatedRegionPartitions, settings);
}

#[test]
fn a_tenth_of_the_replicas_restarts() {
    let outcome = check_sizes(Scenario::TenthRestarts);
    assert_eq!(outcome.whole_lists, 100, "only the restarted replicas get whole lists: {outcome:?}");
}

#[test]
fn the_traffic_of_a_replica_does_not_grow_with_the_tree() {
    let small = check(Scenario::Steady, Settings::with_replicas(710)).traffic;
    let large = check(Scenario::Steady, Settings::with_replicas(7_100)).traffic;
    let growth = large.mean_bytes / small.mean_bytes;
    assert!((1.0 / MAX_TRAFFIC_GROWTH..MAX_TRAFFIC_GROWTH).contains(&growth), "{small:?} {large:?}");
}

/// The violations in a tree with a defect, in the scenario that exposes it.
fn violations(defect: Defect) -> Vec<Violation> {
    run_scenario(defect.exposing_scenario(), Settings { defect, ..Settings::with_replicas(100) }).violations
}

#[test]
fn without_digests_a_lost_delta_is_a_violation() {
    let violations = violations(Defect::NoDigests);
    assert!(violations.iter().any(|v| matches!(v, Violation::ListMismatch { .. })), "{violations:?}");
    assert!(violations.iter().any(|v| matches!(v, Violation::ListAtEnd { .. })), "{violations:?}");
}

#[test]
fn a_relay_that_drops_changes_is_a_violation() {
    let violations = violations(Defect::RelayDropsChanges);
    assert!(violations.iter().any(|v| matches!(v, Violation::ListMismatch { .. })), "{violations:?}");
    assert!(violations.iter().any(|v| matches!(v, Violation::ListAtEnd { .. })), "{violations:?}");
}

#[test]
fn a_replica_that_hides_that_it_is_stale_is_a_violation() {
    let violations = violations(Defect::NeverStale);
    assert!(violations.iter().any(|v| matches!(v, Violation::StaleRevision { .. })), "{violations:?}");
}
