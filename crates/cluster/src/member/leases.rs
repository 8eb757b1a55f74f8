//! The leases of a member: it holds the shards assigned to it and releases all others.

use super::{send, ClusterMember};
use crate::gossip::MemberIdentity;
use crate::lease::{LeaseRequest, ShardLease, VoteReply};
use crate::message::{Message, MAX_PAYLOAD_BYTES, MAX_SHARDS_PER_MESSAGE};
use crate::{sharding, Action, LocalStatus, Micros, Shard};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Requests per lease duration: several may be lost before a lease expires.
const REQUESTS_PER_LEASE: u64 = 4;

impl ClusterMember {
    /// Requests the shards assigned to this member and releases all others. Of two processes with the same name, the one
    /// started later requests none.
    pub(super) fn assign_shards(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.settings.voters.is_empty() {
            return;
        }
        let own = self.gossip.identity();
        let started_earlier = |other: &MemberIdentity| {
            other.name == own.name && (other.incarnation, other.instance) < (own.incarnation, own.instance)
        };
        let mut assigned = Vec::new();
        if !self.gossip.alive().any(started_earlier) {
            let names = self.live_names();
            let is_own =
                |shard: &Shard| sharding::owner(*shard, names.iter().copied()) == Some(own.name.as_str());
            assigned = (0..self.settings.shards).filter(is_own).collect();
        }
        self.set_wanted_shards(assigned, actions);
        self.next_request_at = now;
    }

    /// Sets the shards to hold. Releases all others at the voters and tells the members that they are now assigned to.
    pub(super) fn set_wanted_shards(&mut self, shards: Vec<Shard>, actions: &mut Vec<Action>) {
        let released = self.lease_holder.set_wanted(shards.into_iter());
        let free_by_owner = self.group_by_next_owner(&released);
        let own = self.gossip.identity();
        for leases in released.chunks(MAX_SHARDS_PER_MESSAGE) {
            let release = Message::Release { holder: own.instance, leases: leases.to_vec() };
            for voter in self.settings.voters.iter().filter(|voter| **voter != own.address) {
                send(*voter, &release, actions);
            }
            if let Some(voter) = &mut self.voter {
                voter.release(own.instance, leases);
            }
        }
        for (owner, shards) in free_by_owner {
            send(owner, &Message::ShardsFree(shards), actions);
        }
    }

    /// Groups released shards by the address of the member that they are now assigned to.
    fn group_by_next_owner(&self, released: &[ShardLease]) -> BTreeMap<SocketAddr, Vec<Shard>> {
        let own_instance = self.gossip.identity().instance;
        let others: Vec<&MemberIdentity> =
            self.gossip.alive().filter(|member| member.instance != own_instance).collect();
        let mut shards: BTreeMap<SocketAddr, Vec<Shard>> = BTreeMap::new();
        for lease in released {
            let owner = sharding::owner(lease.shard, others.iter().map(|member| member.name.as_str()));
            if let Some(member) = others.iter().find(|member| Some(member.name.as_str()) == owner) {
                shards.entry(member.address).or_default().push(lease.shard);
            }
        }
        shards
    }

    pub(super) fn request_leases(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.next_request_at = now + self.settings.lease.duration / REQUESTS_PER_LEASE;
        let min_token = self.started.unix_ms + now.saturating_sub(self.started.monotonic) / 1_000;
        let Some(request) = self.lease_holder.request(now, min_token) else { return };
        for leases in request.leases.chunks(MAX_SHARDS_PER_MESSAGE) {
            let part = LeaseRequest { leases: leases.to_vec(), ..request.clone() };
            for (index, address) in self.settings.voters.iter().enumerate() {
                match &mut self.voter {
                    Some(voter) if *address == self.settings.address => {
                        let reply = voter.vote(now, &part);
                        self.lease_holder.handle_reply(now, index as u8, &reply);
                    }
                    _ => send(*address, &Message::LeaseRequest(part.clone()), actions),
                }
            }
        }
    }

    pub(super) fn handle_vote_reply(
        &mut self,
        now: Micros,
        from: SocketAddr,
        reply: &VoteReply,
        actions: &mut Vec<Action>,
    ) {
        let Some(index) = self.settings.voters.iter().position(|voter| *voter == from) else { return };
        if self.lease_holder.handle_reply(now, index as u8, reply) {
            self.request_leases(now, actions);
        }
    }

    /// Sends a payload to all other members as the holder of a shard. Returns false, and sends nothing, if this member does
    /// not hold the shard or the payload is longer than [`MAX_PAYLOAD_BYTES`].
    pub fn send_as_holder(
        &mut self,
        now: Micros,
        shard: Shard,
        payload: &[u8],
        actions: &mut Vec<Action>,
    ) -> bool {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return false;
        }
        let Some(token) = self.fencing_token(now, shard) else { return false };
        let message = Message::HolderMessage { shard, token, payload: payload.to_vec() };
        for member in self.gossip.alive().filter(|member| member.address != self.settings.address) {
            send(member.address, &message, actions);
        }
        true
    }

    /// State of this member that other members do not know.
    pub fn local_status(&self, now: Micros) -> LocalStatus {
        let leases = (0..self.settings.shards)
            .filter_map(|shard| Some(ShardLease { shard, token: self.fencing_token(now, shard)? }))
            .collect();
        LocalStatus { leases, health_score: self.gossip.health_score() }
    }
}
