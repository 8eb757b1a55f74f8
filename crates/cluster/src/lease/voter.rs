//! The voter's side of a lease.

use super::{FencingToken, HolderId, LeaseRequest, LeaseSettings, ShardLease, ShardVote, Vote, VoteReply};
use crate::{Micros, Shard};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Promise {
    token: FencingToken,
    holder: HolderId,
    expires_at: Micros,
}

/// A voter and its promises.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    promise_duration: Micros,
    /// Nothing is granted before this time, by which all promises made before a restart have expired.
    starting_until: Micros,
    shards: u16,
    promises: BTreeMap<Shard, Promise>,
}

impl Voter {
    /// A voter that starts now and does not know its earlier promises.
    pub fn new(settings: LeaseSettings, shards: u16, now: Micros) -> Voter {
        let promise_duration = settings.promise_duration();
        let starting_until = now + promise_duration;
        Voter { promise_duration, starting_until, shards, promises: BTreeMap::new() }
    }

    /// A voter that has certainly made no promise before, as at the first start of an installation. For models and tests
    /// only.
    pub fn without_earlier_promises(settings: LeaseSettings, shards: u16) -> Voter {
        let promise_duration = settings.promise_duration();
        Voter { promise_duration, starting_until: 0, shards, promises: BTreeMap::new() }
    }

    /// Votes on a request. Shards that do not exist get no vote.
    pub fn vote(&mut self, now: Micros, request: &LeaseRequest) -> VoteReply {
        let mut votes = Vec::with_capacity(request.leases.len());
        for lease in &request.leases {
            if lease.shard >= self.shards {
                continue;
            }
            let vote = self.vote_on(now, request.holder, *lease);
            votes.push(ShardVote { shard: lease.shard, token: lease.token, vote });
        }
        VoteReply { holder: request.holder, requested_at: request.requested_at, votes }
    }

    fn vote_on(&mut self, now: Micros, holder: HolderId, lease: ShardLease) -> Vote {
        if now < self.starting_until {
            return Vote::Starting;
        }
        let promise = self.promises.entry(lease.shard).or_default();
        let renewal = promise.holder == holder && promise.token == lease.token;
        if !renewal && now < promise.expires_at && promise.holder != holder {
            return Vote::HeldByOther { token: promise.token, remaining: promise.expires_at - now };
        }
        if !renewal && lease.token <= promise.token {
            return Vote::TokenTooLow { granted: promise.token };
        }
        let expires_at = now + self.promise_duration;
        *promise = Promise { token: lease.token, holder, expires_at };
        Vote::Granted
    }

    /// Ends the promises for leases that their holder releases; those of other holders or tokens stay.
    pub fn release(&mut self, holder: HolderId, leases: &[ShardLease]) {
        for lease in leases {
            let promise = self.promises.get_mut(&lease.shard);
            let own = promise.filter(|promise| promise.holder == holder && promise.token == lease.token);
            if let Some(promise) = own {
                promise.expires_at = 0;
            }
        }
    }
}
