//! Which of several keepers a limiter calls: the first of an ordered list that works, with failover and return.
//!
//! Limiters decide each for itself, from the same list and by the same terms. What keeps them together is that all see
//! the same keeper fail, and that returns begin with a roll ([`crate::Judge`]), at one moment for all.

use crate::Evidence;
use std::fmt;

/// When a keeper is left, and when a limiter comes back to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Order {
    /// Seconds that a keeper may show a fault other than silence before it is left. Silence is told by calls in a row
    /// without an answer, and needs no further patience.
    pub patience: f64,
    /// Seconds that an earlier keeper must have been sound before it is returned to, ...
    pub settle: f64,
    /// ... which each failover from it doubles, up to this.
    pub most_settle: f64,
    /// Seconds over which limiters spread their leaving, at most.
    pub jitter: f64,
    /// Seconds of a roll: returns begin with one.
    pub stretch: f64,
}

impl Default for Order {
    /// Half a minute before a return, ten at most.
    fn default() -> Self {
        Order { patience: 5.0, settle: 30.0, most_settle: 600.0, jitter: 0.5, stretch: 5.0 }
    }
}

/// Share of a roll, from its beginning, over which returns are spread. They end before the roll's calls do.
const RETURN_PART: f64 = 0.2;

/// The keeper that is called now. Calls carry it: an answer to a call of an earlier term is the earlier keeper's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Post {
    /// Its place in the list, from 0.
    pub keeper: usize,
    /// Goes up with each change, and when the keeper is moved to another address.
    pub term: u64,
}

/// Why another keeper is called.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Why {
    /// The one before shows this.
    Failed(Evidence),
    /// An earlier one has been sound long enough.
    Returned,
}

/// A change of the keeper that is called.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The one before.
    pub from: usize,
    /// The one from now on.
    pub to: usize,
    /// Why.
    pub why: Why,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.why {
            Why::Failed(evidence) => write!(f, "in place of keeper {}, which {evidence}", self.from + 1),
            Why::Returned => write!(f, "back from keeper {}", self.from + 1),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Standing {
    evidence: Evidence,
    /// The latest call was answered.
    answers: bool,
    since: f64,
    settle: f64,
}

/// The succession as one limiter sees it.
#[derive(Clone, Debug)]
pub struct Succession {
    order: Order,
    standings: Vec<Standing>,
    post: Post,
    /// When the present keeper was taken.
    taken: f64,
    /// This limiter's part of every spread, from 0 to 1.
    part: f64,
}

impl Succession {
    /// Begins with the first of so many keepers; `part` from 0 to 1 is drawn by each limiter.
    pub fn new(order: Order, keepers: usize, part: f64, now: f64) -> Self {
        let fresh = Standing { evidence: Evidence::New, answers: true, since: now, settle: order.settle };
        Succession {
            order,
            standings: vec![fresh; keepers.max(1)],
            post: Post::default(),
            taken: now,
            part: part.clamp(0.0, 1.0),
        }
    }

    /// Whom to call now.
    pub fn post(&self) -> Post {
        self.post
    }

    /// What a keeper shows, and whether it answered the latest call.
    pub fn heard(&mut self, keeper: usize, evidence: Evidence, answers: bool, now: f64) {
        let Some(s) = self.standings.get_mut(keeper) else { return };
        s.answers = answers;
        if s.evidence != evidence {
            (s.evidence, s.since) = (evidence, now);
        }
    }

    /// A keeper is to be had at another address: nothing is known of what is there.
    pub fn moved(&mut self, keeper: usize, now: f64) {
        if let Some(s) = self.standings.get_mut(keeper) {
            *s = Standing { evidence: Evidence::New, answers: true, since: now, settle: self.order.settle };
            if keeper == self.post.keeper {
                self.post.term += 1;
            }
        }
    }

    /// When the present keeper is to be left for its fault, if it shows one.
    fn leaves(&self) -> Option<f64> {
        let s = self.standings[self.post.keeper];
        let patience = match s.evidence {
            Evidence::New | Evidence::Woken | Evidence::Sound => return None,
            Evidence::Down => 0.0,
            _ => self.order.patience,
        };
        Some(s.since + patience + self.part * self.order.jitter)
    }

    /// When a keeper that works can be returned to: with the first roll that begins once it has settled.
    fn returns(&self, keeper: usize) -> f64 {
        let s = self.standings[keeper];
        let stretch = self.order.stretch.max(1e-3);
        let rolls = ((s.since + s.settle) / stretch).ceil();
        stretch * (rolls + RETURN_PART * self.part)
    }

    /// Changes the keeper, if that is due.
    pub fn due(&mut self, now: f64) -> Option<Change> {
        let from = self.post.keeper;
        // Where several fall silent at once, those that were sound a moment ago are no refuge.
        let sound = |s: &Standing| s.evidence == Evidence::Sound && s.answers;
        if self.leaves().is_some_and(|at| now >= at) {
            // With none that works there is nothing to gain, and steps to lose.
            let to = self.standings.iter().position(sound)?;
            let left = &mut self.standings[from];
            let evidence = left.evidence;
            let held = now - self.taken >= self.order.most_settle;
            let settle = if held { self.order.settle } else { 2.0 * left.settle };
            left.settle = settle.min(self.order.most_settle.max(self.order.settle));
            return Some(self.change(to, Why::Failed(evidence), now));
        }
        // Only from a keeper that works: with the present one failing, the change above decides.
        let earlier = |&n: &usize| sound(&self.standings[n]) && now >= self.returns(n);
        let to = (0..from).find(earlier)?;
        Some(self.change(to, Why::Returned, now))
    }

    fn change(&mut self, to: usize, why: Why, now: f64) -> Change {
        let from = std::mem::replace(&mut self.post.keeper, to);
        self.post.term += 1;
        self.taken = now;
        Change { from, to, why }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ORDER: Order = Order { patience: 4.0, settle: 10.0, most_settle: 80.0, jitter: 1.0, stretch: 5.0 };

    fn of(keepers: usize, part: f64) -> Succession {
        let mut s = Succession::new(ORDER, keepers, part, 0.0);
        (0..keepers).for_each(|n| s.heard(n, Evidence::Sound, true, 0.0));
        s
    }

    #[test]
    fn a_silent_keeper_is_left_for_the_next_that_works() {
        let mut s = of(3, 0.5);
        s.heard(1, Evidence::Lost, true, 1.0);
        s.heard(0, Evidence::Down, false, 2.0);
        assert_eq!(s.due(2.4), None, "its part of the spread has not come");
        let change = s.due(2.6).expect("a change");
        assert_eq!((change.to, change.why, s.post().term), (2, Why::Failed(Evidence::Down), 1));
        assert_eq!(change.to_string(), "in place of keeper 1, which gives no answers");
        // And once more within a period.
        s.heard(1, Evidence::Sound, true, 2.7);
        s.heard(2, Evidence::Down, false, 2.8);
        assert_eq!(s.due(3.4).map(|c| c.to), Some(1));
    }

    #[test]
    fn other_faults_have_to_last_and_with_no_better_one_nothing_changes() {
        let mut s = of(2, 0.0);
        s.heard(0, Evidence::Frozen, true, 10.0);
        assert_eq!(s.due(13.9), None);
        s.heard(1, Evidence::Sound, false, 12.0);
        assert_eq!(s.due(15.0), None, "the other one has left a call unanswered");
        s.heard(1, Evidence::Sound, true, 16.0);
        assert_eq!(s.due(16.0).map(|c| c.to), Some(1));
    }

    #[test]
    fn a_return_waits_until_the_keeper_has_settled_and_begins_with_a_roll() {
        let mut s = of(2, 0.5);
        s.heard(0, Evidence::Down, false, 1.0);
        assert!(s.due(2.0).is_some());
        // The failover has doubled what it must settle for: 20 s from 3.0 on, then the next roll at 25.0.
        s.heard(0, Evidence::Sound, true, 3.0);
        assert_eq!(s.due(25.4), None);
        let back = s.due(25.5).expect("a return");
        assert_eq!((back.to, back.to_string().as_str()), (0, "back from keeper 2"));
        // All return within a fifth of the roll, before its calls end.
        for part in [0.0, 1.0] {
            let s = Succession { part, ..s.clone() };
            assert!((25.0..=26.0).contains(&s.returns(0)), "{}", s.returns(0));
        }
    }

    #[test]
    fn a_keeper_that_comes_and_goes_is_returned_to_ever_more_rarely() {
        let mut s = of(2, 0.0);
        let (mut changes, mut up) = (0, true);
        for tick in 0..36_000 {
            let now = f64::from(tick) / 10.0;
            // Sound for 12 s, silent for 3, for an hour.
            let sound = now % 15.0 < 12.0;
            if sound != up {
                up = sound;
                s.heard(0, if sound { Evidence::Sound } else { Evidence::Down }, sound, now);
            }
            changes += u32::from(s.due(now).is_some());
        }
        assert_eq!(changes, 1, "it never settles for 20 s");
    }

    #[test]
    fn what_it_must_settle_for_grows_no_further_than_is_stated() {
        let mut s = of(2, 0.0);
        let mut now = 0.0;
        for _ in 0..20 {
            // Left within moments of each return.
            s.heard(0, Evidence::Down, false, now);
            assert!(s.due(now).is_some_and(|c| c.to == 1));
            s.heard(0, Evidence::Sound, true, now);
            now += ORDER.most_settle + ORDER.stretch * 1.3;
            assert!(s.due(now).is_some_and(|c| c.to == 0), "80 s, and the next roll");
        }
    }

    #[test]
    fn whatever_is_heard_it_changes_to_a_keeper_that_works_alone_and_never_away_from_one_to_a_later() {
        let mut rng = fastrand::Rng::with_seed(11);
        for _ in 0..2_000 {
            let keepers = rng.usize(1..5);
            let mut s = of(keepers, rng.f64());
            let mut known = vec![(Evidence::Sound, 0.0); keepers];
            let (mut now, mut term) = (0.0, 0);
            for _ in 0..200 {
                now += 2.0 * rng.f64();
                let n = rng.usize(0..keepers);
                let all =
                    [Evidence::Sound, Evidence::Sound, Evidence::Down, Evidence::Lost, Evidence::Doubled];
                let evidence = all[rng.usize(0..all.len())];
                if known[n].0 != evidence {
                    known[n] = (evidence, now);
                }
                s.heard(n, evidence, evidence != Evidence::Down, now);
                let Some(change) = s.due(now) else { continue };
                assert_eq!(known[change.to].0, Evidence::Sound);
                assert!(s.post() == Post { keeper: change.to, term: term + 1 } && change.from != change.to);
                term += 1;
                if change.why == Why::Returned {
                    assert!(change.to < change.from && now >= known[change.to].1 + ORDER.settle);
                } else {
                    assert_ne!(known[change.from].0, Evidence::Sound);
                }
            }
        }
    }
}
