//! The faults, one after the other in a tree of its own each.

use super::checker::Violation;
use super::measure::{TimesSummary, TrafficSummary};
use super::topology::{Node, Place};
use super::world::{Broken, Settings, World};
use super::{Micros, MILLISECOND, SECOND};

const HOUR: Micros = 3_600 * SECOND;
const WARM_UP: Micros = 20 * SECOND;
const SETTLE: Micros = 15 * SECOND;
const BURST: u64 = 100;

/// So many bursts have a change for every replica.
const MOST_BURSTS: usize = 200;

/// How much longer all messages of the slow relay take in the end.
const SLOW_BY: Micros = 3 * SECOND;
const SLOWER_STEPS: u64 = 100;
const SLOWER_OVER: Micros = 50 * SECOND;

const PARTINGS: usize = 20;
const PARTED: Micros = 15 * SECOND;

/// The zone whose replicas join at once.
const JOINING_ZONE: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    Steady,
    ZoneRelayDies,
    RegionRelayDies,
    RelayIsSlow,
    ReplicasReturn,
    RevisionsLost,
    ZoneJoins,
    RegionsApart,
    RegionsPartOften,
    TenthRestarts,
}

impl Broken {
    /// The scenario that shows what is broken.
    pub fn shown_by(self) -> Scenario {
        match self {
            Broken::Nothing => Scenario::Steady,
            Broken::NoDigests | Broken::RelayDropsChanges => Scenario::RevisionsLost,
            Broken::NeverStale => Scenario::RegionsApart,
        }
    }
}

/// What came of a scenario.
#[derive(Debug)]
pub struct Outcome {
    pub traffic: TrafficSummary,
    pub lags: TimesSummary,
    pub joins: TimesSummary,
    pub violations: Vec<Violation>,
    /// The share of the samples in which a replica said that it is stale.
    pub stale_share: f64,
    pub repairs: u64,
    pub whole_lists: u64,
}

/// Plays a scenario in a new tree.
pub fn play(scenario: Scenario, settings: Settings) -> Outcome {
    let waits = |place: Place| scenario == Scenario::ZoneJoins && place.zone == Some(JOINING_ZONE);
    let mut world = World::new(settings, waits);
    world.run_for(WARM_UP);
    world.measure_from_now();
    match scenario {
        Scenario::Steady => world.run_for(60 * SECOND),
        Scenario::ZoneRelayDies => relay_dies(&mut world, true),
        Scenario::RegionRelayDies => relay_dies(&mut world, false),
        Scenario::RelayIsSlow => relay_is_slow(&mut world),
        Scenario::ReplicasReturn => replicas_return(&mut world),
        Scenario::RevisionsLost => revisions_lost(&mut world),
        Scenario::ZoneJoins => zone_joins(&mut world),
        Scenario::RegionsApart => regions_apart(&mut world),
        Scenario::RegionsPartOften => regions_part_often(&mut world),
        Scenario::TenthRestarts => tenth_restarts(&mut world),
    }
    world.settle(SETTLE);
    Outcome {
        traffic: world.traffic(),
        lags: world.lags.summary(),
        joins: world.joins.summary(),
        stale_share: world.stale_share(),
        repairs: world.repairs,
        whole_lists: world.whole_lists,
        violations: world.violations,
    }
}

fn relay_dies(world: &mut World, of_zone: bool) {
    let relay = world.busiest_relay(of_zone);
    world.burst(BURST / 2, SECOND / 2);
    world.kill_relay(relay);
    world.burst(BURST / 2, SECOND / 2);
    world.run_for(10 * SECOND);
    world.settle(SETTLE);
    world.restart_relay(relay);
    world.burst(BURST, SECOND);
    world.run_for(10 * SECOND);
}

fn relay_is_slow(world: &mut World) {
    let relay = world.busiest_relay(false);
    for step in 1..=SLOWER_STEPS {
        world.network.set_slow(Node::Relay(relay), SLOW_BY * step / SLOWER_STEPS);
        world.run_for(SLOWER_OVER / SLOWER_STEPS);
    }
    world.burst(BURST, SECOND);
    world.run_for(20 * SECOND);
    world.settle(SETTLE);
    world.network.set_slow(Node::Relay(relay), 0);
    world.run_for(10 * SECOND);
}

fn replicas_return(world: &mut World) {
    let away: Vec<usize> = (0..world.replicas.len()).step_by(10).collect();
    for &index in &away {
        world.stop_replica(index);
    }
    world.run_for(HOUR);
    for &index in &away {
        world.start_replica(index, world.now);
    }
    world.run_for(10 * SECOND);
}

fn revisions_lost(world: &mut World) {
    let replica = Node::Replica(world.replicas.len() / 2);
    let relay = Node::Relay(world.relays.len() - 1);
    for child in [replica, relay] {
        world.lose_next_change(child);
        let lost = (0..MOST_BURSTS).any(|_| {
            world.burst(BURST, SECOND);
            !world.still_to_lose()
        });
        assert!(lost, "no delta was sent to {child:?}");
        world.run_for(10 * SECOND);
    }
}

fn zone_joins(world: &mut World) {
    for index in 0..world.replicas.len() {
        if world.topology.replicas[index].zone == Some(JOINING_ZONE) {
            let at = world.now + world.network.random.u64(0..100 * MILLISECOND);
            world.start_replica(index, at);
        }
    }
    world.burst(BURST, SECOND);
    world.run_for(10 * SECOND);
}

fn regions_apart(world: &mut World) {
    world.set_regions_apart(true);
    world.run_for(HOUR);
    world.set_regions_apart(false);
    world.burst(BURST, SECOND);
    world.run_for(20 * SECOND);
}

/// Where the parting meets the heartbeats and calls differs from time to time.
fn regions_part_often(world: &mut World) {
    for _ in 0..PARTINGS {
        world.set_regions_apart(true);
        world.run_for(PARTED);
        world.set_regions_apart(false);
        let together = PARTED + world.network.random.u64(0..4 * SECOND);
        world.run_for(together);
    }
}

fn tenth_restarts(world: &mut World) {
    world.burst(BURST / 2, SECOND / 2);
    for index in (0..world.replicas.len()).step_by(10) {
        world.restart_replica(index);
    }
    world.burst(BURST / 2, SECOND / 2);
    world.run_for(20 * SECOND);
}
