//! The fault scenarios. Each runs in a new tree.

use super::checker::Violation;
use super::measure::{DurationSummary, TrafficRates};
use super::topology::{Node, Place};
use super::world::{Defect, Settings, World};
use super::{Micros, MILLISECOND, SECOND};

const HOUR: Micros = 3_600 * SECOND;
const WARM_UP: Micros = 20 * SECOND;
const CONVERGENCE_WAIT: Micros = 15 * SECOND;
const CHANGES_PER_BURST: u64 = 100;

/// The number of bursts within which every replica must have been sent a delta.
const MAX_BURSTS: usize = 200;

/// The extra delay of the slow relay's messages at the end of its gradual slowdown.
const SLOW_RELAY_DELAY: Micros = 3 * SECOND;
const SLOWDOWN_STEPS: u64 = 100;
const SLOWDOWN_DURATION: Micros = 50 * SECOND;

const PARTITION_COUNT: usize = 20;
const PARTITION_DURATION: Micros = 15 * SECOND;

/// The zone whose replicas join at once.
const JOINING_ZONE: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    Steady,
    ZoneRelayCrashes,
    RegionRelayCrashes,
    SlowRelay,
    ReplicasReturn,
    RevisionsLost,
    ZoneJoins,
    RegionPartition,
    RepeatedRegionPartitions,
    TenthRestarts,
}

impl Defect {
    /// The scenario in which the checker detects the defect.
    pub fn exposing_scenario(self) -> Scenario {
        match self {
            Defect::None => Scenario::Steady,
            Defect::NoDigests | Defect::RelayDropsChanges => Scenario::RevisionsLost,
            Defect::NeverStale => Scenario::RegionPartition,
        }
    }
}

/// The measurements and violations of a scenario.
#[derive(Debug)]
pub struct Outcome {
    pub traffic: TrafficRates,
    /// Durations from a change at the source to its application by a replica.
    pub lags: DurationSummary,
    /// Durations from the start, return or reconnection of a replica to its next applied update.
    pub joins: DurationSummary,
    pub violations: Vec<Violation>,
    /// The ratio of samples in which a replica reported itself stale.
    pub stale_ratio: f64,
    /// The number of updates rejected for a digest mismatch.
    pub repairs: u64,
    /// The number of whole lists that replicas received.
    pub whole_lists: u64,
}

/// Runs a scenario in a new tree, and compares all replicas with the source at its end.
pub fn run_scenario(scenario: Scenario, settings: Settings) -> Outcome {
    let starts_later = |place: Place| scenario == Scenario::ZoneJoins && place.zone == Some(JOINING_ZONE);
    let mut world = World::new(settings, starts_later);
    world.run_for(WARM_UP);
    world.reset_measurements();
    match scenario {
        Scenario::Steady => world.run_for(60 * SECOND),
        Scenario::ZoneRelayCrashes => crash_relay(&mut world, true),
        Scenario::RegionRelayCrashes => crash_relay(&mut world, false),
        Scenario::SlowRelay => slow_down_relay(&mut world),
        Scenario::ReplicasReturn => return_replicas(&mut world),
        Scenario::RevisionsLost => lose_revisions(&mut world),
        Scenario::ZoneJoins => join_zone(&mut world),
        Scenario::RegionPartition => partition_regions(&mut world),
        Scenario::RepeatedRegionPartitions => partition_regions_repeatedly(&mut world),
        Scenario::TenthRestarts => restart_tenth(&mut world),
    }
    world.check_convergence(CONVERGENCE_WAIT);
    Outcome {
        traffic: world.traffic(),
        lags: world.lags.summary(),
        joins: world.joins.summary(),
        stale_ratio: world.stale_ratio(),
        repairs: world.repairs,
        whole_lists: world.whole_lists,
        violations: world.violations,
    }
}

fn crash_relay(world: &mut World, of_zone: bool) {
    let relay = world.busiest_relay(of_zone);
    world.apply_burst(CHANGES_PER_BURST / 2, SECOND / 2);
    world.kill_relay(relay);
    world.apply_burst(CHANGES_PER_BURST / 2, SECOND / 2);
    world.run_for(10 * SECOND);
    world.check_convergence(CONVERGENCE_WAIT);
    world.restart_relay(relay);
    world.apply_burst(CHANGES_PER_BURST, SECOND);
    world.run_for(10 * SECOND);
}

fn slow_down_relay(world: &mut World) {
    let relay = world.busiest_relay(false);
    for step in 1..=SLOWDOWN_STEPS {
        world.network.set_extra_delay(Node::Relay(relay), SLOW_RELAY_DELAY * step / SLOWDOWN_STEPS);
        world.run_for(SLOWDOWN_DURATION / SLOWDOWN_STEPS);
    }
    world.apply_burst(CHANGES_PER_BURST, SECOND);
    world.run_for(20 * SECOND);
    world.check_convergence(CONVERGENCE_WAIT);
    world.network.set_extra_delay(Node::Relay(relay), 0);
    world.run_for(10 * SECOND);
}

fn return_replicas(world: &mut World) {
    let stopped: Vec<usize> = (0..world.replicas.len()).step_by(10).collect();
    for &index in &stopped {
        world.stop_replica(index);
    }
    world.run_for(HOUR);
    for &index in &stopped {
        world.start_replica(index, world.now);
    }
    world.run_for(10 * SECOND);
}

fn lose_revisions(world: &mut World) {
    let replica = Node::Replica(world.replicas.len() / 2);
    let relay = Node::Relay(world.relays.len() - 1);
    for child in [replica, relay] {
        world.drop_next_change(child);
        let was_lost = (0..MAX_BURSTS).any(|_| {
            world.apply_burst(CHANGES_PER_BURST, SECOND);
            !world.change_drop_pending()
        });
        assert!(was_lost, "no delta was sent to {child:?}");
        world.run_for(10 * SECOND);
    }
}

fn join_zone(world: &mut World) {
    for index in 0..world.replicas.len() {
        if world.topology.replicas[index].zone == Some(JOINING_ZONE) {
            let at = world.now + world.network.random.u64(0..100 * MILLISECOND);
            world.start_replica(index, at);
        }
    }
    world.apply_burst(CHANGES_PER_BURST, SECOND);
    world.run_for(10 * SECOND);
}

fn partition_regions(world: &mut World) {
    world.set_partitioned(true);
    world.run_for(HOUR);
    world.set_partitioned(false);
    world.apply_burst(CHANGES_PER_BURST, SECOND);
    world.run_for(20 * SECOND);
}

/// Partitions start at random phases of the heartbeats and connection attempts.
fn partition_regions_repeatedly(world: &mut World) {
    for _ in 0..PARTITION_COUNT {
        world.set_partitioned(true);
        world.run_for(PARTITION_DURATION);
        world.set_partitioned(false);
        let connected_for = PARTITION_DURATION + world.network.random.u64(0..4 * SECOND);
        world.run_for(connected_for);
    }
}

fn restart_tenth(world: &mut World) {
    world.apply_burst(CHANGES_PER_BURST / 2, SECOND / 2);
    for index in (0..world.replicas.len()).step_by(10) {
        world.restart_replica(index);
    }
    world.apply_burst(CHANGES_PER_BURST / 2, SECOND / 2);
    world.run_for(20 * SECOND);
}
