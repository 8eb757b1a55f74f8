//! The holder's side of a lease.

use super::{FencingToken, HolderId, LeaseRequest, LeaseSettings, ShardLease, ShardVote, Vote, VoteReply};
use crate::{Micros, Shard};
use std::collections::BTreeMap;

/// The index of a voter in the list of voters.
type VoterIndex = u8;

/// The state of a shard that this holder wants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct WantedShard {
    token: FencingToken,
    /// A lease never starts with a token older than the lease duration. A voter that has restarted, and so has forgotten a
    /// later token, grants nothing for at least that long.
    token_created_at: Micros,
    /// When the grant of each voter expires, by this holder's clock.
    grants: BTreeMap<VoterIndex, Micros>,
    /// Whether the shard was held at the last call of [`LeaseHolder::take_changes`].
    reported_held: bool,
    /// The shard is not requested earlier, because another holder has it.
    next_request_at: Micros,
}

impl WantedShard {
    fn valid_grants(&self, now: Micros) -> usize {
        self.grants.values().filter(|expires_at| **expires_at > now).count()
    }

    fn replace_token(&mut self, now: Micros, token: FencingToken) {
        self.token = token;
        self.token_created_at = now;
        self.grants.clear();
    }

    /// When the lease expires by the grants so far: the earliest moment without a majority of valid ones.
    fn expires_at(&self, majority: usize) -> Micros {
        let mut expiries: Vec<Micros> = self.grants.values().copied().collect();
        expiries.sort_unstable_by(|a, b| b.cmp(a));
        expiries.get(majority - 1).copied().unwrap_or(0)
    }
}

/// A lease acquired or lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseChange {
    /// The lease is now held.
    Acquired(ShardLease),
    /// The lease is no longer held.
    Lost(ShardLease),
}

/// The leases of one holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    id: HolderId,
    lease_duration: Micros,
    majority: usize,
    wanted: BTreeMap<Shard, WantedShard>,
}

impl LeaseHolder {
    /// A holder without leases, in an installation with this number of voters.
    pub fn new(id: HolderId, settings: LeaseSettings, voters: usize) -> LeaseHolder {
        let majority = voters / 2 + 1;
        LeaseHolder { id, lease_duration: settings.duration, majority, wanted: BTreeMap::new() }
    }

    /// Sets the shards to hold. Returns the leases to release: those of all other shards that a voter has granted.
    pub fn set_wanted(&mut self, shards: impl Iterator<Item = Shard>) -> Vec<ShardLease> {
        let mut previous = std::mem::take(&mut self.wanted);
        for shard in shards {
            let wanted = previous.remove(&shard).unwrap_or_default();
            self.wanted.insert(shard, wanted);
        }
        let released = previous.into_iter().filter(|(_, wanted)| !wanted.grants.is_empty());
        released.map(|(shard, wanted)| ShardLease { shard, token: wanted.token }).collect()
    }

    /// The request to send to every voter now; `None` if no shard is due. New tokens are at least `min_token`, which comes
    /// from the wall clock: tokens increase even if every voter has restarted and forgotten the last one.
    pub fn request(&mut self, now: Micros, min_token: FencingToken) -> Option<LeaseRequest> {
        for wanted in self.wanted.values_mut() {
            let held = wanted.valid_grants(now) >= self.majority;
            let outdated = wanted.token == 0 || now >= wanted.token_created_at + self.lease_duration;
            if !held && outdated {
                wanted.replace_token(now, min_token.max(wanted.token));
            }
        }
        let due = self.wanted.iter().filter(|(_, wanted)| now >= wanted.next_request_at);
        let leases: Vec<ShardLease> =
            due.map(|(shard, wanted)| ShardLease { shard: *shard, token: wanted.token }).collect();
        (!leases.is_empty()).then_some(LeaseRequest { holder: self.id, requested_at: now, leases })
    }

    /// Handles the reply of a voter. Returns true if a request with a higher token should be sent at once.
    pub fn handle_reply(&mut self, now: Micros, voter: VoterIndex, reply: &VoteReply) -> bool {
        if reply.holder != self.id || reply.requested_at > now {
            return false;
        }
        let grant_expires_at = reply.requested_at + self.lease_duration;
        let mut retry = false;
        for vote in &reply.votes {
            retry |= self.handle_vote(now, voter, vote, grant_expires_at);
        }
        retry
    }

    fn handle_vote(
        &mut self,
        now: Micros,
        voter: VoterIndex,
        vote: &ShardVote,
        grant_expires_at: Micros,
    ) -> bool {
        let wanted = self.wanted.get_mut(&vote.shard).filter(|wanted| wanted.token == vote.token);
        let Some(wanted) = wanted else { return false };
        let mut retry = false;
        match vote.vote {
            Vote::Granted => {
                let outdated = now >= wanted.token_created_at + self.lease_duration;
                // An outdated token can extend a lease but not start one.
                if !outdated || wanted.valid_grants(now) > 0 {
                    let expires_at = wanted.grants.entry(voter).or_insert(grant_expires_at);
                    *expires_at = grant_expires_at.max(*expires_at);
                }
            }
            // A token in use is not replaced while a majority grants it.
            Vote::TokenTooLow { granted } if wanted.valid_grants(now) < self.majority => {
                wanted.replace_token(now, granted + 1);
                retry = true;
            }
            // Other voters may decide differently, and this voter's clock may be wrong: wait at most half a lease duration.
            Vote::HeldByOther { remaining, .. } => {
                wanted.next_request_at = now + remaining.min(self.lease_duration) / 2;
            }
            Vote::TokenTooLow { .. } | Vote::Starting => {}
        }
        if wanted.valid_grants(now) >= self.majority {
            wanted.next_request_at = 0;
        }
        retry
    }

    /// The fencing token of a shard that is held now; `None` if it is not held. Check this before each action on the shard.
    pub fn fencing_token(&self, now: Micros, shard: Shard) -> Option<FencingToken> {
        let wanted = self.wanted.get(&shard)?;
        (now < wanted.expires_at(self.majority)).then_some(wanted.token)
    }

    /// The changes since the last call.
    pub fn take_changes(&mut self, now: Micros) -> Vec<LeaseChange> {
        let mut changes = Vec::new();
        for (shard, wanted) in &mut self.wanted {
            let held = now < wanted.expires_at(self.majority);
            if std::mem::replace(&mut wanted.reported_held, held) == held {
                continue;
            }
            let lease = ShardLease { shard: *shard, token: wanted.token };
            changes.push(if held { LeaseChange::Acquired(lease) } else { LeaseChange::Lost(lease) });
        }
        changes
    }

    /// When the first held lease expires without further replies; `None` if none is held.
    pub fn next_expiry(&self, now: Micros) -> Option<Micros> {
        let expiries = self.wanted.values().map(|wanted| wanted.expires_at(self.majority));
        expiries.filter(|expires_at| *expires_at > now).min()
    }
}
