//! Clusters in simulated time: no live member is declared down, no shard has two holders, and the cluster recovers from faults.
mod common;

use common::{address, World, LEASE, SECOND};
use liftrouter_cluster::gossip::MemberState;
use liftrouter_cluster::{Action, Event, Notification};

/// A cluster whose members all know each other and hold all shards.
fn cluster(count: usize, shards: u16, seed: u64) -> World {
    let mut world = World::new(count, 3.min(count), shards, seed);
    (0..count).for_each(|n| world.start(n));
    let found = world
        .run_until(60 * SECOND, |w| w.live_counts().iter().all(|v| *v == count) && w.unheld_shards() == 0);
    assert!(found.is_some(), "{:?}, {} shards without a holder", world.live_counts(), world.unheld_shards());
    world
}

/// Names of the members that one member has reported as down.
fn down_members(world: &World, n: usize) -> Vec<String> {
    let down = |notification: &Notification| match notification {
        Notification::MemberDown(process) => Some(process.name.clone()),
        _ => None,
    };
    world.nodes[n].notifications.iter().filter_map(|(_, notification)| down(notification)).collect()
}

#[test]
fn a_healthy_cluster_assigns_all_shards_and_declares_no_member_down() {
    for count in [3, 7, 12] {
        let mut world = cluster(count, 24, 5);
        world.run(world.now + 60 * SECOND);
        assert!((0..count).all(|n| down_members(&world, n).is_empty()));
        assert_eq!((world.unheld_shards(), &world.double_holders[..]), (0, &[][..]));
        let held: Vec<usize> = (0..count)
            .map(|n| {
                world.nodes[n].member.as_ref().map_or(0, |m| m.local_status(world.clock(n)).leases.len())
            })
            .collect();
        assert_eq!(held.iter().sum::<usize>(), 24, "{held:?}");
    }
}

#[test]
fn the_shards_of_a_killed_member_are_taken_over_within_the_stated_time() {
    let mut world = cluster(7, 24, 6);
    world.kill(5);
    let detected =
        world.run_until(20 * SECOND, |w| w.live_counts().iter().all(|v| *v == 6)).expect("detected");
    assert!(detected > SECOND, "it is suspected first");
    // The failure detection, the promise of a voter, which outlasts the lease, and the time to the next request.
    let bound = 20 * SECOND + LEASE.promise_duration() + LEASE.duration / 4;
    let taken = world.run_until(bound, |w| w.unheld_shards() == 0).expect("taken over");
    assert!(detected + taken < 10 * SECOND, "{detected} and {taken}");
    assert!(world.double_holders.is_empty(), "{:?}", world.double_holders);
}

#[test]
fn the_shards_of_a_member_that_leaves_are_taken_over_before_its_leases_would_expire() {
    let mut world = cluster(7, 24, 7);
    world.leave(4);
    let gone = world
        .run_until(5 * SECOND, |w| w.live_counts().iter().all(|v| *v == 6) && w.unheld_shards() == 0)
        .expect("known");
    assert!(gone < LEASE.duration, "before its lease expires: {gone}");
    assert!(world.double_holders.is_empty());
}

/// An isolated member cannot be told that it was declared down: its leases must expire by its own clock before its
/// successors acquire theirs.
#[test]
fn an_isolated_member_loses_its_leases_before_its_successors_acquire_them() {
    let mut world = cluster(6, 24, 8);
    for n in 0..5 {
        world.cut(5, n, true);
        world.cut(n, 5, true);
    }
    let before = world.now;
    world.run(before + 30 * SECOND);
    let lost = world.nodes[5]
        .notifications
        .iter()
        .filter(|(at, notification)| *at > before && matches!(notification, Notification::LeaseLost(..)));
    let last = lost.map(|(at, _)| *at).max().expect("it has lost its leases");
    assert!(last - before < LEASE.duration * 102 / 100 + 100_000);
    let taken = world.nodes[..5].iter().flat_map(|n| &n.notifications);
    let first = taken
        .filter(|(at, notification)| *at > before && matches!(notification, Notification::LeaseAcquired(..)))
        .map(|(at, _)| *at)
        .min();
    assert!(first.expect("taken over") > last);
    assert_eq!((world.unheld_shards(), &world.double_holders[..]), (0, &[][..]));
    // It rejoins once it learns that it was declared down.
    world.links.clear();
    world
        .run_until(30 * SECOND, |w| w.live_counts().iter().all(|v| *v == 6) && w.unheld_shards() == 0)
        .expect("healed");
    assert!(world.nodes[5]
        .notifications
        .iter()
        .any(|(_, notification)| *notification == Notification::Rejoined));
    assert!(world.double_holders.is_empty());
}

#[test]
fn a_one_way_link_failure_declares_no_member_down_while_others_probe_indirectly() {
    let mut world = cluster(6, 12, 9);
    world.cut(4, 5, true);
    world.run(world.now + 60 * SECOND);
    assert!((0..6).all(|n| down_members(&world, n).is_empty()), "other members probe indirectly");
    assert!(world.double_holders.is_empty() && world.unheld_shards() == 0);
}

#[test]
fn a_paused_process_does_not_act_on_its_expired_leases_when_it_resumes() {
    let mut world = cluster(6, 24, 10);
    world.pause(3);
    world.run(world.now + 12 * SECOND);
    assert_eq!(world.live_counts().iter().filter(|v| **v == 5).count(), 5, "{:?}", world.live_counts());
    world.resume(3);
    assert!(world.double_holders.is_empty(), "{:?}", world.double_holders);
    world
        .run_until(30 * SECOND, |w| w.live_counts().iter().all(|v| *v == 6) && w.unheld_shards() == 0)
        .expect("back");
    assert!(world.double_holders.is_empty());
    // It declared nobody down after its own pause.
    assert!(down_members(&world, 3).is_empty(), "{:?}", down_members(&world, 3));
}

#[test]
fn a_member_without_a_majority_of_voters_holds_no_lease() {
    let mut world = cluster(7, 12, 11);
    (1..7).for_each(|n| world.kill(n));
    world.run(world.now + 30 * SECOND);
    assert_eq!(world.live_counts(), [1]);
    assert_eq!(world.unheld_shards(), 12, "one voter of three is no majority");
    (1..7).for_each(|n| world.start(n));
    world
        .run_until(30 * SECOND, |w| w.live_counts().iter().all(|v| *v == 7) && w.unheld_shards() == 0)
        .expect("back");
    assert!(world.double_holders.is_empty());
}

#[test]
fn a_rolling_restart_within_thirty_seconds_never_gives_a_shard_two_holders() {
    let mut world = cluster(6, 24, 12);
    for n in 0..6 {
        world.leave(n);
        world.run(world.now + 2 * SECOND);
        world.start(n);
        world.run(world.now + 3 * SECOND);
    }
    world
        .run_until(30 * SECOND, |w| w.live_counts().iter().all(|v| *v == 6) && w.unheld_shards() == 0)
        .expect("back");
    assert!(
        world.double_holders.is_empty() && world.token_regressions.is_empty(),
        "{:?} {:?}",
        world.double_holders,
        world.token_regressions
    );
}

#[test]
fn of_two_processes_with_one_name_only_the_earlier_requests_leases() {
    let mut world = cluster(4, 12, 13);
    // Another process with the name of the last.
    let settings = liftrouter_cluster::Settings {
        name: "n3".into(),
        address: address(9),
        seeds: vec![address(0)],
        voters: (0..3).map(address).collect(),
        shards: 12,
        gossip: common::GOSSIP,
        lease: LEASE,
    };
    let mut duplicate =
        liftrouter_cluster::ClusterMember::new(settings, 77, 0, 1_900_000_000_000).expect("settings");
    let mut actions = Vec::new();
    duplicate.handle(0, Event::Wake, &mut actions);
    // The first member receives its datagrams and reports the conflict; its replies announce the other process.
    let clock = world.clock(0);
    let member = world.nodes[0].member.as_mut().expect("running");
    let mut answers = Vec::new();
    for action in actions {
        if let Action::Send(_, bytes) = action {
            member.handle(clock, Event::Datagram(address(9), &bytes), &mut answers);
        }
    }
    let conflicts: Vec<_> = answers
        .iter()
        .filter(|action| matches!(action, Action::Notify(Notification::NameConflict { .. })))
        .collect();
    assert_eq!(conflicts.len(), 1, "{answers:?}");
    let mut reactions = Vec::new();
    for action in answers {
        if let Action::Send(to, bytes) = action {
            if to == address(9) {
                duplicate.handle(2_000, Event::Datagram(address(0), &bytes), &mut reactions);
            }
        }
    }
    assert!(duplicate.alive().count() > 1, "it has joined");
    let requests =
        reactions.iter().any(|action| matches!(action, Action::Send(_, bytes) if bytes.first() == Some(&2)));
    assert!(!requests, "the process started later requests no shard");
}

/// The member that holds a shard, other than `except`.
fn holder(world: &World, shard: u16, except: usize) -> usize {
    let holds = |n: &usize| {
        let member = world.nodes[*n].member.as_ref();
        *n != except && member.is_some_and(|m| m.fencing_token(world.clock(*n), shard).is_some())
    };
    (0..world.nodes.len()).find(holds).expect("a holder")
}

fn send_as_holder(world: &mut World, n: usize, payload: &[u8]) -> (bool, Vec<Action>) {
    let (clock, mut out) = (world.clock(n), Vec::new());
    let was_sent = world.nodes[n].member.as_mut().expect("there").send_as_holder(clock, 0, payload, &mut out);
    (was_sent, out)
}

/// How many of the holder messages that one member sent another one reports.
fn count_delivered(world: &mut World, (from, to): (usize, usize), sent: Vec<Action>) -> usize {
    let (clock, mut reactions) = (world.clock(to), Vec::new());
    let member = world.nodes[to].member.as_mut().expect("running");
    for action in sent {
        match action {
            Action::Send(at, bytes) if at == address(to) => {
                member.handle(clock, Event::Datagram(address(from), &bytes), &mut reactions);
            }
            _ => {}
        }
    }
    reactions
        .into_iter()
        .filter(|action| matches!(action, Action::Notify(Notification::HolderMessage { .. })))
        .count()
}

/// A message that a holder sent before it was paused arrives after one of its successor, and must not be delivered.
#[test]
fn messages_of_an_earlier_holder_are_fenced_once_a_later_one_has_sent_one() {
    let mut world = cluster(4, 1, 16);
    let first = holder(&world, 0, 9);
    let (was_sent, late) = send_as_holder(&mut world, first, b"before");
    assert!(was_sent && late.len() == 3, "sent to each other member");
    assert!(!send_as_holder(&mut world, (first + 1) % 4, b"not mine").0, "it does not hold the shard");
    world.pause(first);
    world.run_until(30 * SECOND, |w| w.unheld_shards() == 0).expect("taken over");
    let next = holder(&world, 0, first);
    let receiver = (0..4).find(|n| *n != first && *n != next).expect("a third");
    let (_, after) = send_as_holder(&mut world, next, b"after");
    assert_eq!(count_delivered(&mut world, (next, receiver), after), 1);
    assert_eq!(count_delivered(&mut world, (first, receiver), late), 0, "its token is lower");
}

#[test]
fn the_member_list_shows_suspect_and_failed_members_and_since_when() {
    let mut world = cluster(5, 10, 14);
    world.kill(4);
    let at = world.now;
    let statuses = |w: &World| w.nodes[0].member.as_ref().map(|m| m.members(w.clock(0))).unwrap_or_default();
    world
        .run_until(20 * SECOND, |w| statuses(w).iter().any(|row| row.state == MemberState::Suspect))
        .expect("suspected");
    world
        .run_until(20 * SECOND, |w| statuses(w).iter().any(|row| row.state == MemberState::Down))
        .expect("gone");
    let table = statuses(&world);
    assert_eq!(table[0].identity.name, "n0");
    let gone = table.iter().find(|row| row.state == MemberState::Down).expect("a line");
    assert_eq!((gone.identity.name.as_str(), gone.assigned_shards), ("n4", 0));
    assert!(gone.since > world.clock(0) - (world.now - at) * 102 / 100);
    assert_eq!(table.iter().map(|row| row.assigned_shards).sum::<usize>(), 10);
}

/// Guards against a member that the others take for its former process for as long as its wall clock had been set back.
#[test]
fn a_member_that_restarts_with_its_wall_clock_set_back_rejoins() {
    const HOUR_MS: u64 = 3_600_000;
    const MAX_REJOINS: usize = 40;
    for others_know_that_it_ended in [true, false] {
        let mut world = cluster(5, 10, 14);
        let statuses =
            |w: &World| w.nodes[0].member.as_ref().map(|m| m.members(w.clock(0))).unwrap_or_default();
        world.kill(4);
        if others_know_that_it_ended {
            let is_gone = |w: &World| statuses(w).iter().any(|row| row.state == MemberState::Down);
            world.run_until(20 * SECOND, is_gone).expect("gone");
        }
        world.start_with_wall_clock(4, 1_800_000_000_000 - HOUR_MS);
        let member = world.nodes[4].member.as_ref().expect("running");
        let instance = member.identity().instance;
        let is_back = |w: &World| {
            statuses(w).iter().any(|row| row.identity.instance == instance && row.state == MemberState::Alive)
        };
        world.run_until(20 * SECOND, is_back).expect("it is back");
        let rejoined = |(_, notification): &&(_, Notification)| *notification == Notification::Rejoined;
        let rejoins = world.nodes[4].notifications.iter().filter(rejoined).count();
        assert!(rejoins <= MAX_REJOINS, "{rejoins} rejoins");
    }
}

#[test]
fn an_invalid_datagram_is_reported_and_changes_nothing() {
    let mut world = cluster(3, 4, 15);
    let clock = world.clock(1);
    let member = world.nodes[1].member.as_mut().expect("running");
    for bytes in [&[][..], &[9, 9], &[1, 0xff, 0xff], &[2, 0xff], &[1; 1_401]] {
        let mut out = Vec::new();
        member.handle(clock, Event::Datagram(address(2), bytes), &mut out);
        assert!(
            out.iter().any(|action| matches!(action, Action::Notify(Notification::InvalidDatagram { .. }))),
            "{bytes:?}: {out:?}"
        );
    }
    assert_eq!(member.alive().count(), 3);
}
