//! Panels of several limiters before keepers that are written out here: who is believed, when, and in what words.

use liftrouter_counter::{Answer, Belief, Evidence, Fault, Order, Panel, Terms};
use std::collections::HashMap;

/// A keeper's numbers; none while it is silent.
type Keeper = Option<HashMap<String, f64>>;

const LIMITERS: u32 = 3;

fn terms(me: u32) -> Terms {
    Terms { me, limiters: LIMITERS, tag: 0xabc + u64::from(me), ..Terms::default() }
}

struct Site {
    now: f64,
    panels: Vec<Panel>,
    keepers: Vec<Keeper>,
    /// Each change of belief, with its time and limiter.
    told: Vec<(f64, usize, Belief)>,
}

impl Site {
    fn new(keepers: usize) -> Site {
        let order = Order { settle: 10.0, jitter: 1.0, ..Order::default() };
        let part = |n: u32| f64::from(n) / f64::from(LIMITERS);
        let panels = (0..LIMITERS).map(|n| Panel::new(&terms(n), order, keepers, part(n), 1_000.0));
        let keepers = vec![Some(HashMap::new()); keepers];
        Site { now: 1_000.0, panels: panels.collect(), keepers, told: Vec::new() }
    }

    fn play(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += 0.05;
            for (n, panel) in self.panels.iter_mut().enumerate() {
                for (k, keeper) in self.keepers.iter_mut().enumerate() {
                    let Some(call) = panel.due(k, self.now) else { continue };
                    let answer = match keeper {
                        None => Answer::None,
                        Some(numbers) => {
                            let number = numbers.entry(call.name.clone()).or_default();
                            *number += call.add;
                            Answer::Total(*number)
                        }
                    };
                    if let Some(belief) = panel.answered(k, &call, answer, self.now) {
                        self.told.push((self.now, n, belief));
                    }
                }
            }
        }
    }

    fn posts(&self) -> Vec<usize> {
        self.panels.iter().map(|p| p.belief().post.keeper).collect()
    }

    fn shares(&self) -> Vec<f64> {
        self.panels.iter().map(|p| p.belief().view.share).collect()
    }
}

#[test]
fn a_standby_is_watched_by_a_canary_and_has_no_roll() {
    let mut site = Site::new(2);
    site.play(30.0);
    let named = |k: usize, what: &str| {
        site.keepers[k].iter().flat_map(|numbers| numbers.keys()).filter(|n| n.starts_with(what)).count()
    };
    assert!(named(0, "roll") > 0 && named(0, "canary") > 0 && named(1, "canary") > 0);
    assert_eq!(named(1, "roll"), 0, "nobody counts there");
    assert_eq!((site.posts(), site.shares()), (vec![0; 3], vec![1.0; 3]));
}

#[test]
fn after_a_failover_the_totals_of_the_standby_count_once_all_are_on_its_roll() {
    let mut site = Site::new(2);
    site.play(20.0);
    site.keepers[0] = None;
    site.told.clear();
    site.play(20.0);
    assert_eq!((site.posts(), site.shares()), (vec![1; 3], vec![1.0; 3]));
    for limiter in 0..3 {
        let told: Vec<_> = site.told.iter().filter(|(_, n, _)| *n == limiter).map(|(_, _, b)| *b).collect();
        let change = told.iter().position(|b| b.change.is_some()).expect("a change");
        let text = told[change].to_string();
        assert!(text.ends_with("keeper 2 of 2 in place of keeper 1, which gives no answers"), "{text}");
        assert_eq!(told[change].view.share, 0.0, "not believed before its roll: {text}");
        // Never the whole while some are still elsewhere: the shares of those that have changed add up to 1 at most.
        assert!(told[change..].iter().all(|b| b.post.keeper == 1));
    }
}

#[test]
fn all_return_within_a_fifth_of_a_roll_and_nobody_divides_the_whole_before_all_have() {
    let mut site = Site::new(2);
    site.play(20.0);
    site.keepers[0] = None;
    site.play(10.0);
    site.keepers[0] = Some(HashMap::new());
    site.told.clear();
    site.play(60.0);
    assert_eq!((site.posts(), site.shares()), (vec![0; 3], vec![1.0; 3]));
    let back: Vec<f64> =
        site.told.iter().filter(|(_, _, b)| b.change.is_some()).map(|(at, ..)| *at).collect();
    let spread =
        back.iter().copied().fold(f64::MIN, f64::max) - back.iter().copied().fold(f64::MAX, f64::min);
    assert_eq!(back.len(), 3);
    // A fifth of a roll, and the pause until a limiter's next call.
    assert!(spread <= 1.0 + terms(0).every + 0.05, "{back:?}");
    assert!((0.0..=2.1).contains(&(back[0] % 5.0)), "with the beginning of a roll: {back:?}");
    // Nobody divides the whole there before all have come.
    let last = back.iter().copied().fold(f64::MIN, f64::max);
    let whole = |b: &Belief| b.view.share == 1.0 && b.post.keeper == 0;
    let early = site.told.iter().filter(|(at, _, b)| whole(b) && *at < last);
    assert_eq!(early.count(), 0);
}

#[test]
fn with_no_keeper_that_works_all_stay_and_have_the_fallback() {
    let mut site = Site::new(3);
    site.play(20.0);
    site.keepers.iter_mut().for_each(|k| *k = None);
    site.play(30.0);
    assert_eq!((site.posts(), site.shares()), (vec![0; 3], vec![0.0; 3]));
}

#[test]
fn a_limiter_that_stood_still_believes_nothing_until_it_has_heard_twice() {
    let mut site = Site::new(1);
    site.play(20.0);
    let now = site.now;
    let woken = site.panels[0].woke(now).expect("a change");
    assert_eq!((woken.view.share, woken.view.evidence), (0.0, Evidence::Woken));
    assert!(woken.to_string().starts_with("the keeper has not been heard since this limiter stood still"));
    site.play(0.1);
    assert_eq!(site.shares()[0], 0.0, "once heard is not enough: customers' totals are as old as before");
    site.play(4.0);
    assert_eq!(site.shares(), [1.0; 3], "who was on the roll has not changed meanwhile");
    // After a long pause who is on the roll is to be learned anew.
    site.now += 60.0;
    let now = site.now;
    site.panels[0].woke(now);
    site.play(1.9);
    assert_eq!(site.shares()[0], 0.0);
    site.play(10.0);
    assert_eq!(site.shares(), [1.0; 3]);
}

#[test]
fn a_keeper_that_was_moved_is_another_one_of_which_nothing_is_known() {
    let mut site = Site::new(1);
    site.play(20.0);
    let now = site.now;
    let before = site.panels[0].belief();
    let moved = site.panels[0].moved(0, now).expect("a change");
    assert_eq!((moved.view.share, moved.view.evidence), (0.0, Evidence::New));
    assert_eq!(moved.post.term, before.post.term + 1, "answers of the old one are told apart");
    // The new one has none of the counts, which is no loss.
    site.keepers[0] = Some(HashMap::new());
    site.play(3.0);
    assert_eq!(site.panels[0].belief().view.evidence, Evidence::Sound);
}

#[test]
fn the_fault_to_reckon_with_is_that_of_the_evidence() {
    let mut site = Site::new(1);
    let reckoned = |site: &Site| site.panels[0].belief().fault(&terms(0));
    assert_eq!(reckoned(&site), Fault::Silent { seconds: 10.0 });
    site.play(20.0);
    assert_eq!(reckoned(&site), Fault::None);
    site.keepers[0] = Some(HashMap::new());
    let end = site.now + 5.0;
    while reckoned(&site) != Fault::Lost {
        assert!(site.now < end, "the loss is not seen");
        site.play(0.05);
    }
    // One of three is cut off: the two that are left reckon with a second view.
    site.play(20.0);
    site.panels.truncate(2);
    site.play(15.0);
    assert_eq!(reckoned(&site), Fault::Split { views: 2, seconds: 10.0 });
    assert!((site.shares()[0] - 2.0 / 3.0).abs() < 1e-9);
}
