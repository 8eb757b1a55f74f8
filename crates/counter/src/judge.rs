//! Judges a keeper by calls of its own, with nothing but the protocol's one call: add to a name, get the total.
//!
//! Two kinds of name tell what customers' totals cannot. A **canary** is added to by one limiter alone, which so
//! knows what the total must be: fewer steps are lost or old, more are doubled. A **roll** is one name for all
//! limiters and a stretch of time, to which each adds 1: who reads fewer than there are limiters shares a keeper
//! with so many only. `docs/design/keeper.md` lists what neither can tell.

use std::fmt;

/// The longest that the platform's keeper keeps a name.
const LONGEST_LIFE: f64 = 60.0;
/// Parts of a stretch by which a limiter has called the roll, and from which it is read.
const CALLED_BY: f64 = 0.4;
const READ_FROM: f64 = 0.6;

/// Who judges, and how often it calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// Number of this limiter, from 0.
    pub me: u32,
    /// Limiters that share the keeper when all is well.
    pub limiters: u32,
    /// Differs from start to start: a canary is this process's own.
    pub tag: u64,
    /// Seconds between two calls.
    pub every: f64,
    /// Seconds that one roll is for; clocks must agree to a tenth of it.
    pub stretch: f64,
    /// Calls without an answer in a row after which the keeper counts as down.
    pub misses: u32,
    /// Sound answers in a row after which it is believed again.
    pub sure: u32,
}

impl Default for Terms {
    /// A limiter alone; a call a second, rolls of five.
    fn default() -> Self {
        Terms { me: 0, limiters: 1, tag: 0, every: 1.0, stretch: 5.0, misses: 3, sure: 2 }
    }
}

/// What was last seen of a keeper.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Evidence {
    /// Nothing yet.
    New,
    /// Nothing since this process stood still.
    Woken,
    /// Totals are what they must be.
    Sound,
    /// No answers.
    Down,
    /// The canary began anew: names were forgotten.
    Lost,
    /// The canary misses steps that it had: an older copy.
    Behind,
    /// The canary does not move although it is added to.
    Frozen,
    /// The canary has more than was ever added.
    Doubled,
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Evidence::New => "has not been heard",
            Evidence::Woken => "has not been heard since this limiter stood still",
            Evidence::Sound => "is sound",
            Evidence::Down => "gives no answers",
            Evidence::Lost => "has lost its counts",
            Evidence::Behind => "came back with older counts",
            Evidence::Frozen => "answers with old totals",
            Evidence::Doubled => "adds more than it is told",
        })
    }
}

/// What a limiter is to make of the keeper's totals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct View {
    /// Share of the quota that limiters with this view of the counts may divide among them by their demand;
    /// 0 where totals are not to be believed, and each limiter has its fallback.
    pub share: f64,
    /// Why.
    pub evidence: Evidence,
    /// Limiters that share the view, as far as is known.
    pub seen: u32,
}

impl fmt::Display for View {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the keeper {}; limiters on its roll: {}; share {:.2}",
            self.evidence, self.seen, self.share
        )
    }
}

/// A call that the judge wants made. Its answer goes to [`Judge::answered`], or its want of one.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The name.
    pub name: String,
    /// What to add; 0 only reads.
    pub add: f64,
    /// Life of the name in seconds.
    pub lives: f64,
    about: About,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum About {
    /// The canary of a stretch; the least that its total must be.
    Canary { stretch: i64, least: f64 },
    /// The roll of a stretch.
    Roll { stretch: i64 },
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The total.
    Total(f64),
    /// None came: it may have been added, or may yet be.
    None,
    /// Turned away or never made: nothing was added.
    NotAdded,
}

/// The canary of one stretch.
#[derive(Clone, Copy, Debug, Default)]
struct Canary {
    stretch: i64,
    /// Steps that are surely in, and steps that may be.
    least: f64,
    most: f64,
}

/// Judges one keeper from one limiter.
#[derive(Clone, Debug)]
pub struct Judge {
    terms: Terms,
    next: f64,
    canary: Option<Canary>,
    evidence: Evidence,
    sound: u32,
    misses: u32,
    /// The rolls that were called and read last, and the highest total of one.
    called: Option<i64>,
    closed: Option<i64>,
    read: Option<(i64, u32)>,
    seen: Option<u32>,
    /// Whether customers are counted at this keeper: those that do not call it are not on its roll.
    used: bool,
    view: View,
}

impl Judge {
    /// One that has heard nothing: until it has, totals are not believed.
    pub fn new(terms: Terms, now: f64) -> Self {
        // Limiters that start together do not call together.
        let part = f64::from(terms.me % 16) / 16.0;
        let view = View { share: 0.0, evidence: Evidence::New, seen: 0 };
        Judge {
            next: now + terms.every * part,
            terms,
            canary: None,
            evidence: Evidence::New,
            sound: 0,
            misses: 0,
            called: None,
            closed: None,
            read: None,
            seen: None,
            used: true,
            view,
        }
    }

    /// Whether customers are counted at this keeper from now on. One that is not used is watched by its canary alone;
    /// once it is, its totals are believed when a roll has told who else uses it.
    pub fn used(&mut self, used: bool) -> Option<View> {
        if used != self.used {
            (self.used, self.seen, self.read) = (used, None, None);
        }
        self.revise()
    }

    /// The keeper stands elsewhere from now on: nothing is known of it.
    pub fn moved(&mut self, now: f64) -> Option<View> {
        let view = self.view;
        *self = Judge { used: self.used, view, ..Judge::new(self.terms.clone(), now) };
        self.revise()
    }

    /// This process stood still: what it knew is old. Totals are not believed before the keeper has been heard
    /// [`Terms::sure`] times, within which customers that matter have called too.
    pub fn woke(&mut self, now: f64) -> Option<View> {
        (self.evidence, self.sound) = (Evidence::Woken, 0);
        let present = (now / self.terms.stretch).floor() as i64;
        // Who was on a roll long ago says nothing.
        if self.read.is_none_or(|(stretch, _)| present - stretch > 2) {
            self.seen = None;
        }
        self.next = self.next.min(now);
        self.revise()
    }

    /// What to make of totals now.
    pub fn view(&self) -> View {
        self.view
    }

    /// Whether the latest call was answered.
    pub fn answers(&self) -> bool {
        self.misses == 0
    }

    /// When the next call is due.
    pub fn next(&self) -> f64 {
        self.next
    }

    /// The call that is due, if one is. Each is to be answered before the next.
    pub fn due(&mut self, now: f64) -> Option<Call> {
        if now < self.next {
            return None;
        }
        self.next = now + self.terms.every;
        let stretch = (now / self.terms.stretch).floor() as i64;
        let part = (now / self.terms.stretch).fract();
        let lives = (4.0 * self.terms.stretch).min(LONGEST_LIFE);
        let roll = |add| Call { name: format!("roll.{stretch}"), add, lives, about: About::Roll { stretch } };
        if self.used && part < CALLED_BY && self.called != Some(stretch) {
            self.called = Some(stretch);
            return Some(roll(1.0));
        }
        if self.used && part >= READ_FROM && self.called == Some(stretch) && self.closed != Some(stretch) {
            return Some(roll(0.0));
        }
        // The canary of the stretch before is read once more, so that no loss falls between two.
        let canary = self.canary.get_or_insert(Canary { stretch, ..Canary::default() });
        let old = canary.stretch;
        // The first step is 2: a total of 1 later is a name begun anew, never one that did not move.
        let add = match (old == stretch, canary.most > 0.0) {
            (false, _) => 0.0,
            (true, false) => 2.0,
            (true, true) => 1.0,
        };
        let least = canary.least + add;
        canary.most += add;
        let about = About::Canary { stretch: old, least };
        Some(Call { name: self.canary_name(old), add, lives, about })
    }

    fn canary_name(&self, stretch: i64) -> String {
        format!("canary.{}.{:016x}.{stretch}", self.terms.me, self.terms.tag)
    }

    /// Takes in how a call ended. The new view, if it changed.
    pub fn answered(&mut self, call: &Call, answer: Answer, now: f64) -> Option<View> {
        match answer {
            Answer::Total(total) => {
                self.misses = 0;
                match call.about {
                    About::Canary { stretch, least } => {
                        self.canary_says(stretch, least, call.add, total, now)
                    }
                    About::Roll { stretch } => self.roll_says(stretch, call.add, total),
                }
            }
            Answer::None | Answer::NotAdded => {
                if answer == Answer::NotAdded {
                    self.take_back(call);
                }
                self.misses = self.misses.saturating_add(1);
                if self.misses >= self.terms.misses {
                    (self.evidence, self.sound) = (Evidence::Down, 0);
                }
            }
        }
        self.revise()
    }

    /// A call surely added nothing.
    fn take_back(&mut self, call: &Call) {
        match (call.about, &mut self.canary) {
            (About::Canary { stretch, .. }, Some(c)) if c.stretch == stretch => c.most -= call.add,
            // Not called: once more, if there is time.
            (About::Roll { stretch }, _) if call.add > 0.0 && self.called == Some(stretch) => {
                self.called = None
            }
            _ => {}
        }
    }

    fn canary_says(&mut self, stretch: i64, least: f64, add: f64, total: f64, now: f64) {
        let Some(c) = self.canary.as_mut().filter(|c| c.stretch == stretch) else { return };
        let found = if total > c.most {
            Evidence::Doubled
        } else if total >= least {
            Evidence::Sound
        } else if add > 0.0 && (total < add || total == c.least) {
            // The very step that it answers is not in.
            Evidence::Frozen
        } else if total <= add {
            Evidence::Lost
        } else {
            Evidence::Behind
        };
        match found {
            // What it answers says nothing of what it holds: the next answers are judged by the same steps.
            Evidence::Frozen => {}
            Evidence::Sound => c.least = total,
            _ => (c.least, c.most) = (total, total),
        }
        if found == Evidence::Sound {
            self.sound = self.sound.saturating_add(1);
            if self.sound >= self.terms.sure || self.evidence == Evidence::New {
                self.evidence = Evidence::Sound;
            }
        } else {
            (self.evidence, self.sound) = (found, 0);
        }
        // Read to its end: the next call begins the canary of the present stretch.
        let present = (now / self.terms.stretch).floor() as i64;
        if stretch != present {
            self.canary = None;
        }
    }

    fn roll_says(&mut self, stretch: i64, add: f64, total: f64) {
        if !self.used {
            return;
        }
        let seen = total.clamp(0.0, f64::from(self.terms.limiters)) as u32;
        let read = self.read.filter(|(s, _)| *s == stretch).map_or(seen, |(_, n)| n.max(seen));
        self.read = Some((stretch, read));
        if add == 0.0 {
            self.closed = Some(stretch);
        }
        // The answer to its own call tells who was earlier; only if that is all of them is it a reading.
        if add == 0.0 || seen >= self.terms.limiters {
            self.seen = Some(read);
        }
    }

    fn revise(&mut self) -> Option<View> {
        let all = f64::from(self.terms.limiters.max(1));
        let share = match (self.evidence, self.seen) {
            (Evidence::Sound, Some(seen)) => (f64::from(seen.max(1)) / all).min(1.0),
            _ => 0.0,
        };
        let view = View { share, evidence: self.evidence, seen: self.seen.unwrap_or(0) };
        let changed = view != self.view;
        self.view = view;
        changed.then_some(view)
    }
}
