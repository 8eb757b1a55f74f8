//! One member of the cluster: combines gossip, leases and shard assignment of one process.

mod leases;

use crate::gossip::{Gossip, GossipEvent, GossipOutput, MemberIdentity, MemberState, OutgoingGossip};
use crate::lease::{FencingToken, LeaseChange, LeaseHolder, Voter};
use crate::message::{self, Datagram, DatagramError, Message};
use crate::{sharding, Action, Event, MemberStatus, Micros, Notification, Settings, SettingsError, Shard};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Time between two announcements to seeds that are not known to be alive, in probe periods.
const JOIN_INTERVAL_PERIODS: u32 = 2;

/// Both clocks at the start. New fencing tokens are derived from the wall clock.
#[derive(Clone, Copy)]
struct StartTime {
    unix_ms: u64,
    monotonic: Micros,
}

/// One member of the cluster: handles events and returns actions.
pub struct ClusterMember {
    settings: Settings,
    gossip: Gossip,
    /// Present if this member is a voter.
    voter: Option<Voter>,
    lease_holder: LeaseHolder,
    started: StartTime,
    next_request_at: Micros,
    next_join_at: Micros,
    /// Whether members have changed since shards were last assigned.
    assignment_outdated: bool,
    /// When the process at an address last joined or left.
    changed_at: BTreeMap<SocketAddr, Micros>,
    /// Pairs of instances whose name conflict has been notified.
    notified_conflicts: BTreeSet<[u64; 2]>,
    /// The highest fencing token seen, by shard.
    highest_tokens: BTreeMap<Shard, FencingToken>,
    left: bool,
}

impl ClusterMember {
    /// Creates a member that starts now. `instance` is a random number drawn at each start, `unix_ms` is the Unix time in
    /// milliseconds.
    ///
    /// # Errors
    /// Returns every invalid setting.
    pub fn new(
        settings: Settings,
        instance: u64,
        now: Micros,
        unix_ms: u64,
    ) -> Result<ClusterMember, Vec<SettingsError>> {
        settings.check()?;
        let (name, address) = (settings.name.clone(), settings.address);
        let identity = MemberIdentity { name, address, instance, incarnation: unix_ms };
        let is_voter = settings.voters.contains(&address);
        Ok(ClusterMember {
            gossip: Gossip::new(identity, settings.gossip, instance),
            voter: is_voter.then(|| Voter::new(settings.lease, settings.shards, now)),
            lease_holder: LeaseHolder::new(instance, settings.lease, settings.voters.len()),
            started: StartTime { unix_ms, monotonic: now },
            next_request_at: now,
            next_join_at: now,
            assignment_outdated: true,
            changed_at: BTreeMap::new(),
            notified_conflicts: BTreeSet::new(),
            highest_tokens: BTreeMap::new(),
            left: false,
            settings,
        })
    }

    /// This process, as others know it.
    pub fn identity(&self) -> &MemberIdentity {
        self.gossip.identity()
    }

    /// The live processes, this one first.
    pub fn alive(&self) -> impl Iterator<Item = &MemberIdentity> {
        self.gossip.alive()
    }

    /// When [`Event::Wake`] is due.
    pub fn wake_at(&self, now: Micros) -> Micros {
        let periodic = self.next_request_at.min(self.next_join_at);
        let expiry = self.lease_holder.next_expiry(now).unwrap_or(Micros::MAX);
        self.gossip.wake_at().unwrap_or(Micros::MAX).min(periodic).min(expiry)
    }

    /// The fencing token of a shard that this member holds now; `None` if it does not. Check this before each action on the
    /// shard.
    pub fn fencing_token(&self, now: Micros, shard: Shard) -> Option<FencingToken> {
        self.lease_holder.fencing_token(now, shard)
    }

    /// The shard of a name.
    pub fn shard_of(&self, name: &str) -> Shard {
        sharding::shard_of(name, self.settings.shards)
    }

    /// Handles an event and appends the actions that follow.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if self.left {
            return;
        }
        let mut gossip = GossipOutput::default();
        match event {
            Event::Datagram(from, bytes) => {
                if let Err(error) = self.handle_datagram(now, from, bytes, &mut gossip, actions) {
                    actions.push(Action::Notify(Notification::InvalidDatagram { from, error }));
                }
            }
            Event::Wake => self.gossip.wake(now, &mut gossip),
            Event::Leave => {
                self.set_wanted_shards(Vec::new(), actions);
                self.gossip.leave(now, &mut gossip.outgoing);
                self.left = true;
            }
        }
        send_gossip(gossip.outgoing, actions);
        self.handle_gossip_events(now, gossip.events, actions);
        if !self.left {
            self.run_periodic(now, actions);
        }
        let changes = self.lease_holder.take_changes(now).into_iter().map(|change| match change {
            LeaseChange::Acquired(lease) => Notification::LeaseAcquired(lease.shard, lease.token),
            LeaseChange::Lost(lease) => Notification::LeaseLost(lease.shard, lease.token),
        });
        actions.extend(changes.map(Action::Notify));
    }

    fn handle_datagram(
        &mut self,
        now: Micros,
        from: SocketAddr,
        bytes: &[u8],
        gossip: &mut GossipOutput,
        actions: &mut Vec<Action>,
    ) -> Result<(), DatagramError> {
        match message::decode(bytes)? {
            Datagram::Gossip(bytes) => self.gossip.handle(now, bytes, gossip)?,
            Datagram::Message(message) => self.handle_message(now, from, message, actions),
        }
        Ok(())
    }

    fn handle_message(&mut self, now: Micros, from: SocketAddr, message: Message, actions: &mut Vec<Action>) {
        match message {
            Message::LeaseRequest(request) => {
                if let Some(voter) = &mut self.voter {
                    let reply = voter.vote(now, &request);
                    send(from, &Message::VoteReply(reply), actions);
                }
            }
            Message::VoteReply(reply) => self.handle_vote_reply(now, from, &reply, actions),
            Message::Release { holder, leases } => {
                if let Some(voter) = &mut self.voter {
                    voter.release(holder, &leases);
                }
            }
            Message::ShardsFree(_) => self.next_request_at = now,
            Message::HolderMessage { shard, token, payload } => {
                let highest = self.highest_tokens.entry(shard).or_default();
                // Fencing: delayed messages of an earlier holder are dropped once its successor has sent one.
                if shard < self.settings.shards && token >= *highest {
                    *highest = token;
                    let notification = Notification::HolderMessage { shard, token, payload };
                    actions.push(Action::Notify(notification));
                }
            }
        }
    }

    fn handle_gossip_events(&mut self, now: Micros, events: Vec<GossipEvent>, actions: &mut Vec<Action>) {
        for event in events {
            self.assignment_outdated = true;
            let notification = match event {
                GossipEvent::Up(identity) => {
                    self.changed_at.insert(identity.address, now);
                    self.notify_name_conflict(&identity, actions);
                    Notification::MemberUp(identity)
                }
                GossipEvent::Down(identity) => {
                    self.changed_at.insert(identity.address, now);
                    Notification::MemberDown(identity)
                }
                GossipEvent::Rejoined(_) => Notification::Rejoined,
            };
            actions.push(Action::Notify(notification));
        }
    }

    /// Notifies once for each pair of processes with the same name.
    fn notify_name_conflict(&mut self, identity: &MemberIdentity, actions: &mut Vec<Action>) {
        let same_name =
            |other: &&MemberIdentity| other.name == identity.name && other.instance != identity.instance;
        let Some(other) = self.gossip.alive().find(same_name).map(|other| other.instance) else { return };
        let instances = [other.min(identity.instance), other.max(identity.instance)];
        if self.notified_conflicts.insert(instances) {
            let notification = Notification::NameConflict { name: identity.name.clone(), instances };
            actions.push(Action::Notify(notification));
        }
    }

    fn run_periodic(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if now >= self.next_join_at {
            self.join_unknown_seeds(now, actions);
        }
        if std::mem::take(&mut self.assignment_outdated) {
            self.assign_shards(now, actions);
        }
        if now >= self.next_request_at {
            self.request_leases(now, actions);
        }
    }

    /// Announces this process to every seed that is not known to be alive, so that a member that was isolated from all
    /// others rejoins, even after a long time.
    fn join_unknown_seeds(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let interval = self.settings.gossip.probe_period * JOIN_INTERVAL_PERIODS;
        self.next_join_at = now + interval.as_micros() as Micros;
        let known: BTreeSet<SocketAddr> = self.gossip.alive().map(|member| member.address).collect();
        let mut outgoing = Vec::new();
        for seed in self.settings.seeds.iter().filter(|seed| !known.contains(seed)) {
            self.gossip.join(now, *seed, &mut outgoing);
        }
        send_gossip(outgoing, actions);
    }

    fn live_names(&self) -> BTreeSet<&str> {
        self.gossip.alive().map(|member| member.name.as_str()).collect()
    }

    /// Every process that is known, this one first.
    pub fn members(&self, now: Micros) -> Vec<MemberStatus> {
        let names = self.live_names();
        let mut assigned: BTreeMap<&str, usize> = BTreeMap::new();
        for shard in 0..self.settings.shards {
            if let Some(owner) = sharding::owner(shard, names.iter().copied()) {
                *assigned.entry(owner).or_default() += 1;
            }
        }
        let status = |(identity, state): (&MemberIdentity, MemberState)| {
            let changed_at =
                self.changed_at.get(&identity.address).copied().unwrap_or(self.started.monotonic);
            let shards = assigned.get(identity.name.as_str()).copied().unwrap_or(0);
            let assigned_shards = if state == MemberState::Down { 0 } else { shards };
            MemberStatus { identity: identity.clone(), state, since: now.min(changed_at), assigned_shards }
        };
        self.gossip.members().map(status).collect()
    }
}

fn send_gossip(outgoing: Vec<OutgoingGossip>, actions: &mut Vec<Action>) {
    let datagrams = outgoing.into_iter().map(|gossip| (gossip.to, message::encode_gossip(gossip.bytes)));
    actions.extend(datagrams.map(|(to, bytes)| Action::Send(to, bytes)));
}

fn send(to: SocketAddr, message: &Message, actions: &mut Vec<Action>) {
    if let Some(bytes) = message.encode() {
        actions.push(Action::Send(to, bytes));
    }
}
