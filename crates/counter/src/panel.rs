//! Several keepers before one limiter: a judge for each, and the succession among them.

use crate::{
    Answer, Bound, Call, Change, Evidence, Fault, Judge, Order, Post, Quota, Succession, Terms, Timing, View,
};
use std::fmt;

/// Which keeper a limiter counts at from now on, and what it makes of the totals there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    /// The keeper.
    pub post: Post,
    /// How many there are.
    pub keepers: usize,
    /// What to make of its totals.
    pub view: View,
    /// What it took the place of, where this changed.
    pub change: Option<Change>,
}

impl fmt::Display for Belief {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.view)?;
        if self.keepers > 1 {
            write!(f, "; keeper {} of {}", self.post.keeper + 1, self.keepers)?;
        }
        self.change.map_or(Ok(()), |change| write!(f, " {change}"))
    }
}

impl Belief {
    /// The fault that a limiter with this belief has to reckon with: as long as it lasts where it is known, and
    /// until the judge would have told it where it is not.
    pub fn fault(&self, terms: &Terms) -> Fault {
        let rolls = 2.0 * terms.stretch;
        match self.view.evidence {
            // Sound, and nobody knows yet who counts there: the fallback.
            Evidence::Sound if self.view.share == 0.0 => Fault::Silent { seconds: rolls },
            Evidence::Sound if self.view.seen < terms.limiters => {
                Fault::Split { views: terms.limiters.div_ceil(self.view.seen.max(1)), seconds: rolls }
            }
            Evidence::Sound => Fault::None,
            Evidence::New | Evidence::Woken | Evidence::Down => Fault::Silent { seconds: rolls },
            Evidence::Lost => Fault::Lost,
            Evidence::Behind | Evidence::Frozen => {
                Fault::Stale { seconds: f64::from(terms.sure) * terms.every }
            }
            Evidence::Doubled => Fault::Doubled { seconds: rolls },
        }
    }

    /// How far a quota can be off as things stand.
    pub fn bound(&self, quota: &Quota, timing: &Timing, terms: &Terms) -> Bound {
        Bound::of(quota, timing, self.fault(terms))
    }
}

/// The panel of one limiter.
#[derive(Clone, Debug)]
pub struct Panel {
    judges: Vec<Judge>,
    succession: Succession,
    keepers: usize,
}

impl Panel {
    /// Before so many keepers, of which the first is called. `part` from 0 to 1 is drawn by each limiter.
    pub fn new(terms: &Terms, order: Order, keepers: usize, part: f64, now: f64) -> Self {
        let keepers = keepers.max(1);
        let order = Order { stretch: terms.stretch, ..order };
        let mut judges: Vec<_> = (0..keepers).map(|_| Judge::new(terms.clone(), now)).collect();
        for judge in &mut judges[1..] {
            judge.used(false);
        }
        Panel { judges, succession: Succession::new(order, keepers, part, now), keepers }
    }

    /// What is believed now.
    pub fn belief(&self) -> Belief {
        let post = self.succession.post();
        Belief { post, keepers: self.keepers, view: self.judges[post.keeper].view(), change: None }
    }

    /// When the next call to a keeper is due.
    pub fn next(&self, keeper: usize) -> f64 {
        self.judges[keeper].next()
    }

    /// The call to a keeper that is due, if one is. Each is to be answered before the next to the same.
    pub fn due(&mut self, keeper: usize, now: f64) -> Option<Call> {
        self.judges[keeper].due(now)
    }

    /// Takes in how a call to a keeper ended. The new belief, if it changed.
    pub fn answered(&mut self, keeper: usize, call: &Call, answer: Answer, now: f64) -> Option<Belief> {
        let before = self.belief();
        self.judges[keeper].answered(call, answer, now);
        let judge = &self.judges[keeper];
        self.succession.heard(keeper, judge.view().evidence, judge.answers(), now);
        let change = self.succession.due(now);
        if let Some(change) = change {
            self.judges[change.from].used(false);
            self.judges[change.to].used(true);
        }
        self.since(before, change)
    }

    /// A keeper stands elsewhere from now on.
    pub fn moved(&mut self, keeper: usize, now: f64) -> Option<Belief> {
        let before = self.belief();
        self.judges[keeper].moved(now);
        self.succession.moved(keeper, now);
        self.since(before, None)
    }

    /// The process stood still.
    pub fn woke(&mut self, now: f64) -> Option<Belief> {
        let before = self.belief();
        for (n, judge) in self.judges.iter_mut().enumerate() {
            judge.woke(now);
            self.succession.heard(n, judge.view().evidence, judge.answers(), now);
        }
        self.since(before, None)
    }

    fn since(&self, before: Belief, change: Option<Change>) -> Option<Belief> {
        let belief = Belief { change, ..self.belief() };
        (belief != before).then_some(belief)
    }
}
