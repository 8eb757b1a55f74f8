//! Groups of members in simulated time: nobody is missed, nobody holds twice, and after any trouble all is as it should be.
mod common;

use common::{address, Link, World, SECOND, TERMS};
use liftrouter_cluster::swim::Seen;
use liftrouter_cluster::{Input, News, Output};
use proptest::prelude::*;

/// A group that has found together and dealt its duties.
fn group(count: usize, slots: u16, seed: u64) -> World {
    let mut world = World::new(count, 3.min(count), slots, seed);
    (0..count).for_each(|n| world.start(n));
    let found = world.until(60 * SECOND, |w| w.views().iter().all(|v| *v == count) && w.without() == 0);
    assert!(found.is_some(), "{:?}, {} slots without a holder", world.views(), world.without());
    world
}

fn downs(world: &World, n: usize) -> Vec<String> {
    let down = |news: &News| match news {
        News::Down(process) => Some(process.name.clone()),
        _ => None,
    };
    world.nodes[n].news.iter().filter_map(|(_, news)| down(news)).collect()
}

#[test]
fn a_group_finds_together_deals_all_duties_and_misses_nobody_in_peace() {
    for count in [3, 7, 12] {
        let mut world = group(count, 24, 5);
        world.run(world.now + 60 * SECOND);
        assert!((0..count).all(|n| downs(&world, n).is_empty()));
        assert_eq!((world.without(), &world.twice[..]), (0, &[][..]));
        let held: Vec<usize> = (0..count)
            .map(|n| world.nodes[n].members.as_ref().map_or(0, |m| m.standing(world.clock(n)).held.len()))
            .collect();
        assert_eq!(held.iter().sum::<usize>(), 24, "{held:?}");
    }
}

#[test]
fn one_that_is_killed_is_missed_by_all_and_its_duties_go_over_within_the_stated_time() {
    let mut world = group(7, 24, 6);
    world.kill(5);
    let missed = world.until(20 * SECOND, |w| w.views().iter().all(|v| *v == 6)).expect("missed");
    assert!(missed > SECOND, "it is suspected first");
    // Its lease, a voter's longer word, and a claim.
    let bound = 20 * SECOND + TERMS.word() + TERMS.term / 4;
    let taken = world.until(bound, |w| w.without() == 0).expect("taken over");
    assert!(missed + taken < 10 * SECOND, "{missed} and {taken}");
    assert!(world.twice.is_empty(), "{:?}", world.twice);
}

#[test]
fn one_that_leaves_is_known_at_once_and_its_duties_are_free_at_once() {
    let mut world = group(7, 24, 7);
    world.leave(4);
    let gone =
        world.until(5 * SECOND, |w| w.views().iter().all(|v| *v == 6) && w.without() == 0).expect("known");
    assert!(gone < TERMS.term, "sooner than its lease runs out: {gone}");
    assert!(world.twice.is_empty());
}

/// Cut off from all, it knows nothing of being missed, and stops by its own clock before its successor begins.
#[test]
fn one_that_is_cut_off_stops_before_its_successors_begin() {
    let mut world = group(6, 24, 8);
    for n in 0..5 {
        world.cut(5, n, true);
        world.cut(n, 5, true);
    }
    let before = world.now;
    world.run(before + 30 * SECOND);
    let lost = world.nodes[5].news.iter().filter(|(at, news)| *at > before && matches!(news, News::Lost(..)));
    let last = lost.map(|(at, _)| *at).max().expect("it holds nothing any more");
    assert!(last - before < TERMS.term * 102 / 100 + 100_000);
    let taken = world.nodes[..5].iter().flat_map(|n| &n.news);
    let first =
        taken.filter(|(at, news)| *at > before && matches!(news, News::Held(..))).map(|(at, _)| *at).min();
    assert!(first.expect("taken over") > last);
    assert_eq!((world.without(), &world.twice[..]), (0, &[][..]));
    // And back: it hears that it was taken for gone.
    world.links.clear();
    world.until(30 * SECOND, |w| w.views().iter().all(|v| *v == 6) && w.without() == 0).expect("healed");
    assert!(world.nodes[5].news.iter().any(|(_, news)| *news == News::Returned));
    assert!(world.twice.is_empty());
}

#[test]
fn a_link_that_is_good_one_way_only_makes_nobody_missed_while_others_reach_both() {
    let mut world = group(6, 12, 9);
    world.cut(4, 5, true);
    world.run(world.now + 60 * SECOND);
    assert!((0..6).all(|n| downs(&world, n).is_empty()), "others ask in its place");
    assert!(world.twice.is_empty() && world.without() == 0);
}

#[test]
fn a_process_that_was_paused_wakes_without_acting_on_what_it_held() {
    let mut world = group(6, 24, 10);
    world.pause(3);
    world.run(world.now + 12 * SECOND);
    assert_eq!(world.views().iter().filter(|v| **v == 5).count(), 5, "{:?}", world.views());
    world.resume(3);
    assert!(world.twice.is_empty(), "{:?}", world.twice);
    world.until(30 * SECOND, |w| w.views().iter().all(|v| *v == 6) && w.without() == 0).expect("back");
    assert!(world.twice.is_empty());
    // It missed nobody for its own sleep.
    assert!(downs(&world, 3).is_empty(), "{:?}", downs(&world, 3));
}

#[test]
fn all_but_one_gone_at_once_leaves_one_that_holds_nothing_without_a_majority() {
    let mut world = group(7, 12, 11);
    (1..7).for_each(|n| world.kill(n));
    world.run(world.now + 30 * SECOND);
    assert_eq!(world.views(), [1]);
    assert_eq!(world.without(), 12, "one voter of three gives nothing out");
    (1..7).for_each(|n| world.start(n));
    world.until(30 * SECOND, |w| w.views().iter().all(|v| *v == 7) && w.without() == 0).expect("back");
    assert!(world.twice.is_empty());
}

#[test]
fn a_rolling_restart_of_all_within_thirty_seconds_keeps_every_duty_single() {
    let mut world = group(6, 24, 12);
    for n in 0..6 {
        world.leave(n);
        world.run(world.now + 2 * SECOND);
        world.start(n);
        world.run(world.now + 3 * SECOND);
    }
    world.until(30 * SECOND, |w| w.views().iter().all(|v| *v == 6) && w.without() == 0).expect("back");
    assert!(world.twice.is_empty() && world.back.is_empty(), "{:?} {:?}", world.twice, world.back);
}

#[test]
fn two_of_one_name_are_told_apart_and_only_one_holds() {
    let mut world = group(4, 12, 13);
    // Another process that calls itself as the last does.
    let settings = liftrouter_cluster::Settings {
        name: "n3".into(),
        address: address(9),
        join: vec![address(0)],
        voters: (0..3).map(address).collect(),
        slots: 12,
        pace: common::PACE,
        terms: TERMS,
    };
    let mut twin = liftrouter_cluster::Members::new(settings, 77, 0, 1_900_000_000_000).expect("settings");
    let mut out = Vec::new();
    twin.handle(0, Input::Wake, &mut out);
    // What it says to the others comes to the first, which answers; the twin hears of its namesake.
    let clock = world.clock(0);
    let members = world.nodes[0].members.as_mut().expect("there");
    let mut answers = Vec::new();
    for output in out {
        if let Output::Send(_, bytes) = output {
            members.handle(clock, Input::Datagram(address(9), &bytes), &mut answers);
        }
    }
    let said: Vec<_> = answers.iter().filter(|o| matches!(o, Output::News(News::NameTaken { .. }))).collect();
    assert_eq!(said.len(), 1, "{answers:?}");
    let mut heard = Vec::new();
    for output in answers {
        if let Output::Send(to, bytes) = output {
            if to == address(9) {
                twin.handle(2_000, Input::Datagram(address(0), &bytes), &mut heard);
            }
        }
    }
    assert!(twin.alive().count() > 1, "it has been let in");
    let claims = heard.iter().any(|o| matches!(o, Output::Send(_, bytes) if bytes.first() == Some(&2)));
    assert!(!claims, "the later of two of one name wants no duty");
}

/// The one that holds a slot, other than this one.
fn holder(world: &World, slot: u16, but: usize) -> usize {
    let holds = |n: &usize| {
        let members = world.nodes[*n].members.as_ref();
        *n != but && members.is_some_and(|m| m.holds(world.clock(*n), slot).is_some())
    };
    (0..world.nodes.len()).find(holds).expect("one holds it")
}

fn tell(world: &mut World, n: usize, what: &[u8]) -> (bool, Vec<Output>) {
    let (clock, mut out) = (world.clock(n), Vec::new());
    let told = world.nodes[n].members.as_mut().expect("there").tell(clock, 0, what, &mut out);
    (told, out)
}

/// How much of what one says comes through at another.
fn listened_to(world: &mut World, (from, to): (usize, usize), said: Vec<Output>) -> usize {
    let (clock, mut heard) = (world.clock(to), Vec::new());
    let members = world.nodes[to].members.as_mut().expect("there");
    for output in said {
        match output {
            Output::Send(at, bytes) if at == address(to) => {
                members.handle(clock, Input::Datagram(address(from), &bytes), &mut heard);
            }
            _ => {}
        }
    }
    heard.into_iter().filter(|o| matches!(o, Output::News(News::Told { .. }))).count()
}

/// What a holder told before it was paused comes after its successor has spoken: it is not listened to.
#[test]
fn what_an_earlier_holder_tells_is_not_listened_to_once_a_later_one_has_spoken() {
    let mut world = group(4, 1, 16);
    let first = holder(&world, 0, 9);
    let (told, late) = tell(&mut world, first, b"before");
    assert!(told && late.len() == 3, "to each of the others");
    assert!(!tell(&mut world, (first + 1) % 4, b"not mine").0, "it does not hold it");
    world.pause(first);
    world.until(30 * SECOND, |w| w.without() == 0).expect("taken over");
    let next = holder(&world, 0, first);
    let reader = (0..4).find(|n| *n != first && *n != next).expect("a third");
    let (_, after) = tell(&mut world, next, b"after");
    assert_eq!(listened_to(&mut world, (next, reader), after), 1);
    assert_eq!(listened_to(&mut world, (first, reader), late), 0, "its token is an earlier one");
}

#[test]
fn a_table_says_who_is_suspect_and_who_is_gone_and_since_when() {
    let mut world = group(5, 10, 14);
    world.kill(4);
    let at = world.now;
    let seen = |w: &World| w.nodes[0].members.as_ref().map(|m| m.table(w.clock(0))).unwrap_or_default();
    world.until(20 * SECOND, |w| seen(w).iter().any(|row| row.seen == Seen::Suspect)).expect("suspected");
    world.until(20 * SECOND, |w| seen(w).iter().any(|row| row.seen == Seen::Gone)).expect("gone");
    let table = seen(&world);
    assert_eq!(table[0].process.name, "n0");
    let gone = table.iter().find(|row| row.seen == Seen::Gone).expect("a line");
    assert_eq!((gone.process.name.as_str(), gone.slots), ("n4", 0));
    assert!(gone.since > world.clock(0) - (world.now - at) * 102 / 100);
    assert_eq!(table.iter().map(|row| row.slots).sum::<usize>(), 10);
}

#[test]
fn what_is_no_datagram_of_a_member_is_said_and_changes_nothing() {
    let mut world = group(3, 4, 15);
    let clock = world.clock(1);
    let members = world.nodes[1].members.as_mut().expect("there");
    for bytes in [&[][..], &[9, 9], &[1, 0xff, 0xff], &[2, 0xff], &[1; 1_401]] {
        let mut out = Vec::new();
        members.handle(clock, Input::Datagram(address(2), bytes), &mut out);
        assert!(out.iter().any(|o| matches!(o, Output::News(News::Foreign { .. }))), "{bytes:?}: {out:?}");
    }
    assert_eq!(members.alive().count(), 3);
}

#[test]
fn settings_that_cannot_be_used_are_all_named() {
    let mut settings = liftrouter_cluster::Settings {
        name: String::new(),
        address: "10.0.0.1:7000".parse().expect("an address"),
        join: vec!["192.168.0.1:7000".parse().expect("an address")],
        voters: vec![address(0), address(0)],
        slots: 0,
        pace: common::PACE,
        terms: TERMS,
    };
    settings.pace.late = settings.pace.period;
    let problems = settings.check().expect_err("none of it");
    let keys: Vec<&str> = problems.iter().map(|p| p.key).collect();
    assert_eq!(keys, ["name", "join", "listen", "voters", "voters", "slots", "late_ms"]);
    assert_eq!(problems[0].to_string(), "name has 0 bytes, expected 1 to 64");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever happens to processes and links, no duty is ever held twice; and once it is over, all find together again.
    #[test]
    fn no_duty_is_ever_held_twice(
        seed: u64,
        count in 3usize..9,
        troubles in proptest::collection::vec((0u64..9, 0usize..9, 0usize..9, 100u64..4_000), 1..25),
    ) {
        let mut world = World::new(count, if count >= 5 { 5 } else { 3 }, 6, seed);
        (0..count).for_each(|n| world.start(n));
        world.run(6 * SECOND);
        for (kind, one, other, ms) in troubles {
            let (one, other) = (one % count, other % count);
            match kind {
                0 => world.kill(one),
                1 => world.pause(one),
                2 => world.resume(one),
                3 => world.cut(one, other, true),
                4 => (0..count).for_each(|n| world.cut(one, n, true)),
                5 => world.all = Link { loss: 0.3, doubled: 0.2, late: 300_000, ..Link::default() },
                6 => world.links.clear(),
                7 if world.nodes[one].members.is_none() => world.start(one),
                _ => world.leave(one),
            }
            world.run(world.now + ms * 1_000);
            prop_assert!(world.twice.is_empty(), "{:?}", world.twice);
        }
        world.heal();
        let healed = world.until(90 * SECOND, |w| w.views().iter().all(|v| *v == count) && w.without() == 0);
        prop_assert!(healed.is_some(), "{:?}, {} without a holder", world.views(), world.without());
        prop_assert!(world.twice.is_empty(), "{:?}", world.twice);
        prop_assert!(world.back.is_empty(), "tokens go back: {:?}", world.back);
    }
}
