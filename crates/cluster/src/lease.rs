//! Leases of slots by a majority of voters.
//!
//! A voter gives a slot to one holder at a time and keeps its word until a time has passed by its own clock; the holder counts
//! the same time from the moment at which it asked, by its own clock, and less of it: so it has stopped before any voter may
//! give the slot to another. Clocks need not agree and may run apart by [`Terms::drift`]. Two majorities share a voter, so no
//! two holders have one slot at once, whatever the network does. Each new holder has a higher token; who acts on what a holder
//! says refuses a lower one than it has seen.
//!
//! A voter that starts has forgotten what it gave out, so it votes for nobody until its word must have run out.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How long a holder may have a slot after it asked for it, and how far apart clocks may run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// By the holder's clock.
    pub term: Micros,
    /// The part by which a clock may run too fast or too slow, against true time. Under 0.5.
    pub drift: f64,
}

impl Terms {
    /// How long a voter keeps its word, by its own clock: over the holder's term by as much as two clocks can run apart.
    pub fn word(&self) -> Micros {
        let drift = self.drift.clamp(0.0, 0.5);
        (self.term as f64 * (1.0 + drift) / (1.0 - drift)).ceil() as Micros + 1
    }
}

/// Who holds: an id drawn at each start of a process.
pub type Holder = u64;

/// What a holder asks a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Claim {
    /// Who asks.
    pub holder: Holder,
    /// When it asked, by its clock: comes back with the answer.
    pub asked: Micros,
    /// Slots, each with the token that it would be held by.
    pub slots: Vec<(u16, u64)>,
}

/// What a voter says of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Vote {
    /// It is the holder's for the term.
    Yes,
    /// It is another's, whose token is this; ask again then.
    Held {
        /// The other's token.
        token: u64,
        /// Microseconds for which the voter's word still holds.
        left: Micros,
    },
    /// A token as high as this has been given out.
    Higher {
        /// It must be over this.
        token: u64,
    },
    /// The voter has just started and votes for nobody.
    Waiting,
}

/// What a voter answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Votes {
    /// Who asked.
    pub holder: Holder,
    /// When.
    pub asked: Micros,
    /// What is said of each slot, for the token that was asked with.
    pub slots: Vec<(u16, u64, Vote)>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Given {
    token: u64,
    holder: Holder,
    until: Micros,
}

/// One voter's word.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    word: Micros,
    quiet_until: Micros,
    slots: u16,
    given: BTreeMap<u16, Given>,
}

impl Voter {
    /// One that starts now and knows nothing of what it gave out before; for so many slots.
    pub fn new(terms: Terms, slots: u16, now: Micros) -> Voter {
        Voter { word: terms.word(), quiet_until: now + terms.word(), slots, given: BTreeMap::new() }
    }

    /// A voter that surely gave nothing out before: the first start of a whole installation, in models alone.
    pub fn first(terms: Terms, slots: u16) -> Voter {
        Voter { word: terms.word(), quiet_until: 0, slots, given: BTreeMap::new() }
    }

    /// Votes on a claim. Slots that there are not get no vote.
    pub fn vote(&mut self, now: Micros, claim: &Claim) -> Votes {
        let known = claim.slots.iter().filter(|(slot, _)| *slot < self.slots).copied().collect::<Vec<_>>();
        let slots =
            known.into_iter().map(|(slot, token)| (slot, token, self.one(now, claim.holder, slot, token)));
        Votes { holder: claim.holder, asked: claim.asked, slots: slots.collect() }
    }

    fn one(&mut self, now: Micros, holder: Holder, slot: u16, token: u64) -> Vote {
        if now < self.quiet_until {
            return Vote::Waiting;
        }
        let given = self.given.entry(slot).or_default();
        let own = given.holder == holder && given.token == token;
        if !own && now < given.until && given.holder != holder {
            return Vote::Held { token: given.token, left: given.until - now };
        }
        if !own && token <= given.token {
            return Vote::Higher { token: given.token };
        }
        *given = Given { token, holder, until: now + self.word };
        Vote::Yes
    }

    /// A holder gives slots back.
    pub fn released(&mut self, holder: Holder, slots: &[(u16, u64)]) {
        for (slot, token) in slots {
            if let Some(given) = self.given.get_mut(slot).filter(|g| g.holder == holder && g.token == *token)
            {
                given.until = 0;
            }
        }
    }
}

/// A slot that is wanted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Wanted {
    token: u64,
    /// When the token was made: one that is older than a term is not begun with, since voters that have forgotten a later one
    /// keep still for as long.
    made: Micros,
    /// By voter: until when its vote is good, by this holder's clock.
    votes: BTreeMap<u8, Micros>,
    /// It was held when last looked at.
    held: bool,
    /// Another has it: no use in asking before.
    not_before: Micros,
}

/// What a holder learns of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// It is held from now on, by this token.
    Held(u16, u64),
    /// It is held no more.
    Lost(u16, u64),
}

/// One holder's claims.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claims {
    holder: Holder,
    term: Micros,
    majority: usize,
    wanted: BTreeMap<u16, Wanted>,
}

impl Claims {
    /// Those of a holder, before so many voters.
    pub fn new(holder: Holder, terms: Terms, voters: usize) -> Claims {
        Claims { holder, term: terms.term, majority: voters / 2 + 1, wanted: BTreeMap::new() }
    }

    /// Wants these slots from now on and no others. Gives those that are given back.
    pub fn want(&mut self, slots: impl Iterator<Item = u16>) -> Vec<(u16, u64)> {
        let mut before = std::mem::take(&mut self.wanted);
        for slot in slots {
            let kept = before.remove(&slot).unwrap_or_default();
            self.wanted.insert(slot, kept);
        }
        let given_back = before.into_iter().filter(|(_, w)| !w.votes.is_empty());
        given_back.map(|(slot, w)| (slot, w.token)).collect()
    }

    /// What is asked of every voter now. `stamp` is what new tokens are not under: the wall clock's time, which puts them in
    /// order where every voter has forgotten the last.
    pub fn claim(&mut self, now: Micros, stamp: u64) -> Option<Claim> {
        let (term, majority) = (self.term, self.majority);
        for wanted in self.wanted.values_mut() {
            let good = wanted.votes.values().filter(|until| **until > now).count();
            if good < majority && (wanted.token == 0 || now >= wanted.made + term) {
                (wanted.token, wanted.made) = (stamp.max(wanted.token), now);
                wanted.votes.clear();
            }
        }
        let due = self.wanted.iter().filter(|(_, w)| now >= w.not_before);
        let slots: Vec<(u16, u64)> = due.map(|(slot, w)| (*slot, w.token)).collect();
        (!slots.is_empty()).then_some(Claim { holder: self.holder, asked: now, slots })
    }

    /// Takes in a voter's answer. True where it pays to ask again at once, with a higher token.
    pub fn voted(&mut self, now: Micros, voter: u8, votes: &Votes) -> bool {
        if votes.holder != self.holder || votes.asked > now {
            return false;
        }
        let until = votes.asked + self.term;
        let mut again = false;
        for (slot, token, vote) in &votes.slots {
            let Some(wanted) = self.wanted.get_mut(slot).filter(|w| w.token == *token) else { continue };
            match vote {
                // Not held, and its token too old to begin with.
                Vote::Yes if now >= wanted.made + self.term && wanted.votes.values().all(|u| *u <= now) => {}
                Vote::Yes => {
                    let known = wanted.votes.entry(voter).or_insert(until);
                    *known = until.max(*known);
                }
                // Held by one: a token in use is not changed while a majority keeps to it.
                Vote::Higher { token }
                    if wanted.votes.values().filter(|u| **u > now).count() < self.majority =>
                {
                    (wanted.token, wanted.made, again) = (token + 1, now, true);
                    wanted.votes.clear();
                }
                Vote::Held { left, .. } => {
                    // The others may say otherwise; the voter's clock may be off, so no later than a term.
                    wanted.not_before = now + (*left).min(self.term) / 2;
                }
                Vote::Higher { .. } | Vote::Waiting => {}
            }
            if wanted.votes.values().filter(|u| **u > now).count() >= self.majority {
                wanted.not_before = 0;
            }
        }
        again
    }

    /// Until when a slot is held by the votes there are: the earliest moment at which no majority of them is good.
    fn until(&self, wanted: &Wanted) -> Micros {
        let mut all: Vec<Micros> = wanted.votes.values().copied().collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(self.majority - 1).copied().unwrap_or(0)
    }

    /// The token by which a slot is held now; none where it is not. To be asked before each thing that is done by it.
    pub fn holds(&self, now: Micros, slot: u16) -> Option<u64> {
        let wanted = self.wanted.get(&slot)?;
        (now < self.until(wanted)).then_some(wanted.token)
    }

    /// What has changed since it was last asked.
    pub fn changes(&mut self, now: Micros) -> Vec<Change> {
        let mut changes = Vec::new();
        let held: Vec<(u16, u64, bool)> =
            self.wanted.iter().map(|(slot, w)| (*slot, w.token, now < self.until(w))).collect();
        for (slot, token, now_held) in held {
            let Some(wanted) = self.wanted.get_mut(&slot) else { continue };
            if std::mem::replace(&mut wanted.held, now_held) != now_held {
                changes.push(if now_held { Change::Held(slot, token) } else { Change::Lost(slot, token) });
            }
        }
        changes
    }

    /// When the first slot that is held is held no more, if nothing is heard; none where none is.
    pub fn ends_at(&self, now: Micros) -> Option<Micros> {
        self.wanted.values().map(|w| self.until(w)).filter(|until| *until > now).min()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TERMS: Terms = Terms { term: 1_000_000, drift: 0.01 };

    fn ask(claims: &mut Claims, voters: &mut [(u8, &mut Voter)], now: Micros) -> bool {
        let Some(claim) = claims.claim(now, 5) else { return false };
        let mut again = false;
        for (n, voter) in voters {
            let votes = voter.vote(now, &claim);
            again |= claims.voted(now, *n, &votes);
        }
        again
    }

    #[test]
    fn a_holder_stops_by_its_own_clock_before_a_voter_s_word_runs_out() {
        let mut voters: Vec<Voter> = (0..3).map(|_| Voter::first(TERMS, 4)).collect();
        let [a, b, c] = &mut voters[..] else { panic!() };
        let (mut one, mut two) = (Claims::new(1, TERMS, 3), Claims::new(2, TERMS, 3));
        assert!(one.want([0].into_iter()).is_empty() && two.want([0].into_iter()).is_empty());
        ask(&mut one, &mut [(0, a), (1, b)], 100);
        assert_eq!(
            (one.holds(100, 0), one.holds(1_000_099, 0), one.holds(1_000_100, 0)),
            (Some(5), Some(5), None)
        );
        // One vote of three is no majority, and the other two keep their word beyond the holder's term.
        for at in [200, 1_000_100, 1_000_100 + 20_000] {
            ask(&mut two, &mut [(0, a), (1, b), (2, c)], at);
            assert_eq!(two.holds(at, 0), None, "at {at}");
        }
        let word = 100 + TERMS.word() + 400_000;
        assert!(ask(&mut two, &mut [(0, a), (1, b), (2, c)], word), "a higher token is asked for");
        ask(&mut two, &mut [(0, a), (1, b), (2, c)], word);
        assert_eq!(two.holds(word, 0), Some(6), "the token of the next holder is higher");
    }

    #[test]
    fn a_voter_that_starts_keeps_still_until_its_forgotten_word_has_run_out() {
        let mut voter = Voter::new(TERMS, 1, 500);
        let claim = Claim { holder: 1, asked: 0, slots: vec![(0, 1), (9, 1)] };
        assert_eq!(voter.vote(600, &claim).slots, [(0, 1, Vote::Waiting)]);
        assert_eq!(voter.vote(500 + TERMS.word(), &claim).slots, [(0, 1, Vote::Yes)]);
    }

    #[test]
    fn what_is_given_back_is_free_at_once_and_only_by_its_holder() {
        let mut voter = Voter::first(TERMS, 1);
        let claim = |holder, token| Claim { holder, asked: 0, slots: vec![(0, token)] };
        assert_eq!(voter.vote(0, &claim(1, 3)).slots[0].2, Vote::Yes);
        voter.released(2, &[(0, 3)]);
        voter.released(1, &[(0, 2)]);
        assert!(matches!(voter.vote(1, &claim(2, 4)).slots[0].2, Vote::Held { token: 3, .. }));
        voter.released(1, &[(0, 3)]);
        assert_eq!(voter.vote(1, &claim(2, 3)).slots[0].2, Vote::Higher { token: 3 });
        assert_eq!(voter.vote(1, &claim(2, 4)).slots[0].2, Vote::Yes);
    }

    #[test]
    fn an_answer_to_an_old_question_counts_from_when_it_was_asked() {
        let mut claims = Claims::new(1, TERMS, 1);
        claims.want([0].into_iter());
        claims.claim(100, 1);
        let late = Votes { holder: 1, asked: 100, slots: vec![(0, 1, Vote::Yes)] };
        claims.voted(900_000, 0, &late);
        assert_eq!((claims.holds(1_000_099, 0), claims.holds(1_000_100, 0)), (Some(1), None));
        // One that was asked by another instance, or in the future, is none.
        claims.voted(900_000, 0, &Votes { holder: 2, asked: 899_000, ..late.clone() });
        claims.voted(900_000, 0, &Votes { asked: 950_000, ..late });
        assert_eq!(claims.holds(1_000_100, 0), None);
    }
}
