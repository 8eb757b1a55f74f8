//! Model checking of leases in a small configuration: three voters, two holders and two shards, with messages that are lost,
//! late, duplicated and out of order, and a voter that restarts. A model that breaks a rule of the protocol must be caught.

use liftrouter_cluster::lease::{LeaseHolder, LeaseRequest, LeaseSettings, VoteReply, Voter};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::hash::Hash;

const LEASE: LeaseSettings = LeaseSettings { duration: 2, clock_drift: 0.0 };
const VOTERS: usize = 3;

/// The rule of the protocol that is broken, if any.
#[derive(Clone, Copy, Debug, PartialEq)]
enum BrokenRule {
    None,
    /// A voter that restarts grants leases at once.
    NoWaitAfterRestart,
    /// One vote is enough for a lease.
    NoMajority,
    /// A promise lasts for less than the holder's lease.
    ShortPromise,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    LeaseRequest(usize, LeaseRequest),
    VoteReply(usize, usize, VoteReply),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    voters: Vec<Voter>,
    holders: Vec<LeaseHolder>,
    /// Messages sent and not delivered yet: each may be delivered at any time, or never.
    in_flight: BTreeSet<Message>,
    /// How many requests each holder may still send.
    requests_left: [u8; 2],
    restarts: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    AdvanceClock,
    SendRequest(usize),
    Deliver(Message),
    RestartVoter(usize),
}

struct LeaseModel {
    broken: BrokenRule,
    shards: u16,
    end: u64,
    requests_per_holder: [u8; 2],
    restarts: u8,
    /// The voters that each holder's requests reach: two majorities that share one voter or two. The vote of a third voter
    /// would add no further cases.
    reachable: [[usize; 2]; 2],
}

impl LeaseModel {
    fn voter_settings(&self) -> LeaseSettings {
        if self.broken == BrokenRule::ShortPromise {
            LeaseSettings { duration: 0, ..LEASE }
        } else {
            LEASE
        }
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let voter_count = if self.broken == BrokenRule::NoMajority { 1 } else { VOTERS };
        let holder = |n: u64| {
            let mut holder = LeaseHolder::new(n + 1, LEASE, voter_count);
            holder.set_wanted(0..self.shards);
            holder
        };
        vec![State {
            now: 1,
            voters: (0..VOTERS)
                .map(|_| Voter::without_earlier_promises(self.voter_settings(), self.shards))
                .collect(),
            holders: (0..2).map(holder).collect(),
            in_flight: BTreeSet::new(),
            requests_left: self.requests_per_holder,
            restarts: 0,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.now < self.end {
            steps.push(Step::AdvanceClock);
        }
        steps.extend((0..2).filter(|h| state.requests_left[*h] > 0).map(Step::SendRequest));
        steps.extend(state.in_flight.iter().cloned().map(Step::Deliver));
        if state.restarts < self.restarts {
            // Only the voter that both holders share: the promises of any other constrain one holder only.
            steps.push(Step::RestartVoter(1));
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut state = before.clone();
        match step {
            Step::AdvanceClock => state.now += 1,
            Step::SendRequest(h) => {
                state.requests_left[h] -= 1;
                let request = state.holders[h].request(state.now, 1)?;
                state
                    .in_flight
                    .extend(self.reachable[h].iter().map(|v| Message::LeaseRequest(*v, request.clone())));
            }
            Step::Deliver(message) => {
                state.in_flight.remove(&message);
                match message {
                    Message::LeaseRequest(v, request) => {
                        let votes = state.voters[v].vote(state.now, &request);
                        state.in_flight.insert(Message::VoteReply(request.holder as usize - 1, v, votes));
                    }
                    Message::VoteReply(h, v, reply) => {
                        state.holders[h].handle_reply(state.now, v as u8, &reply);
                    }
                }
            }
            Step::RestartVoter(v) => {
                state.restarts += 1;
                state.voters[v] = if self.broken == BrokenRule::NoWaitAfterRestart {
                    Voter::without_earlier_promises(self.voter_settings(), self.shards)
                } else {
                    Voter::new(self.voter_settings(), self.shards, state.now)
                };
            }
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no shard is held twice", |model: &LeaseModel, state: &State| {
                (0..model.shards).all(|shard| {
                    state.holders.iter().filter(|h| h.fencing_token(state.now, shard).is_some()).count() <= 1
                })
            }),
            Property::sometimes("a shard is held", |_, state: &State| {
                state.holders[1].fencing_token(state.now, 0).is_some()
            }),
        ]
    }
}

/// Models in which each holder sends one request and at most one voter restarts, with majorities that share one voter or two.
fn models(broken: BrokenRule) -> Vec<LeaseModel> {
    let model = |requests_per_holder, restarts, reachable| LeaseModel {
        broken,
        shards: 1,
        end: 5,
        requests_per_holder,
        restarts,
        reachable,
    };
    let reachable_voters = [[[0, 1], [1, 2]], [[0, 1], [0, 1]]];
    reachable_voters
        .into_iter()
        .flat_map(|reachable| [model([1, 1], 0, reachable), model([1, 1], 1, reachable)])
        .collect()
}

#[test]
fn no_order_of_messages_lets_two_holders_hold_one_shard() {
    for model in models(BrokenRule::None) {
        let checker = model.checker().spawn_dfs().join();
        assert!(checker.discovery("no shard is held twice").is_none());
        assert!(checker.discovery("a shard is held").is_some());
        assert!(checker.unique_state_count() > 5_000, "{} states", checker.unique_state_count());
        eprintln!("{} states", checker.unique_state_count());
    }
}

#[test]
fn leases_of_two_shards_are_independent() {
    for model in models(BrokenRule::None).into_iter().step_by(2) {
        let checker = LeaseModel { shards: 2, ..model }.checker().spawn_dfs().join();
        assert!(checker.discovery("no shard is held twice").is_none());
        assert!(checker.discovery("a shard is held").is_some());
    }
}

#[test]
fn each_broken_rule_of_the_protocol_is_detected() {
    for broken in [BrokenRule::NoWaitAfterRestart, BrokenRule::NoMajority, BrokenRule::ShortPromise] {
        let found = models(broken).into_iter().any(|model| {
            let checker = model.checker().spawn_dfs().join();
            checker.discovery("no shard is held twice").is_some()
        });
        assert!(found, "{broken:?} is not detected");
    }
}
