//! A small configuration in every order there is: three voters, two holders and two duties, whose words are lost, late, doubled
//! and out of order, and a voter that starts anew. Broken fences are found.

use liftrouter_cluster::lease::{Claim, Claims, Terms, Voter, Votes};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::hash::Hash;

const TERMS: Terms = Terms { term: 2, drift: 0.0 };
const VOTERS: usize = 3;

/// What is wrong with the fence, if anything.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Broken {
    Nothing,
    /// A voter that starts anew votes at once.
    VotesAtOnce,
    /// One vote is enough.
    NoMajority,
    /// A voter keeps its word for less than the holder's term.
    ShortWord,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Said {
    Claim(usize, Claim),
    Votes(usize, usize, Votes),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    voters: Vec<Voter>,
    holders: Vec<Claims>,
    /// What was said and not heard yet: it may come at any time, or never.
    said: BTreeSet<Said>,
    /// How often each holder may still claim.
    claims: [u8; 2],
    restarts: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Time,
    Claims(usize),
    Hears(Said),
    Restarts(usize),
}

struct Lease {
    broken: Broken,
    slots: u16,
    until: u64,
    claims: [u8; 2],
    restarts: u8,
    /// The voters that each holder's claims can come to: two majorities, which share one voter or two. A third one's vote
    /// changes nothing that these do not show.
    reach: [[usize; 2]; 2],
}

impl Lease {
    fn voter_terms(&self) -> Terms {
        if self.broken == Broken::ShortWord {
            Terms { term: 0, ..TERMS }
        } else {
            TERMS
        }
    }
}

impl Model for Lease {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let majority_of = if self.broken == Broken::NoMajority { 1 } else { VOTERS };
        let holder = |n: u64| {
            let mut claims = Claims::new(n + 1, TERMS, majority_of);
            claims.want(0..self.slots);
            claims
        };
        vec![State {
            now: 1,
            voters: (0..VOTERS).map(|_| Voter::first(self.voter_terms(), self.slots)).collect(),
            holders: (0..2).map(holder).collect(),
            said: BTreeSet::new(),
            claims: self.claims,
            restarts: 0,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.now < self.until {
            steps.push(Step::Time);
        }
        steps.extend((0..2).filter(|h| state.claims[*h] > 0).map(Step::Claims));
        steps.extend(state.said.iter().cloned().map(Step::Hears));
        if state.restarts < self.restarts {
            // The voter that both share: another's word binds nobody else.
            steps.push(Step::Restarts(1));
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut state = before.clone();
        match step {
            Step::Time => state.now += 1,
            Step::Claims(h) => {
                state.claims[h] -= 1;
                let claim = state.holders[h].claim(state.now, 1)?;
                state.said.extend(self.reach[h].iter().map(|v| Said::Claim(*v, claim.clone())));
            }
            Step::Hears(said) => {
                state.said.remove(&said);
                match said {
                    Said::Claim(v, claim) => {
                        let votes = state.voters[v].vote(state.now, &claim);
                        state.said.insert(Said::Votes(claim.holder as usize - 1, v, votes));
                    }
                    Said::Votes(h, v, votes) => {
                        state.holders[h].voted(state.now, v as u8, &votes);
                    }
                }
            }
            Step::Restarts(v) => {
                state.restarts += 1;
                state.voters[v] = if self.broken == Broken::VotesAtOnce {
                    Voter::first(self.voter_terms(), self.slots)
                } else {
                    Voter::new(self.voter_terms(), self.slots, state.now)
                };
            }
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no duty is held twice", |lease: &Lease, state: &State| {
                (0..lease.slots).all(|slot| {
                    state.holders.iter().filter(|h| h.holds(state.now, slot).is_some()).count() <= 1
                })
            }),
            Property::sometimes("a duty is held", |_, state: &State| {
                state.holders[1].holds(state.now, 0).is_some()
            }),
        ]
    }
}

/// Both claim once, and no voter restarts or one does; over majorities that share one voter, or two.
fn leases(broken: Broken) -> Vec<Lease> {
    let one = |claims, restarts, reach| Lease { broken, slots: 1, until: 5, claims, restarts, reach };
    let reaches = [[[0, 1], [1, 2]], [[0, 1], [0, 1]]];
    reaches.into_iter().flat_map(|reach| [one([1, 1], 0, reach), one([1, 1], 1, reach)]).collect()
}

#[test]
fn in_no_order_of_a_small_configuration_is_a_duty_held_twice() {
    for lease in leases(Broken::Nothing) {
        let checker = lease.checker().spawn_dfs().join();
        assert!(checker.discovery("no duty is held twice").is_none());
        assert!(checker.discovery("a duty is held").is_some());
        assert!(checker.unique_state_count() > 5_000, "{} states", checker.unique_state_count());
        eprintln!("{} states", checker.unique_state_count());
    }
}

#[test]
fn two_duties_do_not_mix() {
    for lease in leases(Broken::Nothing).into_iter().step_by(2) {
        let checker = Lease { slots: 2, ..lease }.checker().spawn_dfs().join();
        assert!(checker.discovery("no duty is held twice").is_none());
        assert!(checker.discovery("a duty is held").is_some());
    }
}

#[test]
fn each_broken_fence_is_found() {
    for broken in [Broken::VotesAtOnce, Broken::NoMajority, Broken::ShortWord] {
        let found = leases(broken).into_iter().any(|lease| {
            let checker = lease.checker().spawn_dfs().join();
            checker.discovery("no duty is held twice").is_some()
        });
        assert!(found, "{broken:?} is not found");
    }
}
