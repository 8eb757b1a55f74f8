//! The judge before a keeper that is written out here: every kind of evidence, and what it does not take for one.

use liftrouter_counter::{Answer, Evidence, Judge, Terms, View};
use std::collections::HashMap;

/// A keeper's numbers.
type Numbers = HashMap<String, f64>;

fn add(numbers: &mut Numbers, name: &str, add: f64) -> f64 {
    let number = numbers.entry(name.to_string()).or_default();
    *number += add;
    *number
}

fn terms(me: u32, limiters: u32) -> Terms {
    Terms { me, limiters, tag: 0xabc + u64::from(me), ..Terms::default() }
}

/// Limiters that each judge a keeper of theirs.
struct Room {
    now: f64,
    judges: Vec<Judge>,
}

impl Room {
    fn new(limiters: u32) -> Room {
        let judges = (0..limiters).map(|n| Judge::new(terms(n, limiters), 1_000.0)).collect();
        Room { now: 1_000.0, judges }
    }

    /// Plays some seconds; the answer to the call of a limiter is as told.
    fn play(&mut self, seconds: f64, mut answer: impl FnMut(usize, &str, f64) -> Answer) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += 0.05;
            for (n, judge) in self.judges.iter_mut().enumerate() {
                if let Some(call) = judge.due(self.now) {
                    let said = answer(n, &call.name, call.add);
                    judge.answered(&call, said, self.now);
                }
            }
        }
    }

    fn sound(&mut self, seconds: f64, keeper: &mut Numbers) {
        self.play(seconds, |_, name, n| Answer::Total(add(keeper, name, n)));
    }

    fn views(&self) -> Vec<View> {
        self.judges.iter().map(Judge::view).collect()
    }

    fn evidence(&self) -> Vec<Evidence> {
        self.views().iter().map(|v| v.evidence).collect()
    }
}

#[test]
fn before_it_has_heard_anything_it_believes_nothing() {
    assert_eq!(Judge::new(terms(0, 3), 1_000.0).view().share, 0.0);
}

#[test]
fn a_sound_keeper_is_believed_whole_over_many_stretches() {
    let (mut room, mut keeper) = (Room::new(4), Numbers::new());
    room.sound(12.0, &mut keeper);
    for _ in 0..200 {
        room.sound(0.5, &mut keeper);
        assert!(room.views().iter().all(|v| v.share == 1.0 && v.seen == 4), "{:?}", room.views());
    }
}

#[test]
fn its_calls_keep_their_pace() {
    let (mut room, mut keeper, mut calls) = (Room::new(1), Numbers::new(), 0);
    room.play(60.0, |_, name, n| {
        calls += 1;
        Answer::Total(add(&mut keeper, name, n))
    });
    assert!((50..=61).contains(&calls), "{calls} calls in a minute");
}

/// The first fault that each judge names within some seconds.
fn first_faults(room: &mut Room, mut answer: impl FnMut(usize, &str, f64) -> Answer) -> Vec<Evidence> {
    let mut found = vec![Evidence::Sound; room.judges.len()];
    for _ in 0..80 {
        room.play(0.05, &mut answer);
        for (found, now) in found.iter_mut().zip(room.evidence()) {
            if *found == Evidence::Sound {
                *found = now;
            }
        }
    }
    found
}

#[test]
fn silence_lost_counts_old_counts_old_answers_and_doubled_steps_are_told_apart() {
    let well = |seconds: f64| {
        let (mut room, mut keeper) = (Room::new(2), Numbers::new());
        room.sound(11.0 + seconds, &mut keeper);
        assert_eq!(room.evidence(), [Evidence::Sound; 2]);
        (room, keeper)
    };
    for seconds in [0.3, 1.7, 2.6, 3.4, 4.8] {
        let (mut room, _) = well(seconds);
        assert_eq!(first_faults(&mut room, |_, _, _| Answer::None), [Evidence::Down; 2]);

        let (mut room, mut keeper) = well(seconds);
        keeper.clear();
        let lost = first_faults(&mut room, |_, name, n| Answer::Total(add(&mut keeper, name, n)));
        assert_eq!(lost, [Evidence::Lost; 2], "{seconds}");

        let (mut room, mut keeper) = well(seconds);
        let doubled = first_faults(&mut room, |_, name, n| Answer::Total(add(&mut keeper, name, 2.0 * n)));
        assert_eq!(doubled, [Evidence::Doubled; 2], "{seconds}");

        let (mut room, keeper) = well(seconds);
        let old = |_: usize, name: &str, _: f64| Answer::Total(keeper.get(name).copied().unwrap_or_default());
        assert_eq!(first_faults(&mut room, old), [Evidence::Frozen; 2], "{seconds}");
    }
}

#[test]
fn an_older_copy_that_comes_back_is_not_taken_for_counts_begun_anew() {
    let mut terms = terms(0, 1);
    // One canary for a minute.
    (terms.stretch, terms.every) = (60.0, 1.0);
    let (mut room, mut keeper) =
        (Room { now: 1_021.0, judges: vec![Judge::new(terms, 1_021.0)] }, Numbers::new());
    room.sound(10.0, &mut keeper);
    let mut old = keeper.clone();
    room.sound(5.0, &mut keeper);
    assert_eq!(room.evidence(), [Evidence::Sound]);
    let found = first_faults(&mut room, |_, name, n| Answer::Total(add(&mut old, name, n)));
    assert_eq!(found, [Evidence::Behind]);
}

#[test]
fn two_keepers_are_known_by_the_roll_and_each_side_has_its_part() {
    let (mut room, mut left, mut right) = (Room::new(4), Numbers::new(), Numbers::new());
    room.sound(11.0, &mut left);
    room.play(10.5, |n, name, step| {
        Answer::Total(add(if n < 3 { &mut left } else { &mut right }, name, step))
    });
    let shares: Vec<f64> = room.views().iter().map(|v| v.share).collect();
    assert_eq!(shares, [0.75, 0.75, 0.75, 0.25], "{:?}", room.views());
    // Healed: the whole is shared again.
    room.sound(11.0, &mut left);
    assert!(room.views().iter().all(|v| v.share == 1.0), "{:?}", room.views());
}

#[test]
fn a_slow_keeper_or_one_that_turns_calls_away_now_and_then_is_no_split() {
    let (mut room, mut keeper, mut turn) = (Room::new(4), Numbers::new(), 0u32);
    room.sound(11.0, &mut keeper);
    for _ in 0..60 {
        room.play(0.5, |_, name, n| {
            turn += 1;
            match turn % 5 {
                0 => Answer::NotAdded,
                // Added, and told to nobody.
                1 if n > 0.0 && name.starts_with("canary") => {
                    add(&mut keeper, name, n);
                    Answer::None
                }
                _ => Answer::Total(add(&mut keeper, name, n)),
            }
        });
        let views = room.views();
        assert!(views.iter().all(|v| v.evidence == Evidence::Sound && v.share >= 0.75), "{views:?}");
    }
}

#[test]
fn after_a_fault_it_is_believed_only_once_it_was_sound_twice() {
    let (mut room, mut keeper) = (Room::new(1), Numbers::new());
    room.sound(11.0, &mut keeper);
    room.play(5.0, |_, _, _| Answer::None);
    assert_eq!(room.views()[0].share, 0.0);
    let mut sound = 0;
    while room.views()[0].share == 0.0 {
        room.play(0.05, |_, name, n| {
            sound += u32::from(name.starts_with("canary"));
            Answer::Total(add(&mut keeper, name, n))
        });
    }
    assert_eq!(sound, 2);
}

/// A judge alone, with a canary that lasts a minute.
fn alone() -> Judge {
    let mut judge = Judge::new(Terms { stretch: 60.0, ..terms(0, 1) }, 1_021.0);
    let (mut total, mut now) = (0.0, 1_021.0);
    while judge.view().share == 0.0 || total < 9.0 {
        now += 1.0;
        let Some(call) = judge.due(now) else { continue };
        let counts = call.name.starts_with("canary");
        total += if counts { call.add } else { 0.0 };
        judge.answered(&call, Answer::Total(if counts { total } else { 1.0 }), now);
    }
    judge
}

#[test]
fn a_call_that_surely_added_nothing_leaves_no_room_for_a_step_added_twice() {
    let mut judge = alone();
    let call = judge.due(1_050.0).filter(|c| c.add == 1.0).expect("a step of the canary");
    judge.answered(&call, Answer::NotAdded, 1_050.0);
    let call = judge.due(1_051.0).expect("the same step once more");
    // Nine are in, and the step was added twice. Had the call before counted as perhaps added, that would be sound.
    let most = 9.0 + 2.0;
    judge.answered(&call, Answer::Total(most), 1_051.0);
    assert_eq!(judge.view().evidence, Evidence::Doubled);
}

#[test]
fn the_most_that_a_roll_has_shown_counts_also_if_a_later_answer_shows_less() {
    let mut judge = Judge::new(terms(0, 3), 1_000.0);
    // All three are there when this one calls; the answer to its reading comes from an older copy.
    let (mut now, mut canary, mut readings) = (1_000.0, HashMap::new(), 0);
    while now < 1_004.9 {
        now += 0.05;
        let Some(call) = judge.due(now) else { continue };
        let total = match (call.name.starts_with("roll"), call.add > 0.0) {
            (true, true) => 3.0,
            (true, false) => {
                readings += 1;
                2.0
            }
            _ => add(&mut canary, &call.name, call.add),
        };
        judge.answered(&call, Answer::Total(total), now);
    }
    assert_eq!((readings, judge.view().seen), (1, 3));
}

#[test]
fn the_canary_of_a_stretch_is_read_once_more_after_it_so_that_no_loss_falls_between_two() {
    let (mut room, mut keeper) = (Room::new(1), Numbers::new());
    room.sound(9.95, &mut keeper);
    // Lost with the old canary's last step in it, just before the next one begins.
    keeper.clear();
    let mut calls = Vec::new();
    room.play(2.2, |_, name, n| {
        calls.push((name.to_string(), n));
        Answer::Total(add(&mut keeper, name, n))
    });
    let reads: Vec<_> = calls.iter().filter(|(name, n)| name.starts_with("canary") && *n == 0.0).collect();
    assert_eq!(reads.len(), 1, "{calls:?}");
    assert_eq!(room.evidence(), [Evidence::Lost]);
}

#[test]
fn who_was_on_a_roll_long_ago_says_nothing_after_a_pause() {
    for (paused, believed) in [(5.1, 1.0), (60.1, 0.0)] {
        let judge = Judge::new(Terms { every: 0.3, ..terms(0, 1) }, 1_000.0);
        let (mut room, mut keeper) = (Room { now: 1_000.0, judges: vec![judge] }, Numbers::new());
        room.sound(12.0, &mut keeper);
        room.now += paused;
        room.judges[0].woke(room.now);
        // Heard twice by its canary, between the time for calling a roll and that for reading it.
        room.play(0.7, |_, name, n| {
            assert!(name.starts_with("canary"), "{name}");
            Answer::Total(add(&mut keeper, name, n))
        });
        assert_eq!(room.evidence(), [Evidence::Sound]);
        assert_eq!(room.views()[0].share, believed, "{paused} s: {:?}", room.views());
    }
}
